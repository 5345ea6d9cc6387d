package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// reconcilePoolLocked starts a pool's waiting samples and keeps its engines' weights current.
func (r *runner) reconcilePoolLocked(ctx context.Context, config *routes.Config, p pool, w *poolWork, now time.Duration) {
	settings := config.Services[p.service].Engine
	if settings == nil {
		return
	}
	engines := r.s.allocator.enginesFor(p.service, settings, r.allocationDemand(), p.model)
	if r.inContact() {
		// Out of contact no sample is moved: it could not be started on another engine
		// before the store is back.
		r.moveSamplesLocked(p.model, engines, w, now)
		r.scheduleLocked(ctx, p, engines, w, now)
	}
	r.planLoadsLocked(ctx, p.model, engines, w, now)
}

// allocationDemand returns the demand by model by which engines are allocated, nil for an
// equal split.
func (r *runner) allocationDemand() map[string]int {
	if !r.s.options.Policy.Enabled(policy.Demand) {
		return nil
	}
	return r.s.modelPartitions.demand()
}

// scheduleLocked starts waiting samples on engines as the policy plans, and trials.
func (r *runner) scheduleLocked(ctx context.Context, p pool, engines []registry.Upstream, w *poolWork, now time.Duration) {
	if len(w.waiting) == 0 {
		return
	}
	relativeGaps := r.relativeGapsLocked(engines, now)
	var candidates []batch.Engine
	for _, u := range engines {
		e := r.engineLocked(u.Incarnation())
		if r.unusableLocked(u.Incarnation(), now) {
			continue
		}
		candidates = append(candidates, batch.Engine{ID: u.Incarnation(), Version: u.Models[p.model], Running: e.running, Slots: u.Slots, RelativeGap: relativeGaps[u.Incarnation()]})
	}
	ordinary, trials := r.splitTrialsLocked(p, engines, w.waiting)
	others := len(ordinary) + r.runsBesideOthersLocked(p)
	for _, start := range r.s.options.Policy.PlanSamples(ordinary, candidates, now) {
		at := slices.IndexFunc(engines, func(u registry.Upstream) bool { return u.Incarnation() == start.Engine })
		r.startRunLocked(ctx, p, engines[at], start.Sample)
	}
	r.startTrialsLocked(ctx, p, engines, trials, others, now)
	w.waiting = slices.DeleteFunc(w.waiting, func(x batch.WaitingSample) bool {
		return r.runs[sampleKey{x.Batch, x.Index}] != nil
	})
}

// planLoadsLocked starts the loads and evictions that the policy plans.
func (r *runner) planLoadsLocked(ctx context.Context, model string, engines []registry.Upstream, w *poolWork, now time.Duration) {
	if r.s.loader.follower.Age() > follow.StaleAfter {
		// No claim can be appended now. Samples would be evicted from one engine after
		// another for loads that fail, until the store is back.
		return
	}
	in := loads.Input{Newest: r.s.options.View.Published()[model], NextMinVersion: w.nextMinVersion, Waiting: len(w.waiting), Active: w.active,
		Retain: !w.singleVersion && r.s.options.Policy.Enabled(policy.Retain)}
	if !r.s.options.Policy.Enabled(policy.SparedLoads) {
		in.NextMinVersion = 0
	}
	for _, x := range w.waiting {
		in.MinVersion = max(in.MinVersion, x.MinVersion)
	}
	for _, u := range engines {
		e := r.engineLocked(u.Incarnation())
		in.Engines = append(in.Engines, loads.Engine{
			ID: u.Incarnation(), Version: u.Models[model], Running: e.running, Slots: u.Slots, Loading: e.loading, Evicted: now < e.evictedUntil,
			Usable: !r.isSuspect(u.Incarnation(), now) && now >= e.noOrderBefore,
		})
	}
	plan := r.s.options.Policy.PlanLoads(in)
	for _, id := range plan.Load {
		at := slices.IndexFunc(engines, func(u registry.Upstream) bool { return u.Incarnation() == id })
		r.startLoadLocked(ctx, engines[at], loadTarget{model, in.Newest, in.Retain, r.partition.number})
	}
	for _, id := range plan.Evict {
		r.evictLocked(id, now)
	}
}

// evictionTime is how long an engine gets no samples after its runs were evicted. Its load
// starts as soon as the last of them has ended.
const evictionTime = 500 * time.Millisecond

// evictLocked moves all runs off an engine, given by its incarnation.
func (r *runner) evictLocked(incarnation string, now time.Duration) {
	r.engineLocked(incarnation).evictedUntil = now + evictionTime
	for _, x := range r.runs {
		if x.incarnation == incarnation {
			x.cancel(errMoved)
		}
	}
}
