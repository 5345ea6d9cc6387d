// Package weights is the stand-in for the weight store: versions by model, and
// fetches that go through a token bucket.
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

// Options describe the weight store.
type Options struct {
	// Models maps each model to its versions at the start.
	Models map[string][]int64
	// FetchRate is how many fetches a second go through, FetchBurst how many at
	// once; 0: no limit.
	FetchRate, FetchBurst float64
	// FetchTime is how long a fetch takes.
	FetchTime time.Duration
	Faults    *fault.Injector
}

// Store is a stand-in weight store. It is an http.Handler.
type Store struct {
	options Options
	bucket  *host.Bucket
	handler http.Handler

	mu       sync.Mutex
	versions map[string][]int64
	fetches  int
	rejected int
}

// New returns a weight store.
func New(options Options) *Store {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	s := &Store{
		options:  options,
		bucket:   host.NewBucket(options.FetchRate, max(1, options.FetchBurst)),
		versions: map[string][]int64{},
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

// Faults returns the store's faults.
func (s *Store) Faults() *fault.Injector { return s.options.Faults }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Publish adds a version of a model.
func (s *Store) Publish(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.versions[model], version) {
		return
	}
	grown := append(slices.Clone(s.versions[model]), version)
	slices.Sort(grown)
	s.versions[model] = grown
}

func (s *Store) list(model string) []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int64{}, s.versions[model]...)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	host.WriteJSON(w, http.StatusOK, wire.VersionList{Versions: s.list(mux.Vars(r)["model"])})
}

func (s *Store) servePublish(w http.ResponseWriter, r *http.Request) {
	var body wire.PublishVersion
	if !host.ReadJSON(w, r, &body) {
		return
	}
	if body.Version <= 0 {
		host.WriteError(w, http.StatusBadRequest, fmt.Errorf("version %d: want 1 or more", body.Version))
		return
	}
	model := mux.Vars(r)["model"]
	s.Publish(model, body.Version)
	host.WriteJSON(w, http.StatusOK, wire.VersionList{Versions: s.list(model)})
}

func (s *Store) serveFetch(w http.ResponseWriter, r *http.Request) {
	model := mux.Vars(r)["model"]
	version, err := strconv.ParseInt(mux.Vars(r)["version"], 10, 64)
	if err != nil || !slices.Contains(s.list(model), version) {
		host.WriteError(w, http.StatusNotFound, fmt.Errorf("no version %q of %q", mux.Vars(r)["version"], model))
		return
	}
	wait, ok := s.bucket.Take(1)
	s.count(ok)
	if !ok {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Retry-After-Ms", fmt.Sprint(wait.Milliseconds()+1))
		host.WriteError(w, http.StatusTooManyRequests, host.ErrTooFast)
		return
	}
	time.Sleep(s.options.FetchTime)
	host.WriteJSON(w, http.StatusOK, map[string]any{"model": model, "version": version})
}

func (s *Store) count(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.fetches++
		return
	}
	s.rejected++
}

// Counts is the answer to GET /counts.
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
