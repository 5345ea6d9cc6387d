package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Owner returns the VM that owns a key, and whether that is this one. If no live VM
// takes new work, it is this one. In a partial mesh a key has an owner in each data
// centre, since only daemons of the same data centre have the same view of who is
// live there.
func (m *Members) Owner(key string) (vm ident.VM, self bool) {
	vm = m.config.Self
	best := uint64(0)
	if !m.selfDraining {
		best = score(key, m.config.Self)
	}
	for _, p := range m.members {
		if !p.live || (m.partialMesh && p.DataCentre != m.config.DataCentre) {
			continue
		}
		s := score(key, p.VM)
		if s > best || (s == best && p.VM < vm) {
			vm, best = p.VM, s
		}
	}
	return vm, vm == m.config.Self
}

// score returns the weight of a VM for a key (rendezvous hashing): when a VM leaves,
// only the keys that it owned get another owner.
func score(key string, vm ident.VM) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(vm))
	return h.Sum64()
}

// rank returns the contacts sorted by their score for a key, highest first.
func rank(key string, contacts []Contact) []Contact {
	ranked := slices.Clone(contacts)
	slices.SortFunc(ranked, func(a, b Contact) int {
		return cmp.Or(cmp.Compare(score(key, b.VM), score(key, a.VM)), cmp.Compare(a.VM, b.VM))
	})
	return ranked
}
