package batchrun

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// loader claims engines and orders them to load weights. It follows the claims log while
// this daemon owns a partition.
type loader struct {
	options  Options
	follower *follow.OnDemand // of the claims log, held by the owner while it owns a partition
	claimer  *claimer

	mu      sync.Mutex
	claims  *loads.Claims
	logTail *loads.EndHistory // past ends of the claims log
	// ownsNothing reports whether this daemon owns no partition, and so sends no orders.
	ownsNothing    func() bool
	delegatedLoads map[string]bool // by ID, engines that this VM loads on another VM's request
}

func newLoader(o Options) *loader {
	// After this time a recorded load shows in the engine's own registry entry, and a claim
	// no longer blocks any VM.
	keep := 2 * loads.BlockDuration(o.ClaimLease)
	x := &loader{options: o, claims: loads.NewClaims(o.VM, o.ClaimLease), logTail: loads.NewEndHistory(keep), delegatedLoads: map[string]bool{}}
	x.claimer = newClaimer(x)
	x.follower = follow.NewOnDemand(follow.OnDemandOptions{
		Options: follow.Options{
			Log: o.Log, Topic: claimsTopic, Sink: x, StartOffset: x.startOffset, Idle: func() bool { return x.ownsNothing() }, Now: o.Now, Logger: o.Logger,
		},
		Linger: keep, OnDiscard: x.discardClaims,
	})
	return x
}

// startOffset returns the offset from which the claims log is read when this daemon becomes
// an owner.
func (x *loader) startOffset() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.logTail.StartOffset(x.options.Now())
}

// discardClaims drops the known claims when the claims log is no longer followed.
func (x *loader) discardClaims() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.claims = loads.NewClaims(x.options.VM, x.options.ClaimLease)
	x.logTail.Add(x.follower.NextOffset(), x.options.Now())
}

// recordLogEnd notes where the claims log ends now, unless it is being followed.
func (x *loader) recordLogEnd(ctx context.Context) {
	if x.follower.Following() {
		return
	}
	x.mu.Lock()
	last := x.logTail.Last()
	x.mu.Unlock()
	page, err := x.options.Log.Read(ctx, claimsTopic, 0, store.ReadOptions{Offset: last, MaxBytes: 1})
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		page, err = store.Page{End: trimmed.First}, nil
	}
	if err != nil {
		x.options.Logger.Debug().Err(err).Msg("failed to read the end of the claims log")
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.logTail.Add(page.End, x.options.Now())
}

// Record applies a record of the claims log.
func (x *loader) Record(offset int64, data []byte) {
	r, err := loads.Decode(data)
	if err != nil {
		x.options.Logger.Error().Err(err).Int64("offset", offset).Msg("skipped a malformed record of the claims log")
		return
	}
	switch {
	case r.Claim != nil:
		x.mu.Lock()
		x.claims.Apply(offset, *r.Claim, x.logTail.WrittenBy(offset, x.options.Now()))
		x.mu.Unlock()
	case r.LoadRequest != nil:
		go x.runDelegatedLoad(*r.LoadRequest) // not called here: it calls the follower, whose lock is held
	}
}

var (
	ordersSent          = metrics.Counter("orders_sent")
	loadsDone           = metrics.Counter("loads_done")
	loadTime            = metrics.Latency("load_ms")
	errEngineLost       = errors.New("engine lost during its load")
	errEngineRestarted  = errors.New("engine restarted and its order count was reset")
	errClaimedElsewhere = errors.New("another VM holds a claim")
	errClaimExpired     = errors.New("claim expired before the order was sent")
	errFenced           = errors.New("engine has seen a higher fencing token")
	errRejected         = errors.New("engine rejected the order")
	errNotLoaded        = errors.New("engine did not load the version")
)

// loadTarget is the weights that an engine is to load.
type loadTarget struct {
	model     string
	version   int64
	retain    bool // the engine's runs continue during the load
	partition int  // number of the model's partition
}

const (
	// loadPollInterval is how often a loading engine is polled. Reports are some hundred ms
	// old, so polling more often would yield nothing new.
	loadPollInterval = 150 * time.Millisecond
	// minLoadTime is the least time that a load takes.
	minLoadTime = 700 * time.Millisecond
	// loadTimeout is several times what a load takes while other engines load too.
	loadTimeout = 8 * time.Second
)

// load makes an engine serve a version. If another VM's claim blocks this one, the other VM
// is asked to do it. onLoaded is called if this VM has loaded the engine.
func (x *loader) load(ctx context.Context, u registry.Upstream, target loadTarget, onLoaded func(batch.Loaded) error) error {
	if x.claimBlockedFor(u.Address) > 0 {
		return x.delegateLoad(ctx, u.ID, target)
	}
	target, err := x.claimAndLoad(ctx, u, target)
	if err != nil {
		return err
	}
	l := batch.Loaded{Engine: u.ID, Started: u.Started, Model: target.model, Version: target.version}
	recordLoaded(x.options.View, l)
	return onLoaded(l)
}

// recordLoaded enters a completed load into the registry.
func recordLoaded(view *fleet.View, l batch.Loaded) {
	view.UpdateUpstreams(func(reg *registry.Registry, _ time.Duration) { reg.RecordLoad(l.Engine, l.Started, l.Model, l.Version) })
}

