package routing

import (
	"cmp"
	"math"
	"slices"
)

// The reserve is a small set of upstreams that bulk rollouts avoid, so that
// latency-sensitive requests run at nearly the speed of an idle upstream. A request
// is latency-sensitive if it is production or step-critical, that is, likely to
// determine when its step ends. All other rollouts are bulk.
//
// Engines have no priorities, and every concurrent request slows down all others:
// with slots reserved on each engine instead, every production token would still be
// as slow as the batch that it runs in. Daemons agree on the reserved members
// without communication: these are the first ones by hash, except for members known
// to be slow.

const (
	// maxReserveFraction is the maximum size of the reserve, as a fraction of the
	// eligible members.
	maxReserveFraction = 1.0 / 3
	// maxReserveSlowdown is the maximum slowdown of a reserved member.
	maxReserveSlowdown = 1.1
	// minBulkPerMember is the recent peak of bulk requests in flight per eligible
	// member from which on members are reserved. With less bulk it is better
	// to spread all requests over all members.
	minBulkPerMember = 12.0
	// bulkPeakDecay is the factor by which that peak decays with each update of the
	// reserve. With an update every 50 ms the half-life is about 3 minutes, so that the
	// reserve of one step is still there when the next step starts.
	bulkPeakDecay = 0.9998
	// affinityShareFactor bounds a daemon's own requests in flight at an upstream that
	// it picks by prefix for production, as a multiple of the daemon's equal share of
	// the affinity bound.
	affinityShareFactor = 1.5
	// expectedTokensWeight is the weight of a new value in the moving average of
	// expected lengths.
	expectedTokensWeight = 0.02
)

// UpdateReserve updates the reserve. inFlight is the number of latency-sensitive requests
// in flight over all daemons; as many members are reserved as these fill, up to a
// third of the eligible ones. None is reserved if inFlight is 0 or if there was little
// bulk recently. Call it about every 50 ms.
func (t *Table) UpdateReserve(inFlight float64) {
	remaining := 0
	t.bulkPeak = max(t.sumLoad-inFlight, t.bulkPeak*bulkPeakDecay)
	if inFlight > 0 && t.bulkPeak >= minBulkPerMember*float64(len(t.eligible.items)) {
		maxSize := math.Floor(maxReserveFraction * float64(len(t.eligible.items)))
		remaining = int(min(maxSize, math.Ceil(inFlight/t.options.MaxReserveLoad)))
	}
	t.reserveOrderEnd = 0
	for at, i := range t.reserveOrder {
		reserved := remaining > 0 && t.eligible.position[i] >= 0 && t.slowdown(&t.pickStates[i], ClassProduction) <= maxReserveSlowdown
		if reserved {
			remaining--
			t.reserveOrderEnd = at + 1
		}
		t.reserve.set(int(i), reserved)
	}
}

// ReserveSize returns the number of reserved members.
func (t *Table) ReserveSize() int { return len(t.reserve.items) }

// LatencySensitive reports whether a request is latency-sensitive and may therefore use the
// reserve: production, and step-critical rollouts.
func (t *Table) LatencySensitive(r Request) bool {
	return r.Class == ClassProduction || t.stepCritical(&r)
}

// stepCritical reports whether a rollout is likely to be among the last of its step to
// end, because it is a straggler or is expected to be long.
func (t *Table) stepCritical(r *Request) bool {
	if r.Straggler {
		return true
	}
	long := t.meanExpectedTokens > 0 && float64(r.ExpectedTokens) >= t.options.LongSampleFactor*t.meanExpectedTokens
	return long && r.Class == ClassRollout
}

// observeExpectedTokens updates the mean expected length of rollouts.
func (t *Table) observeExpectedTokens(r *Request) {
	switch {
	case r.Class != ClassRollout || r.ExpectedTokens <= 0:
	case t.meanExpectedTokens == 0:
		t.meanExpectedTokens = float64(r.ExpectedTokens)
	default:
		t.meanExpectedTokens += expectedTokensWeight * (float64(r.ExpectedTokens) - t.meanExpectedTokens)
	}
}

