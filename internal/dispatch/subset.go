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
	// maxWholeGroupSize is the size up to which every daemon uses all upstreams of a group.
	maxWholeGroupSize = 64
	// subsetSize is about how many upstreams of a larger group each daemon uses.
	subsetSize = 50
)

// DaemonView is what dispatch needs to know of the daemons. The zero value means that no other
// daemon is known yet.
type DaemonView struct {
	LocalDaemons []ident.VM // live daemons of this data centre, including this one
	// OtherDataCentres holds the other data centres that have live daemons.
	OtherDataCentres map[ident.DataCentre]bool
	// OwnedEngines holds the engines that this daemon gives orders to. They are polled even if
	// requests aren't sent there.
	OwnedEngines map[ident.Upstream]bool
}

// SetDaemonView sets the known daemons. The next Apply chooses upstreams by them.
func (d *Dispatcher) SetDaemonView(f DaemonView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.daemons = f
}

// upstreamChoice is the part of a group that a daemon uses.
type upstreamChoice struct {
	upstreams map[ident.Upstream]bool
	// daemonsPerUpstream is how many daemons use each upstream, 0 if all daemons use the
	// whole group.
	daemonsPerUpstream int
}

// choose returns which upstreams of the group this daemon uses. A small group is used whole.
// Of a larger one, the daemon uses a subset of the upstreams that are local to its data
// centre: those in it and those in data centres without daemons, which would otherwise be
// unused. If there are few of these, routing.TopRanked from other data centres are added.
func (f DaemonView) choose(self ident.VM, dataCentre ident.DataCentre, group config.Group) upstreamChoice {
	if len(group.Upstreams) <= maxWholeGroupSize {
		return upstreamChoice{upstreams: setOf(slices.Collect(maps.Keys(group.Upstreams)))}
	}
	local, remote := f.splitByDataCentre(dataCentre, group)
	if len(f.LocalDaemons) == 0 {
		chosen := routing.TopRanked(string(self), local, subsetSize)
		chosen = append(chosen, routing.TopRanked(string(self), remote, subsetSize-len(chosen))...)
		return upstreamChoice{upstreams: setOf(chosen), daemonsPerUpstream: assumedDaemonsPerUpstream}
	}
	chosen, daemonsPerUpstream := local, len(f.LocalDaemons)
	if len(local) > maxWholeGroupSize {
		chosen = routing.Subset(string(self), local, namesOf(f.LocalDaemons), subsetSize)
		daemonsPerUpstream = routing.DaemonsPerUpstream(len(local), len(f.LocalDaemons), subsetSize)
	}
	if len(local) < subsetSize {
		chosen = append(slices.Clone(chosen), routing.TopRanked(string(self), remote, subsetSize-len(local))...)
	}
	return upstreamChoice{upstreams: setOf(chosen), daemonsPerUpstream: daemonsPerUpstream}
}

// assumedDaemonsPerUpstream is used while no other daemon is known.
const assumedDaemonsPerUpstream = 2

// splitByDataCentre divides a group's upstreams, sorted by name, into those that the daemons
// of this data centre are responsible for and the others. While no daemon is known, only
// upstreams of this data centre are local.
func (f DaemonView) splitByDataCentre(dataCentre ident.DataCentre, group config.Group) (local, remote []ident.Upstream) {
	for _, name := range slices.Sorted(maps.Keys(group.Upstreams)) {
		dc := group.Upstreams[name].DataCentre
		if dc == dataCentre || len(f.LocalDaemons) > 0 && !f.OtherDataCentres[dc] {
			local = append(local, name)
		} else {
			remote = append(remote, name)
		}
	}
	return local, remote
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

// dropUnused drops members that were kept only for their requests in flight. Their state
// would be out of date if they came back, and is obtained again by a probe. The routing
// table remembers their speed.
func (s *shard) dropUnused() {
	for name, m := range s.members {
		if !m.used && !m.owned && m.inFlight == 0 {
			s.dropMember(name)
		}
	}
}

// dropMember removes a member that is still configured. If it is leaving, that is
// remembered, since the VM list reports it only once.
func (s *shard) dropMember(name ident.Upstream) {
	if view, _ := s.health.View(name); view.Leaving {
		s.droppedLeaving = append(s.droppedLeaving, name)
	}
	s.removeMember(name)
	s.polledOnly = slices.DeleteFunc(s.polledOnly, func(m *member) bool { return m.target.Name == name })
}

func (s *shard) removeMember(name ident.Upstream) {
	delete(s.members, name)
	s.applyHealthActions(s.health.Step(health.Removed{Upstream: name}, s.dispatcher.options.Now()))
}

// polledMembers returns all members, sorted by name, including those that requests aren't
// sent to.
func (s *shard) polledMembers() []*member {
	if len(s.polledOnly) == 0 {
		return s.used
	}
	all := slices.Concat(s.used, s.polledOnly)
	slices.SortFunc(all, compareByName)
	return all
}

// takeDroppedLeaving returns the members dropped since the last call that were leaving.
func (s *shard) takeDroppedLeaving() []ident.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := s.droppedLeaving
	s.droppedLeaving = nil
	return dropped
}