// claimAndLoad claims an engine, orders the load and waits for it. It returns what was
// loaded: a version that was published while the claim was appended replaces the requested
// one, which would be too old for the next step as soon as it is loaded.
func (x *loader) claimAndLoad(ctx context.Context, u registry.Upstream, target loadTarget) (loadTarget, error) {
	permit, err := x.claimer.claim(ctx, u.Address)
	if err != nil {
		return target, err
	}
	report, err := x.options.Engines.Report(ctx, u)
	if err != nil {
		return target, errors.Join(errEngineLost, err)
	}
	if x.restarted(u, report) {
		return target, errEngineRestarted
	}
	target.version = max(target.version, x.options.View.Published()[target.model])
	u.Started = max(u.Started, report.Started) // it may have been unknown so far
	if report.Versions[target.model] >= target.version {
		return target, nil
	}
	if !report.Busy {
		if err := x.sendOrder(ctx, u, target, permit, report.AcceptedOrders); err != nil {
			return target, err
		}
		pause.For(ctx, minLoadTime)
	}
	return target, x.awaitVersion(ctx, u, target.model, target.version, report.AcceptedOrders)
}

// restarted reports whether a report is from another incarnation of an engine than the known
// one. A newer start is entered into the registry, so that the next order expects the new
// order count; a report of an older one changes nothing. The first start that an engine
// reports isn't a restart.
func (x *loader) restarted(u registry.Upstream, report Report) bool {
	if report.Started == 0 || report.Started == u.Started {
		return false
	}
	newer := false
	x.options.View.UpdateUpstreams(func(reg *registry.Registry, _ time.Duration) {
		newer = reg.RecordRestart(u.ID, report.Started, report.Versions)
	})
	x.options.Logger.Warn().Str("upstream", u.Incarnation()).Int64("reported_start", report.Started).Bool("newer", newer).
		Msg("engine reported a different start time than the known one")
	return u.Started != 0
}

// sendOrder sends one load order. accepted is the number of orders that the engine has
// accepted so far. An order without an answer isn't repeated here: the engine's next report
// shows whether it was accepted.
func (x *loader) sendOrder(ctx context.Context, u registry.Upstream, target loadTarget, p loads.Permit, accepted int64) error {
	if x.options.Now() >= p.ExpiresAt {
		return errClaimExpired
	}
	ordersSent.Add(1)
	outcome, err := x.options.Engines.Load(ctx, u, LoadOrder{Model: target.model, Version: target.version, Holder: x.options.VM, FencingToken: p.Fence, ExpectedOrders: accepted, Retain: target.retain})
	x.options.Logger.Info().Str("upstream", u.Incarnation()).Str("model", target.model).Int64("version", target.version).Bool("retain", target.retain).Int64("fence", p.Fence).
		Int64("orders_before", accepted).Int("outcome", int(outcome)).Err(err).Msg("load ordered")
	switch outcome {
	case LoadFenced:
		return errFenced
	case LoadRejected:
		return errors.Join(errRejected, err)
	}
	return nil
}

// awaitVersion polls an engine until it serves the version. It returns early if the engine
// is idle and hasn't accepted the order, so that the order can be sent again.
func (x *loader) awaitVersion(ctx context.Context, u registry.Upstream, model string, version, accepted int64) error {
	deadline := x.options.Now() + loadTimeout
	failures := 0
	for ctx.Err() == nil && x.options.Now() < deadline {
		report, err := x.options.Engines.Report(ctx, u)
		switch {
		case err != nil:
			failures++
			if failures == 3 || errors.Is(err, ErrAddressReused) {
				return errors.Join(errEngineLost, err)
			}
		case x.restarted(u, report), report.AcceptedOrders < accepted:
			return errEngineRestarted
		case report.Versions[model] >= version:
			return nil
		case !report.Busy && report.AcceptedOrders == accepted:
			return errNotLoaded
		}
		pause.For(ctx, loadPollInterval)
	}
	return errors.Join(errNotLoaded, ctx.Err())
}

const (
	// loadRetryDelay is the wait after a failed load before the engine gets another order.
	loadRetryDelay = 300 * time.Millisecond
)

// startLoadLocked starts a load on an engine in the background.
func (r *runner) startLoadLocked(ctx context.Context, u registry.Upstream, target loadTarget) {
	e := r.engineLocked(u.Incarnation())
	e.loading = true
	r.tasks.Go(func() {
		began := time.Now()
		err := r.s.loader.load(ctx, u, target, func(l batch.Loaded) error { r.outbox.add(l); return nil })
		line := r.log.Info()
		if err != nil {
			line = r.log.Warn().Err(err)
		} else {
			loadsDone.Add(1)
			loadTime.Observe(time.Since(began))
		}
		line.Str("upstream", u.Incarnation()).Str("model", target.model).Int64("version", target.version).Dur("took", time.Since(began)).Msg("load ended")
		r.mu.Lock()
		e.loading = false
		e.evictedUntil = 0
		if err != nil {
			e.noOrderBefore = r.s.options.Now() + loadRetryDelay
		}
		r.mu.Unlock()
		r.wake()
	})
}

// appendLoaded records a completed load in the model's partition, for the partition's next
// owner. It is kept out of the claims log: while claims were conditional on the end of that
// log, each further record made the claims under way fail.
func (x *loader) appendLoaded(ctx context.Context, part int, l batch.Loaded) error {
	data, err := batch.Encode(l)
	if err != nil {
		return err
	}
	_, err = store.AppendIdempotent(ctx, x.options.Log, batchTopic, part, [][]byte{data}, 1)
	return err
}
