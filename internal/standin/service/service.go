// Package service simulates a plain service. It echoes every request body byte for byte and
// counts the executed requests.
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
	// CountsPath is the path that serves Counts.
	CountsPath = "/_standin/counts"
	// HeaderCallID is a checker's own id of a call, which is the same for all attempts.
	HeaderCallID = "X-Call"
	// HeaderAttemptID is a checker's own id of one attempt of a call.
	HeaderAttemptID = "X-Attempt"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderEcho returns the request's "METHOD path?query" in the response.
	HeaderEcho = "X-Echo"
)

// Options configure a service.
type Options struct {
	// Latency is the duration of a call that runs alone. Each further concurrent call adds
	// Slowdown times Latency.
	Latency  time.Duration
	Slowdown float64
	Faults   *fault.Injector
}

// Counts says how often requests were executed: in total, and by the id in each header.
type Counts struct {
	Total     int                `json:"total"`
	ByRequest map[string]int     `json:"by_request"` // by X-Request-Id
	ByKey     map[string]int     `json:"by_key"`     // by Idempotency-Key
	ByCall    map[string]int     `json:"by_call"`    // by X-Call
	ByAttempt map[string]int     `json:"by_attempt"` // by X-Attempt
	Leaving   host.LeavingReport `json:"leaving"`
}

// Service is a simulated service. It is an http.Handler.
type Service struct {
	options Options
	bootID  string // reported as LoadReport.BootID
	leaving host.LeavingState
	handler http.Handler

	mu      sync.Mutex
	running int    // requests in execution
	counts  Counts // without Leaving
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

// Faults returns the service's fault injector.
func (s *Service) Faults() *fault.Injector { return s.options.Faults }

// SetLeaving sets whether the service is leaving.
func (s *Service) SetLeaving(leaving bool) { s.leaving.Set(leaving) }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counts returns a copy of the counts.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	out.ByRequest = cloneCounts(out.ByRequest)
	out.ByKey = cloneCounts(out.ByKey)
	out.ByCall = cloneCounts(out.ByCall)
	out.ByAttempt = cloneCounts(out.ByAttempt)
	out.Leaving = s.leaving.Report()
	return out
}

func cloneCounts(m map[string]int) map[string]int {
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
	return wire.LoadReport{BootID: s.bootID, Running: s.running, Leaving: s.leaving.IsLeaving()}
}

// echo executes a request and responds with its body.
func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// A request whose body is incomplete isn't executed.
		host.WriteError(w, http.StatusBadRequest, err)
		return
	}
	time.Sleep(s.startExecution(r))
	s.finishExecution()
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	} else {
		w.Header().Set("Content-Type", "application/octet-stream")
	}
	w.Header().Set(HeaderEcho, r.Method+" "+r.URL.RequestURI())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}

// startExecution counts an execution and returns its duration.
func (s *Service) startExecution(r *http.Request) time.Duration {
	s.leaving.RecordStart()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.counts.Total++
	increment(s.counts.ByRequest, r.Header.Get(wire.HeaderRequestID))
	increment(s.counts.ByKey, r.Header.Get(HeaderIdempotencyKey))
	increment(s.counts.ByCall, r.Header.Get(HeaderCallID))
	increment(s.counts.ByAttempt, r.Header.Get(HeaderAttemptID))
	factor := 1 + s.options.Slowdown*float64(s.running-1)
	return time.Duration(float64(s.options.Latency) * factor)
}

func (s *Service) finishExecution() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// increment counts an id unless it is empty.
func increment(m map[string]int, id string) {
	if id != "" {
		m[id]++
	}
}
