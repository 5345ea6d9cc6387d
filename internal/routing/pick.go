package routing

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

const (
	// maxFastestTried is the number of fastest members considered for a step-critical
	// request before it is placed like any other.
	maxFastestTried = 32
	// maxProbes is the maximum number of random members examined to find Choices
	// suitable ones.
	maxProbes = 16
	// minAffinityBound is the lowest affinity bound, in requests. It preserves prefix
	// affinity in an idle group: a member of median speed still takes a second request
	// with the same prefix.
	minAffinityBound = 2.5
	// noMember is returned in place of an index when no member can be picked.
	noMember = -1
)

// Pick chooses an upstream for a request. It returns false if no eligible upstream can
// serve the request. Upstreams at their concurrency limit are picked only if all are.
// Pick does not allocate. The caller must add the request to those in flight once it is
// sent.
func (t *Table) Pick(r Request, now time.Time) (ident.Upstream, bool) {
	t.AdvanceClock(now)
	t.expireNextReport()
	if r.Class >= classCount {
		r.Class = ClassRollout
	}
	t.observeExpectedTokens(&r)
	i := t.pick(&r)
	if i == noMember && len(t.reserve.items) > 0 && !t.ignoreReserve {
		t.ignoreReserve = true // a reserved member is better than none
		i = t.pick(&r)
		t.ignoreReserve = false
	}
	if i == noMember {
		return "", false
	}
	return t.members[i].Name, true
}

// pick returns the index of the member for a request, or noMember. The package comment
// lists the rules.
func (t *Table) pick(r *Request) int {
	if r.Only != "" {
		return t.pickOnly(r)
	}
	if t.LatencySensitive(*r) {
		if i := t.pickReserve(r); i != noMember {
			return i
		}
	}
	critical := t.stepCritical(r)
	if critical {
		if i := t.pickFastest(r); i != noMember {
			return i
		}
	}
	if r.Prefix != 0 && !critical {
		if i := t.pickPrefix(r); i != noMember {
			return i
		}
	}
	if len(t.members) <= maxFullScan {
		return t.cheapestOfAll(r, t.eligibleVersions)
	}
	return t.pickLargeGroup(r)
}

// pickLargeGroup picks from random members, first from those with capacity and then
// from all eligible ones. Each is followed by a full scan, which is needed when few
// members serve the requested version; it then reads little more than the version
// lists. Unattributed load that has expired may keep a member out of withCapacity for
// as many picks as there are members; see expireNextReport.
func (t *Table) pickLargeGroup(r *Request) int {
	if i := t.cheapestOfRandom(t.withCapacity.items, r); i != noMember {
		return i
	}
	if len(t.withCapacity.items) > 0 {
		if i := t.cheapestOfAll(r, t.withCapacityVersions); i != noMember {
			return i
		}
	}
	if i := t.cheapestOfRandom(t.eligible.items, r); i != noMember {
		return i
	}
	return t.cheapestOfAll(r, t.eligibleVersions)
}

// pickOnly returns the upstream of a quarantined request. The concurrency limit does
// not apply.
func (t *Table) pickOnly(r *Request) int {
	i, ok := t.indexByName[r.Only]
	if !ok || !t.canServe(i, r) {
		return noMember
	}
	return i
}

// pickFastest returns the fastest member that is below its concurrency limit and within
// the affinity bound. Without that bound the few fastest members would be slowed down
// by their load. Members slower than the median are not considered, since they bring
// no advantage.
func (t *Table) pickFastest(r *Request) int {
	if t.options.IgnoreSpeed {
		return noMember
	}
	order := t.tokenTimes.fastestFirst[r.Class]
	if len(order) == 0 {
		order = t.tokenTimes.fastestFirst[1-r.Class]
	}
	bound := t.affinityBound()
	for _, i := range order[:min(maxFastestTried, (len(order)+1)/2)] {
		p := &t.pickStates[i]
		if t.currentLoad(p)+1 <= bound*p.weight && t.hasCapacity(p) && t.canServe(int(i), r) {
			return int(i)
		}
	}
	return noMember
}

// pickPrefix returns the less loaded of the two members with the highest rendezvous
// scores for the prefix that are within the affinity bound. Daemons learn of each
// other's requests with a delay, so if there was only one candidate, all of them would
// fill it at the same time. Load is adjusted for slowdown, because prefixes are spread
// evenly and a slow member would otherwise get as much work as a fast one. It takes a
// single pass; a member is checked only if its score exceeds that of the second best so
// far.
func (t *Table) pickPrefix(r *Request) int {
	bound := t.affinityBound()
	best, second := noMember, noMember
	var bestScore, secondScore uint64
	minVersion := max(0, r.MinVersion)
	for _, m := range t.buckets.forPrefix(r.Prefix) {
		i := int(m.index)
		if t.withCapacityVersions[i] < minVersion {
			continue
		}
		score := rendezvousScore(r.Prefix, m.hash)
		if second != noMember && score <= secondScore {
			continue
		}
		p := &t.pickStates[i]
		load := t.equivalentLoad(p, r.Class)
		if load > bound*p.weight || !t.canServe(i, r) || !t.withinAffinityShare(i, bound, r) {
			continue
		}
		if best == noMember || score > bestScore {
			best, second = i, best
			bestScore, secondScore = score, bestScore
			continue
		}
		second, secondScore = i, score
	}
	return t.lessLoaded(best, second, r.Class)
}

