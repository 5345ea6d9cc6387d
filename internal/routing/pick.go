package routing

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

const (
	// fastest is how many of the fastest a straggler tries before it takes its
	// chance like any other.
	fastest = 32
	// tries is how many random members are looked at, at most, for Choices
	// suitable ones.
	tries = 16
	// leastBound keeps affinity in an idle group: one of median speed still takes
	// a second request of its prefix.
	leastBound = 2.5
	none       = -1
)

// Pick chooses an upstream for a request; false if none is eligible. Upstreams at
// their limit are taken only if all are. It allocates nothing. The caller counts
// the request by AddOwn once it is sent.
func (t *Table) Pick(r Request, now time.Time) (ident.Upstream, bool) {
	t.See(now)
	t.expireNext()
	if r.Class >= classes {
		r.Class = ClassRollout
	}
	t.noteLength(&r)
	i := t.pick(&r)
	if i == none && len(t.reserve.items) > 0 && !t.spill {
		t.spill = true // rather on the reserve than nowhere
		i = t.pick(&r)
		t.spill = false
	}
	if i == none {
		return "", false
	}
	return t.members[i].Name, true
}

func (t *Table) pick(r *Request) int {
	if r.Only != "" {
		return t.pickOnly(r)
	}
	if t.Sensitive(*r) {
		if i := t.pickReserve(r); i != none {
			return i
		}
	}
	decides := t.decides(r)
	if decides {
		if i := t.pickFastest(r); i != none {
			return i
		}
	}
	if r.Prefix != 0 && !decides {
		if i := t.pickPrefix(r); i != none {
			return i
		}
	}
	if len(t.members) <= scanUpTo {
		return t.scan(r, t.fit)
	}
	return t.pickOfMany(r)
}

// pickOfMany samples, first those with room, then all. The scan behind each runs
// when few members serve the version asked for, so it reads little but fit.
// A surplus that expired since may hide a member from roomy for as many picks as
// there are members; see expireNext.
func (t *Table) pickOfMany(r *Request) int {
	if i := t.sample(t.roomy.items, r); i != none {
		return i
	}
	if len(t.roomy.items) > 0 {
		if i := t.scan(r, t.fitRoomy); i != none {
			return i
		}
	}
	if i := t.sample(t.live.items, r); i != none {
		return i
	}
	return t.scan(r, t.fit)
}

// pickOnly serves a quarantined request; its upstream's limit doesn't matter.
func (t *Table) pickOnly(r *Request) int {
	i, ok := t.index[r.Only]
	if !ok || !t.suits(i, r) {
		return none
	}
	return i
}

// pickFastest takes the first of the fastest that has room: below its limit and
// below the bound that prefixes keep to as well, else the fastest few would slow
// down by sheer load. Upstreams slower than the median are no gain.
func (t *Table) pickFastest(r *Request) int {
	if t.options.IgnoreSpeed {
		return none
	}
	order := t.speeds.order[r.Class]
	if len(order) == 0 {
		order = t.speeds.order[1-r.Class]
	}
	bound := t.bound()
	for _, i := range order[:min(fastest, (len(order)+1)/2)] {
		h := &t.hot[i]
		if t.loadOf(h)+1 <= bound*h.weight && t.room(h) && t.suits(int(i), r) {
			return int(i)
		}
	}
	return none
}

// pickPrefix takes the lighter of a prefix's first two upstreams, in rendezvous
// order, that are within the bound: what daemons know of each other is late, and
// with one alone they would all fill it at the same moment. A slow one's load counts by its speed, else the equal spread of
// prefixes would give it as much work as a fast one. One pass: a member is checked only if it outranks the best so far.
func (t *Table) pickPrefix(r *Request) int {
	bound := t.bound()
	best, second := none, none
	var highest, next uint64
	oldest := max(0, r.MinVersion)
	for _, m := range t.buckets.of(r.Prefix) {
		i := int(m.index)
		if t.fitRoomy[i] < oldest {
			continue
		}
		rank := pair(r.Prefix, m.hash)
		if second != none && rank <= next {
			continue
		}
		h := &t.hot[i]
		busy := t.busy(h, r.Class)
		if busy > bound*h.weight || !t.suits(i, r) || !t.inPart(i, bound, r) {
			continue
		}
		if best == none || rank > highest {
			best, second = i, best
			highest, next = rank, highest
			continue
		}
		second, next = i, rank
	}
	return t.lighter(best, second, r.Class)
}

// lighter returns the first unless the second is cheaper by a request or more.
func (t *Table) lighter(first, second int, c Class) int {
	if second == none || first == none {
		return first
	}
	if t.busy(&t.hot[second], c)+1 <= t.busy(&t.hot[first], c) {
		return second
	}
	return first
}

// sample takes the cheapest of a few random members of a list.
func (t *Table) sample(list []int32, r *Request) int {
	best, lowest := none, math.Inf(1)
	if len(list) == 0 {
		return none
	}
	found := 0
	for n := 0; n < tries && found < t.options.Choices; n++ {
		i := int(list[t.random.below(len(list))])
		if !t.suits(i, r) {
			continue
		}
		found++
		if cost := t.cost(&t.hot[i], r.Class); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// scan takes the cheapest of all that a list of versions (fit or fitRoomy) lets
// pass, those with room before those without. It starts anywhere, so that ties
// don't all fall on the first.
func (t *Table) scan(r *Request, fit []ident.Version) int {
	if len(fit) == 0 {
		return none
	}
	b := cheapest{index: none, cost: math.Inf(1)}
	from := t.random.below(len(fit))
	t.scanRange(r, fit, from, len(fit), &b)
	t.scanRange(r, fit, 0, from, &b)
	return b.index
}

// cheapest is the best of a scan so far.
type cheapest struct {
	index int
	cost  float64
	room  bool
}

func (t *Table) scanRange(r *Request, fit []ident.Version, from, to int, b *cheapest) {
	oldest := max(0, r.MinVersion)
	for at, version := range fit[from:to] {
		if version < oldest {
			continue
		}
		i := from + at
		h := &t.hot[i]
		room := t.room(h)
		if b.room && !room || !t.suits(i, r) {
			continue
		}
		cost := t.cost(h, r.Class)
		if cost < b.cost || room && !b.room {
			*b = cheapest{index: i, cost: cost, room: room}
		}
	}
}

// suits says whether a member may serve the request at all.
func (t *Table) suits(i int, r *Request) bool {
	if t.fit[i] < max(0, r.MinVersion) {
		return false
	}
	if t.kept(i, r) {
		return false
	}
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, t.members[i].Name)
}

func (t *Table) room(h *hot) bool { return h.limit == 0 || t.loadOf(h) < float64(h.limit) }

func (t *Table) cost(h *hot, c Class) float64 {
	return ((t.loadOf(h)+1)*h.scale + t.options.HalfLoad) * t.speedOf(h, c)
}

// busy is a member's load with one request more, as one of median speed would
// have to be loaded to take as long for a token.
func (t *Table) busy(h *hot, c Class) float64 {
	half := t.options.HalfLoad
	return (t.loadOf(h)+1+half)*t.speedOf(h, c) - half
}

// bound is what a preferred upstream may be loaded to, the request to be placed
// counted in: PrefixLoadFactor times the mean, and at least leastBound.
func (t *Table) bound() float64 {
	if t.sumWeight <= 0 {
		return 0
	}
	return max(leastBound, t.options.PrefixLoadFactor*((t.sumLoad+1)/t.sumWeight+1))
}
