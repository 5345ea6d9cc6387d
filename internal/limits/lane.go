package limits

import (
	"container/heap"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// team is a team's settings and its flow in each class.
type team struct {
	weight   float64
	maxQueue int
	flows    [classes]flow
}

func (t *team) flow(c routing.Class) *flow { return &t.flows[c] }

func (t *team) queued() int {
	return t.flows[routing.ClassProduction].len() + t.flows[routing.ClassRollout].len()
}

// queued is an entry in the queue.
type queued struct {
	Entry
	flow     *flow
	sequence uint64
	inFlow   int // position in the flow's heap
	inDues   int // position in dueHeap, -1 without a deadline
}

// flow is what one team has queued in one class, in order of priority.
type flow struct {
	team    *team
	name    ident.Team
	entries []*queued
	// tag is the virtual time of the work charged so far: cost / weight.
	tag  float64
	lane int // position in lane.flows, valid while it has entries
}

func (f *flow) len() int { return len(f.entries) }

// lane shares one class between its teams by virtual time (start-time fair
// queueing): the backlogged flow that was charged least, by its weight, is next.
//
// Invariant: flows holds those with entries, and no tag there is below clock. One that comes back from idle starts at the
// clock, so that it can't save up idle time and shut others out.
type lane struct {
	flows flowHeap
	clock float64
	count int
}

// next returns the entry to start next; the lane must not be empty.
func (l *lane) next() *queued { return l.flows[0].entries[0] }

// charge books the cost of a start on a flow. Starts without a queue move the
// clock too: slots that nobody else wanted aren't held against a team later.
func (l *lane) charge(f *flow, cost float64) {
	l.clock = max(l.clock, f.tag)
	f.tag = max(f.tag, l.clock) + cost/f.team.weight
	if f.len() > 0 {
		heap.Fix(&l.flows, f.lane)
	}
}

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

// activeWith counts the teams with entries queued, and this one.
func (q *Queue) activeWith(t *team) int {
	n := 0
	for _, other := range q.teams {
		if other == t || other.queued() > 0 {
			n++
		}
	}
	return n
}

func (q *Queue) push(t *team, e Entry) {
	q.sequence++
	f, l := t.flow(e.Class), &q.lanes[e.Class]
	entry := &queued{Entry: e, flow: f, sequence: q.sequence, inDues: -1}
	heap.Push((*entryHeap)(f), entry)
	if f.len() == 1 {
		f.tag = max(f.tag, l.clock)
		heap.Push(&l.flows, f)
	}
	l.count++
	q.entries[e.Ticket] = entry
	if !e.Deadline.IsZero() {
		heap.Push(&q.dues, entry)
	}
}

func (q *Queue) remove(e *queued) {
	l := &q.lanes[e.Class]
	heap.Remove((*entryHeap)(e.flow), e.inFlow)
	if e.flow.len() == 0 {
		heap.Remove(&l.flows, e.flow.lane)
	}
	l.count--
	delete(q.entries, e.Ticket)
	if e.inDues >= 0 {
		heap.Remove(&q.dues, e.inDues)
	}
}
