package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// The queue admits requests by the capacity of the whole group. While engines switch to a
// new weight version, only some of them may serve a rollout. If these are full, an admitted
// rollout would queue inside an engine and slow down all requests there. Such rollouts are
// parked: they wait outside the queue, so that they don't block rollouts for other engines,
// and enter it as soon as a suitable engine has room. Production requests are never parked:
// they don't ask for versions and have priority over rollouts everywhere.

// placementKey determines on which members a waiter may run. It includes the team, so that
// teams waiting for the same engine take turns.
type placementKey struct {
	team       ident.Team
	model      ident.Model
	minVersion ident.Version
}

func (req *placementRequest) key() placementKey {
	return placementKey{req.team, req.model, req.route.MinVersion}
}

// parkedQueue holds the waiters of one key, first in, first out.
type parkedQueue struct {
	key     placementKey
	waiters []*waiter
}

// mustPark reports whether a request can run only on some of the usable members and all of
// these are full. If it can run on all members, the queue's capacity is the right limit; if
// on none, pickMember decides.
func (s *shard) mustPark(req *placementRequest) bool {
	if req.route.Class != routing.ClassRollout || req.route.MinVersion <= 0 && s.modelCount <= 1 {
		return false
	}
	suitable, others := 0, 0
	freeSlots := 0.0
	for _, m := range s.used {
		switch {
		case !m.usable():
		case m.canServe(req):
			suitable++
			freeSlots += m.capacity()*(1-s.admission.productionReserve) - float64(m.inFlight)
		default:
			others++
		}
	}
	return suitable > 0 && others > 0 && freeSlots <= 0
}

// park parks a waiter. It returns false if the team has too many waiters parked.
func (s *shard) park(ticket limits.Ticket, w *waiter) bool {
	a := &s.admission
	if a.parkedCount(w.request.team) >= a.maxQueueOf(w.request.team) {
		return false
	}
	requestsParked.Add(1)
	w.ticket = ticket
	a.waiting[ticket] = w
	key := w.request.key()
	i := slices.IndexFunc(a.parked, func(queue *parkedQueue) bool { return queue.key == key })
	if i < 0 {
		i = len(a.parked)
		a.parked = append(a.parked, &parkedQueue{key: key})
	}
	a.parked[i].waiters = append(a.parked[i].waiters, w)
	return true
}

func (a *admission) parkedCount(team ident.Team) int {
	n := 0
	for _, queue := range a.parked {
		if queue.key.team == team {
			n += len(queue.waiters)
		}
	}
	return n
}

// maxQueueOf returns how many waiters of a team may be parked.
func (a *admission) maxQueueOf(team ident.Team) int {
	if n := a.teamMaxQueue[team]; n > 0 {
		return n
	}
	return limits.DefaultTeamQueue
}

// removeParked removes the parked waiters that match.
func (a *admission) removeParked(match func(*waiter) bool) {
	for _, queue := range a.parked {
		queue.waiters = slices.DeleteFunc(queue.waiters, match)
	}
	a.removeEmptyParked()
}

func (a *admission) removeEmptyParked() {
	a.parked = slices.DeleteFunc(a.parked, func(queue *parkedQueue) bool { return len(queue.waiters) == 0 })
}

// expireParked refuses parked waiters that are past their latest start.
func (s *shard) expireParked(now time.Time) {
	s.admission.removeParked(func(w *waiter) bool {
		if w.request.latestStart.IsZero() || now.Before(w.request.latestStart) {
			return false
		}
		delete(s.admission.waiting, w.ticket)
		requestsRefused.Add(1)
		w.refuse(&Error{Outcome: outcome.NotRun, Reason: ReasonQueueTimeout, RetryAfter: retryAfterNoUpstream})
		return true
	})
}

// unpark moves parked waiters to the queue as long as members that can serve them have room
// and the queue starts them at once. The keys take turns, so that a team with a thousand
// waiters doesn't block a team with one.
func (s *shard) unpark(now time.Time) {
	a := &s.admission
	for moved := true; moved; {
		moved = false
		for _, queue := range a.parked {
			if len(queue.waiters) == 0 || s.mustPark(&queue.waiters[0].request) {
				continue
			}
			w := queue.waiters[0]
			queue.waiters = queue.waiters[1:]
			delete(a.waiting, w.ticket)
			w.request.prioritized = true // it has queued before
			moved = s.admit(w.ticket, w, now) || moved
		}
	}
	a.removeEmptyParked()
	if len(a.parked) > 1 { // the next call starts with another key
		a.parked = append(a.parked[1:], a.parked[0])
	}
}
