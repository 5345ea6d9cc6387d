package routing

import (
	"math/bits"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// The slowdown of an upstream is the PM-Score of "PAL: a variability-aware policy for
// scheduling ML workloads in GPU clusters", section III: the time of a job on one
// accelerator divided by its time on the median one, by class of job, because classes
// vary differently. In PAL the score is profiled in advance. Here it is learnt from the
// token times of live requests, as the paper recommends where profiles become stale.
// PAL groups scores into K-means bins to make a search over sets of accelerators cheap.
// Here one upstream at a time is picked from a sorted list, so it is enough to treat
// scores near the median as 1.
const (
	// minTokenTimeWeight is the weight of a new token time in the moving average once
	// many have been observed.
	minTokenTimeWeight = 0.1
	// medianBand is the difference from 1 below which a slowdown is treated as 1.
	medianBand = 0.12
	// minObservations is the number of token times of a class that must be observed
	// before the estimate for that class is used.
	minObservations = 3
	// maxTokenTimeRatio limits the effect of a single outlier. The ratio of an observed
	// to the expected token time is clamped to it and to its inverse.
	maxTokenTimeRatio = 8.0
	// concurrencyBuckets is the number of ranges of concurrency, by powers of two.
	concurrencyBuckets = 16
	// maxEstimates is the number of upstreams from which on the estimates of those that
	// have left are dropped.
	maxEstimates = 32768
)

// tokenTimeEstimate is the normalised token time of one upstream for one class.
type tokenTimeEstimate struct {
	normalised   float64 // token time divided by the group's at a similar concurrency
	observations int
}

// tokenTimes estimates token times from observations. The members are kept sorted, so
// the median is available at no cost and an observation moves one element by a few
// positions.
type tokenTimes struct {
	estimates map[ident.Upstream]*[classCount]tokenTimeEstimate
	// fastestFirst holds the members with at least minObservations, fastest first.
	fastestFirst [classCount][]int32
	position     [classCount][]int32 // position in fastestFirst by member, -1 if absent
	// expected is the token time, in ns, at a normalised token time of 1, by bucket of
	// concurrency.
	expected [classCount][concurrencyBuckets]float64
}

// rebuild sorts a new member list and drops the estimates of upstreams that have left
// once there are more than maxEstimates. index holds the position of each member.
func (t *tokenTimes) rebuild(members []Upstream, index map[ident.Upstream]int) {
	if len(t.estimates) > maxEstimates {
		for name := range t.estimates {
			if _, member := index[name]; !member {
				delete(t.estimates, name)
			}
		}
	}
	for c := range classCount {
		t.fastestFirst[c] = t.fastestFirst[c][:0]
		t.position[c] = make([]int32, len(members))
		for i := range members {
			if t.normalised(members[i].Name, Class(c)) > 0 {
				t.fastestFirst[c] = append(t.fastestFirst[c], int32(i))
			}
		}
		slices.SortStableFunc(t.fastestFirst[c], func(a, b int32) int {
			return compareFloats(t.estimates[members[a].Name][c].normalised, t.estimates[members[b].Name][c].normalised)
		})
		for i := range t.position[c] {
			t.position[c][i] = -1
		}
		for at, i := range t.fastestFirst[c] {
			t.position[c][i] = int32(at)
		}
	}
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// normalised returns the normalised token time of an upstream, or 0 while it has fewer
// than minObservations.
func (t *tokenTimes) normalised(name ident.Upstream, c Class) float64 {
	estimates := t.estimates[name]
	if estimates == nil || estimates[c].observations < minObservations {
		return 0
	}
	return estimates[c].normalised
}

// ObserveTokenTime updates the estimate of an upstream with the mean time per token of
// one request. concurrency is the number of requests that were in flight there. Times
// of 0 or less are ignored.
func (t *Table) ObserveTokenTime(name ident.Upstream, c Class, perToken time.Duration, concurrency int) {
	i, ok := t.indexByName[name]
	if !ok || perToken <= 0 || c >= classCount {
		return
	}
	times := &t.tokenTimes
	estimates := times.estimates[name]
	if estimates == nil {
		estimates = &[classCount]tokenTimeEstimate{{normalised: 1}, {normalised: 1}}
		times.estimates[name] = estimates
	}
	estimates[c].observe(times.normalise(c, perToken, concurrency, estimates[c].normalised))
	if estimates[c].observations < minObservations {
		return
	}
	t.pickStates[i].tokenTime[c] = estimates[c].normalised
	t.moveInSpeedOrder(c, i)
}

// normalise returns a token time divided by the expected one at a similar concurrency,
// and updates the expected one. normalised is the upstream's current estimate. The
// expected time is updated with the observed time divided by that estimate; otherwise a
// slow upstream that always runs at the same concurrency would define what is expected
// there.
func (t *tokenTimes) normalise(c Class, perToken time.Duration, concurrency int, normalised float64) float64 {
	bucket := min(concurrencyBuckets-1, bits.Len(uint(max(0, concurrency))))
	expected := &t.expected[c][bucket]
	observed := float64(perToken)
	if *expected == 0 {
		*expected = observed / normalised
	}
	ratio := min(maxTokenTimeRatio, max(1/maxTokenTimeRatio, observed / *expected))
	*expected += minTokenTimeWeight * (ratio**expected/normalised - *expected)
	return ratio
}

// observe adds the ratio of an observed to the expected token time to the estimate: a
// plain mean at first, then an exponential moving average.
func (e *tokenTimeEstimate) observe(ratio float64) {
	e.observations++
	weight := max(minTokenTimeWeight, 1/float64(e.observations))
	e.normalised += weight * (ratio - e.normalised)
}

// moveInSpeedOrder moves a member to its position in fastestFirst after its token time
// for a class has changed.
func (t *Table) moveInSpeedOrder(c Class, i int) {
	order, position := t.tokenTimes.fastestFirst[c], t.tokenTimes.position[c]
	if position[i] < 0 {
		position[i] = int32(len(order))
		order = append(order, int32(i))
		t.tokenTimes.fastestFirst[c] = order
	}
	tokenTime := t.pickStates[i].tokenTime[c]
	pos := int(position[i])
	for ; pos > 0 && t.pickStates[order[pos-1]].tokenTime[c] > tokenTime; pos-- {
		order[pos] = order[pos-1]
		position[order[pos]] = int32(pos)
	}
	for ; pos < len(order)-1 && t.pickStates[order[pos+1]].tokenTime[c] < tokenTime; pos++ {
		order[pos] = order[pos+1]
		position[order[pos]] = int32(pos)
	}
	order[pos] = int32(i)
	position[i] = int32(pos)
}

// medianTokenTime returns the median normalised token time of a class, or 0 if none is
// known.
func (t *Table) medianTokenTime(c Class) float64 {
	order := t.tokenTimes.fastestFirst[c]
	if len(order) == 0 {
		return 0
	}
	return t.pickStates[order[(len(order)-1)/2]].tokenTime[c]
}

// Slowdown returns the slowdown of an upstream relative to the median: 1 is the median,
// 1.5 is 50% slower. While it is not known for a class, that of the other class is used,
// and 1 if neither is known.
func (t *Table) Slowdown(name ident.Upstream, c Class) float64 {
	i, ok := t.indexByName[name]
	if !ok || c >= classCount {
		return 1
	}
	return t.slowdown(&t.pickStates[i], c)
}

// slowdown is Slowdown for the state of a member.
func (t *Table) slowdown(p *pickState, c Class) float64 {
	if t.options.IgnoreSpeed {
		return 1
	}
	if p.tokenTime[c] == 0 {
		c = 1 - c
	}
	if p.tokenTime[c] == 0 {
		return 1
	}
	return roundNearMedian(p.tokenTime[c] / t.medianTokenTime(c))
}

// roundNearMedian rounds a slowdown near 1 to 1. Such differences are noise, and would
// move prefixes back and forth between upstreams. The K-means bins of PAL have the same
// effect on its profiles.
func roundNearMedian(slowdown float64) float64 {
	if slowdown > 1-medianBand && slowdown < 1+medianBand {
		return 1
	}
	return slowdown
}
