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

// orders claims engines and gives them orders.
type orders struct {
	options  Options
	follower *follow.Held // held by owners of partitions
	claimer  *claimer

	mu     sync.Mutex
	claims *loads.Claims
	tail   *loads.Tail // of the claims' log
	// relaxed reports whether this daemon owns no partition, and so orders nothing.
	relaxed func() bool
	loading map[string]bool // engines that this VM loads for another's wish
}

func newOrders(o Options) *orders {
	// A load that a record told of shows in the engine's own entry by then, and a claim
	// bars nobody any more.
	keep := 2 * loads.BarredFor(o.OrderLease)
	x := &orders{options: o, claims: loads.NewClaims(o.VM, o.OrderLease), tail: loads.NewTail(keep), loading: map[string]bool{}}
	x.claimer = newClaimer(x)
	x.follower = follow.NewHeld(follow.HeldOptions{
		Options: follow.Options{
			Log: o.Log, Topic: claimsTopic, Sink: x, From: x.from, Relaxed: func() bool { return x.relaxed() }, Now: o.Now, Logger: o.Logger,
		},
		Linger: keep, OnForget: x.forgetClaims,
	})
	return x
}

// from is where the claims' log is read on when this daemon becomes an owner.
func (x *orders) from() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tail.From(x.options.Now())
}

// forgetClaims drops the fold of the claims' log, which isn't followed any more.
func (x *orders) forgetClaims() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.claims = loads.NewClaims(x.options.VM, x.options.OrderLease)
	x.tail.Note(x.follower.Next(), x.options.Now())
}

// noteEnd notes the end of the claims' log while it isn't followed.
func (x *orders) noteEnd(ctx context.Context) {
	if x.follower.Following() {
		return
	}
	x.mu.Lock()
	last := x.tail.Last()
	x.mu.Unlock()
	page, err := x.options.Log.Read(ctx, claimsTopic, 0, store.ReadFrom{Offset: last, MaxBytes: 1})
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		page, err = store.Page{End: trimmed.First}, nil
	}
	if err != nil {
		x.options.Logger.Debug().Err(err).Msg("end of the claims' log not read")
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tail.Note(page.End, x.options.Now())
}

// Record applies a record of the claims' log.
func (x *orders) Record(offset int64, data []byte) {
	r, err := loads.Decode(data)
	if err != nil {
		x.options.Logger.Error().Err(err).Int64("offset", offset).Msg("claim skipped")
		return
	}
	switch {
	case r.Claim != nil:
		x.mu.Lock()
		x.claims.Apply(offset, *r.Claim, x.tail.WrittenBy(offset, x.options.Now()))
		x.mu.Unlock()
	case r.Wish != nil:
		go x.grant(*r.Wish) // it asks the follower, whose lock is held here
	}
}

var (
	ordersSent   = metrics.Counter("orders_sent")
	loadsDone    = metrics.Counter("loads_done")
	loadTime     = metrics.Latency("load_ms")
	errLost      = errors.New("engine lost during its load")
	errRestarted = errors.New("engine started again, its counts began anew")
	errBarred    = errors.New("another VM holds a claim")
	errClaimAged = errors.New("claim too old for an order")
	errFenced    = errors.New("engine has seen a higher fencing number")
	errRejected  = errors.New("engine rejected the order")
	errSlowLoad  = errors.New("load took too long")
)

// weights are what an engine is to load.
type weights struct {
	model   string
	version int64
	retain  bool // its runs go on meanwhile
	part    int  // partition of the model
}

const (
	// loadPoll is between two looks at an engine that loads; reports are some
	// hundred ms old, so more would tell no more.
	loadPoll = 150 * time.Millisecond
	// loadFirstLook: no load is done earlier.
	loadFirstLook = 700 * time.Millisecond
	// loadLimit is several times what a load takes when others load too.
	loadLimit = 8 * time.Second
)

// load makes an engine serve a version, by the VM that may order it now. tell is called if
// this VM has loaded it.
func (x *orders) load(ctx context.Context, u registry.Upstream, w weights, tell func(batch.Loaded) error) error {
	if x.barred(u.Address) > 0 {
		return x.wish(ctx, u.ID, w)
	}
	w, err := x.loadNow(ctx, u, w)
	if err != nil {
		return err
	}
	l := batch.Loaded{Engine: u.ID, Started: u.Started, Model: w.model, Version: w.version}
	loaded(x.options.View, l)
	return tell(l)
}

// loaded notes a load that ended.
func loaded(view *fleet.View, l batch.Loaded) {
	view.Upstreams(func(reg *registry.Registry, _ time.Duration) { reg.Loaded(l.Engine, l.Started, l.Model, l.Version) })
}

