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

// stepLoop looks at the engines at a steady pace; orders and appends run beside it.
func (s *Syncer) stepLoop(ctx context.Context, g *errgroup.Group) error {
	for ctx.Err() == nil {
		targets := s.targets()
		groups := s.groups(targets)
		s.followNeeded(ctx, g, groups)
		for _, b := range s.planLeases(s.wants(groups)) {
			g.Go(func() error { s.appendLeases(ctx, b); return nil })
		}
		s.trim()
		for _, t := range targets {
			s.step(ctx, g, t, groups[t.Group])
		}
		pause.For(ctx, s.opts.StepInterval)
	}
	return nil
}

// targets returns the configured targets, one for a model and group. When teams
// differ over one model, the one that wants fresh weights most decides.
func (s *Syncer) targets() []Target {
	merged := map[planKey]Target{}
	for _, t := range s.opts.Targets() {
		k := planKey{t.Model, t.Group}
		if have, ok := merged[k]; ok {
			t = strictest(have, t)
		}
		merged[k] = t
	}
	return slices.Collect(maps.Values(merged))
}

// strictest joins two targets of one model and group.
func strictest(a, b Target) Target {
	a.StalenessWeight = max(a.StalenessWeight, b.StalenessWeight)
	if a.StalenessBound == nil || b.StalenessBound != nil && *b.StalenessBound < *a.StalenessBound {
		a.StalenessBound = b.StalenessBound
	}
	return a
}

func (s *Syncer) groups(targets []Target) map[string][]EngineState {
	groups := map[string][]EngineState{}
	for _, t := range targets {
		if _, ok := groups[t.Group]; !ok {
			groups[t.Group] = s.opts.Engines.Engines(t.Group)
		}
	}
	return groups
}

// trim forgets engines that left the configuration.
func (s *Syncer) trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		stream.table.Trim(s.opts.Configured, time.Now())
	}
}

func (s *Syncer) step(ctx context.Context, g *errgroup.Group, t Target, engines []EngineState) {
	byName := map[ident.Upstream]EngineState{}
	for _, e := range engines {
		byName[e.Name] = e
	}
	for _, o := range s.plan(t, engines) {
		g.Go(func() error { s.send(ctx, t, byName[o.Engine], o); return nil })
	}
}

func (s *Syncer) plan(t Target, engines []EngineState) []weights.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	now := time.Now()
	in := weights.Input{
		Newest:          s.newest[t.Model],
		Interval:        s.interval(t.Model).Estimate(),
		StalenessWeight: t.StalenessWeight,
		Needed:          t.needed(s.newest[t.Model]),
	}
	for _, e := range engines {
		in.Engines = append(in.Engines, weights.Engine{
			Name: e.Name, Serving: e.Serving[t.Model], Loaded: e.Loaded[t.Model],
			Up: e.Up, Leaving: e.Leaving,
			Mine: s.permitLocked(e, now).OK(),
		})
	}
	return s.planner(t).Step(in, now)
}

// planner returns the target's planner. Callers hold s.mu.
func (s *Syncer) planner(t Target) *weights.Planner {
	k := planKey{t.Model, t.Group}
	p, ok := s.planners[k]
	if !ok {
		p = weights.New(s.opts.Planner)
		s.planners[k] = p
	}
	return p
}

func (s *Syncer) send(ctx context.Context, t Target, e EngineState, o weights.Order) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout(o.Kind))
	defer cancel()
	ok, retryAfter := s.sendPermitted(ctx, t, e, o)
	if ok {
		s.opts.Applied(t.Group, e.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.planner(t).Finished(o, ok, now)
	if o.Kind == weights.Load && retryAfter > 0 {
		s.planner(t).HoldLoads(now.Add(min(retryAfter, maxHold)))
	}
}

// maxHold bounds how long one engine's answer can hold all loads back.
const maxHold = time.Minute

func (s *Syncer) timeout(kind weights.Kind) time.Duration {
	if kind == weights.Load {
		return s.opts.LoadTimeout
	}
	return s.opts.SwitchTimeout
}

// sendPermitted checks the lease last, just before the order: a daemon frozen
// since the plan was made may have lost it. What can still go wrong is a freeze
// between the check and the first byte for longer than Margin, see package lease.
func (s *Syncer) sendPermitted(ctx context.Context, t Target, e EngineState, o weights.Order) (ok bool, retryAfter time.Duration) {
	order := wire.Order{
		Kind:           orderKinds[o.Kind],
		Model:          string(t.Model),
		Version:        int64(o.Version),
		DeadlineMillis: s.opts.OrderDeadline.Milliseconds(),
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
			Int64("version", int64(o.Version)).Msg("order failed, the old version goes on")
		return false, retryAfterOf(err)
	}
	metrics.Counter("orders_applied").Add(1)
	return true, 0
}

// retryAfterOf returns what the engine asked for, 0 when it didn't.
func retryAfterOf(err error) time.Duration {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

var orderKinds = map[weights.Kind]wire.OrderKind{
	weights.Load:   wire.OrderLoad,
	weights.Switch: wire.OrderSwitch,
}

func (s *Syncer) permit(e EngineState) lease.Permit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitLocked(e, time.Now())
}

// permitLocked wants s.mu held.
func (s *Syncer) permitLocked(e EngineState, now time.Time) lease.Permit {
	stream := s.streams[e.DataCentre]
	if s.closing || stream == nil {
		return lease.Permit{Refusal: lease.NotHolder}
	}
	return stream.table.Permit(e.Name, e.ChecksFencing, now)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
