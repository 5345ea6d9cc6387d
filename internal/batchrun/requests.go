package batchrun

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
)

// requestsPause follows a read of requests that failed. Without it an owner whose
// partition the store refuses asks hundreds of times a second, also for the others' share
// of its rate.
const requestsPause = 100 * time.Millisecond

// requestsLocked returns the requests of a batch's samples, nil while they are
// read from the log.
func (r *runner) requestsLocked(ctx context.Context, b *batch.Batch) []batch.Request {
	requests, asked := r.requests[b.ID]
	if asked {
		return requests
	}
	r.requests[b.ID] = nil
	head, id, samples := b.Head, b.ID, len(b.Samples)
	r.tasks.Go(func() { r.readRequests(ctx, id, head, samples) })
	return nil
}

func (r *runner) readRequests(ctx context.Context, id string, head batch.Head, samples int) {
	var offsets []int64
	for i := range head.RequestCounts {
		offsets = append(offsets, head.RequestsAt+int64(i))
	}
	found, err := r.s.blobs.get(ctx, r.partition.number, offsets, nil)
	var requests []batch.Request
	for _, at := range offsets {
		if err != nil {
			break
		}
		var list []batch.Request
		if list, err = batch.UnpackRequests(found[at]); err == nil {
			requests = append(requests, list...)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	if err != nil || len(requests) != samples {
		r.log.Warn().Err(err).Str("batch", id).Int("requests", len(requests)).Int("samples", samples).Msg("requests not read, trying again")
		time.AfterFunc(requestsPause, func() { r.forgetRequests(id) })
		return
	}
	r.requests[id] = requests
}

// forgetRequests lets the next look read a batch's requests again.
func (r *runner) forgetRequests(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[id] == nil {
		delete(r.requests, id)
	}
	r.wake()
}
