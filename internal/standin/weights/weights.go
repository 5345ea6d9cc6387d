// Package weights simulates the weight store. It lists the versions of each model and
// limits the rate of fetches by a token bucket.
package weights

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Options configure a weight store.
type Options struct {
	// Models maps each model to its initial versions.
	Models map[string][]int64
	// FetchRate limits the fetches per second; 0: no limit. FetchBurst is how many may come
	// at once; values below 1 mean 1.
	FetchRate, FetchBurst float64
	// FetchTime is the duration of a fetch.
	FetchTime time.Duration
	Faults    *fault.Injector
}

// Store is a simulated weight store. It is an http.Handler.
type Store struct {
	options    Options
	fetchLimit *host.TokenBucket
	handler    http.Handler

	mu       sync.Mutex
	versions map[string][]int64 // by model, ascending
	fetches  int                // admitted fetches
	rejected int                // fetches over the rate limit
}

// New returns a weight store.
func New(options Options) *Store {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	s := &Store{
		options:    options,
		fetchLimit: host.NewTokenBucket(options.FetchRate, max(1, options.FetchBurst)),
		versions:   map[string][]int64{},
	}
	for model, versions := range options.Models {
		for _, v := range versions {
			s.Publish(model, v)
		}
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/models/{model}/versions", s.serveList).Methods(http.MethodGet)
	routes.HandleFunc("/v1/models/{model}/versions", s.servePublish).Methods(http.MethodPost)
	routes.HandleFunc("/v1/models/{model}/versions/{version}/fetch", s.serveFetch).Methods(http.MethodGet)
	routes.HandleFunc("/counts", s.serveCounts).Methods(http.MethodGet)
	s.handler = routes
	return s
}

// Faults returns the store's fault injector.
func (s *Store) Faults() *fault.Injector { return s.options.Faults }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Publish adds a version to a model, unless it is there already.
func (s *Store) Publish(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.versions[model], version) {
		return
	}
	versions := append(slices.Clone(s.versions[model]), version)
	slices.Sort(versions)
	s.versions[model] = versions
}

func (s *Store) versionsOf(model string) []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int64{}, s.versions[model]...)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	host.WriteJSON(w, http.StatusOK, wire.VersionList{Versions: s.versionsOf(mux.Vars(r)["model"])})
}

func (s *Store) servePublish(w http.ResponseWriter, r *http.Request) {
	var body wire.PublishVersion
	if !host.ReadJSON(w, r, &body) {
		return
	}
	if body.Version <= 0 {
		host.WriteError(w, http.StatusBadRequest, fmt.Errorf("version %d: must be positive", body.Version))
		return
	}
	model := mux.Vars(r)["model"]
	s.Publish(model, body.Version)
	host.WriteJSON(w, http.StatusOK, wire.VersionList{Versions: s.versionsOf(model)})
}

func (s *Store) serveFetch(w http.ResponseWriter, r *http.Request) {
	model := mux.Vars(r)["model"]
	version, err := strconv.ParseInt(mux.Vars(r)["version"], 10, 64)
	if err != nil || !slices.Contains(s.versionsOf(model), version) {
		host.WriteError(w, http.StatusNotFound, fmt.Errorf("no version %q of model %q", mux.Vars(r)["version"], model))
		return
	}
	wait, admitted := s.fetchLimit.Take(1)
	s.countFetch(admitted)
	if !admitted {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Retry-After-Ms", fmt.Sprint(wait.Milliseconds()+1))
		host.WriteError(w, http.StatusTooManyRequests, host.ErrRateLimited)
		return
	}
	time.Sleep(s.options.FetchTime)
	host.WriteJSON(w, http.StatusOK, map[string]any{"model": model, "version": version})
}

func (s *Store) countFetch(admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if admitted {
		s.fetches++
		return
	}
	s.rejected++
}

// Counts is the response to GET /counts.
type Counts struct {
	Fetches  int `json:"fetches"`
	Rejected int `json:"rejected"`
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := Counts{Fetches: s.fetches, Rejected: s.rejected}
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, counts)
}
