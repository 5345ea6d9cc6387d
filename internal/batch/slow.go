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
	var gaps []time.Duration
	for _, p := range paces {
		if p.Gap > 0 {
			gaps = append(gaps, p.Gap)
		}
	}
	if len(gaps) < 2 {
		return nil
	}
	slices.Sort(gaps)
	usual := gaps[(len(gaps)-1)/2]
	var out []string
	for _, p := range paces {
		if float64(p.Gap) > slowFactor*float64(usual) {
			out = append(out, p.Engine)
		}
	}
	return out
}
