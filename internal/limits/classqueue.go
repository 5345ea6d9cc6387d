package limits

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// maxStartsPerTurn is the number of starts of a class of which each waiting level gets at
// least one. A higher level can therefore take up to a sixteenth of the slots from more
// urgent ones.
const maxStartsPerTurn = 16

// team holds the settings of a team and the number of its queued entries.
type team struct {
	name     ident.Team
	weight   float64
	maxQueue int             // maximum number of entries queued in each class
	lengths  [classCount]int // entries queued, over all levels of a class
}

// queued returns the number of entries queued in all classes.
func (t *team) queued() int {
	return t.lengths[routing.ClassProduction] + t.lengths[routing.ClassRollout]
}

// queuedEntry is an entry in a Queue.
type queuedEntry struct {
	Entry
	flow          *flow
	arrivedAt     time.Time
	sequence      uint64 // order of arrival
	flowIndex     int    // position in the heap of the flow
	deadlineIndex int    // position in deadlineHeap, -1 without a deadline
}

// flow is the queue of one team in one level of a class, a heap in the order of
// startsBefore.
type flow struct {
	team    *team
	level   *levelQueue
	entries []*queuedEntry
	// startTag is the virtual time at which the next entry starts: that of the last
	// start plus its cost / weight.
	startTag  float64
	heapIndex int // position in levelQueue.flows, valid while the flow has entries
}

func (f *flow) len() int { return len(f.entries) }

// classQueue is the queue of one class, divided into levels. Rollouts have level 0 only.
//
// Invariant: of the waiting levels at most k have a startsLeft of k or less, so that each
// can still get a start in time. This does not hold while more than maxStartsPerTurn levels
// wait, nor afterwards until each of them has had a start.
type classQueue struct {
	levels []*levelQueue // all levels used so far, in ascending order
	length int           // entries over all levels
}

// levelQueue is the queue of one level of a class. Teams share it by start-time fair
// queueing: the next entry comes from the flow with the lowest start tag, which has been
// charged least in proportion to its weight.
//
// Invariant: flows holds the flows with entries, and none of their start tags is below
// the virtual time. A flow that was idle resumes at the current virtual time, so that it
// cannot accumulate credit while idle and then keep others from starting.
type levelQueue struct {
	level       int
	flows       flowHeap
	byTeam      map[*team]*flow
	virtualTime float64
	length      int // entries over all flows
	// startsLeft is the number of starts of the class, from the next one on, of which
	// one must be of this level; 0 or less if it is overdue. It decreases with each start of another level while
	// this level waits, or could wait if none of its entries had been refused. It is kept
	// while the level is empty. Entries that must start within fewer starts than a turn
	// takes expire or are refused on arrival, and their level would otherwise never get
	// its turn.
	startsLeft   int
	refusedUntil time.Time // latest deadline of a refused entry
}

// first returns the entry to start next. The queue must not be empty.
func (l *levelQueue) first() *queuedEntry { return l.flows[0].entries[0] }

// flow returns the flow of a team, which is created if needed.
func (l *levelQueue) flow(t *team) *flow {
	f, ok := l.byTeam[t]
	if !ok {
		f = &flow{team: t, level: l}
		l.byTeam[t] = f
	}
	return f
}

// charge adds the cost of a started request to its flow and advances the virtual time.
// This also applies to requests that start without being queued, so that slots which no
// other team wanted are not counted against a team later.
func (l *levelQueue) charge(f *flow, cost float64) {
	l.virtualTime = max(l.virtualTime, f.startTag)
	f.startTag = max(f.startTag, l.virtualTime) + cost/f.team.weight
	if f.len() > 0 {
		heap.Fix(&l.flows, f.heapIndex)
	}
}

// level returns the queue of a level, which is created if needed.
func (c *classQueue) level(level int) *levelQueue {
	i, ok := slices.BinarySearchFunc(c.levels, level, func(l *levelQueue, level int) int {
		return cmp.Compare(l.level, level)
	})
	if !ok {
		l := &levelQueue{level: level, byTeam: make(map[*team]*flow), startsLeft: maxStartsPerTurn}
		c.levels = slices.Insert(c.levels, i, l)
	}
	return c.levels[i]
}

