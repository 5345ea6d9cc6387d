package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// classCount is the number of classes in package routing.
const classCount = 2

// Queue is the admission queue of one upstream group.
//
// Invariants after each call:
//   - this daemon's running requests and those of its peers together exceed the total
//     number of slots only if the total shrank, the peers' requests increased, or the
//     caller starts tickets on its own;
//   - rollouts start only while rollouts and the peers' requests that are not known to
//     be production leave the reserve free;
//   - a rollout starts only if no production entry could start in its place;
//   - production starts in order of level, except that a level gets at least one of the
//     next 16 starts of production while it waits; if more than 16 levels wait, they take
//     turns;
//   - within a level teams share starts by weight, and a team's entries start in the order
//     of startsBefore;
//   - each ticket gets one Admit or Refused, or one Queued and then one start, one
//     expiry, or a Cancel;
//   - a team has at most its maximum number of entries queued in each class, over all
//     levels.
type Queue struct {
	options     Options
	teams       map[ident.Team]*team
	classQueues [classCount]classQueue
	entries     map[Ticket]*queuedEntry
	running     map[Ticket]runningEntry
	deadlines   deadlineHeap

	total, peersInFlight int                       // slots of the group, and those used by other daemons
	peerProduction       int                       // part of peersInFlight known to be production
	runningCount         [classCount]int           // this daemon's running requests
	serviceTimes         [classCount]movingAverage // seconds from start to Done
	sequence             uint64                    // of the newest entry
}

// runningEntry is a request that was started.
type runningEntry struct {
	class     routing.Class
	startedAt time.Time
}

// NewQueue returns an empty queue without slots.
func NewQueue(o Options) *Queue {
	return &Queue{
		options: o.withQueueDefaults(),
		teams:   make(map[ident.Team]*team),
		entries: make(map[Ticket]*queuedEntry),
		running: make(map[Ticket]runningEntry),
	}
}

// SetTeam sets the weight of a team and the maximum number of entries that it may have
// queued in each class. Values of 0 or less select the defaults. A lower maximum does not
// drop entries that are already queued.
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

// SetCapacity sets the total number of slots of the group and how many of them requests
// of other daemons use.
func (q *Queue) SetCapacity(total int, usedByPeers int) {
	q.total, q.peersInFlight = max(0, total), max(0, usedByPeers)
}

// SetPeerProduction sets how many of the peers' requests are production. By default all
// count as rollouts, which keeps the reserve free but may delay rollouts that could have
// run.
func (q *Queue) SetPeerProduction(n int) { q.peerProduction = max(0, n) }

// Enqueue admits, queues or refuses a request. If slots may have been released since the
// last Next, call Next first: a request is not admitted at once while others are queued,
// and may be refused because of them.
func (q *Queue) Enqueue(e Entry, now time.Time) Decision {
	if e.Class >= classCount {
		e.Class = routing.ClassRollout
	}
	if e.Class == routing.ClassRollout {
		e.Level = 0
	}
	e.Level, e.Cost = max(0, e.Level), max(1, e.Cost)
	if q.contains(e.Ticket) {
		return Decision{Refused: RefuseDuplicate, RetryAfter: MinRetryAfter}
	}
	c := &q.classQueues[e.Class]
	f := c.level(e.Level).flow(q.team(e.Team))
	if c.length == 0 && q.canStart(e.Class) && !deadlinePassed(e.Deadline, now) {
		c.recordStart(f, e.Cost, now)
		q.start(e.Ticket, e.Class, now)
		return Decision{Admit: true}
	}
	wait, known := q.estimateWait(f, e.Class)
	if reason := q.refusalReason(f.team, e, wait, known, now); reason != RefuseNone {
		if e.Deadline.After(f.level.refusedUntil) {
			f.level.refusedUntil = e.Deadline
		}
		return Decision{Refused: reason, RetryAfter: retryAfter(wait, known)}
	}
	q.push(f.team, e, now)
	return Decision{Queued: true}
}

// refusalReason returns why an entry that cannot start now may not be queued, or
// RefuseNone if it may. wait is the estimated time in the queue and is valid if known.
func (q *Queue) refusalReason(t *team, e Entry, wait time.Duration, known bool, now time.Time) RefuseReason {
	if t.lengths[e.Class] >= t.maxQueue {
		return RefuseTeamFull
	}
	// A full queue still accepts entries of a team below its equal share, so that a
	// team which fills the queue does not exclude the others. With up to three teams the
	// queue holds at most 2*MaxQueue entries; with more teams it may hold more.
	if len(q.entries) >= q.options.MaxQueue && t.queued() >= q.options.MaxQueue/q.countActiveTeams(t) {
		return RefuseFull
	}
	if e.Deadline.IsZero() {
		return RefuseNone
	}
	if deadlinePassed(e.Deadline, now) || known && now.Add(wait).After(e.Deadline) {
		return RefuseDeadline
	}
	return RefuseNone
}

