package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/spread"
)

// members are the upstreams of one service.
type members struct {
	byID    map[string]Upstream
	changes uint64 // but for those of weights
	// sorted is byID by ID, nil until it's asked for after a change.
	sorted []Upstream
	// places are those that aren't leaving, by a hash of their address: a change of one of
	// thousands neither sorts nor hashes the others.
	places []place
}

// place is an upstream in the order of places.
type place struct {
	hash uint64 // of its address
	id   string
}

func (p place) compare(o place) int {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.id, o.id))
}

func placeOf(u Upstream) place { return place{spread.Hash(u.Address), u.ID} }

// set takes an upstream's next state; old is the one before, if it was known.
func (m *members) set(old Upstream, known bool, u Upstream) {
	m.byID[u.ID] = u
	m.sorted = nil
	if known && old.samePlace(u) {
		return
	}
	m.changes++
	if known && !old.Leaving {
		m.leave(placeOf(old))
	}
	if !u.Leaving {
		m.enter(placeOf(u))
	}
}

func (m *members) remove(u Upstream) {
	delete(m.byID, u.ID)
	m.sorted = nil
	m.changes++
	if !u.Leaving {
		m.leave(placeOf(u))
	}
}

func (m *members) enter(p place) {
	at, _ := slices.BinarySearchFunc(m.places, p, place.compare)
	m.places = slices.Insert(m.places, at, p)
}

func (m *members) leave(p place) {
	if at, found := slices.BinarySearchFunc(m.places, p, place.compare); found {
		m.places = slices.Delete(m.places, at, at+1)
	}
}

func (m *members) all() []Upstream {
	if m.sorted == nil {
		m.sorted = sorted(slices.Collect(maps.Values(m.byID)))
	}
	return m.sorted
}

// sample returns the first so many of the places, the newest upstream of an address: the
// entry of the one before may not have lapsed yet.
func (m *members) sample(n int) []Upstream {
	var out []Upstream
	for _, p := range m.places {
		u := m.byID[p.id]
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
