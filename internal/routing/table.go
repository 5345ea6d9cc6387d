package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

const (
	// minWeight keeps an upstream in slow start from costing infinitely much.
	minWeight = 0.05
	// unfit marks an upstream that isn't eligible, below all versions.
	unfit ident.Version = -1
	// scanUpTo is the number of members up to which a pick looks at all of them.
	scanUpTo = 64
)

// hot is what a pick reads of a member, kept small for the cache. It is derived from members[i], which stays the truth.
type hot struct {
	load     float64 // own + peers + surplus of the last report, in requests
	external float64 // that surplus alone
	until    int64   // when it expires, in ns since 1970
	scale    float64 // locality penalty / slow-start weight
	weight   float64
	token    [classes]float64 // normalised token time, 0 while unknown
	limit    int32            // 0 unknown
}

// Table holds the members of one upstream group and what was learnt of them.
//
// Invariants: hot[i], fit[i] and fitRoomy[i] are derived from members[i]; live holds the
// eligible members and roomy those of them below their limit; sumLoad and
// sumWeight are the sums over live.
type Table struct {
	options Options
	random  generator

	members []Upstream
	hashes  []uint64
	hot     []hot
	reports []reportState
	index   map[ident.Upstream]int

	fit       []ident.Version // version served, or unfit: what a scan reads first
	fitRoomy  []ident.Version // the same, and unfit outside roomy
	live      indexSet
	roomy     indexSet
	sumLoad   float64
	sumWeight float64

	buckets buckets
	speeds  speeds

	reserve     indexSet
	reserveBy   []int32   // members in the order in which they are reserved
	reserveSpan int       // how much of reserveBy holds the reserve
	bulkPeak    float64   // in flight beside sensitive work, a fading maximum
	daemons     int       // that use the group
	spill       bool      // a pick that may use the reserve for want of anything else
	meanTokens  float64   // of rollouts' expected lengths
	latest      time.Time // newest time seen: the clock of AddOwn and SetPeers
	nanos       int64     // the same in ns since 1970
	sweep       int       // next member whose report is checked for age
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	t := &Table{options: o.withDefaults(), random: generator{state: o.Seed}}
	t.speeds.known = make(map[ident.Upstream]*[classes]score)
	t.SetMembers(nil)
	return t
}

// SetMembers replaces the member list. Learnt speeds are kept, also of those
// that left and may come back (up to maxRemembered names); of two members with
// one name the first counts.
func (t *Table) SetMembers(list []Upstream) {
	old, oldReports := t.index, t.reports
	t.members = make([]Upstream, 0, len(list))
	t.index = make(map[ident.Upstream]int, len(list))
	t.reports = make([]reportState, 0, len(list))
	t.hashes = make([]uint64, 0, len(list))
	for _, u := range list {
		if _, twice := t.index[u.Name]; twice {
			continue
		}
		t.index[u.Name] = len(t.members)
		t.members = append(t.members, u)
		t.hashes = append(t.hashes, hashString(string(u.Name)))
		if i, kept := old[u.Name]; kept {
			t.reports = append(t.reports, oldReports[i])
		} else {
			t.reports = append(t.reports, reportState{})
		}
	}
	t.rebuild()
}

func (t *Table) rebuild() {
	n := len(t.members)
	t.hot = make([]hot, n)
	t.fit, t.fitRoomy = make([]ident.Version, n), make([]ident.Version, n)
	t.live, t.roomy, t.reserve = newIndexSet(n), newIndexSet(n), newIndexSet(n)
	t.orderReserve()
	t.sumLoad, t.sumWeight, t.sweep = 0, 0, 0
	t.speeds.rebuild(t.members, t.index)
	for i := range t.members {
		for c := range classes {
			t.hot[i].token[c] = t.speeds.tokenOf(t.members[i].Name, Class(c))
		}
		t.refresh(i)
	}
	t.buckets.build(t.hashes)
}

// Update changes a member in place; an unknown name is ignored, and so is a
// changed name.
func (t *Table) Update(name ident.Upstream, change func(*Upstream)) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	change(&t.members[i])
	t.members[i].Name = name
	t.refresh(i)
}

// AddOwn changes this daemon's count in flight; it never falls below 0.
func (t *Table) AddOwn(name ident.Upstream, delta int) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	t.members[i].Own = max(0, t.members[i].Own+delta)
	t.refresh(i)
}

// SetPeers sets what the other daemons have in flight there.
func (t *Table) SetPeers(name ident.Upstream, n int) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	t.members[i].Peers = max(0, n)
	t.refresh(i)
}

// Member returns a copy of what is known of an upstream.
func (t *Table) Member(name ident.Upstream) (Upstream, bool) {
	i, ok := t.index[name]
	if !ok {
		return Upstream{}, false
	}
	return t.members[i], true
}

// Len returns the number of members, eligible or not.
func (t *Table) Len() int { return len(t.members) }

// refresh derives hot[i] and the sums from members[i]. O(1).
func (t *Table) refresh(i int) {
	u, h := &t.members[i], &t.hot[i]
	t.count(i, -1)
	t.reports[i].note(float64(u.Own+u.Peers), t.latest, t.options.ReportLife)
	h.external = t.reports[i].external
	h.until = t.reports[i].at.Add(t.options.ReportLife).UnixNano()
	h.load = float64(u.Own+u.Peers) + h.external
	h.weight = min(1, max(minWeight, u.Weight))
	h.scale = 1 / h.weight
	if u.DataCentre != t.options.Self {
		h.scale *= t.options.LocalityPenalty
	}
	h.limit = int32(max(0, u.Limit))
	roomy := u.Eligible && t.room(h)
	t.live.set(i, u.Eligible)
	t.roomy.set(i, roomy)
	t.fit[i], t.fitRoomy[i] = unfit, unfit
	if u.Eligible {
		t.fit[i] = max(0, u.Serving)
	}
	if roomy {
		t.fitRoomy[i] = t.fit[i]
	}
	t.count(i, 1)
}

// count adds a live member to the sums, or takes it out.
func (t *Table) count(i int, sign float64) {
	if t.live.at[i] < 0 {
		return
	}
	t.sumLoad += sign * t.hot[i].load
	t.sumWeight += sign * t.hot[i].weight
}
