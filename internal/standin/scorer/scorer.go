// Package scorer is the stand-in for a service that scores samples.
package scorer

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Options describe one scorer.
type Options struct {
	// Latency is the time of one score.
	Latency time.Duration
	Faults  *fault.Injector
}

// Scorer is a stand-in scorer. It is an http.Handler.
type Scorer struct {
	options Options
	bootID  string
	leaving host.Leaving
	handler http.Handler

	mu      sync.Mutex
	running int
	runs    map[string]int
	total   int
}

// New returns a scorer.
func New(options Options) *Scorer {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	s := &Scorer{
		options: options,
		bootID:  strconv.FormatInt(time.Now().UnixNano(), 36),
		runs:    map[string]int{},
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/score", s.serveScore).Methods(http.MethodPost)
	routes.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	routes.HandleFunc("/counts", s.serveCounts).Methods(http.MethodGet)
	s.handler = s.leaving.Wrap(routes)
	return s
}

// Faults returns the scorer's faults.
func (s *Scorer) Faults() *fault.Injector { return s.options.Faults }

// SetLeaving begins or ends leaving.
func (s *Scorer) SetLeaving(leaving bool) { s.leaving.Set(leaving) }

// ServeHTTP implements http.Handler.
func (s *Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Scorer) serveScore(w http.ResponseWriter, r *http.Request) {
	var request wire.ScoreRequest
	if !host.ReadJSON(w, r, &request) {
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	s.begin(id)
	time.Sleep(s.options.Latency)
	s.end()
	reward := answer.Reward(request.Prompt, request.Completion)
	host.WriteJSON(w, http.StatusOK, wire.ScoreResponse{ID: id, Reward: reward})
}

func (s *Scorer) begin(id string) {
	s.leaving.Begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.total++
	s.runs[id]++
}

func (s *Scorer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Scorer) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, wire.LoadReport{BootID: s.bootID, Running: running, Leaving: s.leaving.Active()})
}

// Counts is the answer to GET /counts.
type Counts struct {
	Runs    map[string]int     `json:"runs"`
	Total   int                `json:"total"`
	Leaving host.LeavingReport `json:"leaving"`
}

func (s *Scorer) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := Counts{Runs: map[string]int{}, Total: s.total, Leaving: s.leaving.Report()}
	for id, n := range s.runs {
		counts.Runs[id] = n
	}
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, counts)
}
