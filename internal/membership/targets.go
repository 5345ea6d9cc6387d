package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Targets returns the daemons to stay connected with, sorted by VM and address:
//   - everyone, while there are no more others than Config.Everyone;
//   - otherwise NearPicks of the own data centre and FarPicks of each other one,
//     up to FarCap of them in all, picked by rendezvous, so that picks spread
//     evenly and a lost VM changes only the picks that named it. As many again
//     pick this one. Facts that concern more daemons travel on from these;
//   - seeds that no known daemon answers for.
//
// A leaving or draining daemon stays a target: what it still says matters.
func (m *Members) Targets(now time.Time) []Contact {
	all := m.dialable()
	targets := all
	if m.tooMany(all) {
		targets = m.picks(all, now)
	}
	targets = append(slices.Clone(targets), m.unknownSeeds(all)...)
	slices.SortFunc(targets, compareContacts)
	return targets
}

func (m *Members) tooMany(all []Contact) bool { return len(all) > m.config.Everyone }

func (m *Members) dialable() []Contact {
	var all []Contact
	for _, vm := range m.sorted() {
		if p := m.members[vm]; p.Address != "" {
			all = append(all, p.Contact)
		}
	}
	return all
}

func (m *Members) picks(all []Contact, now time.Time) []Contact {
	byCentre := map[ident.DataCentre][]Contact{}
	for _, c := range all {
		byCentre[c.DataCentre] = append(byCentre[c.DataCentre], c)
	}
	var far []Contact
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		if dc != m.config.DataCentre {
			far = append(far, m.best(byCentre[dc], m.config.FarPicks, now)...)
		}
	}
	near := m.best(byCentre[m.config.DataCentre], m.config.NearPicks, now)
	return append(near, m.best(far, m.config.FarCap, now)...)
}

// best returns the n of the contacts that this daemon ranks highest.
func (m *Members) best(contacts []Contact, n int, now time.Time) []Contact {
	ranked := rank(string(m.config.Self), contacts)
	slices.SortStableFunc(ranked, func(a, b Contact) int {
		return cmp.Compare(m.avoided(a.VM, now), m.avoided(b.VM, now))
	})
	return ranked[:min(n, len(ranked))]
}

// avoided is 1 for a daemon that failed lately, so that with two picks in a
// data centre a dead one doesn't take up half of them.
func (m *Members) avoided(vm ident.VM, now time.Time) int {
	failedAt := m.members[vm].failedAt
	if failedAt.IsZero() || now.Sub(failedAt) > avoidFor {
		return 0
	}
	return 1
}

// unknownSeeds are dialled until a daemon answers for them; once enough are
// known they are still tried, since a seed may be the only way out of a split.
func (m *Members) unknownSeeds(all []Contact) []Contact {
	var seeds []Contact
	for _, address := range m.config.Seeds {
		known := slices.ContainsFunc(all, func(c Contact) bool { return c.Address == address })
		if !known && address != m.config.Address {
			seeds = append(seeds, Contact{Address: address})
		}
	}
	slices.SortFunc(seeds, compareContacts)
	return slices.Compact(seeds)
}

func (m *Members) settleDialled(now time.Time) []Action {
	want := m.Targets(now)
	var actions []Action
	for _, c := range m.dialled {
		if !slices.Contains(want, c) {
			actions = append(actions, Close{c})
		}
	}
	for _, c := range want {
		if !slices.Contains(m.dialled, c) {
			actions = append(actions, Dial{c})
		}
	}
	m.dialled = want
	m.bounded = m.tooMany(m.dialable())
	return actions
}

func compareContacts(a, b Contact) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.DataCentre, b.DataCentre))
}
