package limits

import (
	"container/heap"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// team holds the settings of a team and its queued entries.
type team struct {
	weight   float64
	maxQueue int // maximum number of entries queued in each class
	flows    [classCount]flow
}

func (t *team) flow(c routing.Class) *flow { return &t.flows[c] }

// queued returns the number of entries queued in all classes.
func (t *team) queued() int {
	return t.flows[routing.ClassProduction].len() + t.flows[routing.ClassRollout].len()
}

// queuedEntry is an entry in a Queue.
type queuedEntry struct {
	Entry
	flow          *flow
	sequence      uint64 // order of arrival
	flowIndex     int    // position in the heap of the flow
	deadlineIndex int    // position in deadlineHeap, -1 without a deadline
}

// flow is the queue of one team in one class, a heap in order of priority.
type flow struct {
	team    *team
	name    ident.Team
	entries []*queuedEntry
	// startTag is the virtual time at which the next entry starts: that of the last
	// start plus its cost / weight.
	startTag  float64
	heapIndex int // position in classQueue.flows, valid while the flow has entries
}

func (f *flow) len() int { return len(f.entries) }

// classQueue is the queue of one class. Teams share it by start-time fair queueing: the
// next entry comes from the flow with the lowest start tag, which has been charged least
// in proportion to its weight.
//
// Invariant: flows holds the flows with entries, and none of their start tags is below
// the virtual time. A flow that was idle resumes at the current virtual time, so that it
// cannot accumulate credit while idle and then keep others from starting.
type classQueue struct {
	flows       flowHeap
	virtualTime float64
	length      int // entries over all flows
}

// first returns the entry to start next. The queue must not be empty.
func (c *classQueue) first() *queuedEntry { return c.flows[0].entries[0] }

// charge adds the cost of a started request to its flow and advances the virtual time.
// This also applies to requests that start without being queued, so that slots which no
// other team wanted are not counted against a team later.
func (c *classQueue) charge(f *flow, cost float64) {
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag = max(f.startTag, c.virtualTime) + cost/f.team.weight
	if f.len() > 0 {
		heap.Fix(&c.flows, f.heapIndex)
	}
}

// team returns the state of a team, which is created with defaults if needed.
func (q *Queue) team(name ident.Team) *team {
	t, ok := q.teams[name]
	if ok {
		return t
	}
	t = &team{weight: DefaultWeight, maxQueue: DefaultTeamQueue}
	for c := range t.flows {
		t.flows[c] = flow{team: t, name: name}
	}
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
func (q *Queue) push(t *team, e Entry) {
	q.sequence++
	f, c := t.flow(e.Class), &q.classQueues[e.Class]
	entry := &queuedEntry{Entry: e, flow: f, sequence: q.sequence, deadlineIndex: -1}
	heap.Push((*entryHeap)(f), entry)
	if f.len() == 1 {
		f.startTag = max(f.startTag, c.virtualTime)
		heap.Push(&c.flows, f)
	}
	c.length++
	q.entries[e.Ticket] = entry
	if !e.Deadline.IsZero() {
		heap.Push(&q.deadlines, entry)
	}
}

// remove removes an entry from the queue.
func (q *Queue) remove(e *queuedEntry) {
	c := &q.classQueues[e.Class]
	heap.Remove((*entryHeap)(e.flow), e.flowIndex)
	if e.flow.len() == 0 {
		heap.Remove(&c.flows, e.flow.heapIndex)
	}
	c.length--
	delete(q.entries, e.Ticket)
	if e.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, e.deadlineIndex)
	}
}
