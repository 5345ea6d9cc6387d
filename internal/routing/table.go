package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

const (
	// minWeight is the lowest slow-start weight. It keeps the cost of an upstream in
	// slow start finite.
	minWeight = 0.05
	// notEligible stands for the version of a member that is not eligible. It is
	// lower than every weight version.
	notEligible ident.Version = -1
	// maxFullScan is the largest number of members that a pick examines one by one.
	maxFullScan = 64
)

// pickState holds the values of one member that a pick reads. It is kept small so
// that many of them fit in the CPU cache. It is derived from members[i], which is
// authoritative.
type pickState struct {
	load              float64             // requests: known load + unattributed
	unattributed      float64             // unattributed load, in requests; see reportState
	unattributedUntil int64               // when unattributed expires, in ns since 1970
	loadMultiplier    float64             // locality penalty / slow-start weight
	weight            float64             // slow-start weight, minWeight to 1
	tokenTime         [classCount]float64 // normalised token time by class, 0 while unknown
	limit             int32               // concurrency limit in requests, 0 if unknown
}

// Table holds the members of one upstream group and the token times learnt for
// them. Slices are indexed by member unless stated otherwise.
//
// Invariants: pickStates[i], eligibleVersions[i] and withCapacityVersions[i] are
// derived from members[i]; eligible holds the eligible members, and withCapacity
// those of them below their concurrency limit; sumLoad and sumWeight are sums over
// eligible.
type Table struct {
	options Options
	random  splitMix64

	members     []Upstream
	hashes      []uint64 // of the names
	pickStates  []pickState
	reports     []reportState
	indexByName map[ident.Upstream]int

	// eligibleVersions holds the weight version served, or notEligible. A scan reads
	// it first.
	eligibleVersions []ident.Version
	// withCapacityVersions is eligibleVersions with notEligible also for members that
	// are not in withCapacity.
	withCapacityVersions []ident.Version
	eligible             indexSet
	withCapacity         indexSet
	sumLoad              float64 // requests
	sumWeight            float64 // slow-start weights

	buckets    buckets
	tokenTimes tokenTimes

	reserve            indexSet
	reserveOrder       []int32   // members in the order in which they are reserved
	reserveOrderEnd    int       // length of the part of reserveOrder that holds the reserve
	bulkPeak           float64   // decaying maximum of bulk requests in flight; see reserve.go
	daemonCount        int       // daemons that use the group, including this one
	ignoreReserve      bool      // lets bulk rollouts use reserved members; set during a retry in Pick
	meanExpectedTokens float64   // moving average of rollouts' expected lengths, in tokens
	latestTime         time.Time // latest time passed in; the current time for calls without one
	latestNanos        int64     // latestTime in ns since 1970
	expiryCursor       int       // member whose load report was last checked for expiry
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	t := &Table{options: o.withDefaults(), random: splitMix64{state: o.Seed}}
	t.tokenTimes.estimates = make(map[ident.Upstream]*[classCount]tokenTimeEstimate)
	t.SetMembers(nil)
	return t
}

// SetMembers replaces the member list. Of several members with the same name, the
// first is used. Learnt token times are kept, including those of members that left
// and may return (up to maxEstimates names).
func (t *Table) SetMembers(list []Upstream) {
	old, oldReports := t.indexByName, t.reports
	t.members = make([]Upstream, 0, len(list))
	t.indexByName = make(map[ident.Upstream]int, len(list))
	t.reports = make([]reportState, 0, len(list))
	t.hashes = make([]uint64, 0, len(list))
	for _, u := range list {
		if _, duplicate := t.indexByName[u.Name]; duplicate {
			continue
		}
		t.indexByName[u.Name] = len(t.members)
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

// rebuild derives all other state from the member list.
func (t *Table) rebuild() {
	n := len(t.members)
	t.pickStates = make([]pickState, n)
	t.eligibleVersions, t.withCapacityVersions = make([]ident.Version, n), make([]ident.Version, n)
	t.eligible, t.withCapacity, t.reserve = newIndexSet(n), newIndexSet(n), newIndexSet(n)
	t.sortReserveOrder()
	t.sumLoad, t.sumWeight, t.expiryCursor = 0, 0, 0
	t.tokenTimes.rebuild(t.members, t.indexByName)
	for i := range t.members {
		for c := range classCount {
			t.pickStates[i].tokenTime[c] = t.tokenTimes.normalised(t.members[i].Name, Class(c))
		}
		t.refresh(i)
	}
	t.buckets.build(t.hashes)
}

// Update changes a member in place. Unknown names are ignored, and so are changes
// of the name.
func (t *Table) Update(name ident.Upstream, change func(*Upstream)) {
	i, ok := t.indexByName[name]
	if !ok {
		return
	}
	change(&t.members[i])
	t.members[i].Name = name
	t.refresh(i)
}

// AddOwnInFlight adds delta to the number of this daemon's requests in flight at an upstream.
// The number never falls below 0.
func (t *Table) AddOwnInFlight(name ident.Upstream, delta int) {
	i, ok := t.indexByName[name]
	if !ok {
		return
	}
	t.members[i].OwnInFlight = max(0, t.members[i].OwnInFlight+delta)
	t.refresh(i)
}

// SetPeersInFlight sets the number of requests that the other daemons have in flight at an
// upstream.
func (t *Table) SetPeersInFlight(name ident.Upstream, n int) {
	i, ok := t.indexByName[name]
	if !ok {
		return
	}
	t.members[i].PeersInFlight = max(0, n)
	t.refresh(i)
}

// Member returns a copy of the state of an upstream, and whether it is a member.
func (t *Table) Member(name ident.Upstream) (Upstream, bool) {
	i, ok := t.indexByName[name]
	if !ok {
		return Upstream{}, false
	}
	return t.members[i], true
}

// Len returns the number of members, eligible or not.
func (t *Table) Len() int { return len(t.members) }

// refresh derives pickStates[i], the index sets and the sums from members[i] in O(1).
func (t *Table) refresh(i int) {
	u, p := &t.members[i], &t.pickStates[i]
	t.addToSums(i, -1)
	t.reports[i].recordKnown(float64(u.OwnInFlight+u.PeersInFlight), t.latestTime, t.options.ReportTTL)
	p.unattributed = t.reports[i].unattributed
	p.unattributedUntil = t.reports[i].reportedAt.Add(t.options.ReportTTL).UnixNano()
	p.load = float64(u.OwnInFlight+u.PeersInFlight) + p.unattributed
	p.weight = min(1, max(minWeight, u.Weight))
	p.loadMultiplier = 1 / p.weight
	if u.DataCentre != t.options.DataCentre {
		p.loadMultiplier *= t.options.LocalityPenalty
	}
	p.limit = int32(max(0, u.Limit))
	hasCapacity := u.Eligible && t.hasCapacity(p)
	t.eligible.set(i, u.Eligible)
	t.withCapacity.set(i, hasCapacity)
	t.eligibleVersions[i], t.withCapacityVersions[i] = notEligible, notEligible
	if u.Eligible {
		t.eligibleVersions[i] = max(0, u.Serving)
	}
	if hasCapacity {
		t.withCapacityVersions[i] = t.eligibleVersions[i]
	}
	t.addToSums(i, 1)
}

// addToSums adds an eligible member to the sums if sign is 1 and subtracts it if
// sign is -1. Other members are ignored.
func (t *Table) addToSums(i int, sign float64) {
	if t.eligible.position[i] < 0 {
		return
	}
	t.sumLoad += sign * t.pickStates[i].load
	t.sumWeight += sign * t.pickStates[i].weight
}
