package batchrun

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// runDelegatedLoad loads an engine on another VM's request if this VM holds the last claim
// on it. Requests that were read while catching up are outdated, and the VM that made one
// asks again.
func (x *loader) runDelegatedLoad(request loads.LoadRequest) {
	u, alive := x.options.View.Get(request.Engine)
	if !alive || !x.follower.Loaded() || u.Models[request.Model] >= request.Version {
		return
	}
	x.mu.Lock()
	holder, _, _ := x.claims.Holder(u.Address)
	busy := x.delegatedLoads[request.Engine]
	mine := holder == x.options.VM && !busy
	if mine {
		x.delegatedLoads[request.Engine] = true
	}
	x.mu.Unlock()
	if !mine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	began := time.Now()
	err := x.load(ctx, u, loadTarget{request.Model, request.Version, request.Retain, request.Partition}, func(l batch.Loaded) error { return x.appendLoaded(ctx, request.Partition, l) })
	x.options.Logger.Info().Str("upstream", request.Engine).Str("model", request.Model).Int64("version", request.Version).
		Dur("took", time.Since(began)).Err(err).Msg("load for another VM ended")
	x.mu.Lock()
	delete(x.delegatedLoads, request.Engine)
	x.mu.Unlock()
}

// delegationTimeout is how long to wait for the VM with the last claim on an engine to load
// it. A load takes about half of it. A VM that is gone doesn't answer.
const delegationTimeout = 2500 * time.Millisecond

// delegateLoad asks the VM with the last claim on an engine to load it, and waits until the
// load is done.
func (x *loader) delegateLoad(ctx context.Context, engine string, target loadTarget) error {
	if err := x.appendRecord(ctx, loads.Record{LoadRequest: &loads.LoadRequest{Engine: engine, Model: target.model, Version: target.version, Retain: target.retain, Partition: target.partition}}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, delegationTimeout)
	defer cancel()
	for {
		changed := x.options.View.Changed()
		if u, ok := x.options.View.Get(engine); !ok || u.Models[target.model] >= target.version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errClaimedElsewhere
		}
	}
}

// appendRecord appends a record to the claims log.
func (x *loader) appendRecord(ctx context.Context, r loads.Record) error {
	data, err := loads.Encode(r)
	if err != nil {
		return err
	}
	_, err = store.AppendIdempotent(ctx, x.options.Log, claimsTopic, 0, [][]byte{data}, 1)
	return err
}

// Gap does nothing: claims whose records have expired no longer block any VM.
func (x *loader) Gap(int64) {}

// Reset is never called: the topic isn't keyed.
func (x *loader) Reset([]store.Entry) {}

// claimBlockedFor returns for how long another VM's claim still keeps this VM from claiming
// a subject, 0 if none does. Before the claims log is loaded every subject counts as
// blocked.
func (x *loader) claimBlockedFor(subject string) time.Duration {
	if !x.follower.Loaded() {
		return time.Hour
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.claims.BlockedFor(subject, x.options.Now())
}

// discardOldClaims drops claims that are no longer needed.
func (x *loader) discardOldClaims() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.claims.DropOld(x.options.Now())
}
