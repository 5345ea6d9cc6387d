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

// appendBackoff is the delay after failed appends of counts.
var appendBackoff = retry.Backoff{Initial: 100 * time.Millisecond, Max: 800 * time.Millisecond}

var (
	requestsCounted = metrics.Counter("usage_requests_counted")
	countsAppended  = metrics.Counter("usage_appends")
	countsFailed    = metrics.Counter("usage_appends_failed")
)

// UsageRecorderOptions configures the counting of usage.
type UsageRecorderOptions struct {
	Log    store.Log
	Usage  *usage.Timing        // the windows and their retention, nil: nothing is counted
	Now    func() time.Duration // monotonic clock, also advances while the VM is suspended
	Clock  func() time.Time     // wall clock
	Logger zerolog.Logger
}

// UsageRecorder counts the customers' requests that upstreams started to run for this daemon, and
// appends the counts to the duties' log. It is safe for concurrent use.
type UsageRecorder struct {
	options UsageRecorderOptions
	writer  string        // identifies this process in the log
	ready   chan struct{} // receives a value when there are new counts

	mu      sync.Mutex
	counter *usage.Counter
	flushed chan struct{} // closed while no counts await their append

	// Used by Run alone.
	sequence    int64               // of the last record
	unconfirmed []unconfirmedRecord // oldest first
}

// NewUsageRecorder returns an instance without counts.
func NewUsageRecorder(o UsageRecorderOptions) *UsageRecorder {
	c := &UsageRecorder{options: o, writer: uuid.NewString(), ready: make(chan struct{}, 1), flushed: make(chan struct{})}
	close(c.flushed)
	if o.Usage != nil {
		c.counter = usage.NewCounter(o.Usage.Windows)
	}
	return c
}

// RecordRun counts a request of a customer. ago is the time since the request started to run. It
// doesn't block.
func (c *UsageRecorder) RecordRun(customer string, ago time.Duration) {
	if c.counter == nil {
		return
	}
	requestsCounted.Add(1)
	c.mu.Lock()
	if c.counter.Empty() && isClosed(c.flushed) {
		c.flushed = make(chan struct{})
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
func (c *UsageRecorder) Run(ctx context.Context) {
	var pacer usage.AppendPacer
	for failures := 0; ; {
		if len(c.unconfirmed) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-c.ready:
			}
		}
		wait := pacer.NextStart() - c.options.Now()
		pause.For(ctx, max(wait, appendBackoff.Delay(failures, rand.Float64())))
		if ctx.Err() != nil {
			return
		}
		c.encodePending()
		began := c.options.Now()
		ok := c.appendUnconfirmed(ctx, failures+1)
		pacer.RecordAppend(began, ok)
		failures++
		if ok {
			failures = 0
		}
		c.signalFlushed()
	}
}

// unconfirmedRecord is a record that isn't known to be in the log.
type unconfirmedRecord struct {
	data   []byte
	newest int64 // newest window with counts in the record
}

// maxUnconfirmed limits the records that await confirmation. The next append includes the
// counts since the last one as a record of its own. They can't be added to an earlier record,
// which may be in the log already, and if they waited until an append whose answer was lost
// is confirmed, they would be too late for their report.
const maxUnconfirmed = 16

// encodePending makes a record of the counts since the last record.
func (c *UsageRecorder) encodePending() {
	if len(c.unconfirmed) == maxUnconfirmed {
		return
	}
	c.mu.Lock()
	windows := c.counter.Take()
	c.mu.Unlock()
	if len(windows) == 0 {
		return
	}
	c.sequence++
	data, err := logRecord{Usage: &usage.Record{Counted: &usage.Counted{Writer: c.writer, Sequence: c.sequence, Windows: windows}}}.encode(c.options.Clock())
	if err != nil {
		c.options.Logger.Error().Err(err).Int64("number", c.sequence).Msg("counts lost: can't encode them")
		return
	}
	c.unconfirmed = append(c.unconfirmed, unconfirmedRecord{data, windows[len(windows)-1].Window})
}

// appendUnconfirmed appends the unconfirmed records in one call. attempt counts from 1. It
// reports false if the append must be repeated.
func (c *UsageRecorder) appendUnconfirmed(ctx context.Context, attempt int) bool {
	c.dropExpired()
	if len(c.unconfirmed) == 0 {
		return true
	}
	var data [][]byte
	for _, r := range c.unconfirmed {
		data = append(data, r.data)
	}
	_, err := store.AppendIdempotent(ctx, c.options.Log, topic, part, data, min(attempt, maxTimeoutAttempt))
	if err == nil {
		countsAppended.Add(1)
		c.unconfirmed = nil
		return true
	}
	countsFailed.Add(1)
	c.logEvent(err).Err(err).Int64("number", c.sequence).Int("records", len(data)).Int64("window", c.unconfirmed[0].newest).Int("try", attempt).Msg("counts not appended")
	if errors.Is(err, store.ErrRejected) {
		c.options.Logger.Error().Int64("number", c.sequence).Int("records", len(data)).Msg("counts lost: the store won't take them")
		c.unconfirmed = nil
		return true
	}
	return false
}

// maxTimeoutAttempt is the last attempt that doubles the timeout of an append. It keeps the
// timeout short, because the next attempt also appends the counts made in the meantime.
const maxTimeoutAttempt = 2

// logEvent returns a log line for a failed append. Its level is info if the store refused the
// append, and warn otherwise.
func (c *UsageRecorder) logEvent(err error) *zerolog.Event {
	if errors.Is(err, store.ErrNotDone) {
		return c.options.Logger.Info()
	}
	return c.options.Logger.Warn()
}

// dropExpired drops the counts of windows that are no longer reported. Without it, counts
// would accumulate without bound during an outage of hours.
func (c *UsageRecorder) dropExpired() {
	now := c.options.Clock()
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r unconfirmedRecord) bool {
		expired := now.Sub(c.options.Usage.Windows.End(r.newest)) > c.options.Usage.Retention()
		if expired {
			c.options.Logger.Error().Int64("window", r.newest).Msg("counts lost: too late for their report")
		}
		return expired
	})
	c.mu.Lock()
	dropped := c.counter.DropBefore(c.options.Usage.Windows.IndexAt(now.Add(-c.options.Usage.Retention())))
	c.mu.Unlock()
	if dropped > 0 {
		c.options.Logger.Error().Int("windows", dropped).Msg("counts lost: too late for their report")
	}
}

// signalFlushed closes flushed if no counts await their append.
func (c *UsageRecorder) signalFlushed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counter.Empty() && len(c.unconfirmed) == 0 && !isClosed(c.flushed) {
		close(c.flushed)
	}
}

// Drain waits until Run has appended all counts, or dropped them, or the context ends.
func (c *UsageRecorder) Drain(ctx context.Context) {
	c.mu.Lock()
	flushed := c.flushed
	c.mu.Unlock()
	select {
	case <-flushed:
	case <-ctx.Done():
		c.options.Logger.Warn().Msg("usage counts not appended before the shutdown timeout")
	}
}
