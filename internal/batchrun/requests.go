package batchrun

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
)

// batchRequests are the requests of an open batch, with the lease on their memory.
type batchRequests struct {
	list  []batch.Request // nil while they are read
	lease *membudget.Lease
}

// requestCopies is how often a request is in memory while its batch is read: in its blob and decoded.
const requestCopies = 2

// requestsRetryDelay is the wait after a failed read of requests. Without it an owner would
// retry hundreds of times a second while the store refuses its partition, and use up the rate
// limit that all daemons share.
const requestsRetryDelay = 100 * time.Millisecond

// requestsLocked returns the requests of a batch's samples. At the first call it starts to read
// them from the log in the background; until they are read it returns nil.
func (r *runner) requestsLocked(ctx context.Context, b *batch.Batch) []batch.Request {
	requests, started := r.requests[b.ID]
	if started {
		return requests.list
	}
	r.requests[b.ID] = batchRequests{}
	head, id, samples := b.Header, b.ID, len(b.Samples)
	r.tasks.Go(func() { r.readRequests(ctx, id, head, samples) })
	return nil
}

// readRequests reads the requests of a batch from their blobs. samples is the number of samples
// in the batch.
func (r *runner) readRequests(ctx context.Context, id string, head batch.Header, samples int) {
	var offsets []int64
	for i := range head.RequestCounts {
		offsets = append(offsets, head.RequestsOffset+int64(i))
	}
	reserved := int64(min(len(offsets)*r.s.options.RecordBytes, r.s.options.CallBytes)) * requestCopies
	lease, ok := r.s.options.RequestMemory.Acquire(reserved)
	var blobs map[int64][]byte
	err := error(membudget.ErrNoRoom)
	if ok {
		blobs, err = r.s.blobs.get(ctx, r.partition.number, offsets, nil)
	}
	var requests []batch.Request
	for _, offset := range offsets {
		if err != nil {
			break
		}
		var list []batch.Request
		if list, err = batch.UnpackRequests(blobs[offset]); err == nil {
			requests = append(requests, list...)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	if err != nil || len(requests) != samples {
		r.log.Warn().Err(err).Str("batch", id).Int("requests", len(requests)).Int("samples", samples).Msg("failed to read a batch's requests; retrying")
		lease.Release()
		time.AfterFunc(requestsRetryDelay, func() { r.forgetRequests(id) })
		return
	}
	if _, wanted := r.requests[id]; !wanted || r.stopping {
		lease.Release()
		return
	}
	lease.Shrink(reserved - int64(bytesOf(blobs)))
	r.requests[id] = batchRequests{requests, lease}
}

// dropRequestsLocked drops the requests of a batch.
func (r *runner) dropRequestsLocked(id string) {
	r.requests[id].lease.Release()
	delete(r.requests, id)
}

// forgetRequests makes the next reconcile pass read a batch's requests again.
func (r *runner) forgetRequests(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[id].list == nil {
		delete(r.requests, id)
	}
	r.wake()
}
