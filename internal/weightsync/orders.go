package weightsync

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/lease"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/weights"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// reconcileLoop plans lease records and orders at a fixed interval. Appends and orders run in
// the background.
func (s *Syncer) reconcileLoop(ctx context.Context, g *errgroup.Group) error {
	for ctx.Err() == nil {
		targets := s.targets()
		groups := s.enginesByGroup(targets)
		s.updateStreams(ctx, g, groups)
		for _, b := range s.planLeases(s.leaseCandidates(groups)) {
			g.Go(func() error { s.appendLeases(ctx, b); return nil })
		}
		s.pruneLeases()
		for _, t := range targets {
			s.orderTarget(ctx, g, t, groups[t.Group])
		}
		pause.For(ctx, s.opts.ReconcileInterval)
	}
	return nil
}

// targets returns the configured targets, merged into one per model and group. If teams differ
// over a model, the one that wants the newest weights decides.
func (s *Syncer) targets() []Target {
	merged := map[plannerKey]Target{}
	for _, t := range s.opts.Targets() {
		k := plannerKey{t.Model, t.Group}
		if have, ok := merged[k]; ok {
			t = mergeTargets(have, t)
		}
		merged[k] = t
	}
	return slices.Collect(maps.Values(merged))
}

// mergeTargets merges two targets of one model and group. The result has the larger staleness
// weight and the smaller staleness bound.
func mergeTargets(a, b Target) Target {
	a.StalenessWeight = max(a.StalenessWeight, b.StalenessWeight)
	if a.StalenessBound == nil || b.StalenessBound != nil && *b.StalenessBound < *a.StalenessBound {
		a.StalenessBound = b.StalenessBound
	}
	return a
}

// enginesByGroup returns the engines of the targets' groups.
func (s *Syncer) enginesByGroup(targets []Target) map[string][]EngineState {
	groups := map[string][]EngineState{}
	for _, t := range targets {
		if _, ok := groups[t.Group]; !ok {
			groups[t.Group] = s.opts.Engines.Engines(t.Group)
		}
	}
	return groups
}

// pruneLeases removes the leases on engines that left the configuration.
func (s *Syncer) pruneLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		stream.table.Prune(s.opts.Configured, time.Now())
	}
}

// orderTarget plans the orders of a target and sends them in the background. engines are those
// of its group.
func (s *Syncer) orderTarget(ctx context.Context, g *errgroup.Group, t Target, engines []EngineState) {
	byName := map[ident.Upstream]EngineState{}
	for _, e := range engines {
		byName[e.Name] = e
	}
	for _, o := range s.planOrders(t, engines) {
		g.Go(func() error { s.sendOrder(ctx, t, byName[o.Engine], o); return nil })
	}
}

// planOrders returns the orders of a target that are due.
func (s *Syncer) planOrders(t Target, engines []EngineState) []weights.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	now := time.Now()
	in := weights.Input{
		Newest:          s.newest[t.Model],
		Interval:        s.intervalEstimator(t.Model).Estimate(),
		StalenessWeight: t.StalenessWeight,
		MinVersion:      t.minVersion(s.newest[t.Model]),
	}
	for _, e := range engines {
		in.Engines = append(in.Engines, weights.Engine{
			Name: e.Name, Serving: e.Serving[t.Model], Loaded: e.Loaded[t.Model],
			Up: e.Up, Leaving: e.Leaving,
			MayOrder: s.permitLocked(e, now).OK(),
		})
	}
	return s.plannerLocked(t).Plan(in, now)
}

// plannerLocked returns the planner of a target, which it creates if there is none. s.mu must
// be held.
func (s *Syncer) plannerLocked(t Target) *weights.Planner {
	k := plannerKey{t.Model, t.Group}
	p, ok := s.planners[k]
	if !ok {
		p = weights.New(s.opts.Planner)
		s.planners[k] = p
	}
	return p
}

// sendOrder sends an order and reports its result to the planner.
func (s *Syncer) sendOrder(ctx context.Context, t Target, e EngineState, o weights.Order) {
	ctx, cancel := context.WithTimeout(ctx, s.orderTimeout(o.Kind))
	defer cancel()
	ok, retryAfter := s.sendIfPermitted(ctx, t, e, o)
	if ok {
		s.opts.OnApplied(t.Group, e.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.plannerLocked(t).FinishOrder(o, ok, now)
	if o.Kind == weights.Load && retryAfter > 0 {
		s.plannerLocked(t).PauseLoads(now.Add(min(retryAfter, maxLoadPause)))
	}
}

// maxLoadPause bounds how long one engine's answer can pause all loads.
const maxLoadPause = time.Minute

// orderTimeout returns how long to wait for the answer to an order.
func (s *Syncer) orderTimeout(kind weights.Kind) time.Duration {
	if kind == weights.Load {
		return s.opts.LoadTimeout
	}
	return s.opts.SwitchTimeout
}

// sendIfPermitted checks the lease and sends an order. It checks just before the order, since
// a daemon that was frozen after planning may have lost the lease. What can still go wrong is
// a freeze between the check and the first byte that is longer than TransitMargin; see package
// lease. It reports whether the engine applied the order. If not, retryAfter is the delay that
// the engine asked for, or 0.
func (s *Syncer) sendIfPermitted(ctx context.Context, t Target, e EngineState, o weights.Order) (ok bool, retryAfter time.Duration) {
	order := wire.Order{
		Kind:           wireKinds[o.Kind],
		Model:          string(t.Model),
		Version:        int64(o.Version),
		DeadlineMillis: s.opts.OrderStartTimeout.Milliseconds(),
	}
	permit := s.permit(e)
	if !permit.OK() {
		metrics.Counter("orders_not_permitted").Add(1)
		return false, 0
	}
	order.Fence = int64(permit.Fence)
	result, err := s.opts.Orderer.Order(ctx, upstream.Target{Name: e.Name, Address: e.Address}, order)
	if err != nil || !result.Applied {
		metrics.Counter("orders_failed").Add(1)
		s.opts.Logger.Warn().Err(err).Str("upstream", string(e.Name)).Str("order", string(o.Kind)).
			Int64("version", int64(o.Version)).Msg("order failed; the engine keeps serving its old version")
		return false, retryAfterOf(err)
	}
	metrics.Counter("orders_applied").Add(1)
	return true, 0
}

// retryAfterOf returns the delay that the engine asked for, 0 if it asked for none.
func retryAfterOf(err error) time.Duration {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

var wireKinds = map[weights.Kind]wire.OrderKind{
	weights.Load:   wire.OrderLoad,
	weights.Switch: wire.OrderSwitch,
}

func (s *Syncer) permit(e EngineState) lease.Permit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitLocked(e, time.Now())
}

// permitLocked returns whether an order to an engine may be sent now. s.mu must be held.
func (s *Syncer) permitLocked(e EngineState, now time.Time) lease.Permit {
	stream := s.streams[e.DataCentre]
	if s.stopped || stream == nil {
		return lease.Permit{Refusal: lease.NotHolder}
	}
	return stream.table.Permit(e.Name, e.ChecksFencing, now)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
