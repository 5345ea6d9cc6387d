package batch

import (
	"cmp"
	"slices"
	"time"
)

// Engine is the state of an engine that a plan depends on.
type Engine struct {
	ID      string
	Version int64 // weights version that it serves, 0 if unknown
	Running int   // number of samples of this daemon that it runs
	Slots   int   // number of samples that it may run at once
	// RelativeGap is its gap between events relative to the median engine's at equal load, 0 if
	// unknown. An engine on slower hardware has 1.3, for example.
	RelativeGap float64
}

// gapIncreasePerSample is by how much the gap between a sample's events grows with each
// further sample that the engine runs, relative to the gap of a sample that runs alone. It was
// measured on the engines of the deployments: a token takes 0.632 ms, and 0.0149 ms longer for
// each further sample.
const gapIncreasePerSample = 0.024

// UnloadedGap converts the gap between a sample's events on an engine, which runs the given number
// of samples, to the gap that the sample would have alone. This makes engines under different
// loads comparable.
func UnloadedGap(gap time.Duration, running int) time.Duration {
	return time.Duration(float64(gap) / (1 + gapIncreasePerSample*float64(max(0, running-1))))
}

// nextSampleGap returns the gap between events that the engine would have with one more
// sample, relative to the gap of a median engine that runs one sample.
func (e Engine) nextSampleGap() float64 {
	relativeGap := e.RelativeGap
	if relativeGap == 0 {
		relativeGap = 1
	}
	return relativeGap * (1 + gapIncreasePerSample*float64(e.Running))
}

// WaitingSample is a sample that waits for a slot on an engine. Its times are on the caller's
// clock.
type WaitingSample struct {
	Batch       string // key of the batch
	Index       int    // of the sample in the batch
	Group       string
	MinVersion  int64         // oldest weights version that may run it
	Remaining   time.Duration // estimated run time that is left
	Due         time.Duration // when its batch should be complete
	NotBefore   time.Duration // earliest start after a failed run
	AvoidEngine string        // ID of the engine on which it failed last, "" if none
	Events      int           // number of events that are generated already
	// TextVersion is the weights version of these events if the batch allows only one, otherwise 0.
	// On an engine with another version the sample starts anew.
	TextVersion int64
}

// Placement assigns a waiting sample to an engine.
type Placement struct {
	Sample WaitingSample
	Engine string // ID
}

// latestStart returns when the sample must start to be complete when its batch is due.
func (w WaitingSample) latestStart() time.Duration { return w.Due - w.Remaining }

// Planner chooses which samples start on which engines. Each field switches a mechanism off.
type Planner struct {
	ArrivalOrder         bool // samples start in the order of arrival, not by their latest start
	IgnoreScarceVersions bool // engines with scarce weights aren't reserved for the samples that need them
	IgnoreSpeed          bool // the speed of the engines' hardware is ignored
}

// Plan chooses the samples that start now. Those with the earliest latest start go first.
// Within a batch these are the longest ones: a step ends with its longest sample, which must
// not start late, while short samples fill the slots that are left. If two steps of a trainer
// are open at once, the long samples of the later step go before the short ones of the
// earlier step. Each sample goes to the engine that will generate its tokens fastest, so the
// longest samples avoid slow hardware. Plan reorders waiting.
func (p Planner) Plan(waiting []WaitingSample, engines []Engine, now time.Duration) []Placement {
	if !p.ArrivalOrder {
		slices.SortStableFunc(waiting, func(a, b WaitingSample) int {
			return cmp.Or(cmp.Compare(a.latestStart(), b.latestStart()), cmp.Compare(b.Remaining, a.Remaining))
		})
	}
	free := slices.Clone(engines)
	scarceVersion := p.findScarceVersion(waiting)
	if p.IgnoreSpeed {
		for i := range free {
			free[i].RelativeGap = 0
		}
	}
	var starts []Placement
	for _, w := range waiting {
		if w.NotBefore > now {
			continue
		}
		chosen := fastestEngine(free, w, scarceVersion)
		if chosen < 0 {
			continue
		}
		free[chosen].Running++
		starts = append(starts, Placement{Sample: w, Engine: free[chosen].ID})
	}
	return starts
}

// findScarceVersion returns the newest weights version that a waiting sample needs, 0 if all
// need the same one. While two steps are open and the later one's version has just been
// published, perhaps one engine of three has loaded it. If samples of the earlier step filled
// that engine, the later step would wait for seconds while engines with older weights have
// free slots.
func (p Planner) findScarceVersion(waiting []WaitingSample) int64 {
	if p.IgnoreScarceVersions || len(waiting) == 0 {
		return 0
	}
	byVersion := func(a, b WaitingSample) int { return cmp.Compare(a.MinVersion, b.MinVersion) }
	newest := slices.MaxFunc(waiting, byVersion).MinVersion
	if newest == slices.MinFunc(waiting, byVersion).MinVersion {
		return 0
	}
	return newest
}

// fastestEngine returns the index of the fastest engine that has a free slot and weights new
// enough for the sample, -1 if there is none. The engine on which the sample failed last is
// chosen only if no other has a free slot. So is, for samples that don't need it, an engine
// that serves the scarce version or a newer one.
func fastestEngine(engines []Engine, w WaitingSample, scarceVersion int64) int {
	best := -1
	for i, e := range engines {
		if e.Running >= e.Slots || e.Version < w.MinVersion || e.Slots == 0 {
			continue
		}
		if best < 0 || preferred(e, engines[best], w, scarceVersion) {
			best = i
		}
	}
	return best
}

// preferred reports whether engine a is a better choice for the sample than engine b.
func preferred(a, b Engine, w WaitingSample, scarceVersion int64) bool {
	if (a.ID == w.AvoidEngine) != (b.ID == w.AvoidEngine) {
		return b.ID == w.AvoidEngine
	}
	if w.TextVersion != 0 && (a.Version == w.TextVersion) != (b.Version == w.TextVersion) {
		return a.Version == w.TextVersion
	}
	if scarceOnA := a.Version >= scarceVersion; w.MinVersion < scarceVersion && scarceOnA != (b.Version >= scarceVersion) {
		return !scarceOnA
	}
	return a.nextSampleGap() < b.nextSampleGap()
}

// PlanRoundRobin starts samples in the order of arrival, each on the next engine in round-robin
// order that has a free slot and new enough weights. It is the baseline that Plan is compared
// with.
func PlanRoundRobin(waiting []WaitingSample, engines []Engine, now time.Duration) []Placement {
	free := slices.Clone(engines)
	var starts []Placement
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
				starts = append(starts, Placement{Sample: w, Engine: e.ID})
				break
			}
		}
	}
	return starts
}
