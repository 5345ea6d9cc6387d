package batchrun

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/loads"
)

// homeInterval is between two records of a model's partition by its owner, well below
// the minutes for which the log keeps records.
const homeInterval = 45 * time.Second

// renewHomeLocked writes a model's partition down again. A VM that starts when the
// first record has expired would give the model another one.
func (r *runner) renewHomeLocked(ctx context.Context, model string) {
	now := r.s.options.Now()
	if now < r.renewAt[model] {
		return
	}
	r.renewAt[model] = now + homeInterval
	home := loads.Home{Model: model, Part: r.part.number, Samples: r.part.batchSize(model)}
	r.work.Go(func() {
		if err := r.s.orders.tell(ctx, loads.Record{Home: &home}); err != nil {
			r.log.Warn().Err(err).Str("model", model).Msg("partition of the model not written down again")
		}
	})
}

// settleLocked gives a model whose weights were published before its first batch a
// partition, so that somebody loads them. The owner of partition 0 does it.
func (r *runner) settleLocked(ctx context.Context, model string) {
	if r.settling {
		return
	}
	r.settling = true
	r.work.Go(func() {
		part, err := r.s.orders.settle(ctx, model, 0)
		r.log.Info().Str("model", model).Int("home", part).Err(err).Msg("model has weights and no batch yet")
		r.mu.Lock()
		r.settling = false
		r.mu.Unlock()
	})
}