// loadNow claims the engine and orders it. It returns what it loaded: a version that was
// published while the claim was written takes the place of the one that was asked for,
// which would be too old for the next step as soon as it is there.
func (x *orders) loadNow(ctx context.Context, u registry.Upstream, w weights) (weights, error) {
	permit, err := x.claimer.claim(ctx, u.Address)
	if err != nil {
		return w, err
	}
	report, err := x.options.Engines.Report(ctx, u)
	if err != nil {
		return w, errors.Join(errLost, err)
	}
	if x.restarted(u, report) {
		return w, errRestarted
	}
	w.version = max(w.version, x.options.View.Published()[w.model])
	u.Started = max(u.Started, report.Started) // known from now on, if it wasn't
	if report.Versions[w.model] >= w.version {
		return w, nil
	}
	if !report.Busy {
		if err := x.order(ctx, u, w, permit, report.Orders); err != nil {
			return w, err
		}
		pause.For(ctx, loadFirstLook)
	}
	return w, x.await(ctx, u, w.model, w.version, report.Orders)
}

// restarted reports whether an engine's account isn't that of the known incarnation. A
// newer start is noted, so that the next order expects its counts; what an earlier one
// said changes nothing. The first start that is told is no restart.
func (x *orders) restarted(u registry.Upstream, report Report) bool {
	if report.Started == 0 || report.Started == u.Started {
		return false
	}
	newer := false
	x.options.View.Upstreams(func(reg *registry.Registry, _ time.Duration) {
		newer = reg.Restarted(u.ID, report.Started, report.Versions)
	})
	x.options.Logger.Warn().Str("upstream", u.Incarnation()).Int64("reported_start", report.Started).Bool("newer", newer).
		Msg("engine reports another start than the known one")
	return u.Started != 0
}

// order sends one order. An order without an answer isn't repeated here: the
// engine's report tells whether it was taken.
func (x *orders) order(ctx context.Context, u registry.Upstream, w weights, p loads.Permit, accepted int64) error {
	if x.options.Now() >= p.Until {
		return errClaimAged
	}
	ordersSent.Add(1)
	outcome, err := x.options.Engines.Load(ctx, u, LoadOrder{Model: w.model, Version: w.version, Holder: x.options.VM, Fence: p.Fence, Orders: accepted, Retain: w.retain})
	x.options.Logger.Info().Str("upstream", u.Incarnation()).Str("model", w.model).Int64("version", w.version).Bool("retain", w.retain).Int64("fence", p.Fence).
		Int64("orders_before", accepted).Int("outcome", int(outcome)).Err(err).Msg("load ordered")
	switch outcome {
	case LoadFenced:
		return errFenced
	case LoadRejected:
		return errors.Join(errRejected, err)
	}
	return nil
}

// await polls an engine until it serves the version. An order that isn't under way
// and wasn't taken ends the wait, so that it can be given again.
func (x *orders) await(ctx context.Context, u registry.Upstream, model string, version, accepted int64) error {
	limit := x.options.Now() + loadLimit
	failures := 0
	for ctx.Err() == nil && x.options.Now() < limit {
		report, err := x.options.Engines.Report(ctx, u)
		switch {
		case err != nil:
			failures++
			if failures == 3 || errors.Is(err, ErrReplaced) {
				return errors.Join(errLost, err)
			}
		case x.restarted(u, report), report.Orders < accepted:
			return errRestarted
		case report.Versions[model] >= version:
			return nil
		case !report.Busy && report.Orders == accepted:
			return errSlowLoad
		}
		pause.For(ctx, loadPoll)
	}
	return errors.Join(errSlowLoad, ctx.Err())
}

const (
	// orderPause follows an order that failed.
	orderPause = 300 * time.Millisecond
)

// orderLocked begins a load of an engine.
func (r *runner) orderLocked(ctx context.Context, u registry.Upstream, w weights) {
	e := r.engineLocked(u.Incarnation())
	e.loading = true
	r.work.Go(func() {
		began := time.Now()
		err := r.s.orders.load(ctx, u, w, func(l batch.Loaded) error { r.outbox.add(l); return nil })
		line := r.log.Info()
		if err != nil {
			line = r.log.Warn().Err(err)
		} else {
			loadsDone.Add(1)
			loadTime.Observe(time.Since(began))
		}
		line.Str("upstream", u.Incarnation()).Str("model", w.model).Int64("version", w.version).Dur("took", time.Since(began)).Msg("load ended")
		r.mu.Lock()
		e.loading = false
		e.vacantUntil = 0
		if err != nil {
			e.orderAfter = r.s.options.Now() + orderPause
		}
		r.mu.Unlock()
		r.wake()
	})
}

// tellLoaded tells the next owner of a model's partition of a load. It stands among the
// partition's records: behind each record of the claims' log claims have to be made again.
func (x *orders) tellLoaded(ctx context.Context, part int, l batch.Loaded) error {
	data, err := batch.Encode(l)
	if err != nil {
		return err
	}
	_, err = store.AppendRepeatable(ctx, x.options.Log, batchTopic, part, [][]byte{data}, 1)
	return err
}