// lessLoaded returns the first member unless the equivalent load of the second is lower
// by at least one request.
func (t *Table) lessLoaded(first, second int, c Class) int {
	if second == noMember || first == noMember {
		return first
	}
	if t.equivalentLoad(&t.pickStates[second], c)+1 <= t.equivalentLoad(&t.pickStates[first], c) {
		return second
	}
	return first
}

// cheapestOfRandom returns the cheapest of Choices random members of a list that can
// serve the request, or noMember if none was found in maxProbes attempts.
func (t *Table) cheapestOfRandom(list []int32, r *Request) int {
	best, lowestCost := noMember, math.Inf(1)
	if len(list) == 0 {
		return noMember
	}
	suitable := 0
	for probe := 0; probe < maxProbes && suitable < t.options.Choices; probe++ {
		i := int(list[t.random.intn(len(list))])
		if !t.canServe(i, r) {
			continue
		}
		suitable++
		if cost := t.cost(&t.pickStates[i], r.Class); cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best
}

// cheapestOfAll returns the cheapest member that can serve the request; members with
// capacity come before those without. versions is eligibleVersions or
// withCapacityVersions and limits the members considered. The scan starts at a random
// member so that ties are not always resolved in favour of the first.
func (t *Table) cheapestOfAll(r *Request, versions []ident.Version) int {
	if len(versions) == 0 {
		return noMember
	}
	best := scanBest{index: noMember, cost: math.Inf(1)}
	from := t.random.intn(len(versions))
	t.scanRange(r, versions, from, len(versions), &best)
	t.scanRange(r, versions, 0, from, &best)
	return best.index
}

// scanBest is the best member that a scan has found so far.
type scanBest struct {
	index       int
	cost        float64
	hasCapacity bool
}

// scanRange updates best with the members from index from up to, but not including, to.
func (t *Table) scanRange(r *Request, versions []ident.Version, from, to int, best *scanBest) {
	minVersion := max(0, r.MinVersion)
	for offset, version := range versions[from:to] {
		if version < minVersion {
			continue
		}
		i := from + offset
		p := &t.pickStates[i]
		hasCapacity := t.hasCapacity(p)
		if best.hasCapacity && !hasCapacity || !t.canServe(i, r) {
			continue
		}
		cost := t.cost(p, r.Class)
		if cost < best.cost || hasCapacity && !best.hasCapacity {
			*best = scanBest{index: i, cost: cost, hasCapacity: hasCapacity}
		}
	}
}

// canServe reports whether a member may serve the request, apart from its load.
func (t *Table) canServe(i int, r *Request) bool {
	if t.eligibleVersions[i] < max(0, r.MinVersion) {
		return false
	}
	if t.excludedByReserve(i, r) {
		return false
	}
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, t.members[i].Name)
}

// hasCapacity reports whether a member is below its concurrency limit.
func (t *Table) hasCapacity(p *pickState) bool {
	return p.limit == 0 || t.currentLoad(p) < float64(p.limit)
}

// cost returns the cost of sending one more request to a member; see the package
// comment.
func (t *Table) cost(p *pickState, c Class) float64 {
	return ((t.currentLoad(p)+1)*p.loadMultiplier + t.options.HalfSpeedLoad) * t.slowdown(p, c)
}

// equivalentLoad returns a member's load with one more request, adjusted for its
// slowdown: the load, in requests, at which a member of median speed would take the
// same time per token.
func (t *Table) equivalentLoad(p *pickState, c Class) float64 {
	halfSpeedLoad := t.options.HalfSpeedLoad
	return (t.currentLoad(p)+1+halfSpeedLoad)*t.slowdown(p, c) - halfSpeedLoad
}

// affinityBound returns the maximum equivalent load, in requests, up to which a member
// is picked for its rendezvous score. It includes the request to be placed. It is
// PrefixLoadFactor times the mean load, and at least minAffinityBound.
func (t *Table) affinityBound() float64 {
	if t.sumWeight <= 0 {
		return 0
	}
	return max(minAffinityBound, t.options.PrefixLoadFactor*((t.sumLoad+1)/t.sumWeight+1))
}
