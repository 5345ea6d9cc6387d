package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// slowAvoidance is how long an engine that turned out slow gets no samples while
// the others have room. Its pace is learned anew afterwards.
const slowAvoidance = 2 * time.Second

// minPaceEvents is how many gaps make a pace.
const minPaceEvents = 8

// moveLocked takes samples away from engines that hold them up.
func (r *runner) moveLocked(model string, share []registry.Upstream, w *modelWork, now time.Duration) {
	if r.s.options.Policy.On(policy.Moves) {
		r.rescueLocked(model, share, now)
	}
	if len(w.waiting) == 0 && r.s.options.Policy.On(policy.Hardware) {
		r.hastenLocked(share, now)
	}
}

const (
	// tailPace: an engine whose tokens take so many times the usual time loses the
	// samples that a step waits for in the end.
	tailPace = 1.15
	// tailAge is how long a sample has run then: the short ones, most of a step, end
	// before and aren't worth the move.
	tailAge = 700 * time.Millisecond
)

// speedsLocked returns the engines' token times beside the usual one.
func (r *runner) speedsLocked(share []registry.Upstream, now time.Duration) map[string]float64 {
	var speeds []batch.Pace
	for _, u := range share {
		speeds = append(speeds, batch.Pace{Engine: u.Incarnation(), Gap: r.engineLocked(u.Incarnation()).speed.mean(now, speedMaxAge)})
	}
	return batch.Relative(speeds)
}

// hastenLocked moves the last samples of a step from slower hardware to usual engines
// that have room, since the step ends with the last of them. A move costs the prompt's
// prefill, a few events' time; a long sample has dozens of events left.
func (r *runner) hastenLocked(share []registry.Upstream, now time.Duration) {
	speeds := r.speedsLocked(share, now)
	room := 0
	for _, u := range share {
		if e, speed := r.engineLocked(u.Incarnation()), speeds[u.Incarnation()]; speed > 0 && speed < tailPace && !r.unusableLocked(u.Incarnation(), now) {
			room += max(0, u.Slots-e.running)
		}
	}
	for _, u := range share {
		if speeds[u.Incarnation()] < tailPace {
			continue
		}
		for _, x := range r.runsOnLocked(u.Incarnation()) {
			if room == 0 {
				return
			}
			if now-x.startedAt >= tailAge {
				x.cancel(errMoved)
				room--
			}
		}
	}
}

// rescueLocked moves samples from engines that are much slower than the others of
// the share, as many as these have room for, those with the most left first.
func (r *runner) rescueLocked(model string, share []registry.Upstream, now time.Duration) {
	var paces []batch.Pace
	room := 0
	for _, u := range share {
		e := r.engineLocked(u.Incarnation())
		paces = append(paces, batch.Pace{Engine: u.Incarnation(), Gap: e.pace.mean(now, gapMaxAge)})
		if !r.unusableLocked(u.Incarnation(), now) {
			room += max(0, u.Slots-e.running)
		}
	}
	for _, id := range batch.Slow(paces) {
		e := r.engineLocked(id)
		if e.running == 0 || now < e.slowTo {
			continue
		}
		e.slowTo = now + slowAvoidance
		own := r.runsOnLocked(id)
		moved := min(len(own), room)
		r.log.Info().Str("upstream", id).Str("model", model).Dur("gap", e.pace.average).Int("running", len(own)).
			Int("moved", moved).Msg("engine is slow, moving samples")
		for _, x := range own[:moved] {
			x.cancel(errMoved)
		}
		room -= moved
		e.pace = gapAverage{}
	}
}

// runsOnLocked returns an engine's runs, those that began last, and so have the
// most left, first.
func (r *runner) runsOnLocked(id string) []*run {
	var out []*run
	for _, x := range r.runs {
		if x.incarnation == id {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	return out
}
