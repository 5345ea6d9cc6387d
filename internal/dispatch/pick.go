package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// pickMember picks the member for a request, nil if no member may run it. Members already
// tried are avoided as long as there are others. The shard's lock is held.
func (s *shard) pickMember(req *placementRequest, now time.Time) *member {
	if s.dispatcher.options.Policy == PolicyNaive {
		return s.pickRoundRobin(req)
	}
	route := req.route
	tried := route.Exclude
	route.Exclude = s.unsuitable(req, tried)
	if m := s.pickPreferred(req, route, now); m != nil {
		return m
	}
	if name, ok := s.routingTable.Pick(route, now); ok {
		return s.members[name]
	}
	if len(tried) > 0 {
		route.Exclude = s.unsuitable(req, nil)
		if name, ok := s.routingTable.Pick(route, now); ok {
			return s.members[name]
		}
	}
	return s.pickQuarantined(req)
}

// pickPreferred picks among the members that serve the preferred version. It returns nil
// if none of them has room, or if the one picked has a much higher load than the others:
// waiting for it or overloading it would cost more than an older version does.
func (s *shard) pickPreferred(req *placementRequest, route routing.Request, now time.Time) *member {
	if req.preferVersion <= route.MinVersion {
		return nil
	}
	route.MinVersion = req.preferVersion
	preferred := *req
	preferred.route.MinVersion = req.preferVersion
	route.Exclude = s.unsuitable(&preferred, route.Exclude)
	name, ok := s.routingTable.Pick(route, now)
	if !ok {
		return nil
	}
	if m := s.members[name]; m.hasRoom() && s.withinLoadBound(m) {
		return m
	}
	return nil
}

// preferredLoadFactor bounds the load of a member that is picked for its version, as a
// multiple of the mean load. Members picked by prefix have the same bound.
const preferredLoadFactor = 1.25

// withinLoadBound keeps the first members with a new version from getting all requests
// while others are idle.
func (s *shard) withinLoadBound(m *member) bool {
	sum, n := 0, 0
	for _, other := range s.used {
		if other.usable() {
			sum += other.inFlight
			n++
		}
	}
	return float64(m.inFlight) <= preferredLoadFactor*float64(sum+1)/float64(max(1, n))+1
}

// hasRoom reports whether this daemon's share of the member's limit has a free slot.
func (m *member) hasRoom() bool { return float64(m.inFlight) < m.capacity() }

// unsuitable returns the members that can't run the request: those already tried and, in
// a group of several models, those that don't serve its model in a version new enough. In
// a group of one model, the routing table checks the version.
func (s *shard) unsuitable(req *placementRequest, tried []ident.Upstream) []ident.Upstream {
	if s.modelCount <= 1 || req.model == "" {
		return tried
	}
	excluded := slices.Clone(tried)
	for _, m := range s.used {
		if !m.canServe(req) {
			excluded = append(excluded, m.target.Name)
		}
	}
	return excluded
}

// canServe reports whether a member can run the request, as far as its load reports tell.
func (m *member) canServe(req *placementRequest) bool {
	if req.model == "" || len(m.serving) == 0 {
		return req.route.MinVersion == 0
	}
	version, serves := m.serving[req.model]
	return serves && version >= req.route.MinVersion
}

// pickQuarantined picks a member that is in quarantine, if no other is left: running
// beside a suspect is better than not running at all.
func (s *shard) pickQuarantined(req *placementRequest) *member {
	var best *member
	for _, m := range s.used {
		if !m.eligible || m.usable() || !m.canServe(req) {
			continue
		}
		if best == nil || m.inFlight < best.inFlight {
			best = m
		}
	}
	return best
}

// pickRoundRobin implements the naive policy: round robin over eligible members.
func (s *shard) pickRoundRobin(req *placementRequest) *member {
	for range s.used {
		s.roundRobinIndex = (s.roundRobinIndex + 1) % len(s.used)
		m := s.used[s.roundRobinIndex]
		if m.eligible && m.canServe(req) && !slices.Contains(req.route.Exclude, m.target.Name) {
			return m
		}
	}
	return nil
}

func (s *shard) anyEligible() bool {
	return slices.ContainsFunc(s.used, func(m *member) bool { return m.eligible })
}

func routingClass(c Class) routing.Class {
	if c == ClassRollout {
		return routing.ClassRollout
	}
	return routing.ClassProduction
}
