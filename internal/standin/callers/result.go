package callers

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Record is how one call ended.
type Record struct {
	ID       string
	Kind     Kind
	Attempts int
	Answered bool
	// Outcome is what the last answer said, when there was none of its own;
	// MayHaveRun says that some attempt's outcome wasn't "not run".
	Outcome    outcome.Outcome
	MayHaveRun bool
	// NotRun are the ids of the attempts that were told "not run".
	NotRun []string
	// NotRunRequests are the daemons' own ids of those among them that were
	// completions, as engines see them.
	NotRunRequests []string
}

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int64   `json:"n"`
}

// Result is what the callers counted.
type Result struct {
	Calls     int            `json:"calls"`
	Answers   int            `json:"answers"`
	Wrong     int            `json:"wrong"`
	Failed    int            `json:"failed"`
	ByOutcome map[string]int `json:"failed_by_outcome"`
	ByReason  map[string]int `json:"failed_by_reason"`
	// Refusals counts attempts by the status of the daemon's refusal.
	Refusals map[string]Refusals `json:"refusals,omitempty"`
	Resent   int                 `json:"resent"`
	Shed     int                 `json:"shed"`
	Seconds  float64             `json:"seconds"`
	// Latency is from due time to whole answer, FirstToken to its first byte.
	Latency    map[Kind]Quantiles `json:"latency_ms"`
	FirstToken map[Kind]Quantiles `json:"first_token_ms"`
	WrongFirst []string           `json:"wrong_first,omitempty"`
	// Records are all calls, for Verify.
	Records []Record `json:"-"`
	// Verified is set by Verify.
	Verified *Verified `json:"verified,omitempty"`
}

const (
	// maxLatency bounds the histograms, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	digits     = 3
	maxWrong   = 20
)

type recorder struct {
	mu         sync.Mutex
	done       Result
	latency    map[Kind]*hdrhistogram.Histogram
	firstToken map[Kind]*hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		done: Result{
			ByOutcome:  map[string]int{},
			ByReason:   map[string]int{},
			Refusals:   map[string]Refusals{},
			Latency:    map[Kind]Quantiles{},
			FirstToken: map[Kind]Quantiles{},
		},
		latency:    map[Kind]*hdrhistogram.Histogram{},
		firstToken: map[Kind]*hdrhistogram.Histogram{},
	}
}

func (r *recorder) answered(done Record, latency, firstToken time.Duration) {
	done.Answered, done.Outcome = true, outcome.Ran
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(done)
	r.done.Answers++
	record(r.latency, done.Kind, latency)
	record(r.firstToken, done.Kind, firstToken)
}

func (r *recorder) wrong(done Record, err error) {
	done.MayHaveRun = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(done)
	r.done.Wrong++
	if len(r.done.WrongFirst) < maxWrong {
		r.done.WrongFirst = append(r.done.WrongFirst, err.Error())
	}
}

func (r *recorder) failed(done Record, failure *attemptError) {
	done.Outcome = failure.outcome
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(done)
	r.done.Failed++
	r.done.ByOutcome[failure.outcome.String()]++
	r.done.ByReason[failure.reason]++
}

func (r *recorder) shed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done.Shed++
}

// add counts a call that has ended. Called under the lock.
func (r *recorder) add(done Record) {
	r.done.Calls++
	r.done.Resent += done.Attempts - 1
	r.done.Records = append(r.done.Records, done)
}

func record(by map[Kind]*hdrhistogram.Histogram, kind Kind, d time.Duration) {
	h := by[kind]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency, digits)
		by[kind] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

func (r *recorder) result(took time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done.Seconds = took.Seconds()
	for kind, h := range r.latency {
		r.done.Latency[kind] = quantiles(h)
	}
	for kind, h := range r.firstToken {
		r.done.FirstToken[kind] = quantiles(h)
	}
	return &r.done
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		P50: millis(h.ValueAtQuantile(50)),
		P90: millis(h.ValueAtQuantile(90)),
		P99: millis(h.ValueAtQuantile(99)),
		Max: millis(h.Max()),
		N:   h.TotalCount(),
	}
}
