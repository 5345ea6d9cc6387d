package duties

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// countsBackoff is the pause after appends of counts that failed.
var countsBackoff = retry.Backoff{First: 100 * time.Millisecond, Max: 800 * time.Millisecond}

var (
	requestsCounted = metrics.Counter("usage_requests_counted")
	countsAppended  = metrics.Counter("usage_appends")
	countsFailed    = metrics.Counter("usage_appends_failed")
)

// CountsOptions of Counts.
type CountsOptions struct {
	Log    store.Log
	Usage  *usage.Timing        // nil: nothing is counted
	Now    func() time.Duration // a clock that goes on while the VM is suspended
	Clock  func() time.Time     // the time of day
	Logger zerolog.Logger
}

// Counts counts the requests of customers that this daemon had upstreams begin, and writes
// the counts down. It is safe for concurrent use.
type Counts struct {
	options CountsOptions
	writer  string
	ready   chan struct{}

	mu      sync.Mutex
	counter *usage.Counter
	idle    chan struct{} // closed while everything is written down

	// Used by Run alone.
	number      int64    // of the last record
	unconfirmed []record // not known to be in the log, oldest first
}

// NewCounts returns Counts without a count.
func NewCounts(o CountsOptions) *Counts {
	c := &Counts{options: o, writer: uuid.NewString(), ready: make(chan struct{}, 1), idle: make(chan struct{})}
	close(c.idle)
	if o.Usage != nil {
		c.counter = usage.NewCounter(o.Usage.Windows)
	}
	return c
}

// Began counts a request of a customer that began to run so long ago. It doesn't wait.
func (c *Counts) Began(customer string, ago time.Duration) {
	if c.counter == nil {
		return
	}
	requestsCounted.Add(1)
	c.mu.Lock()
	if c.counter.Empty() && isClosed(c.idle) {
		c.idle = make(chan struct{})
	}
	c.counter.Add(customer, c.options.Clock().Add(-ago))
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Run appends counts until the context ends.
func (c *Counts) Run(ctx context.Context) {
	var pace usage.AppendPacer
	for failures := 0; ; {
		if len(c.unconfirmed) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-c.ready:
			}
		}
		wait := pace.NextStart() - c.options.Now()
		pause.For(ctx, max(wait, countsBackoff.Pause(failures, rand.Float64())))
		if ctx.Err() != nil {
			return
		}
		c.take()
		began := c.options.Now()
		ok := c.append(ctx, failures+1)
		pace.RecordAppend(began, ok)
		failures++
		if ok {
			failures = 0
		}
		c.settle()
	}
}

// record is one that may not be in the log yet.
type record struct {
	data   []byte
	newest int64 // window
}

// maxUnconfirmed bounds the records that wait for an answer. What is counted meanwhile goes
// with the next try, as a record of its own: whether those before are in the log isn't
// known, and behind one whose answer was lost all others would be late for their report.
const maxUnconfirmed = 16

// take makes a record of what was counted since the last one.
func (c *Counts) take() {
	if len(c.unconfirmed) == maxUnconfirmed {
		return
	}
	c.mu.Lock()
	taken := c.counter.Take()
	c.mu.Unlock()
	if len(taken) == 0 {
		return
	}
	c.number++
	data, err := entry{Usage: &usage.Record{Counted: &usage.Counted{Writer: c.writer, Sequence: c.number, Windows: taken}}}.encode(c.options.Clock())
	if err != nil {
		c.options.Logger.Error().Err(err).Int64("number", c.number).Msg("counts not encoded, lost")
		return
	}
	c.unconfirmed = append(c.unconfirmed, record{data, taken[len(taken)-1].Window})
}

// append tries once to get the records into the log. It reports false if they are wanted
// there still.
func (c *Counts) append(ctx context.Context, try int) bool {
	c.dropOld()
	if len(c.unconfirmed) == 0 {
		return true
	}
	var data [][]byte
	for _, r := range c.unconfirmed {
		data = append(data, r.data)
	}
	_, err := store.AppendRepeatable(ctx, c.options.Log, topic, part, data, min(try, maxCountsTry))
	if err == nil {
		countsAppended.Add(1)
		c.unconfirmed = nil
		return true
	}
	countsFailed.Add(1)
	c.line(err).Err(err).Int64("number", c.number).Int("records", len(data)).Int64("window", c.unconfirmed[0].newest).Int("try", try).Msg("counts not appended")
	if errors.Is(err, store.ErrRejected) {
		c.options.Logger.Error().Int64("number", c.number).Int("records", len(data)).Msg("counts lost: the store won't take them")
		c.unconfirmed = nil
		return true
	}
	return false
}

// maxCountsTry keeps the wait for an answer short: the next try takes newer counts along.
const maxCountsTry = 2

func (c *Counts) line(err error) *zerolog.Event {
	if errors.Is(err, store.ErrNotDone) {
		return c.options.Logger.Info()
	}
	return c.options.Logger.Warn()
}

// dropOld forgets what belongs to windows that nobody reports any more: in an outage of hours
// it would grow without bound.
func (c *Counts) dropOld() {
	now := c.options.Clock()
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r record) bool {
		old := now.Sub(c.options.Usage.Windows.End(r.newest)) > c.options.Usage.Retention()
		if old {
			c.options.Logger.Error().Int64("window", r.newest).Msg("counts lost: too late for their report")
		}
		return old
	})
	c.mu.Lock()
	dropped := c.counter.DropBefore(c.options.Usage.Windows.IndexAt(now.Add(-c.options.Usage.Retention())))
	c.mu.Unlock()
	if dropped > 0 {
		c.options.Logger.Error().Int("windows", dropped).Msg("counts lost: too late for their report")
	}
}

// settle tells those that wait for everything to be written down.
func (c *Counts) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counter.Empty() && len(c.unconfirmed) == 0 && !isClosed(c.idle) {
		close(c.idle)
	}
}

// Drain waits until everything is written down, or the context ends.
func (c *Counts) Drain(ctx context.Context) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		c.options.Logger.Warn().Msg("counts of usage not written down before the end")
	}
}
