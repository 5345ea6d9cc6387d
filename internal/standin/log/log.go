// Package log is the stand-in for the platform's append-only log: streams with
// offsets from 1 on, retention by count and by age, a limited rate of appends
// and long-poll reads. Outages are faults.
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

// Options describe the log.
type Options struct {
	// KeepRecords and KeepFor bound what a stream keeps; 0: no bound.
	KeepRecords int
	KeepFor     time.Duration
	// AppendRate is how many appends (calls) a second go through, AppendBurst
	// how many at once; 0: no limit.
	AppendRate  float64
	AppendBurst float64
	// Latency is the time of an append and of a read that needn't wait.
	Latency time.Duration
	Faults  *fault.Injector
}

// Log is a stand-in log. It is an http.Handler.
type Log struct {
	options Options
	bucket  *host.Bucket
	handler http.Handler

	mu       sync.Mutex
	streams  map[string]*stream
	appends  int
	rejected int
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
		options: options,
		bucket:  host.NewBucket(options.AppendRate, options.AppendBurst),
		streams: map[string]*stream{},
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/streams/{stream}/records", l.serveAppend).Methods(http.MethodPost)
	routes.HandleFunc("/v1/streams/{stream}/records", l.serveRead).Methods(http.MethodGet)
	routes.HandleFunc("/counts", l.serveCounts).Methods(http.MethodGet)
	l.handler = routes
	return l
}

// Faults returns the log's faults.
func (l *Log) Faults() *fault.Injector { return l.options.Faults }

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

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
		host.WriteError(w, http.StatusBadRequest, fmt.Errorf("no records"))
		return
	}
	wait, ok := l.bucket.Take(1)
	l.count(ok)
	if !ok {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Retry-After-Ms", fmt.Sprint(wait.Milliseconds()+1))
		host.WriteError(w, http.StatusTooManyRequests, host.ErrTooFast)
		return
	}
	offset := l.stream(mux.Vars(r)["stream"]).append(request.Records, time.Now())
	time.Sleep(l.options.Latency)
	host.WriteJSON(w, http.StatusOK, wire.AppendResponse{Offset: offset})
}

func (l *Log) count(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.appends++
		return
	}
	l.rejected++
}

// Counts is the answer to GET /counts.
type Counts struct {
	Appends  int              `json:"appends"`
	Rejected int              `json:"rejected"`
	Next     map[string]int64 `json:"next"` // by stream
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
