package duties

import (
	"context"
	"errors"
	"math/rand/v2"
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

// usageTopic holds counts and reports in one partition: a report is decided by what stands
// before it.
const (
	usageTopic = "usage"
	usagePart  = 0
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
	number  int64         // of the last record
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

// Began counts a request of a customer that began to run. It doesn't wait.
func (c *Counts) Began(customer string, at time.Time) {
	if c.counter == nil {
		return
	}
	requestsCounted.Add(1)
	c.mu.Lock()
	if c.counter.Empty() && isClosed(c.idle) {
		c.idle = make(chan struct{})
	}
	c.counter.Began(customer, at)
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
	var pace usage.Pace
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.ready:
		}
		pause.For(ctx, pace.Next()-c.options.Now())
		c.mu.Lock()
		taken := c.counter.Take()
		c.mu.Unlock()
		if len(taken) > 0 {
			c.append(ctx, &pace, taken)
		}
		c.mu.Lock()
		if c.counter.Empty() && !isClosed(c.idle) {
			close(c.idle)
		}
		c.mu.Unlock()
	}
}

// append tries until the counts are in the log, or too old for any report.
func (c *Counts) append(ctx context.Context, pace *usage.Pace, taken []usage.WindowCounts) {
	c.number++
	data, err := usage.Encode(usage.Record{Counted: &usage.Counted{Writer: c.writer, Number: c.number, Windows: taken}})
	if err != nil {
		c.options.Logger.Error().Err(err).Int64("number", c.number).Msg("counts not encoded, lost")
		return
	}
	for try := 1; ctx.Err() == nil; try++ {
		began := c.options.Now()
		_, err := store.AppendRepeatable(ctx, c.options.Log, usageTopic, usagePart, [][]byte{data}, try)
		pace.Appended(began, err == nil)
		if err == nil {
			countsAppended.Add(1)
			return
		}
		countsFailed.Add(1)
		c.line(err).Err(err).Int64("number", c.number).Int64("window", taken[0].Window).Int("try", try).Msg("counts not appended")
		if errors.Is(err, store.ErrRejected) || c.tooOld(taken) {
			c.options.Logger.Error().Int64("number", c.number).Int64("window", taken[0].Window).Msg("counts lost: too late for their report")
			return
		}
		pause.For(ctx, countsBackoff.Pause(try, rand.Float64()))
	}
}

func (c *Counts) line(err error) *zerolog.Event {
	if errors.Is(err, store.ErrNotDone) {
		return c.options.Logger.Info()
	}
	return c.options.Logger.Warn()
}

// tooOld reports whether nobody reports any of these windows any more.
func (c *Counts) tooOld(taken []usage.WindowCounts) bool {
	newest := taken[len(taken)-1].Window
	return c.options.Clock().Sub(c.options.Usage.Windows.End(newest)) > c.options.Usage.Keep()
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
