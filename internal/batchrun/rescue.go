package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// slowAvoidance is how long an engine that turned out slow gets no samples while
// the others have room. Its pace is learned anew afterwards.
const slowAvoidance = 2 * time.Second

// minPaceEvents is how many gaps make a pace.
const minPaceEvents = 8

// rescueLocked moves samples from engines that are much slower than the others of
// the share, as many as these have room for, those with the most left first.
func (r *runner) rescueLocked(model string, share []registry.Upstream, now time.Duration) {
	var paces []batch.Pace
	room := 0
	for _, u := range share {
		e := r.engineLocked(u.ID)
		p := batch.Pace{Engine: u.ID}
		if e.pace.n >= minPaceEvents && now-e.pace.at < paceLife {
			p.Gap = e.pace.gap
		}
		paces = append(paces, p)
		if !e.unusable(now) {
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
		r.log.Info().Str("upstream", id).Str("model", model).Dur("gap", e.pace.gap).Int("running", len(own)).
			Int("moved", moved).Msg("engine is slow, moving samples")
		for _, x := range own[:moved] {
			x.cancel(errMoved)
		}
		room -= moved
		e.pace = pace{}
	}
}

// runsOnLocked returns an engine's runs, those that began last, and so have the
// most left, first.
func (r *runner) runsOnLocked(id string) []*run {
	var out []*run
	for _, x := range r.runs {
		if x.engine == id {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(b.began, a.began) })
	return out
}
