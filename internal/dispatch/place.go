package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// place chooses the member for a want, nil if none may take it. What was tried
// already is avoided while something else is left. The lock is held.
func (s *shard) place(w *want, now time.Time) *member {
	if s.d.o.Policy == Naive {
		return s.nextInTurn(w)
	}
	r := w.route
	tried := r.Exclude
	r.Exclude = s.unfit(w, tried)
	if m := s.placeFresher(w, r, now); m != nil {
		return m
	}
	if name, ok := s.table.Pick(r, now); ok {
		return s.members[name]
	}
	if len(tried) > 0 {
		r.Exclude = s.unfit(w, nil)
		if name, ok := s.table.Pick(r, now); ok {
			return s.members[name]
		}
	}
	return s.lastResort(w)
}

// placeFresher chooses among the members that serve the version preferred, nil if
// none of them has room or if they bear much more than the others: to wait for one,
// or to crowd it, would cost more than an older version.
func (s *shard) placeFresher(w *want, r routing.Request, now time.Time) *member {
	if w.prefer <= r.MinVersion {
		return nil
	}
	r.MinVersion = w.prefer
	fresher := *w
	fresher.route.MinVersion = w.prefer
	r.Exclude = s.unfit(&fresher, r.Exclude)
	name, ok := s.table.Pick(r, now)
	if !ok {
		return nil
	}
	if m := s.members[name]; m.hasRoom() && s.withinBound(m) {
		return m
	}
	return nil
}

// fresherFactor is how much more than the mean a member with newer weights may bear
// for that alone, as prefixes may put on theirs.
const fresherFactor = 1.25

// withinBound keeps the first members that switched from taking all while others idle.
func (s *shard) withinBound(m *member) bool {
	sum, n := 0, 0
	for _, other := range s.order {
		if other.usable() {
			sum += other.inFlight
			n++
		}
	}
	return float64(m.inFlight) <= fresherFactor*float64(sum+1)/float64(max(1, n))+1
}

// hasRoom says whether this daemon's share of the member's limit isn't used up.
func (m *member) hasRoom() bool { return float64(m.inFlight) < m.capacity() }

// unfit returns the members that can't run the want: those already tried, and
// in a group of several models, those that don't serve its model fresh enough.
// A group of one model leaves versions to the table.
func (s *shard) unfit(w *want, tried []ident.Upstream) []ident.Upstream {
	if s.models <= 1 || w.model == "" {
		return tried
	}
	unfit := slices.Clone(tried)
	for _, m := range s.order {
		if !m.fits(w) {
			unfit = append(unfit, m.target.Name)
		}
	}
	return unfit
}

// fits says whether a member can run the want, as far as its reports tell.
func (m *member) fits(w *want) bool {
	if w.model == "" || len(m.serving) == 0 {
		return w.route.MinVersion == 0
	}
	v, serves := m.serving[w.model]
	return serves && v >= w.route.MinVersion
}

// lastResort takes a member that a quarantine lane holds: beside a suspect is
// better than not at all.
func (s *shard) lastResort(w *want) *member {
	var best *member
	for _, m := range s.order {
		if !m.eligible || m.usable() || !m.fits(w) {
			continue
		}
		if best == nil || m.inFlight < best.inFlight {
			best = m
		}
	}
	return best
}

// nextInTurn is the naive policy: round robin over live members.
func (s *shard) nextInTurn(w *want) *member {
	for range s.order {
		s.robin = (s.robin + 1) % len(s.order)
		m := s.order[s.robin]
		if m.eligible && m.fits(w) && !slices.Contains(w.route.Exclude, m.target.Name) {
			return m
		}
	}
	return nil
}

func (s *shard) anyEligible() bool {
	return slices.ContainsFunc(s.order, func(m *member) bool { return m.eligible })
}

func classOf(c Class) routing.Class {
	if c == Rollout {
		return routing.ClassRollout
	}
	return routing.ClassProduction
}
