package membership

import (
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Fleet is the live daemons as one daemon sees them at a moment, for decisions
// about many keys at once.
type Fleet struct {
	Self       ident.VM
	DataCentre ident.DataCentre
	// Live is sorted by VM, with this daemon among them unless it drains. In a
	// bounded fleet it is complete for the own data centre alone.
	Live []Contact
	// Centres are the data centres with daemons, sorted. In a bounded fleet a daemon
	// hears nobody of most other data centres, so there the list of VMs counts too: a
	// data centre whose daemons are all dead lasts until the list says so.
	Centres []ident.DataCentre
	Bounded bool // too large to be connected with everyone
}

// Fleet returns the live daemons now.
func (m *Members) Fleet() Fleet {
	f := Fleet{Self: m.config.Self, DataCentre: m.config.DataCentre, Bounded: m.bounded}
	for _, vm := range m.Live() {
		f.Live = append(f.Live, m.members[vm].Contact)
	}
	if !m.drained {
		self := Contact{VM: m.config.Self, DataCentre: m.config.DataCentre, Address: m.config.Address}
		at, _ := slices.BinarySearchFunc(f.Live, self, compareContacts)
		f.Live = slices.Insert(f.Live, at, self)
	}
	f.Centres = m.centres(f.Live)
	return f
}

func (m *Members) centres(live []Contact) []ident.DataCentre {
	var centres []ident.DataCentre
	for _, c := range live {
		centres = append(centres, c.DataCentre)
	}
	for _, p := range m.members {
		if m.bounded && p.listed && !p.leaving && !p.draining && p.DataCentre != m.config.DataCentre {
			centres = append(centres, p.DataCentre)
		}
	}
	slices.Sort(centres)
	return slices.Compact(centres)
}

// Equal says whether two views hold the same daemons.
func (f Fleet) Equal(g Fleet) bool {
	return f.Self == g.Self && f.DataCentre == g.DataCentre && f.Bounded == g.Bounded &&
		slices.Equal(f.Live, g.Live) && slices.Equal(f.Centres, g.Centres)
}

// Of returns the live daemons of a data centre, sorted.
func (f Fleet) Of(dc ident.DataCentre) []ident.VM {
	var vms []ident.VM
	for _, c := range f.Live {
		if c.DataCentre == dc {
			vms = append(vms, c.VM)
		}
	}
	return vms
}

// OwnsIn says whether this daemon owns a key that belongs to a data centre: the
// daemons there share such keys out between them, and one of another data centre
// owns none of them. A data centre without daemons has an heir, whose daemons own
// its keys beside their own.
//
// While data centres are parted, or lists differ, two daemons may both think that
// they own a key. Who uses this for leases claims them in one stream of the log,
// whose order decides: the later claim takes over, the earlier holder stops when it
// reads that, and leaves the lease alone for some durations. That costs orders put
// off, never two holders; see package lease.
func (f Fleet) OwnsIn(dc ident.DataCentre, key string) bool {
	return f.MayOwnIn(dc) && ownerAmong(f.Of(f.DataCentre), key) == f.Self
}

// MayOwnIn says whether this daemon may own a key of a data centre.
func (f Fleet) MayOwnIn(dc ident.DataCentre) bool { return f.heir(dc) == f.DataCentre }

// heir returns the data centre whose daemons own a data centre's keys: itself, or
// one by rendezvous when it has no daemons.
func (f Fleet) heir(dc ident.DataCentre) ident.DataCentre {
	if slices.Contains(f.Centres, dc) {
		return dc
	}
	centres := make([]ident.VM, len(f.Centres))
	for i, each := range f.Centres {
		centres[i] = ident.VM(each)
	}
	return ident.DataCentre(ownerAmong(centres, string(dc)))
}

// ownerAmong returns the VM with the highest score, the lower name of two; "" of none.
func ownerAmong(vms []ident.VM, key string) (owner ident.VM) {
	best := uint64(0)
	for _, vm := range vms {
		if s := score(key, vm); owner == "" || s > best || s == best && vm < owner {
			owner, best = vm, s
		}
	}
	return owner
}
