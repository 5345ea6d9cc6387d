// Package service is the stand-in for a plain service: it echoes every request
// byte for byte and counts what it executed.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

const (
	// CountsPath answers with Counts.
	CountsPath = "/_standin/counts"
	// HeaderCall is a checker's own id of a call; it outlives every resend.
	HeaderCall = "X-Call"
	// HeaderAttempt is a checker's own id of one attempt at a call.
	HeaderAttempt = "X-Attempt"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderEcho repeats "METHOD path?query" in the answer.
	HeaderEcho = "X-Echo"
)

// Options describe one service.
type Options struct {
	// Latency is the time of a call that runs alone; each further one
	// lengthens it by Slowdown.
	Latency  time.Duration
	Slowdown float64
	Faults   *fault.Injector
}

// Counts says how often each thing was executed.
type Counts struct {
	Total     int                `json:"total"`
	ByRequest map[string]int     `json:"by_request"`
	ByKey     map[string]int     `json:"by_key"`
	ByCall    map[string]int     `json:"by_call"`
	ByAttempt map[string]int     `json:"by_attempt"`
	Leaving   host.LeavingReport `json:"leaving"`
}

// Service is a stand-in service. It is an http.Handler.
type Service struct {
	options Options
	bootID  string
	leaving host.Leaving
	handler http.Handler

	mu      sync.Mutex
	running int
	counts  Counts
}

// New returns a service.
func New(options Options) *Service {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	s := &Service{
		options: options,
		bootID:  strconv.FormatInt(time.Now().UnixNano(), 36),
		counts:  Counts{ByRequest: map[string]int{}, ByKey: map[string]int{}, ByCall: map[string]int{}, ByAttempt: map[string]int{}},
	}
	s.handler = s.leaving.Wrap(http.HandlerFunc(s.serve))
	return s
}

// Faults returns the service's faults.
func (s *Service) Faults() *fault.Injector { return s.options.Faults }

// SetLeaving begins or ends leaving.
func (s *Service) SetLeaving(leaving bool) { s.leaving.Set(leaving) }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counts returns a copy of the counts.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	out.ByRequest = clone(out.ByRequest)
	out.ByKey = clone(out.ByKey)
	out.ByCall = clone(out.ByCall)
	out.ByAttempt = clone(out.ByAttempt)
	out.Leaving = s.leaving.Report()
	return out
}

func clone(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case CountsPath:
		host.WriteJSON(w, http.StatusOK, s.Counts())
	case "/load":
		host.WriteJSON(w, http.StatusOK, s.load())
	default:
		s.echo(w, r)
	}
}

func (s *Service) load() wire.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.LoadReport{BootID: s.bootID, Running: s.running, Leaving: s.leaving.Active()}
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// A request that is cut on its way in isn't executed.
		host.WriteError(w, http.StatusBadRequest, err)
		return
	}
	time.Sleep(s.begin(r))
	s.end()
	if kind := r.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	} else {
		w.Header().Set("Content-Type", "application/octet-stream")
	}
	w.Header().Set(HeaderEcho, r.Method+" "+r.URL.RequestURI())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}

// begin counts an execution and returns how long it takes.
func (s *Service) begin(r *http.Request) time.Duration {
	s.leaving.Begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.counts.Total++
	count(s.counts.ByRequest, r.Header.Get(wire.HeaderRequestID))
	count(s.counts.ByKey, r.Header.Get(HeaderKey))
	count(s.counts.ByCall, r.Header.Get(HeaderCall))
	count(s.counts.ByAttempt, r.Header.Get(HeaderAttempt))
	factor := 1 + s.options.Slowdown*float64(s.running-1)
	return time.Duration(float64(s.options.Latency) * factor)
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func count(m map[string]int, id string) {
	if id != "" {
		m[id]++
	}
}
