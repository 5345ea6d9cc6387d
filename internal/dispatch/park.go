package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// The queue admits by the capacity of the whole group. While engines switch, a
// rollout may fit only some of them, and with these full it would queue inside an
// engine, which makes all that runs there slow. Such rollouts are parked: they wait
// beside the queue, so that what fits elsewhere isn't held up, and enter it as soon
// as an engine that fits has room. Production is never parked: it doesn't ask for
// versions, and comes before rollouts everywhere.

// fit is what decides which members a waiter may run on. The team is in it so that
// the teams that wait for one engine take turns.
type fit struct {
	team       ident.Team
	model      ident.Model
	minVersion ident.Version
}

func (w *want) fit() fit { return fit{w.team, w.model, w.route.MinVersion} }

// parkedList is what waits for room on the members of one fit, first come first.
type parkedList struct {
	fit     fit
	waiters []*waiter
}

// mustPark says that a want fits only some of the usable members and that these
// are full. When it fits all, the queue's count is right; when it fits none, place
// has the word.
func (s *shard) mustPark(w *want) bool {
	if w.route.Class != routing.ClassRollout || w.route.MinVersion <= 0 && s.models <= 1 {
		return false
	}
	fitting, others := 0, 0
	free := 0.0
	for _, m := range s.order {
		switch {
		case !m.usable():
		case m.fits(w):
			fitting++
			free += m.capacity()*(1-s.gate.reserve) - float64(m.inFlight)
		default:
			others++
		}
	}
	return fitting > 0 && others > 0 && free <= 0
}

// park lets a waiter wait for room; false if its team has too many waiting.
func (s *shard) park(ticket limits.Ticket, w *waiter) bool {
	g := &s.gate
	if g.parkedOf(w.want.team) >= g.maxQueue(w.want.team) {
		return false
	}
	parkings.Add(1)
	w.ticket = ticket
	g.waiting[ticket] = w
	key := w.want.fit()
	i := slices.IndexFunc(g.parked, func(l *parkedList) bool { return l.fit == key })
	if i < 0 {
		i = len(g.parked)
		g.parked = append(g.parked, &parkedList{fit: key})
	}
	g.parked[i].waiters = append(g.parked[i].waiters, w)
	return true
}

func (g *gate) parkedOf(team ident.Team) int {
	n := 0
	for _, l := range g.parked {
		if l.fit.team == team {
			n += len(l.waiters)
		}
	}
	return n
}

// maxQueue is a team's bound on what it has waiting.
func (g *gate) maxQueue(team ident.Team) int {
	if n := g.maxQueues[team]; n > 0 {
		return n
	}
	return limits.DefaultTeamQueue
}

// dropParked takes out the waiters that a rule picks.
func (g *gate) dropParked(gone func(*waiter) bool) {
	for _, l := range g.parked {
		l.waiters = slices.DeleteFunc(l.waiters, gone)
	}
	g.dropEmpty()
}

func (g *gate) dropEmpty() {
	g.parked = slices.DeleteFunc(g.parked, func(l *parkedList) bool { return len(l.waiters) == 0 })
}

// expireParked refuses what waited too long.
func (s *shard) expireParked(now time.Time) {
	s.gate.dropParked(func(w *waiter) bool {
		if w.want.deadline.IsZero() || now.Before(w.want.deadline) {
			return false
		}
		delete(s.gate.waiting, w.ticket)
		refusals.Add(1)
		w.refuse(&Error{Outcome: outcome.NotRun, Reason: QueueTimeout, RetryAfter: retryNoUpstream})
		return true
	})
}

// unpark brings waiters into the queue while the members that they fit have room
// and the queue starts them at once. The lists take turns, so that one team's
// thousand don't keep out another's one.
func (s *shard) unpark(now time.Time) {
	g := &s.gate
	for moved := true; moved; {
		moved = false
		for _, l := range g.parked {
			if len(l.waiters) == 0 || s.mustPark(&l.waiters[0].want) {
				continue
			}
			w := l.waiters[0]
			l.waiters = l.waiters[1:]
			delete(g.waiting, w.ticket)
			w.want.urgent = true // it has waited its turn
			moved = s.admit(w.ticket, w, now) || moved
		}
	}
	g.dropEmpty()
	if len(g.parked) > 1 { // the next time begins with another
		g.parked = append(g.parked[1:], g.parked[0])
	}
}
