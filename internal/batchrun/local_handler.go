package batchrun

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/locate"
)

// LocalHandler handles calls about the batches in the partitions that this daemon follows. Other
// daemons forward their calls to it.
type LocalHandler struct{ s *Service }

// LocalHandler returns the handler of calls that other daemons forward to this one.
func (s *Service) LocalHandler() LocalHandler { return LocalHandler{s} }

// confirmTimeout bounds a read that brings a view up to date. If it is exceeded the answer is
// ErrUnsure.
const confirmTimeout = 800 * time.Millisecond

// Locate reports whether a batch is in a partition that this daemon follows. If it isn't and
// confirm is set, the loaded views are brought up to date first, and the answer lists the
// partitions that certainly don't have the batch.
func (h LocalHandler) Locate(ctx context.Context, id string, confirm bool) locate.Answer {
	if h.s.partitionForBatch(id) != nil || !confirm {
		return locate.Answer{Found: h.s.partitionForBatch(id) != nil}
	}
	confirmed := h.catchUp(ctx, h.s.loadedPartitions())
	if h.s.partitionForBatch(id) != nil {
		return locate.Answer{Found: true}
	}
	return locate.Answer{Confirmed: confirmed}
}

// catchUp brings the views of partitions up to date. It returns the numbers of those for which
// that succeeded, sorted.
func (h LocalHandler) catchUp(ctx context.Context, parts []*partition) []int {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var (
		g         errgroup.Group
		mu        sync.Mutex
		confirmed []int
	)
	for _, p := range parts {
		g.Go(func() error {
			defer p.follower.Hold()()
			if p.follower.WaitLoaded(ctx) != nil || p.follower.CatchUp(ctx) != nil {
				return nil // not confirmed
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, p.number)
			return nil
		})
	}
	_ = g.Wait() // none of them returns an error
	slices.Sort(confirmed)
	return confirmed
}

// loadedPartitions returns the partitions whose views are loaded.
func (s *Service) loadedPartitions() []*partition {
	var out []*partition
	for _, p := range s.partitions {
		if p.follower.Loaded() {
			out = append(out, p)
		}
	}
	return out
}

// errNotFollowed means that this daemon doesn't follow the batch's partition, or no longer
// does.
var errNotFollowed = errors.New("partition not followed on this daemon")

// holdPartition returns a batch's partition and holds its view until release is called.
func (h LocalHandler) holdPartition(id string) (p *partition, release func(), err error) {
	if p = h.s.partitionForBatch(id); p == nil {
		return nil, nil, errors.Join(ErrUnsure, errNotFollowed)
	}
	return p, p.follower.Hold(), nil
}

// End ends a batch; ending it again has no effect. Errors: ErrUnsure, ErrNotRun, ErrUnknown.
func (h LocalHandler) End(ctx context.Context, id string) error {
	p, release, err := h.holdPartition(id)
	if err != nil {
		return err
	}
	defer release()
	ended := func() bool {
		out := false
		p.withBatch(id, func(b *batch.Batch) { out = b != nil && b.Ended })
		return out
	}
	if ended() {
		return nil
	}
	data, err := batch.Encode(batch.Ended{Batch: id})
	if err != nil {
		return err
	}
	err = h.s.appendRepeatable(ctx, p, [][]byte{data}, ended)
	h.s.options.Logger.Info().Str("batch", id).Err(err).Msg("batch ended by its trainer")
	return err
}
