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

// serveLocked places a model's waiting samples and looks after its engines' weights.
func (r *runner) serveLocked(ctx context.Context, config *routes.Config, model string, w *modelWork, now time.Duration) {
	shape := config.Services[w.service].Engine
	if shape == nil {
		return
	}
	share := r.s.shares.of(w.service, shape, r.demand(), model)
	if r.inTouch() {
		// A sample that leaves its engine has to be placed again, which waits for the store.
		r.moveLocked(model, share, w, now)
		r.placeLocked(ctx, model, share, w, now)
	}
	r.loadLocked(ctx, model, share, w, now)
}

// demand returns by what the engines are divided, nil for equally.
func (r *runner) demand() map[string]int {
	if !r.s.options.Policy.On(policy.Demand) {
		return nil
	}
	return r.s.homes.demand()
}

func (r *runner) placeLocked(ctx context.Context, model string, share []registry.Upstream, w *modelWork, now time.Duration) {
	if len(w.waiting) == 0 {
		return
	}
	speeds := r.speedsLocked(share, now)
	var engines []batch.Engine
	for _, u := range share {
		e := r.engineLocked(u.Incarnation())
		if r.unusableLocked(u.Incarnation(), now) {
			continue
		}
		engines = append(engines, batch.Engine{ID: u.Incarnation(), Version: u.Models[model], Running: e.running, Slots: u.Slots, Pace: speeds[u.Incarnation()]})
	}
	ordinary, trials := r.trialsLocked(w.waiting)
	for _, start := range r.s.options.Policy.Plan(ordinary, engines, now) {
		at := slices.IndexFunc(share, func(u registry.Upstream) bool { return u.Incarnation() == start.Engine })
		r.startLocked(ctx, model, share[at], start.Waiting)
	}
	r.tryLocked(ctx, model, share, trials, now)
	w.waiting = slices.DeleteFunc(w.waiting, func(x batch.Waiting) bool {
		return r.runs[sampleKey{x.Batch, x.Index}] != nil
	})
}

func (r *runner) loadLocked(ctx context.Context, model string, share []registry.Upstream, w *modelWork, now time.Duration) {
	if r.s.orders.follower.Age() > follow.StaleAfter {
		// No claim can be written now. Engines would be vacated for loads that fail, and
		// their samples move from one to the other until the store is back.
		return
	}
	in := loads.Input{Newest: r.s.options.View.Published()[model], Next: w.next, Waiting: len(w.waiting), Active: w.active,
		Retain: !w.singleVersion && r.s.options.Policy.On(policy.Retain)}
	if !r.s.options.Policy.On(policy.SparedLoads) {
		in.Next = 0
	}
	for _, x := range w.waiting {
		in.Needed = max(in.Needed, x.MinVersion)
	}
	for _, u := range share {
		e := r.engineLocked(u.Incarnation())
		in.Engines = append(in.Engines, loads.Engine{
			ID: u.Incarnation(), Version: u.Models[model], Running: e.running, Slots: u.Slots, Loading: e.loading, Vacated: now < e.vacantUntil,
			Usable: !r.suspect(u.Incarnation(), now) && now >= e.orderAfter,
		})
	}
	plan := r.s.options.Policy.Loads(in)
	for _, id := range plan.Load {
		at := slices.IndexFunc(share, func(u registry.Upstream) bool { return u.Incarnation() == id })
		r.orderLocked(ctx, share[at], weights{model, in.Newest, in.Retain, r.part.number})
	}
	for _, id := range plan.Vacate {
		r.vacateLocked(id, now)
	}
}

// vacateTime is how long a vacated engine gets no samples: its load follows as
// soon as its last run has ended.
const vacateTime = 500 * time.Millisecond

func (r *runner) vacateLocked(id string, now time.Duration) {
	r.engineLocked(id).vacantUntil = now + vacateTime
	for _, x := range r.runs {
		if x.engine == id {
			x.cancel(errMoved)
		}
	}
}
