package batchrun

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// outboxRetryInterval is the time between the starts of two attempts of an append. An
	// outage of the store lasts seconds, and appends resume at most this long after its end.
	// When the store resets connections an attempt fails within 1 ms; without the interval
	// an owner made 300 calls and wrote as many log lines a second.
	outboxRetryInterval = 150 * time.Millisecond
	// outboxAppendBytes bounds the size of one append, well below the store's limit.
	outboxAppendBytes = 1 << 20
	// recordOverhead is the size in bytes that a record is assumed to add to its blob's.
	recordOverhead = 256
)

var outboxAppends = metrics.Counter("batches_appends")

// outboxEntry is a record to append. If it refers to a blob, it can be made only once the
// blob is appended and its offset is known.
type outboxEntry struct {
	blob   []byte                 // nil for none
	record func(offset int64) any // takes the blob's offset, which has no meaning without a blob
	lease  *membudget.Lease       // on the blob's memory, until it is in the log or dropped
}

// outbox appends an owner's records to its partition, in order. If an append isn't answered it
// is repeated: each record of a running batch has the same effect however often it is in the
// log. It is safe for concurrent use.
type outbox struct {
	log    store.Log
	blobs  *blobCache
	part   int // number of the partition
	logger zerolog.Logger
	ready  chan struct{} // signals that the queue isn't empty

	mu        sync.Mutex
	queue     []outboxEntry
	appending bool // entries were taken from the queue and may not be in the log yet
}

func newOutbox(log store.Log, blobs *blobCache, part int, logger zerolog.Logger) *outbox {
	return &outbox{log: log, blobs: blobs, part: part, logger: logger, ready: make(chan struct{}, 1)}
}

// add queues a record without a blob.
func (o *outbox) add(record any) { o.enqueue(outboxEntry{record: func(int64) any { return record }}) }

// addText queues a blob with the events' text and a record that refers to it. lease returns the lease
// on the memory of a blob of so many bytes, which takes the place of the events.
func (o *outbox) addText(events []batch.Event, lease func(blobBytes int64) *membudget.Lease, record func(batch.Segment) any) {
	blob, err := batch.PackText(events)
	held := lease(int64(len(blob)))
	if err != nil {
		held.Release()
		o.logger.Error().Err(err).Int("part", o.part).Msg("failed to encode a text; its record is dropped")
		return
	}
	runs := batch.VersionRuns(events)
	n := len(events)
	o.enqueue(outboxEntry{blob: blob, lease: held, record: func(offset int64) any {
		return record(batch.Segment{Offset: offset, Events: n, Versions: runs})
	}})
}

func (o *outbox) enqueue(e outboxEntry) {
	o.mu.Lock()
	o.queue = append(o.queue, e)
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// takeEntries removes the entries for the next append from the queue and returns them.
func (o *outbox) takeEntries() []outboxEntry {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(o.queue) && (n == 0 || size+len(o.queue[n].blob)+recordOverhead <= outboxAppendBytes) {
		size += len(o.queue[n].blob) + recordOverhead
		n++
	}
	entries := o.queue[:n:n]
	o.queue = o.queue[n:]
	o.appending = n > 0
	return entries
}

// markAppended notes that the taken entries are in the log or dropped.
func (o *outbox) markAppended() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.appending = false
}

// isEmpty reports whether no entry is queued or being appended.
func (o *outbox) isEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) == 0 && !o.appending
}

// run appends queued entries until the context ends.
func (o *outbox) run(ctx context.Context) {
	for ctx.Err() == nil {
		entries := o.takeEntries()
		if len(entries) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-o.ready:
			}
			continue
		}
		o.appendEntries(ctx, entries)
		releaseLeases(entries)
		o.markAppended()
	}
}

func releaseLeases(entries []outboxEntry) {
	for _, e := range entries {
		e.lease.Release()
	}
}

// discard drops the queued entries. It is called when run has returned.
func (o *outbox) discard() {
	o.mu.Lock()
	defer o.mu.Unlock()
	releaseLeases(o.queue)
	o.queue = nil
}

// appendEntries appends the entries' blobs, and then the records that refer to them.
func (o *outbox) appendEntries(ctx context.Context, entries []outboxEntry) {
	var blobs [][]byte
	for _, e := range entries {
		if e.blob != nil {
			blobs = append(blobs, e.blob)
		}
	}
	offset, ok := o.appendRecords(ctx, textTopic, blobs)
	if !ok {
		return
	}
	for i, blob := range blobs {
		o.blobs.put(o.part, offset+int64(i), blob)
	}
	var records [][]byte
	for _, e := range entries {
		data, err := batch.Encode(e.record(offset))
		if err != nil {
			o.logger.Error().Err(err).Int("part", o.part).Msg("failed to encode a record; it is dropped")
			continue
		}
		records = append(records, data)
		if e.blob != nil {
			offset++
		}
	}
	o.appendRecords(ctx, batchTopic, records)
}

// appendRecords appends records to a topic of the partition and returns the first one's offset.
// It retries until the store accepts or rejects them or the context ends; ok is false unless
// they were accepted.
func (o *outbox) appendRecords(ctx context.Context, topic string, records [][]byte) (offset int64, ok bool) {
	if len(records) == 0 {
		return 0, true
	}
	for attempt := 1; ctx.Err() == nil; attempt++ {
		outboxAppends.Add(1)
		next := time.NewTimer(outboxRetryInterval)
		offset, err := store.AppendIdempotent(ctx, o.log, topic, o.part, records, attempt)
		if err == nil {
			next.Stop()
			return offset, true
		}
		if errors.Is(err, store.ErrRejected) {
			next.Stop()
			o.logger.Error().Err(err).Int("part", o.part).Int("records", len(records)).Msg("store rejected records; they are dropped")
			return 0, false
		}
		o.logger.Warn().Err(err).Str("topic", topic).Int("part", o.part).Int("records", len(records)).Int("try", attempt).
			Msg("append failed, trying again")
		select {
		case <-ctx.Done():
		case <-next.C:
		}
	}
	return 0, false
}

// flushPollInterval is how often flush checks whether the outbox is empty.
const flushPollInterval = 10 * time.Millisecond

// flush waits until all queued records are appended or the context ends.
func (o *outbox) flush(ctx context.Context) {
	for !o.isEmpty() && ctx.Err() == nil {
		pause.For(ctx, flushPollInterval)
	}
}
