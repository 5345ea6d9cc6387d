package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Targets returns the daemons to connect to, sorted by VM and address:
//   - all others (full mesh), unless they are more than Config allows for that;
//   - otherwise (partial mesh) as many as Config says of the own data centre and of
//     each other one, with a limit on the remote ones together. They are picked by
//     rendezvous hashing, so that connections spread evenly and the loss of a VM
//     changes only the picks that named it. About as many other daemons pick this one.
//     Information for more daemons is forwarded by these;
//   - seeds whose address no known daemon has.
//
// A leaving or draining daemon stays a target, since its messages still matter.
func (m *Members) Targets(now time.Time) []Contact {
	contacts := m.contactsWithAddress()
	targets := contacts
	if m.exceedsFullMesh(contacts) {
		targets = m.pickPeers(contacts, now)
	}
	targets = append(slices.Clone(targets), m.unknownSeeds(contacts)...)
	slices.SortFunc(targets, compareContacts)
	return targets
}

// exceedsFullMesh reports whether there are too many daemons to connect to all.
func (m *Members) exceedsFullMesh(contacts []Contact) bool {
	return len(contacts) > m.config.FullMeshMax
}

// contactsWithAddress returns all members that can be dialled, sorted by VM.
func (m *Members) contactsWithAddress() []Contact {
	var contacts []Contact
	for _, vm := range m.sortedVMs() {
		if p := m.members[vm]; p.Address != "" {
			contacts = append(contacts, p.Contact)
		}
	}
	return contacts
}

// pickPeers returns the peers of this daemon in a partial mesh.
func (m *Members) pickPeers(contacts []Contact, now time.Time) []Contact {
	byCentre := map[ident.DataCentre][]Contact{}
	for _, c := range contacts {
		byCentre[c.DataCentre] = append(byCentre[c.DataCentre], c)
	}
	var remote []Contact
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		if dc != m.config.DataCentre {
			remote = append(remote, m.highestRanked(byCentre[dc], m.config.RemotePeersPerCentre, now)...)
		}
	}
	local := m.highestRanked(byCentre[m.config.DataCentre], m.config.LocalPeers, now)
	return append(local, m.highestRanked(remote, m.config.MaxRemotePeers, now)...)
}

// highestRanked returns at most limit of the contacts: those that this daemon ranks
// highest, first the ones without a recent failure.
func (m *Members) highestRanked(contacts []Contact, limit int, now time.Time) []Contact {
	ranked := rank(string(m.config.Self), contacts)
	slices.SortStableFunc(ranked, func(a, b Contact) int {
		return cmp.Compare(m.recentFailure(a.VM, now), m.recentFailure(b.VM, now))
	})
	return ranked[:min(limit, len(ranked))]
}

// recentFailure returns 1 for a daemon that failed within failureCooldown, else 0.
// Ranking failed daemons last keeps a dead one from taking up one of the two picks in
// a data centre.
func (m *Members) recentFailure(vm ident.VM, now time.Time) int {
	failedAt := m.members[vm].lastFailure
	if failedAt.IsZero() || now.Sub(failedAt) > failureCooldown {
		return 0
	}
	return 1
}

// unknownSeeds returns the seeds whose address no known daemon has. They are dialled
// even when many daemons are known, since a seed may be the only way to end a network
// partition.
func (m *Members) unknownSeeds(contacts []Contact) []Contact {
	var seeds []Contact
	for _, address := range m.config.Seeds {
		known := slices.ContainsFunc(contacts, func(c Contact) bool { return c.Address == address })
		if !known && address != m.config.Address {
			seeds = append(seeds, Contact{Address: address})
		}
	}
	slices.SortFunc(seeds, compareContacts)
	return slices.Compact(seeds)
}

// updateTargets recomputes the targets and returns Close and Dial for the changes.
func (m *Members) updateTargets(now time.Time) []Action {
	targets := m.Targets(now)
	var actions []Action
	for _, c := range m.currentTargets {
		if !slices.Contains(targets, c) {
			actions = append(actions, Close{c})
		}
	}
	for _, c := range targets {
		if !slices.Contains(m.currentTargets, c) {
			actions = append(actions, Dial{c})
		}
	}
	m.currentTargets = targets
	m.partialMesh = m.exceedsFullMesh(m.contactsWithAddress())
	return actions
}

func compareContacts(a, b Contact) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.DataCentre, b.DataCentre))
}
