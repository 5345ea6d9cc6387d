package limits

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

const classes = 2

// Queue is the admission queue of one upstream group.
//
// Invariants after each call:
//   - own running + peers' in flight exceed the total only if the total shrank,
//     peers grew, or the caller starts tickets on its own;
//   - rollouts start only while rollouts and peers' requests not known to be
//     production leave the reserve free;
//   - a rollout starts only if no production entry could start in its place;
//   - each ticket gets one Admit or Refused, or one Queued and then one start,
//     one expiry, or a Cancel;
//   - a team holds at most its bound queued in each class.
type Queue struct {
	options Options
	teams   map[ident.Team]*team
	lanes   [classes]lane
	entries map[Ticket]*queued
	running map[Ticket]running
	dues    dueHeap

	total, peers    int
	peersProduction int
	started         [classes]int // own requests running
	service         [classes]average
	sequence        uint64
}

type running struct {
	class routing.Class
	since time.Time
}

// NewQueue returns an empty queue without slots.
func NewQueue(o Options) *Queue {
	return &Queue{
		options: o.forQueue(),
		teams:   make(map[ident.Team]*team),
		entries: make(map[Ticket]*queued),
		running: make(map[Ticket]running),
	}
}

// SetTeam sets a team's fair share and its bound on entries queued in each class;
// 0 or less takes the defaults. A smaller bound drops nobody queued already.
func (q *Queue) SetTeam(name ident.Team, weight float64, maxQueue int) {
	t := q.team(name)
	t.weight, t.maxQueue = DefaultWeight, DefaultTeamQueue
	if weight > 0 {
		t.weight = weight
	}
	if maxQueue > 0 {
		t.maxQueue = maxQueue
	}
}

// SetCapacity sets the slots of the whole group and how many of them other
// daemons' requests take.
func (q *Queue) SetCapacity(total int, used int) {
	q.total, q.peers = max(0, total), max(0, used)
}

// SetPeerProduction says how many of the peers' requests are production. Unless
// told, all count as rollouts: that keeps the reserve free at the price of
// rollouts that could have run.
func (q *Queue) SetPeerProduction(n int) { q.peersProduction = max(0, n) }

// Enqueue asks for a start.
func (q *Queue) Enqueue(e Entry, now time.Time) Decision {
	if e.Class >= classes {
		e.Class = routing.ClassRollout
	}
	e.Cost = max(1, e.Cost)
	if q.holds(e.Ticket) {
		return Decision{Refused: RefuseDuplicate, RetryAfter: MinRetryAfter}
	}
	t := q.team(e.Team)
	if q.lanes[e.Class].count == 0 && q.mayStart(e.Class) && !passed(e.Deadline, now) {
		q.lanes[e.Class].charge(t.flow(e.Class), e.Cost)
		q.start(e.Ticket, e.Class, now)
		return Decision{Admit: true}
	}
	wait, known := q.wait(t, e.Class)
	if reason := q.refuse(t, e, wait, known, now); reason != RefuseNone {
		return Decision{Refused: reason, RetryAfter: retryAfter(wait, known)}
	}
	q.push(t, e)
	return Decision{Queued: true}
}

// refuse says whether an entry that can't start now may not wait either.
func (q *Queue) refuse(t *team, e Entry, wait time.Duration, known bool, now time.Time) RefuseReason {
	if t.flow(e.Class).len() >= t.maxQueue {
		return RefuseTeamFull
	}
	// A full queue still takes a team below its part of it, so that a team that
	// fills it doesn't shut the others out. It holds 2*MaxQueue at most.
	if len(q.entries) >= q.options.MaxQueue && t.queued() >= q.options.MaxQueue/q.activeWith(t) {
		return RefuseFull
	}
	if e.Deadline.IsZero() {
		return RefuseNone
	}
	if passed(e.Deadline, now) || known && now.Add(wait).After(e.Deadline) {
		return RefuseDeadline
	}
	return RefuseNone
}

// Next returns the entries that may start now, which count as running from here,
// and those that missed their deadline. The caller asks after each event that may
// have freed a slot, and on a timer for the deadlines.
func (q *Queue) Next(now time.Time) (starts []Ticket, expired []Expired) {
	for e := q.dues.first(); e != nil && passed(e.Deadline, now); e = q.dues.first() {
		q.remove(e)
		wait, known := q.wait(q.team(e.Team), e.Class)
		expired = append(expired, Expired{Ticket: e.Ticket, RetryAfter: retryAfter(wait, known)})
	}
	for c := routing.ClassProduction; c < classes; c++ {
		for q.lanes[c].count > 0 && q.mayStart(c) {
			e := q.lanes[c].next()
			q.lanes[c].charge(e.flow, e.Cost)
			q.remove(e)
			q.start(e.Ticket, c, now)
			starts = append(starts, e.Ticket)
		}
	}
	return starts, expired
}

// Done ends a running ticket and learns its service time. An unknown ticket is
// ignored.
func (q *Queue) Done(t Ticket, now time.Time) {
	r, ok := q.running[t]
	if !ok {
		return
	}
	q.stop(t, r)
	q.service[r.class].add(now.Sub(r.since).Seconds())
}

// Cancel takes a ticket out, queued or running, without learning from it. The
// work it was charged for stays charged.
func (q *Queue) Cancel(t Ticket, _ time.Time) {
	if r, ok := q.running[t]; ok {
		q.stop(t, r)
		return
	}
	if e, ok := q.entries[t]; ok {
		q.remove(e)
	}
}

// Queued and Running count a class's entries.
func (q *Queue) Queued(c routing.Class) int { return q.lanes[c].count }

// Running counts a class's tickets that started and aren't done.
func (q *Queue) Running(c routing.Class) int { return q.started[c] }

// TeamQueued counts a team's entries of a class.
func (q *Queue) TeamQueued(name ident.Team, c routing.Class) int {
	t, ok := q.teams[name]
	if !ok {
		return 0
	}
	return t.flow(c).len()
}

// NextDeadline returns the earliest deadline of a queued entry, false if none has one.
func (q *Queue) NextDeadline() (time.Time, bool) {
	e := q.dues.first()
	if e == nil {
		return time.Time{}, false
	}
	return e.Deadline, true
}

// reserve is the number of slots that rollouts never take.
func (q *Queue) reserve() int {
	return int(math.Ceil(float64(q.total)*q.options.ProductionReserve - 1e-9))
}

// mayStart says whether one more of a class may run.
func (q *Queue) mayStart(c routing.Class) bool {
	own := q.started[routing.ClassProduction] + q.started[routing.ClassRollout]
	if own+q.peers >= q.total {
		return false
	}
	if c == routing.ClassProduction {
		return true
	}
	rollouts := q.started[routing.ClassRollout] + max(0, q.peers-q.peersProduction)
	return rollouts < q.total-q.reserve() && q.lanes[routing.ClassProduction].count == 0
}

func (q *Queue) start(t Ticket, c routing.Class, now time.Time) {
	q.running[t] = running{class: c, since: now}
	q.started[c]++
}

func (q *Queue) stop(t Ticket, r running) {
	delete(q.running, t)
	q.started[r.class]--
}

func (q *Queue) holds(t Ticket) bool {
	if _, ok := q.running[t]; ok {
		return true
	}
	_, ok := q.entries[t]
	return ok
}

// passed says whether a deadline, zero for none, is over.
func passed(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
