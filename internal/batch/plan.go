package batch

import (
	"cmp"
	"slices"
	"time"
)

// Engine is what the plan knows of one engine.
type Engine struct {
	ID      string
	Version int64 // weights that it serves, 0 unknown
	Running int   // samples of this daemon there
	Slots   int   // samples it may run at once
	// Pace is its token time beside that of its peers at equal load, 0 unknown. 1.3 is
	// an engine on slower hardware.
	Pace float64
}

// crowding is how much longer a token takes for each further sample that an engine
// runs, as a part of the token time of one: measured on the deployments' engines,
// 0.0149 ms of 0.632 ms.
const crowding = 0.024

// GapAlone is the gap that an engine would have with one sample, from its gap with
// running ones: what compares engines under different loads.
func GapAlone(gap time.Duration, running int) time.Duration {
	return time.Duration(float64(gap) / (1 + crowding*float64(max(0, running-1))))
}

// tokenTime is an engine's token time with one more sample, in units of an empty
// usual engine's.
func (e Engine) tokenTime() float64 {
	pace := e.Pace
	if pace == 0 {
		pace = 1
	}
	return pace * (1 + crowding*float64(e.Running))
}

// Waiting is a sample that could start.
type Waiting struct {
	Batch      string
	Index      int
	Group      string
	MinVersion int64
	Remaining  int           // tokens expected still, 0 unknown
	Due        time.Duration // of its batch
	NotBefore  time.Duration // after a failed run
	Avoid      string        // engine that failed it last
	Had        int           // events had already
}

// Start puts a sample on an engine.
type Start struct {
	Waiting Waiting
	Engine  string
}

// Plan chooses which samples start now. Batches go by their due time. Within one,
// the longest samples go first: a step ends with its longest sample, and one that
// begins late ends late, while short ones fill what is left. Each goes to the
// engine that will make its tokens fastest, so the longest ones don't land on slow
// hardware. waiting is reordered.
func Plan(waiting []Waiting, engines []Engine, now time.Duration) []Start {
	slices.SortStableFunc(waiting, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(b.Remaining, a.Remaining))
	})
	free := slices.Clone(engines)
	var starts []Start
	for _, w := range waiting {
		if w.NotBefore > now {
			continue
		}
		at := fastest(free, w)
		if at < 0 {
			continue
		}
		free[at].Running++
		starts = append(starts, Start{Waiting: w, Engine: free[at].ID})
	}
	return starts
}

// fastest returns the index of the engine with the shortest token time among those
// with room and new enough weights, -1 if there is none. The engine that failed the
// sample last is taken only when no other has room.
func fastest(engines []Engine, w Waiting) int {
	best := -1
	for i, e := range engines {
		if e.Running >= e.Slots || e.Version < w.MinVersion || e.Slots == 0 {
			continue
		}
		if best < 0 || better(e, engines[best], w.Avoid) {
			best = i
		}
	}
	return best
}

func better(a, b Engine, avoid string) bool {
	if (a.ID == avoid) != (b.ID == avoid) {
		return b.ID == avoid
	}
	return a.tokenTime() < b.tokenTime()
}

// PlanInTurn starts samples in the order in which they came, each on the next engine
// in turn that has room and new enough weights. It is the baseline for Plan.
func PlanInTurn(waiting []Waiting, engines []Engine, now time.Duration) []Start {
	free := slices.Clone(engines)
	var starts []Start
	next := 0
	for _, w := range waiting {
		if w.NotBefore > now {
			continue
		}
		for range free {
			e := &free[next%len(free)]
			next++
			if e.Running < e.Slots && e.Version >= w.MinVersion {
				e.Running++
				starts = append(starts, Start{Waiting: w, Engine: e.ID})
				break
			}
		}
	}
	return starts
}