// excludedByReserve reports whether a member is reserved and the request is bulk, so
// that it must go elsewhere.
func (t *Table) excludedByReserve(i int, r *Request) bool {
	return r.Class == ClassRollout && !t.ignoreReserve && len(t.reserve.items) > 0 && t.reserve.position[i] >= 0 && !t.stepCritical(r)
}

// pickReserve returns a reserved member with capacity: the one with the highest
// rendezvous score for the prefix among those within the affinity bound, else the
// cheapest. It returns noMember if none accepts the request.
func (t *Table) pickReserve(r *Request) int {
	if len(t.reserve.items) > maxFullScan {
		return t.pickLargeReserve(r)
	}
	best, lowestCost := noMember, math.Inf(1)
	preferred, highestScore := noMember, uint64(0)
	bound := t.reserveAffinityBound()
	for _, i := range t.reserve.items {
		p := &t.pickStates[i]
		load := t.equivalentLoad(p, r.Class)
		if !t.reserveAccepts(int(i), load, r) {
			continue
		}
		if cost := t.cost(p, r.Class); cost < lowestCost {
			best, lowestCost = int(i), cost
		}
		if score := rendezvousScore(r.Prefix, t.hashes[i]); r.Prefix != 0 && load <= bound && score >= highestScore && t.withinAffinityShare(int(i), bound, r) {
			preferred, highestScore = int(i), score
		}
	}
	if preferred != noMember {
		return preferred
	}
	return best
}

// SetDaemonCount sets the number of daemons that use the group, including this one.
func (t *Table) SetDaemonCount(n int) { t.daemonCount = n }

// withinAffinityShare reports whether one more request may be sent to a member for
// prefix affinity. The affinity bound of a member is divided between the daemons for
// production requests: these arrive at all daemons alike and a daemon learns with a
// delay what the others sent, so if each filled a preferred member up to the bound,
// together they would exceed it. bound is the affinity bound in requests.
func (t *Table) withinAffinityShare(i int, bound float64, r *Request) bool {
	if r.Class != ClassProduction || t.daemonCount <= 1 {
		return true
	}
	return float64(t.members[i].OwnInFlight) < max(1, affinityShareFactor*bound/float64(t.daemonCount))
}

// reserveAccepts reports whether a reserved member may take one more request. load is
// its equivalent load including that request.
func (t *Table) reserveAccepts(i int, load float64, r *Request) bool {
	p := &t.pickStates[i]
	return load <= t.options.MaxReserveLoad*p.weight && t.hasCapacity(p) && t.canServe(i, r)
}

// pickLargeReserve returns the first of at most maxProbes consecutive members in
// reserveOrder that accepts the request. The prefix determines the first position
// probed; without a prefix it is random.
func (t *Table) pickLargeReserve(r *Request) int {
	span := uint64(t.reserveOrderEnd)
	from := r.Prefix % span
	if r.Prefix == 0 {
		from = uint64(t.random.intn(t.reserveOrderEnd))
	}
	for n := range uint64(maxProbes) {
		i := t.reserveOrder[(from+n)%span]
		if t.reserve.position[i] >= 0 && t.reserveAccepts(int(i), t.equivalentLoad(&t.pickStates[i], r.Class), r) {
			return int(i)
		}
	}
	return noMember
}

// reserveAffinityBound returns the maximum equivalent load, in requests, up to which a
// reserved member is picked for its rendezvous score.
func (t *Table) reserveAffinityBound() float64 {
	sum := 0.0
	for _, i := range t.reserve.items {
		sum += t.currentLoad(&t.pickStates[i])
	}
	mean := (sum + 1) / float64(max(1, len(t.reserve.items)))
	return max(minAffinityBound, t.options.PrefixLoadFactor*(mean+1))
}

// sortReserveOrder orders the members by hash. They are reserved in this order.
func (t *Table) sortReserveOrder() {
	t.reserveOrder = make([]int32, len(t.members))
	for i := range t.reserveOrder {
		t.reserveOrder[i] = int32(i)
	}
	slices.SortFunc(t.reserveOrder, func(a, b int32) int { return cmp.Compare(t.hashes[a], t.hashes[b]) })
}
