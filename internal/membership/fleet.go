package membership

import (
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Fleet is a snapshot of the live daemons as one daemon sees them, for decisions
// about many keys at once.
type Fleet struct {
	Self       ident.VM
	DataCentre ident.DataCentre
	// Live is sorted by VM and includes this daemon unless it is draining. In a
	// partial mesh it is complete only for this daemon's own data centre.
	Live []Contact
	// The data centres with daemons, sorted. In a partial mesh a daemon
	// receives no heartbeats from most other data centres, so the VM list counts too:
	// a data centre whose daemons are all dead stays until the list drops them.
	DataCentres []ident.DataCentre
	PartialMesh bool // partial mesh: the fleet is too large to connect to every daemon
}

// Fleet returns a snapshot of the live daemons.
func (m *Members) Fleet() Fleet {
	f := Fleet{Self: m.config.Self, DataCentre: m.config.DataCentre, PartialMesh: m.partialMesh}
	for _, vm := range m.Live() {
		f.Live = append(f.Live, m.members[vm].Contact)
	}
	if !m.selfDraining {
		self := Contact{VM: m.config.Self, DataCentre: m.config.DataCentre, Address: m.config.Address}
		i, _ := slices.BinarySearchFunc(f.Live, self, compareContacts)
		f.Live = slices.Insert(f.Live, i, self)
	}
	f.DataCentres = m.dataCentres(f.Live)
	return f
}

// dataCentres returns the data centres with daemons, sorted, as a Fleet holds them.
func (m *Members) dataCentres(live []Contact) []ident.DataCentre {
	var dataCentres []ident.DataCentre
	for _, c := range live {
		dataCentres = append(dataCentres, c.DataCentre)
	}
	for _, p := range m.members {
		if m.partialMesh && p.listed && !p.leaving && !p.draining && p.DataCentre != m.config.DataCentre {
			dataCentres = append(dataCentres, p.DataCentre)
		}
	}
	slices.Sort(dataCentres)
	return slices.Compact(dataCentres)
}

// Equal reports whether two snapshots are the same.
func (f Fleet) Equal(g Fleet) bool {
	return f.Self == g.Self && f.DataCentre == g.DataCentre && f.PartialMesh == g.PartialMesh &&
		slices.Equal(f.Live, g.Live) && slices.Equal(f.DataCentres, g.DataCentres)
}

// VMsIn returns the live daemons of a data centre, sorted.
func (f Fleet) VMsIn(dc ident.DataCentre) []ident.VM {
	var vms []ident.VM
	for _, c := range f.Live {
		if c.DataCentre == dc {
			vms = append(vms, c.VM)
		}
	}
	return vms
}

// OwnsIn reports whether this daemon owns a key that belongs to a data centre. Such
// keys are divided among the daemons of that data centre; a daemon of another data
// centre owns none of them. The keys of a data centre without daemons are owned by
// the daemons of another one, chosen by rendezvous hashing, besides their own.
//
// During a network partition, or while VM lists differ, two daemons may both
// consider themselves the owner of a key. Callers that take leases on this basis
// append their claims to one stream of the log, whose order decides: the later claim
// wins, and the earlier holder stops when it reads that claim and doesn't claim the
// lease again for some lease durations. This delays orders, but there are never two
// holders; see package lease.
func (f Fleet) OwnsIn(dc ident.DataCentre, key string) bool {
	return f.MayOwnIn(dc) && rendezvousOwner(f.VMsIn(f.DataCentre), key) == f.Self
}

// MayOwnIn reports whether this daemon's data centre owns the keys of a data centre.
func (f Fleet) MayOwnIn(dc ident.DataCentre) bool { return f.ownerDataCentre(dc) == f.DataCentre }

// ownerDataCentre returns the data centre whose daemons own the keys of dc: dc itself,
// or if it has no daemons, another one chosen by rendezvous hashing.
func (f Fleet) ownerDataCentre(dc ident.DataCentre) ident.DataCentre {
	if slices.Contains(f.DataCentres, dc) {
		return dc
	}
	candidates := make([]ident.VM, len(f.DataCentres))
	for i, candidate := range f.DataCentres {
		candidates[i] = ident.VM(candidate)
	}
	return ident.DataCentre(rendezvousOwner(candidates, string(dc)))
}

// rendezvousOwner returns the VM with the highest score for the key, the first by
// name among equals, "" if there are no VMs.
func rendezvousOwner(vms []ident.VM, key string) (owner ident.VM) {
	best := uint64(0)
	for _, vm := range vms {
		if s := score(key, vm); owner == "" || s > best || s == best && vm < owner {
			owner, best = vm, s
		}
	}
	return owner
}