// next returns the level of which an entry starts next: the lowest that waits, or the one
// with the fewest starts left if another level would otherwise miss its turn. The queue
// must not be empty.
func (c *classQueue) next() *levelQueue {
	var lowest, due *levelQueue
	for _, l := range c.levels {
		if l.length == 0 {
			continue
		}
		if lowest == nil {
			lowest = l
		}
		if due == nil || l.startsLeft < due.startsLeft {
			due = l
		}
	}
	if c.canYieldTo(lowest) {
		return lowest
	}
	return due
}

// canYieldTo reports whether a level may start next without another waiting level missing
// its turn: after that start, no k other levels have to share fewer than k starts. With
// more than maxStartsPerTurn levels this is never so, and all take turns.
func (c *classQueue) canYieldTo(next *levelQueue) bool {
	for _, l := range c.levels {
		if l.length == 0 || l == next {
			continue
		}
		sharing := 0
		for _, other := range c.levels {
			if other.length > 0 && other != next && other.startsLeft <= l.startsLeft {
				sharing++
			}
		}
		if sharing > l.startsLeft-1 {
			return false
		}
	}
	return true
}

// recordStart charges the flow of a started request and counts the start for the turns of
// the levels.
func (c *classQueue) recordStart(f *flow, cost float64, now time.Time) {
	f.level.charge(f, cost)
	for _, l := range c.levels {
		if l.length > 0 || now.Before(l.refusedUntil) {
			l.startsLeft--
		}
	}
	f.level.startsLeft = maxStartsPerTurn
}

// insert adds an entry to the flow of its team and level.
func (c *classQueue) insert(t *team, e *queuedEntry) {
	l := c.level(e.Level)
	f := l.flow(t)
	e.flow = f
	heap.Push((*entryHeap)(f), e)
	if f.len() == 1 {
		f.startTag = max(f.startTag, l.virtualTime)
		heap.Push(&l.flows, f)
	}
	c.length++
	l.length++
	t.lengths[e.Class]++
	if l.length == 1 {
		// A level that waits again must not make a level that has kept waiting miss its
		// turn, so it is given at least as many starts as there are levels waiting.
		l.startsLeft = max(l.startsLeft, min(c.waitingLevels(), maxStartsPerTurn))
	}
}

// waitingLevels returns the number of levels with entries queued.
func (c *classQueue) waitingLevels() int {
	n := 0
	for _, l := range c.levels {
		if l.length > 0 {
			n++
		}
	}
	return n
}

// delete removes an entry from its flow.
func (c *classQueue) delete(e *queuedEntry) {
	f, l := e.flow, e.flow.level
	heap.Remove((*entryHeap)(f), e.flowIndex)
	if f.len() == 0 {
		heap.Remove(&l.flows, f.heapIndex)
	}
	c.length--
	l.length--
	f.team.lengths[e.Class]--
}

// team returns the state of a team, which is created with defaults if needed.
func (q *Queue) team(name ident.Team) *team {
	t, ok := q.teams[name]
	if ok {
		return t
	}
	t = &team{name: name, weight: DefaultWeight, maxQueue: DefaultTeamQueue}
	q.teams[name] = t
	return t
}

// countActiveTeams returns the number of teams with entries queued, including the given
// one in any case.
func (q *Queue) countActiveTeams(t *team) int {
	n := 0
	for _, other := range q.teams {
		if other == t || other.queued() > 0 {
			n++
		}
	}
	return n
}

// push adds an entry to the queue.
func (q *Queue) push(t *team, e Entry, now time.Time) {
	q.sequence++
	entry := &queuedEntry{Entry: e, arrivedAt: now, sequence: q.sequence, deadlineIndex: -1}
	q.classQueues[e.Class].insert(t, entry)
	q.entries[e.Ticket] = entry
	if !e.Deadline.IsZero() {
		heap.Push(&q.deadlines, entry)
	}
}

// remove removes an entry from the queue.
func (q *Queue) remove(e *queuedEntry) {
	q.classQueues[e.Class].delete(e)
	delete(q.entries, e.Ticket)
	if e.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, e.deadlineIndex)
	}
}
