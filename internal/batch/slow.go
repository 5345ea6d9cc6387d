package batch

import (
	"slices"
	"time"
)

// Pace is an engine's mean gap between the events of its samples.
type Pace struct {
	Engine string
	Gap    time.Duration // 0: not known now
}

// slowFactor: an engine whose gap exceeds the median of its peers by this factor
// holds its samples up. A full engine is 1.4 times slower than an empty one, a
// disturbed one three times and more.
const slowFactor = 2.0

// Slow returns the engines that are much slower than the others. With fewer than
// two known gaps nothing can be compared.
func Slow(paces []Pace) []string {
	usual := median(paces)
	var out []string
	for _, p := range paces {
		if float64(p.Gap) > slowFactor*float64(usual) {
			out = append(out, p.Engine)
		}
	}
	return out
}

// Relative returns each engine's pace beside the median of the known ones, 0 for an
// unknown one. The gaps are those at equal load.
func Relative(paces []Pace) map[string]float64 {
	out := map[string]float64{}
	usual := median(paces)
	for _, p := range paces {
		if p.Gap > 0 && usual > 0 {
			out[p.Engine] = float64(p.Gap) / float64(usual)
		}
	}
	return out
}

// median is the lower median of the known gaps, 0 if none is known.
func median(paces []Pace) time.Duration {
	var gaps []time.Duration
	for _, p := range paces {
		if p.Gap > 0 {
			gaps = append(gaps, p.Gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}
