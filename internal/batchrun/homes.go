package batchrun

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// homes knows the partition of each model, and the samples of its batches. Every daemon
// follows this topic, so nothing that grows with the upstreams or their loads is written
// there. It has keys: the newest record of a model outlives the log's retention. It is safe
// for concurrent use.
type homes struct {
	options  Options
	follower *follow.Follower

	mu   sync.Mutex
	fold *loads.Homes
}

func newHomes(o Options) *homes {
	h := &homes{options: o, fold: loads.NewHomes(o.Parts)}
	always := func() bool { return true } // models are few and seldom new
	h.follower = follow.New(follow.Options{Log: o.Log, Topic: homesTopic, Keyed: true, Sink: h, Relaxed: always, Now: o.Now, Logger: o.Logger})
	return h
}

// Reset takes the newest record of each model.
func (h *homes) Reset(entries []store.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fold = loads.NewHomes(h.options.Parts)
	for _, e := range entries {
		h.takeLocked(e.Offset, e.Value)
	}
}

// Record takes one record.
func (h *homes) Record(offset int64, data []byte) {
	_, value, err := store.DecodeEntry(data)
	if err != nil {
		h.options.Logger.Error().Err(err).Int64("offset", offset).Msg("partition of a model skipped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeLocked(offset, value)
}

// Gap is never called: the topic has keys.
func (h *homes) Gap(int64) {}

func (h *homes) takeLocked(offset int64, value []byte) {
	if len(value) == 0 {
		return // a model keeps its partition for good
	}
	home, err := loads.DecodeHome(value)
	if err != nil {
		h.options.Logger.Error().Err(err).Int64("offset", offset).Msg("partition of a model skipped")
		return
	}
	h.fold.Apply(home)
}

// of returns a model's partition.
func (h *homes) of(model string) (part int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fold.Of(model)
}

// parts returns the partitions that models have, sorted.
func (h *homes) parts() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fold.Parts()
}

// demand returns the samples of a batch of each model.
func (h *homes) demand() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fold.Demand()
}

// settleTries bounds the appends that met another daemon's record.
const settleTries = 12

var errNoHome = errors.New("no partition could be assigned to the model")

// settle gives a model a partition unless it has one; samples are those of its batch, 0
// if it has none yet. The append is conditional: two daemons that meet a new model at once
// agree on one record's partition.
func (h *homes) settle(ctx context.Context, model string, samples int) (int, error) {
	var err error
	for range settleTries {
		if part, ok := h.of(model); ok {
			return part, nil
		}
		next := h.follower.Next()
		h.mu.Lock()
		home := h.fold.Next(model)
		h.mu.Unlock()
		home.Samples = samples
		var record []byte
		if record, err = encodeHome(home); err != nil {
			return 0, err
		}
		if _, err = h.options.Log.AppendAt(ctx, homesTopic, 0, next, [][]byte{record}); errors.Is(err, store.ErrNotDone) {
			return 0, err
		}
		if err := h.follower.CatchUp(ctx); err != nil {
			return 0, err
		}
	}
	return 0, errors.Join(errNoHome, err)
}

func encodeHome(home loads.Home) ([]byte, error) {
	value, err := loads.EncodeHome(home)
	if err != nil {
		return nil, err
	}
	return store.EncodeEntry(home.Model, value)
}

// note writes down how many samples the batches of a model have.
func (h *homes) note(ctx context.Context, home loads.Home) error {
	record, err := encodeHome(home)
	if err != nil {
		return err
	}
	_, err = store.AppendRepeatable(ctx, h.options.Log, homesTopic, 0, [][]byte{record}, 1)
	return err
}

// differs reports whether a record would change what is known of a model's batches.
func (h *homes) differs(home loads.Home) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fold.Differs(home)
}

// demandInterval is between two notes of a model's demand by its owner: each one divides
// the engines anew.
const demandInterval = 45 * time.Second

// noteDemandLocked writes down what a model's batches need, if that has changed.
func (r *runner) noteDemandLocked(ctx context.Context, model string) {
	home := loads.Home{Model: model, Part: r.part.number, Samples: r.part.batchSize(model)}
	now := r.s.options.Now()
	if now < r.noteAt[model] || !r.s.homes.differs(home) {
		return
	}
	r.noteAt[model] = now + demandInterval
	r.work.Go(func() {
		if err := r.s.homes.note(ctx, home); err != nil {
			r.log.Warn().Err(err).Str("model", model).Int("samples", home.Samples).Msg("samples of the model's batches not written down")
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
		part, err := r.s.homes.settle(ctx, model, 0)
		r.log.Info().Str("model", model).Int("home", part).Err(err).Msg("model has weights and no batch yet")
		r.mu.Lock()
		r.settling = false
		r.mu.Unlock()
	})
}
