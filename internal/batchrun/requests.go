package batchrun

import (
	"context"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
)

// requestsLocked returns the requests of a batch's samples, nil while they are
// read from the log.
func (r *runner) requestsLocked(ctx context.Context, b *batch.Batch) []batch.Request {
	requests, asked := r.requests[b.ID]
	if asked {
		return requests
	}
	r.requests[b.ID] = nil
	head, id, samples := b.Head, b.ID, len(b.Samples)
	r.work.Go(func() { r.readRequests(ctx, id, head, samples) })
	return nil
}

func (r *runner) readRequests(ctx context.Context, id string, head batch.Head, samples int) {
	var offsets []int64
	for i := range head.RequestCounts {
		offsets = append(offsets, head.RequestsAt+int64(i))
	}
	found, err := r.s.blobs.get(ctx, r.part.number, offsets)
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
		delete(r.requests, id)
		return
	}
	r.requests[id] = requests
}
