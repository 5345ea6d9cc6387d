package batchrun

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

const (
	// outboxRetry is the wait after an append that failed. An outage of the store
	// lasts seconds; its end is felt this much later at most.
	outboxRetry = 150 * time.Millisecond
	// outboxCallBytes bounds one append, well below what the store takes.
	outboxCallBytes = 1 << 20
)

var outboxAppends = metrics.Counter("batches_appends")

// outbox appends an owner's records to its partition, in order. A record whose
// append had no answer is appended again: every record of a running batch counts
// once however often it stands in the log.
type outbox struct {
	log   store.Log
	part  int
	line  zerolog.Logger
	ready chan struct{}

	mu      sync.Mutex
	queue   [][]byte
	pending int // records taken from the queue and not yet appended
}

func newOutbox(log store.Log, part int, line zerolog.Logger) *outbox {
	return &outbox{log: log, part: part, line: line, ready: make(chan struct{}, 1)}
}

// add queues a record.
func (o *outbox) add(record any) {
	data, err := batch.Encode(record)
	if err != nil {
		o.line.Error().Err(err).Int("part", o.part).Msg("record not written")
		return
	}
	o.mu.Lock()
	o.queue = append(o.queue, data)
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take returns the next records for one append.
func (o *outbox) take() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(o.queue) && (n == 0 || size+len(o.queue[n]) <= outboxCallBytes) {
		size += len(o.queue[n])
		n++
	}
	records := o.queue[:n:n]
	o.queue = o.queue[n:]
	o.pending = n
	return records
}

func (o *outbox) done() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = 0
}

func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) == 0 && o.pending == 0
}

// run appends until the context ends.
func (o *outbox) run(ctx context.Context) {
	for {
		records := o.take()
		if len(records) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-o.ready:
			}
			continue
		}
		o.append(ctx, records)
		o.done()
		if ctx.Err() != nil {
			return
		}
	}
}

func (o *outbox) append(ctx context.Context, records [][]byte) {
	for try := 1; ctx.Err() == nil; try++ {
		outboxAppends.Add(1)
		_, err := o.log.Append(ctx, batchTopic, o.part, records)
		if err == nil {
			return
		}
		if errors.Is(err, store.ErrRejected) {
			o.line.Error().Err(err).Int("part", o.part).Int("records", len(records)).Msg("records dropped: the store won't take them")
			return
		}
		o.line.Warn().Err(err).Int("part", o.part).Int("records", len(records)).Int("try", try).Msg("append failed, trying again")
		pause(ctx, outboxRetry)
	}
}

// flushPoll is the pause between two looks at an outbox that is to run empty.
const flushPoll = 10 * time.Millisecond

// flush waits until everything is appended or the context ends.
func (o *outbox) flush(ctx context.Context) {
	for !o.empty() && ctx.Err() == nil {
		pause(ctx, flushPoll)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
