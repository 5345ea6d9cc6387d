package dispatch

import (
	"maps"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

const (
	// wholeUpTo is the size of a group that every daemon uses whole.
	wholeUpTo = 64
	// subsetSize is about how many upstreams of a larger group a daemon uses.
	subsetSize = 50
)

// Fleet is what dispatching needs to know of the daemons. The zero value says
// that nobody was met yet.
type Fleet struct {
	Daemons []ident.VM // live ones of the own data centre, this one too
	// Elsewhere holds the other data centres with live daemons of their own.
	Elsewhere map[ident.DataCentre]bool
	// Owned holds the engines that this daemon gives orders to. They are polled
	// whether or not requests go there.
	Owned map[ident.Upstream]bool
}

// SetFleet takes the daemons over; the next Apply chooses upstreams by them.
func (d *Dispatcher) SetFleet(f Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet = f
}

// choice is which upstreams of a group a daemon uses.
type choice struct {
	used map[ident.Upstream]bool
	// sharers is how many daemons use each of them, 0 when all use the whole group.
	sharers int
}

// choose takes a small group whole. Of a larger one it takes a subset of those that
// this data centre looks after: its own, and those of data centres without a
// daemon, which nobody else would use. Where these are few, favourites from
// elsewhere fill up.
func (f Fleet) choose(self ident.VM, own ident.DataCentre, g config.Group) choice {
	if len(g.Upstreams) <= wholeUpTo {
		return choice{used: setOf(slices.Collect(maps.Keys(g.Upstreams)))}
	}
	near, far := f.split(own, g)
	if len(f.Daemons) == 0 {
		mine := routing.Favourites(string(self), near, subsetSize)
		mine = append(mine, routing.Favourites(string(self), far, subsetSize-len(mine))...)
		return choice{used: setOf(mine), sharers: minSharers}
	}
	mine, sharers := near, len(f.Daemons)
	if len(near) > wholeUpTo {
		mine = routing.Subset(string(self), near, namesOf(f.Daemons), subsetSize)
		sharers = routing.Keepers(len(near), len(f.Daemons), subsetSize)
	}
	if len(near) < subsetSize {
		mine = append(slices.Clone(mine), routing.Favourites(string(self), far, subsetSize-len(near))...)
	}
	return choice{used: setOf(mine), sharers: sharers}
}

// minSharers is supposed while the others aren't known.
const minSharers = 2

// split sorts a group's upstreams, by name, into those this data centre looks
// after and the others. Before anybody was met, only its own ones count as such.
func (f Fleet) split(own ident.DataCentre, g config.Group) (near, far []ident.Upstream) {
	for _, name := range slices.Sorted(maps.Keys(g.Upstreams)) {
		dc := g.Upstreams[name].DataCentre
		if dc == own || len(f.Daemons) > 0 && !f.Elsewhere[dc] {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return near, far
}

func setOf(names []ident.Upstream) map[ident.Upstream]bool {
	set := make(map[ident.Upstream]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

func namesOf(vms []ident.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = string(vm)
	}
	return names
}

// sweep drops members that only stayed for what ran there. What was learnt of them
// goes too: it would be stale when they come back, and they are probed then.
// What is learnt of speeds stays in the routing table.
func (s *shard) sweep() {
	for name, m := range s.members {
		if !m.used && !m.owned && m.inFlight == 0 {
			s.drop(name)
		}
	}
}

// drop forgets a member that is still configured. That it is leaving, which the
// VM list says once, must not be forgotten with it.
func (s *shard) drop(name ident.Upstream) {
	if view, _ := s.health.View(name); view.Leaving {
		s.gone = append(s.gone, name)
	}
	s.remove(name)
	s.watched = slices.DeleteFunc(s.watched, func(m *member) bool { return m.target.Name == name })
}

func (s *shard) remove(name ident.Upstream) {
	delete(s.members, name)
	s.act(s.health.Step(health.Removed{Upstream: name}, s.d.o.Now()))
}

// polled returns the members by name, also those that no request goes to.
func (s *shard) polled() []*member {
	if len(s.watched) == 0 {
		return s.order
	}
	all := slices.Concat(s.order, s.watched)
	slices.SortFunc(all, byName)
	return all
}

// takeGone returns the leaving ones among those dropped since the last call.
func (s *shard) takeGone() []ident.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.gone
	s.gone = nil
	return gone
}
