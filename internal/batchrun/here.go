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

// Here answers for the batches of the partitions that this daemon follows. Other
// daemons' calls are passed to it.
type Here struct{ s *Service }

// Here returns what answers other daemons.
func (s *Service) Here() Here { return Here{s} }

// confirmWait bounds a read that confirms a view. It is told "unsure" after it.
const confirmWait = 800 * time.Millisecond

// Locate tells whether a batch is in a partition that is followed here. With confirm the
// partitions without it are brought up to date first, so that what they lack is certain.
func (h Here) Locate(ctx context.Context, id string, confirm bool) locate.Answer {
	if h.s.partitionForBatch(id) != nil || !confirm {
		return locate.Answer{Found: h.s.partitionForBatch(id) != nil}
	}
	confirmed := h.confirm(ctx, h.s.loadedParts())
	if h.s.partitionForBatch(id) != nil {
		return locate.Answer{Found: true}
	}
	return locate.Answer{Confirmed: confirmed}
}

// confirm brings views up to date and returns the partitions for which that was done.
func (h Here) confirm(ctx context.Context, parts []*partition) []int {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	var (
		work errgroup.Group
		mu   sync.Mutex
		done []int
	)
	for _, p := range parts {
		work.Go(func() error {
			defer p.follower.Hold()()
			if p.follower.Await(ctx) != nil || p.follower.CatchUp(ctx) != nil {
				return nil // not confirmed
			}
			mu.Lock()
			defer mu.Unlock()
			done = append(done, p.number)
			return nil
		})
	}
	_ = work.Wait() // none of them returns an error
	slices.Sort(done)
	return done
}

// loadedParts returns the partitions whose views are whole.
func (s *Service) loadedParts() []*partition {
	var out []*partition
	for _, p := range s.partitions {
		if p.follower.Loaded() {
			out = append(out, p)
		}
	}
	return out
}

// errNotHeld: the batch isn't, or no longer, in a partition that is followed here.
var errNotHeld = errors.New("partition not followed here")

// take returns the partition of a batch, held until release.
func (h Here) take(id string) (p *partition, release func(), err error) {
	if p = h.s.partitionForBatch(id); p == nil {
		return nil, nil, errors.Join(ErrUnsure, errNotHeld)
	}
	return p, p.follower.Hold(), nil
}

// End ends a batch; ending it again changes nothing. Errors: ErrUnsure, ErrNotRun, ErrUnknown.
func (h Here) End(ctx context.Context, id string) error {
	p, release, err := h.take(id)
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
	err = h.s.appendOnce(ctx, p, [][]byte{data}, ended)
	h.s.options.Logger.Info().Str("batch", id).Err(err).Msg("batch ended by its trainer")
	return err
}
