package batchrun

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// grant carries a wish out if this VM claimed the engine last. Wishes that were
// read while catching up are old: whoever made one asks again.
func (x *orders) grant(w loads.Wish) {
	u, alive := x.options.View.Get(w.Engine)
	if !alive || !x.follower.Loaded() || u.Models[w.Model] >= w.Version {
		return
	}
	x.mu.Lock()
	holder, _, _ := x.claims.Holder(u.Address)
	busy := x.loading[w.Engine]
	mine := holder == x.options.VM && !busy
	if mine {
		x.loading[w.Engine] = true
	}
	x.mu.Unlock()
	if !mine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadLimit)
	defer cancel()
	began := time.Now()
	err := x.load(ctx, u, weights{w.Model, w.Version, w.Retain, w.Part}, func(l batch.Loaded) error { return x.tellLoaded(ctx, w.Part, l) })
	x.options.Logger.Info().Str("upstream", w.Engine).Str("model", w.Model).Int64("version", w.Version).
		Dur("took", time.Since(began)).Err(err).Msg("load for another VM ended")
	x.mu.Lock()
	delete(x.loading, w.Engine)
	x.mu.Unlock()
}

// wishWait is how long the last holder of an engine is waited for: a load takes
// about half of it. A holder that is gone doesn't answer.
const wishWait = 2500 * time.Millisecond

// wish asks the engine's last holder for a load and waits until it is done.
func (x *orders) wish(ctx context.Context, engine string, w weights) error {
	if err := x.tell(ctx, loads.Record{Wish: &loads.Wish{Engine: engine, Model: w.model, Version: w.version, Retain: w.retain, Part: w.part}}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, wishWait)
	defer cancel()
	for {
		changed := x.options.View.Changed()
		if u, ok := x.options.View.Get(engine); !ok || u.Models[w.model] >= w.version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errBarred
		}
	}
}

func (x *orders) tell(ctx context.Context, r loads.Record) error {
	data, err := loads.Encode(r)
	if err != nil {
		return err
	}
	_, err = store.AppendRepeatable(ctx, x.options.Log, claimsTopic, 0, [][]byte{data}, 1)
	return err
}

// Gap: claims that old bar nobody.
func (x *orders) Gap(int64) {}

// Reset is never called: the topic has no keys.
func (x *orders) Reset([]store.Entry) {}

func (x *orders) barred(subject string) time.Duration {
	if !x.follower.Loaded() {
		return time.Hour
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.claims.Barred(subject, x.options.Now())
}

func (x *orders) forget() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.claims.Forget(x.options.Now())
}
