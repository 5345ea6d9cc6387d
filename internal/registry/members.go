package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/spread"
)

// members is the upstreams of one service.
type members struct {
	byID    map[string]Upstream
	changes uint64 // number of changes, those of Models not counted
	// sorted holds the values of byID sorted by ID. It is nil after a change until it is
	// needed.
	sorted []Upstream
	// byHash holds the upstreams that are not leaving, sorted by the hash of their address.
	// It is kept up to date, so that a change of one of thousands of upstreams neither sorts
	// nor hashes the others.
	byHash []hashedMember
}

// hashedMember identifies an upstream in the hash order.
type hashedMember struct {
	hash uint64 // of its address
	id   string
}

func (h hashedMember) compare(other hashedMember) int {
	return cmp.Or(cmp.Compare(h.hash, other.hash), cmp.Compare(h.id, other.id))
}

func hashedMemberOf(u Upstream) hashedMember { return hashedMember{spread.Hash(u.Address), u.ID} }

// set replaces the state of an upstream, old, by u. known reports whether there is an old
// state.
func (m *members) set(old Upstream, known bool, u Upstream) {
	m.byID[u.ID] = u
	m.sorted = nil
	if known && old.equalExceptModels(u) {
		return
	}
	m.changes++
	if known && !old.Leaving {
		m.deleteHashed(hashedMemberOf(old))
	}
	if !u.Leaving {
		m.insertHashed(hashedMemberOf(u))
	}
}

func (m *members) remove(u Upstream) {
	delete(m.byID, u.ID)
	m.sorted = nil
	m.changes++
	if !u.Leaving {
		m.deleteHashed(hashedMemberOf(u))
	}
}

func (m *members) insertHashed(h hashedMember) {
	i, _ := slices.BinarySearchFunc(m.byHash, h, hashedMember.compare)
	m.byHash = slices.Insert(m.byHash, i, h)
}

func (m *members) deleteHashed(h hashedMember) {
	if i, found := slices.BinarySearchFunc(m.byHash, h, hashedMember.compare); found {
		m.byHash = slices.Delete(m.byHash, i, i+1)
	}
}

// all returns the upstreams sorted by ID.
func (m *members) all() []Upstream {
	if m.sorted == nil {
		m.sorted = sortByID(slices.Collect(maps.Values(m.byID)))
	}
	return m.sorted
}

// sample returns the first n upstreams in the hash order, one for each address. Of several
// with one address it returns the one that started last: the entry of an earlier one may not
// have expired yet.
func (m *members) sample(n int) []Upstream {
	var out []Upstream
	for _, h := range m.byHash {
		u := m.byID[h.id]
		if last := len(out) - 1; last >= 0 && out[last].Address == u.Address {
			if u.Started >= out[last].Started {
				out[last] = u
			}
			continue
		}
		if len(out) == n {
			break
		}
		out = append(out, u)
	}
	return out
}
