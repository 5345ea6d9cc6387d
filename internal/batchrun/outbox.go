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

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// outboxRetry is between the beginnings of two tries of an append. An outage of the
	// store lasts seconds; its end is felt this much later at most. A store that resets
	// connections fails a try within a ms: without it an owner made 300 calls and as
	// many log lines a second.
	outboxRetry = 150 * time.Millisecond
	// outboxCallBytes bounds one append, well below what the store takes.
	outboxCallBytes = 1 << 20
	// recordBytes is what a record beside its blob counts in an append.
	recordBytes = 256
)

var outboxAppends = metrics.Counter("batches_appends")

// entry is a record to append. With a blob it can be made only when the blob's
// offset is known.
type entry struct {
	blob   []byte
	record func(at int64) any
}

// outbox appends an owner's records to its partition, in order. A record whose
// append had no answer is appended again: every record of a running batch counts
// once however often it stands in the log.
type outbox struct {
	log   store.Log
	blobs *blobs
	part  int
	line  zerolog.Logger
	ready chan struct{}

	mu    sync.Mutex
	queue []entry
	busy  bool // entries were taken and aren't in the log yet
}

func newOutbox(log store.Log, blobs *blobs, part int, line zerolog.Logger) *outbox {
	return &outbox{log: log, blobs: blobs, part: part, line: line, ready: make(chan struct{}, 1)}
}

// add queues a record without a blob.
func (o *outbox) add(record any) { o.push(entry{record: func(int64) any { return record }}) }

// addText queues a record that names the blob with the events' text.
func (o *outbox) addText(events []batch.Event, record func(batch.Segment) any) {
	blob, err := batch.PackText(events)
	if err != nil {
		o.line.Error().Err(err).Int("part", o.part).Msg("text not written")
		return
	}
	runs := batch.VersionRuns(events)
	o.push(entry{blob: blob, record: func(at int64) any {
		return record(batch.Segment{At: at, Events: len(events), Versions: runs})
	}})
}

func (o *outbox) push(e entry) {
	o.mu.Lock()
	o.queue = append(o.queue, e)
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take returns the next entries for one append.
func (o *outbox) take() []entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(o.queue) && (n == 0 || size+len(o.queue[n].blob)+recordBytes <= outboxCallBytes) {
		size += len(o.queue[n].blob) + recordBytes
		n++
	}
	entries := o.queue[:n:n]
	o.queue = o.queue[n:]
	o.busy = n > 0
	return entries
}

func (o *outbox) done() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy = false
}

func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) == 0 && !o.busy
}

// run appends until the context ends.
func (o *outbox) run(ctx context.Context) {
	for ctx.Err() == nil {
		entries := o.take()
		if len(entries) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-o.ready:
			}
			continue
		}
		o.write(ctx, entries)
		o.done()
	}
}

// write appends the blobs and then the records that name them.
func (o *outbox) write(ctx context.Context, entries []entry) {
	var texts [][]byte
	for _, e := range entries {
		if e.blob != nil {
			texts = append(texts, e.blob)
		}
	}
	at, ok := o.append(ctx, textTopic, texts)
	if !ok {
		return
	}
	for i, blob := range texts {
		o.blobs.put(o.part, at+int64(i), blob)
	}
	var records [][]byte
	for _, e := range entries {
		data, err := batch.Encode(e.record(at))
		if err != nil {
			o.line.Error().Err(err).Int("part", o.part).Msg("record not written")
			continue
		}
		records = append(records, data)
		if e.blob != nil {
			at++
		}
	}
	o.append(ctx, batchTopic, records)
}

// append tries until the records are in the log, the store rejects them for good,
// or the context ends.
func (o *outbox) append(ctx context.Context, topic string, records [][]byte) (at int64, ok bool) {
	if len(records) == 0 {
		return 0, true
	}
	for try := 1; ctx.Err() == nil; try++ {
		outboxAppends.Add(1)
		next := time.NewTimer(outboxRetry)
		at, err := store.AppendRepeatable(ctx, o.log, topic, o.part, records, try)
		if err == nil {
			next.Stop()
			return at, true
		}
		if errors.Is(err, store.ErrRejected) {
			next.Stop()
			o.line.Error().Err(err).Int("part", o.part).Int("records", len(records)).Msg("records dropped: the store won't take them")
			return 0, false
		}
		o.line.Warn().Err(err).Str("topic", topic).Int("part", o.part).Int("records", len(records)).Int("try", try).
			Msg("append failed, trying again")
		select {
		case <-ctx.Done():
		case <-next.C:
		}
	}
	return 0, false
}

// flushPoll is the pause between two looks at an outbox that is to run empty.
const flushPoll = 10 * time.Millisecond

// flush waits until everything is appended or the context ends.
func (o *outbox) flush(ctx context.Context) {
	for !o.empty() && ctx.Err() == nil {
		pause.For(ctx, flushPoll)
	}
}
