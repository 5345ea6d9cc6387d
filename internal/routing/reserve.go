package routing

import (
	"cmp"
	"math"
	"slices"
)

// The reserve is a few upstreams that bulk rollouts keep off, so that what a
// person or a step's end waits for runs at nearly the speed of an idle upstream.
// Engines know no priority and slow each stream down by the others: a reserve of
// places on each engine still leaves every production token as slow as the batch
// around it. Daemons agree on the members without talking: they are the first by
// hash, but for those known to be slow.

const (
	// reserveShare bounds the reserve, as a share of the live members.
	reserveShare = 1.0 / 3
	// reserveSlowest is the speed score up to which a member may be reserved.
	reserveSlowest = 1.1
	// leastBulk is the bulk in flight a member, at its peak of late, from which on a
	// reserve pays: below it the members do best alike.
	leastBulk = 12.0
	// bulkKept is what a call of SetReserve leaves of that peak: with one each 50 ms,
	// half after some 3 minutes, so that a step meets the reserve of the last one.
	bulkKept = 0.9998
	// ownPart is how much of its even part of a bound a daemon's own production
	// takes by affinity.
	ownPart = 1.5
	// lengthRate is the weight of a new expected length in their mean.
	lengthRate = 0.02
)

// SetReserve sets how much sensitive work is in flight, over all daemons, and
// reserves as many members as that fills, up to a third. It reserves none for 0,
// or while there is little bulk. Call it each 50 ms or so.
func (t *Table) SetReserve(inFlight float64) {
	want := 0
	t.bulkPeak = max(t.sumLoad-inFlight, t.bulkPeak*bulkKept)
	if inFlight > 0 && t.bulkPeak >= leastBulk*float64(len(t.live.items)) {
		most := math.Floor(reserveShare * float64(len(t.live.items)))
		want = int(min(most, math.Ceil(inFlight/t.options.ReserveLoad)))
	}
	t.reserveSpan = 0
	for at, i := range t.reserveBy {
		in := want > 0 && t.live.at[i] >= 0 && t.speedOf(&t.hot[i], ClassProduction) <= reserveSlowest
		if in {
			want--
			t.reserveSpan = at + 1
		}
		t.reserve.set(int(i), in)
	}
}

// Reserved returns how many members are reserved.
func (t *Table) Reserved() int { return len(t.reserve.items) }

// Sensitive says whether a request may use the reserve: production, and what
// decides when a step ends.
func (t *Table) Sensitive(r Request) bool {
	return r.Class == ClassProduction || t.decides(&r)
}

// decides says whether a rollout is likely to be among the last of its step.
func (t *Table) decides(r *Request) bool {
	if r.Straggler {
		return true
	}
	long := t.meanTokens > 0 && float64(r.ExpectedTokens) >= t.options.LongFactor*t.meanTokens
	return long && r.Class == ClassRollout
}

// noteLength learns the mean expected length of rollouts.
func (t *Table) noteLength(r *Request) {
	switch {
	case r.Class != ClassRollout || r.ExpectedTokens <= 0:
	case t.meanTokens == 0:
		t.meanTokens = float64(r.ExpectedTokens)
	default:
		t.meanTokens += lengthRate * (float64(r.ExpectedTokens) - t.meanTokens)
	}
}

// kept says whether a member is kept free of this request.
func (t *Table) kept(i int, r *Request) bool {
	return r.Class == ClassRollout && !t.spill && len(t.reserve.items) > 0 && t.reserve.at[i] >= 0 && !t.decides(r)
}

// pickReserve takes a reserved member with room: the one that rendezvous hashing
// names for the prefix while it keeps to the bound, else the cheapest.
func (t *Table) pickReserve(r *Request) int {
	if len(t.reserve.items) > scanUpTo {
		return t.pickLargeReserve(r)
	}
	best, lowest := none, math.Inf(1)
	affine, highest := none, uint64(0)
	bound := t.reserveBound()
	for _, i := range t.reserve.items {
		h := &t.hot[i]
		busy := t.busy(h, r.Class)
		if !t.takes(int(i), busy, r) {
			continue
		}
		if cost := t.cost(h, r.Class); cost < lowest {
			best, lowest = int(i), cost
		}
		if rank := pair(r.Prefix, t.hashes[i]); r.Prefix != 0 && busy <= bound && rank >= highest && t.inPart(int(i), bound, r) {
			affine, highest = int(i), rank
		}
	}
	if affine != none {
		return affine
	}
	return best
}

// SetDaemons sets how many daemons use the group, this one too.
func (t *Table) SetDaemons(n int) { t.daemons = n }

// inPart says whether affinity may take one more production request to a member.
// Callers come to all daemons alike and news of the others is late: if each filled
// a preferred member up to the bound, they would together overrun it.
func (t *Table) inPart(i int, bound float64, r *Request) bool {
	if r.Class != ClassProduction || t.daemons <= 1 {
		return true
	}
	return float64(t.members[i].Own) < max(1, ownPart*bound/float64(t.daemons))
}

// takes says whether a reserved member takes one more request.
func (t *Table) takes(i int, busy float64, r *Request) bool {
	h := &t.hot[i]
	return busy <= t.options.ReserveLoad*h.weight && t.room(h) && t.suits(i, r)
}

// pickLargeReserve looks at a few members from the prefix's place on, or from
// anywhere without one, in the order in which members are reserved.
func (t *Table) pickLargeReserve(r *Request) int {
	span := uint64(t.reserveSpan)
	from := r.Prefix % span
	if r.Prefix == 0 {
		from = uint64(t.random.below(t.reserveSpan))
	}
	for n := range uint64(tries) {
		i := t.reserveBy[(from+n)%span]
		if t.reserve.at[i] >= 0 && t.takes(int(i), t.busy(&t.hot[i], r.Class), r) {
			return int(i)
		}
	}
	return none
}

// reserveBound is what a reserved member may be loaded to by affinity.
func (t *Table) reserveBound() float64 {
	sum := 0.0
	for _, i := range t.reserve.items {
		sum += t.loadOf(&t.hot[i])
	}
	mean := (sum + 1) / float64(max(1, len(t.reserve.items)))
	return max(leastBound, t.options.PrefixLoadFactor*(mean+1))
}

func (t *Table) orderReserve() {
	t.reserveBy = make([]int32, len(t.members))
	for i := range t.reserveBy {
		t.reserveBy[i] = int32(i)
	}
	slices.SortFunc(t.reserveBy, func(a, b int32) int { return cmp.Compare(t.hashes[a], t.hashes[b]) })
}