// Next returns the tickets that may start now, which count as running from then on, and
// the entries whose deadline has passed. Call it after each event that may have released
// a slot, and on a timer for the deadlines.
func (q *Queue) Next(now time.Time) (starts []Ticket, expired []Expired) {
	for e := q.deadlines.first(); e != nil && deadlinePassed(e.Deadline, now); e = q.deadlines.first() {
		q.remove(e)
		wait, known := q.estimateWait(e.flow, e.Class)
		expired = append(expired, Expired{Ticket: e.Ticket, RetryAfter: retryAfter(wait, known)})
	}
	for c := routing.ClassProduction; c < classCount; c++ {
		for q.classQueues[c].length > 0 && q.canStart(c) {
			e := q.classQueues[c].next().first()
			q.classQueues[c].recordStart(e.flow, e.Cost, now)
			q.remove(e)
			q.start(e.Ticket, c, now)
			starts = append(starts, e.Ticket)
		}
	}
	return starts, expired
}

// Done ends a running ticket and records its service time. Unknown tickets are ignored.
func (q *Queue) Done(t Ticket, now time.Time) {
	r, ok := q.running[t]
	if !ok {
		return
	}
	q.stop(t, r)
	q.serviceTimes[r.class].add(now.Sub(r.startedAt).Seconds())
}

// Cancel removes a queued or running ticket without recording its service time. The cost
// already charged to its team is not refunded.
func (q *Queue) Cancel(t Ticket, _ time.Time) {
	if r, ok := q.running[t]; ok {
		q.stop(t, r)
		return
	}
	if e, ok := q.entries[t]; ok {
		q.remove(e)
	}
}

// Queued returns the number of queued entries of a class.
func (q *Queue) Queued(c routing.Class) int { return q.classQueues[c].length }

// Running returns the number of tickets of a class that were started and not yet ended.
func (q *Queue) Running(c routing.Class) int { return q.runningCount[c] }

// TeamQueued returns the number of queued entries of a team in a class.
func (q *Queue) TeamQueued(name ident.Team, c routing.Class) int {
	t, ok := q.teams[name]
	if !ok {
		return 0
	}
	return t.lengths[c]
}

// UpdateLevels changes the levels of a team's queued production entries to those that
// level returns for them, and returns the number of entries changed. Entries keep their
// order of arrival. The effect is that of removing and queueing each again in that order.
func (q *Queue) UpdateLevels(name ident.Team, level func(Entry) int) int {
	t, ok := q.teams[name]
	if !ok {
		return 0
	}
	c := &q.classQueues[routing.ClassProduction]
	var changed []*queuedEntry
	for _, l := range c.levels {
		if f, ok := l.byTeam[t]; ok {
			changed = append(changed, f.entries...)
		}
	}
	changed = slices.DeleteFunc(changed, func(e *queuedEntry) bool {
		old := e.Level
		e.Level = max(0, level(e.Entry))
		return e.Level == old
	})
	slices.SortFunc(changed, func(a, b *queuedEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range changed {
		c.delete(e)
		c.insert(t, e)
	}
	return len(changed)
}

// QueuedByTeam returns the number of queued entries of a class for each team that has
// any.
func (q *Queue) QueuedByTeam(c routing.Class) map[ident.Team]int {
	counts := make(map[ident.Team]int)
	for name, t := range q.teams {
		if t.lengths[c] > 0 {
			counts[name] = t.lengths[c]
		}
	}
	return counts
}

// OldestWait returns how long the oldest queued entry of a class has waited, or 0 if none
// is queued. It is a pass over all entries, for operators.
func (q *Queue) OldestWait(c routing.Class, now time.Time) time.Duration {
	var oldest time.Duration
	for _, e := range q.entries {
		if e.Class == c {
			oldest = max(oldest, now.Sub(e.arrivedAt))
		}
	}
	return oldest
}

// NextDeadline returns the earliest deadline of all queued entries, and false if none has
// one.
func (q *Queue) NextDeadline() (time.Time, bool) {
	e := q.deadlines.first()
	if e == nil {
		return time.Time{}, false
	}
	return e.Deadline, true
}

// reservedSlots returns the number of slots that rollouts never use.
func (q *Queue) reservedSlots() int {
	return int(math.Ceil(float64(q.total)*q.options.ProductionReserve - 1e-9))
}

// canStart reports whether one more request of a class may run.
func (q *Queue) canStart(c routing.Class) bool {
	own := q.runningCount[routing.ClassProduction] + q.runningCount[routing.ClassRollout]
	if own+q.peersInFlight >= q.total {
		return false
	}
	if c == routing.ClassProduction {
		return true
	}
	rollouts := q.runningCount[routing.ClassRollout] + max(0, q.peersInFlight-q.peerProduction)
	return rollouts < q.total-q.reservedSlots() && q.classQueues[routing.ClassProduction].length == 0
}

func (q *Queue) start(t Ticket, c routing.Class, now time.Time) {
	q.running[t] = runningEntry{class: c, startedAt: now}
	q.runningCount[c]++
}

func (q *Queue) stop(t Ticket, r runningEntry) {
	delete(q.running, t)
	q.runningCount[r.class]--
}

// contains reports whether a ticket is queued or running.
func (q *Queue) contains(t Ticket) bool {
	if _, ok := q.running[t]; ok {
		return true
	}
	_, ok := q.entries[t]
	return ok
}

// deadlinePassed reports whether a deadline has been reached; a zero deadline never is.
func deadlinePassed(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
