package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// slowEngineAvoidance is how long an engine that has become slow gets no samples. Its average
// gap is measured again afterwards.
const slowEngineAvoidance = 2 * time.Second

// minGaps is the number of gaps from which an average is valid.
const minGaps = 8

// moveSamplesLocked moves samples of a pool off slow engines.
func (r *runner) moveSamplesLocked(model string, engines []registry.Upstream, w *poolWork, now time.Duration) {
	if r.s.options.Policy.Enabled(policy.Moves) {
		r.moveFromSlowEnginesLocked(model, engines, now)
	}
	if len(w.waiting) == 0 && r.s.options.Policy.Enabled(policy.Hardware) {
		r.moveFromSlowHardwareLocked(engines, now)
	}
}

const (
	// slowHardwareRatio is the ratio of an engine's token time to the median one from which
	// the last samples of a step are moved off it.
	slowHardwareRatio = 1.15
	// minMoveAge is how long a sample must have run to be moved off slower hardware. Most
	// samples of a step end before and aren't worth the move.
	minMoveAge = 700 * time.Millisecond
)

// relativeGapsLocked returns, by incarnation, the ratio of each engine's token time at equal load
// to the median one. Engines whose token time isn't known are missing.
func (r *runner) relativeGapsLocked(engines []registry.Upstream, now time.Duration) map[string]float64 {
	var gaps []batch.EngineGap
	for _, u := range engines {
		gaps = append(gaps, batch.EngineGap{Engine: u.Incarnation(), Gap: r.engineLocked(u.Incarnation()).unloadedGap.mean(now, unloadedGapMaxAge)})
	}
	return batch.RelativeGaps(gaps)
}

// moveFromSlowHardwareLocked moves the last samples of a step from slower hardware to other
// engines with free slots, since the step ends with the last of them. A move costs the prompt's
// prefill, which takes as long as a few events; a long sample has dozens of events left.
func (r *runner) moveFromSlowHardwareLocked(engines []registry.Upstream, now time.Duration) {
	relativeGaps := r.relativeGapsLocked(engines, now)
	freeSlots := 0
	for _, u := range engines {
		if e, ratio := r.engineLocked(u.Incarnation()), relativeGaps[u.Incarnation()]; ratio > 0 && ratio < slowHardwareRatio && !r.unusableLocked(u.Incarnation(), now) {
			freeSlots += max(0, u.Slots-e.running)
		}
	}
	for _, u := range engines {
		if relativeGaps[u.Incarnation()] < slowHardwareRatio {
			continue
		}
		for _, x := range r.runsOnLocked(u.Incarnation()) {
			if freeSlots == 0 {
				return
			}
			if now-x.startedAt >= minMoveAge {
				x.cancel(errMoved)
				freeSlots--
			}
		}
	}
}

// moveFromSlowEnginesLocked moves samples off engines that are much slower than the model's
// others, as many as there are free slots. Those with the most text left are moved first.
func (r *runner) moveFromSlowEnginesLocked(model string, engines []registry.Upstream, now time.Duration) {
	var gaps []batch.EngineGap
	freeSlots := 0
	for _, u := range engines {
		e := r.engineLocked(u.Incarnation())
		gaps = append(gaps, batch.EngineGap{Engine: u.Incarnation(), Gap: e.gap.mean(now, gapMaxAge)})
		if !r.unusableLocked(u.Incarnation(), now) {
			freeSlots += max(0, u.Slots-e.running)
		}
	}
	for _, incarnation := range batch.SlowEngines(gaps) {
		e := r.engineLocked(incarnation)
		if e.running == 0 || now < e.slowUntil {
			continue
		}
		e.slowUntil = now + slowEngineAvoidance
		runs := r.runsOnLocked(incarnation)
		moved := min(len(runs), freeSlots)
		r.log.Info().Str("upstream", incarnation).Str("model", model).Dur("gap", e.gap.average).Int("running", len(runs)).
			Int("moved", moved).Msg("engine is slow, moving samples")
		for _, x := range runs[:moved] {
			x.cancel(errMoved)
		}
		freeSlots -= moved
		e.gap = gapAverage{}
	}
}

// runsOnLocked returns the runs on an engine, given by its incarnation. Those that started last,
// which have the most text left, come first.
func (r *runner) runsOnLocked(incarnation string) []*run {
	var out []*run
	for _, x := range r.runs {
		if x.incarnation == incarnation {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	return out
}
