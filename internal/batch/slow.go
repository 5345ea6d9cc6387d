package batch

import (
	"slices"
	"time"
)

// EngineGap is the mean gap between two events of a sample on one engine.
type EngineGap struct {
	Engine string        // ID
	Gap    time.Duration // 0 if not known at present
}

// slowFactor is the ratio of an engine's gap to the median gap above which the engine counts
// as slow. A full engine is 1.4 times slower than an empty one, a disturbed one three times
// and more.
const slowFactor = 2.0

// SlowEngines returns the IDs of the engines that are much slower than the median. With fewer than
// two known gaps there are none.
func SlowEngines(gaps []EngineGap) []string {
	median := medianGap(gaps)
	var out []string
	for _, g := range gaps {
		if float64(g.Gap) > slowFactor*float64(median) {
			out = append(out, g.Engine)
		}
	}
	return out
}

// RelativeGaps returns each engine's gap relative to the median, by engine ID, so that
// a lookup gives 0 for an engine whose gap isn't known. The gaps must be those at equal load.
func RelativeGaps(gaps []EngineGap) map[string]float64 {
	out := map[string]float64{}
	median := medianGap(gaps)
	for _, p := range gaps {
		if p.Gap > 0 && median > 0 {
			out[p.Engine] = float64(p.Gap) / float64(median)
		}
	}
	return out
}

// medianGap returns the lower median of the known gaps, 0 if none is known.
func medianGap(gaps []EngineGap) time.Duration {
	var known []time.Duration
	for _, p := range gaps {
		if p.Gap > 0 {
			known = append(known, p.Gap)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
