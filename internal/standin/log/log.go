// Package log simulates the platform's append-only log: streams whose offsets begin at 1,
// retention by count and by age, a rate limit on appends, and long-poll reads. Outages are
// injected as faults; see package fault.
package log

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Options configure the log.
type Options struct {
	// KeepRecords and KeepFor limit the number and the age of the records that a stream
	// retains; 0: no limit.
	KeepRecords int
	KeepFor     time.Duration
	// AppendRate limits the append calls per second over all streams; 0: no limit.
	// AppendBurst is how many may come at once; 0: a tenth of AppendRate, but at least 1.
	AppendRate  float64
	AppendBurst float64
	// Latency is the duration of an append, and of a read without its long poll.
	Latency time.Duration
	Faults  *fault.Injector
}

// Log is a simulated log. It is an http.Handler.
type Log struct {
	options     Options
	appendLimit *host.TokenBucket
	handler     http.Handler

	mu       sync.Mutex
	streams  map[string]*stream
	appends  int // admitted append calls
	rejected int // append calls over the rate limit
}

// New returns an empty log.
func New(options Options) *Log {
	if options.Faults == nil {
		options.Faults = fault.New()
	}
	if options.AppendBurst <= 0 {
		options.AppendBurst = max(1, options.AppendRate/10)
	}
	l := &Log{
		options:     options,
		appendLimit: host.NewTokenBucket(options.AppendRate, options.AppendBurst),
		streams:     map[string]*stream{},
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/streams/{stream}/records", l.serveAppend).Methods(http.MethodPost)
	routes.HandleFunc("/v1/streams/{stream}/records", l.serveRead).Methods(http.MethodGet)
	routes.HandleFunc("/counts", l.serveCounts).Methods(http.MethodGet)
	l.handler = routes
	return l
}

// Faults returns the log's fault injector.
func (l *Log) Faults() *fault.Injector { return l.options.Faults }

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// stream returns a stream and creates it if needed.
func (l *Log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[name]
	if s == nil {
		s = newStream(l.options.KeepRecords, l.options.KeepFor)
		l.streams[name] = s
	}
	return s
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request wire.AppendRequest
	if !host.ReadJSON(w, r, &request) {
		return
	}
	if len(request.Records) == 0 {
		host.WriteError(w, http.StatusBadRequest, fmt.Errorf("append without records"))
		return
	}
	wait, admitted := l.appendLimit.Take(1)
	l.countAppend(admitted)
	if !admitted {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Retry-After-Ms", fmt.Sprint(wait.Milliseconds()+1))
		host.WriteError(w, http.StatusTooManyRequests, host.ErrRateLimited)
		return
	}
	offset := l.stream(mux.Vars(r)["stream"]).append(request.Records, time.Now())
	time.Sleep(l.options.Latency)
	host.WriteJSON(w, http.StatusOK, wire.AppendResponse{Offset: offset})
}

func (l *Log) countAppend(admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if admitted {
		l.appends++
		return
	}
	l.rejected++
}

// Counts is the response to GET /counts.
type Counts struct {
	Appends  int              `json:"appends"`
	Rejected int              `json:"rejected"`
	Next     map[string]int64 `json:"next"` // offset of the next record, by stream
}

func (l *Log) serveCounts(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	counts := Counts{Appends: l.appends, Rejected: l.rejected, Next: map[string]int64{}}
	for name, s := range l.streams {
		counts.Next[name] = s.nextOffset()
	}
	l.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, counts)
}
