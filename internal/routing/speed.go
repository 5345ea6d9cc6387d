package routing

import (
	"math/bits"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// The speed score is the PM-Score of "PAL: a variability-aware policy for
// scheduling ML workloads in GPU clusters", section III: a job's time on one
// accelerator over its time on the median one, by class of job, since classes
// vary differently. Theirs is profiled ahead; ours is learnt from the token times
// of live requests, as the paper itself advises where profiles go stale.
// Instead of their K-means bins, which make a search over sets of accelerators cheap,
// scores near the median count as 1: we pick one upstream at a time from a sorted list.
const (
	// slowestRate is the weight of a new token time once many are known.
	slowestRate = 0.1
	// nearMedian is how far from 1 a score must be to count.
	nearMedian = 0.12
	// enough observations of a class before its own score counts.
	enough = 3
	// clampRatio bounds what one odd token time does to a score.
	clampRatio = 8.0
	// concurrencies is the number of classes of concurrency, by powers of two.
	concurrencies = 16
	// maxRemembered bounds the scores kept of upstreams that have left.
	maxRemembered = 32768
)

// score is one upstream's normalised token time for one class.
type score struct {
	token float64 // token time over the group's at a like concurrency
	count int
}

// speeds learns token times. The median is the middle of a sorted list, so that
// reading it costs nothing, and an observation moves one element a few places.
type speeds struct {
	known map[ident.Upstream]*[classes]score
	// order holds the members with enough observations, fastest first.
	order [classes][]int32
	at    [classes][]int32 // position in order, -1 if absent
	// group is the token time, in ns, expected of a score of 1, by concurrency.
	group [classes][concurrencies]float64
}

// rebuild renews the orders for a new member list and forgets scores of upstreams that
// left once there are too many.
func (s *speeds) rebuild(members []Upstream, index map[ident.Upstream]int) {
	if len(s.known) > maxRemembered {
		for name := range s.known {
			if _, member := index[name]; !member {
				delete(s.known, name)
			}
		}
	}
	for c := range classes {
		s.order[c] = s.order[c][:0]
		s.at[c] = make([]int32, len(members))
		for i := range members {
			if s.tokenOf(members[i].Name, Class(c)) > 0 {
				s.order[c] = append(s.order[c], int32(i))
			}
		}
		slices.SortStableFunc(s.order[c], func(a, b int32) int {
			return compare(s.known[members[a].Name][c].token, s.known[members[b].Name][c].token)
		})
		for i := range s.at[c] {
			s.at[c][i] = -1
		}
		for at, i := range s.order[c] {
			s.at[c][i] = int32(at)
		}
	}
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// tokenOf returns the normalised token time, 0 while too little is known.
func (s *speeds) tokenOf(name ident.Upstream, c Class) float64 {
	k := s.known[name]
	if k == nil || k[c].count < enough {
		return 0
	}
	return k[c].token
}

// ObserveTokenTime learns from the mean time per token of one request, and the
// number of requests that were in flight there. Times of 0 or less are ignored.
func (t *Table) ObserveTokenTime(name ident.Upstream, c Class, perToken time.Duration, concurrency int) {
	i, ok := t.index[name]
	if !ok || perToken <= 0 || c >= classes {
		return
	}
	s := &t.speeds
	k := s.known[name]
	if k == nil {
		k = &[classes]score{{token: 1}, {token: 1}}
		s.known[name] = k
	}
	k[c].observe(s.ratio(c, perToken, concurrency, k[c].token))
	if k[c].count < enough {
		return
	}
	t.hot[i].token[c] = k[c].token
	t.reorder(c, i)
}

// ratio compares a token time with the group's at a like concurrency, and lets
// the group's learn from it. The group learns from the time divided by the
// upstream's own score, so that a slow one which always runs at one concurrency
// doesn't pass for normal there.
func (s *speeds) ratio(c Class, perToken time.Duration, concurrency int, token float64) float64 {
	like := min(concurrencies-1, bits.Len(uint(max(0, concurrency))))
	group := &s.group[c][like]
	took := float64(perToken)
	if *group == 0 {
		*group = took / token
	}
	ratio := min(clampRatio, max(1/clampRatio, took / *group))
	*group += slowestRate * (ratio**group/token - *group)
	return ratio
}

func (s *score) observe(ratio float64) {
	s.count++
	rate := max(slowestRate, 1/float64(s.count))
	s.token += rate * (ratio - s.token)
}

// reorder moves a member to its place in the order of its class.
func (t *Table) reorder(c Class, i int) {
	order, at := t.speeds.order[c], t.speeds.at[c]
	if at[i] < 0 {
		at[i] = int32(len(order))
		order = append(order, int32(i))
		t.speeds.order[c] = order
	}
	token := t.hot[i].token[c]
	p := int(at[i])
	for ; p > 0 && t.hot[order[p-1]].token[c] > token; p-- {
		order[p] = order[p-1]
		at[order[p]] = int32(p)
	}
	for ; p < len(order)-1 && t.hot[order[p+1]].token[c] < token; p++ {
		order[p] = order[p+1]
		at[order[p]] = int32(p)
	}
	order[p] = int32(i)
	at[i] = int32(p)
}

// median returns the middle token time of a class, 0 if none is known.
func (t *Table) median(c Class) float64 {
	order := t.speeds.order[c]
	if len(order) == 0 {
		return 0
	}
	return t.hot[order[(len(order)-1)/2]].token[c]
}

// Speed returns the score of an upstream: 1 is the median, 1.5 is 50% slower. A
// class that isn't known yet borrows the other's; 1 if neither is.
func (t *Table) Speed(name ident.Upstream, c Class) float64 {
	i, ok := t.index[name]
	if !ok || c >= classes {
		return 1
	}
	return t.speedOf(&t.hot[i], c)
}

func (t *Table) speedOf(h *hot, c Class) float64 {
	if t.options.IgnoreSpeed {
		return 1
	}
	if h.token[c] == 0 {
		c = 1 - c
	}
	if h.token[c] == 0 {
		return 1
	}
	return binned(h.token[c] / t.median(c))
}

// binned takes scores near the median's for 1: their differences are noise, and
// would move prefixes from one upstream to another and back. PAL's K-means bins
// do the same for its profiles.
func binned(score float64) float64 {
	if score > 1-nearMedian && score < 1+nearMedian {
		return 1
	}
	return score
}
