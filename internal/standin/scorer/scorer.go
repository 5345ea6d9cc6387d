// Package scorer simulates a service that scores samples.
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

// Options configure a scorer.
type Options struct {
	// Latency is the duration of scoring one sample.
	Latency time.Duration
	Faults  *fault.Injector
}

// Scorer is a simulated scorer. It is an http.Handler.
type Scorer struct {
	options Options
	bootID  string // reported as LoadReport.BootID
	leaving host.LeavingState
	handler http.Handler

	mu            sync.Mutex
	running       int            // requests in execution
	runsByRequest map[string]int // executions by request id
	total         int            // executed requests
}

// New returns a scorer.
func New(options Options) *Scorer {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	s := &Scorer{
		options:       options,
		bootID:        strconv.FormatInt(time.Now().UnixNano(), 36),
		runsByRequest: map[string]int{},
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/score", s.serveScore).Methods(http.MethodPost)
	routes.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	routes.HandleFunc("/counts", s.serveCounts).Methods(http.MethodGet)
	s.handler = s.leaving.Wrap(routes)
	return s
}

// Faults returns the scorer's fault injector.
func (s *Scorer) Faults() *fault.Injector { return s.options.Faults }

// SetLeaving sets whether the scorer is leaving.
func (s *Scorer) SetLeaving(leaving bool) { s.leaving.Set(leaving) }

// ServeHTTP implements http.Handler.
func (s *Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Scorer) serveScore(w http.ResponseWriter, r *http.Request) {
	var request wire.ScoreRequest
	if !host.ReadJSON(w, r, &request) {
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	s.startScore(id)
	time.Sleep(s.options.Latency)
	s.finishScore()
	reward := answer.Reward(request.Prompt, request.Completion)
	host.WriteJSON(w, http.StatusOK, wire.ScoreResponse{ID: id, Reward: reward})
}

func (s *Scorer) startScore(id string) {
	s.leaving.RecordStart()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.total++
	s.runsByRequest[id]++
}

func (s *Scorer) finishScore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Scorer) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, wire.LoadReport{BootID: s.bootID, Running: running, Leaving: s.leaving.IsLeaving()})
}

// Counts is the response to GET /counts. It counts executed requests.
type Counts struct {
	Runs    map[string]int     `json:"runs"` // by X-Request-Id
	Total   int                `json:"total"`
	Leaving host.LeavingReport `json:"leaving"`
}

func (s *Scorer) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := Counts{Runs: map[string]int{}, Total: s.total, Leaving: s.leaving.Report()}
	for id, n := range s.runsByRequest {
		counts.Runs[id] = n
	}
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, counts)
}
