package limits_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// reference implements the same policy with plain lists; every query is a pass over all
// entries. It calls the queue under test as well and compares the results. RetryAfter and
// refusals by estimated wait are taken from that queue, and of the latter it only checks
// that the entry has a deadline.
type reference struct {
	queueUnderTest         *limits.Queue
	total, peers, maxQueue int
	weight                 map[ident.Team]float64
	teamQueue              map[ident.Team]int
	startTags              [2]map[ident.Team]float64 // by class
	virtualTime            [2]float64                // by class
	queue                  []limits.Entry            // in order of arrival
	running                map[limits.Ticket]routing.Class
}

func newReference(o limits.Options) *reference {
	return &reference{
		queueUnderTest: limits.NewQueue(o), maxQueue: o.MaxQueue,
		weight: map[ident.Team]float64{}, teamQueue: map[ident.Team]int{},
		startTags: [2]map[ident.Team]float64{{}, {}},
		running:   map[limits.Ticket]routing.Class{},
	}
}

func (n *reference) SetTeam(t ident.Team, w float64, m int) {
	n.queueUnderTest.SetTeam(t, w, m)
	n.weight[t], n.teamQueue[t] = w, m
}

func (n *reference) SetCapacity(total, used int) {
	n.queueUnderTest.SetCapacity(total, used)
	n.total, n.peers = total, used
}

// weightOf returns the weight of a team, 1 by default.
func (n *reference) weightOf(t ident.Team) float64 {
	if w, ok := n.weight[t]; ok {
		return w
	}
	return 1
}

// count returns the number of queued entries that match.
func (n *reference) count(match func(limits.Entry) bool) (c int) {
	for _, e := range n.queue {
		if match(e) {
			c++
		}
	}
	return c
}

// canStart reports whether one more request of a class may run, with a reserve of 0.3.
func (n *reference) canStart(c routing.Class) bool {
	if len(n.running)+n.peers >= n.total {
		return false
	}
	rollouts := n.peers
	for _, class := range n.running {
		rollouts += int(class)
	}
	waiting := n.count(func(e limits.Entry) bool { return e.Class == production })
	reserve := int(math.Ceil(float64(n.total)*0.3 - 1e-9))
	return c == production || waiting == 0 && rollouts < n.total-reserve
}

// start charges the team of an entry and marks the entry as running.
func (n *reference) start(e limits.Entry) {
	c, team := e.Class, e.Team
	n.virtualTime[c] = max(n.virtualTime[c], n.startTags[c][team])
	n.startTags[c][team] = n.virtualTime[c] + max(1, e.Cost)/n.weightOf(team)
	n.running[e.Ticket] = c
}

func (n *reference) Enqueue(e limits.Entry, now time.Time) limits.Decision {
	got := n.queueUnderTest.Enqueue(e, now)
	sameFlow := func(o limits.Entry) bool { return o.Class == e.Class && o.Team == e.Team }
	sameTeam := func(o limits.Entry) bool { return o.Team == e.Team }
	late := !e.Deadline.IsZero() && !now.Before(e.Deadline)
	sameClass := n.count(func(o limits.Entry) bool { return o.Class == e.Class })
	teamQueue, ok := n.teamQueue[e.Team]
	if !ok {
		teamQueue = limits.DefaultTeamQueue
	}
	active := map[ident.Team]bool{e.Team: true}
	for _, o := range n.queue {
		active[o.Team] = true
	}
	want := limits.Decision{RetryAfter: got.RetryAfter}
	switch {
	case sameClass == 0 && n.canStart(e.Class) && !late:
		want.Admit = true
		n.start(e)
	case n.count(sameFlow) >= teamQueue:
		want.Refused = limits.RefuseTeamFull
	case len(n.queue) >= n.maxQueue && n.count(sameTeam) >= n.maxQueue/len(active):
		want.Refused = limits.RefuseFull
	case late, got.Refused == limits.RefuseDeadline:
		Expect(e.Deadline.IsZero()).To(BeFalse())
		want.Refused = limits.RefuseDeadline
	default:
		want.Queued = true
		n.queue = append(n.queue, e)
		if n.count(sameFlow) == 1 {
			n.startTags[e.Class][e.Team] = max(n.startTags[e.Class][e.Team], n.virtualTime[e.Class])
		}
	}
	Expect(got).To(Equal(want))
	return got
}

// drop removes a queued entry.
func (n *reference) drop(t limits.Ticket) {
	for i, e := range n.queue {
		if e.Ticket == t {
			n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
			return
		}
	}
}

func (n *reference) Done(t limits.Ticket, now time.Time) {
	n.queueUnderTest.Done(t, now)
	delete(n.running, t)
}

func (n *reference) Cancel(t limits.Ticket, now time.Time) {
	n.queueUnderTest.Cancel(t, now)
	delete(n.running, t)
	n.drop(t)
}

// startsBefore reports whether a starts before b, both of one class.
func (n *reference) startsBefore(a, b limits.Entry) bool {
	x, y := n.startTags[a.Class][a.Team], n.startTags[b.Class][b.Team]
	if a.Team != b.Team {
		return x < y || x == y && a.Team < b.Team
	}
	if a.Straggler != b.Straggler {
		return a.Straggler
	}
	stepDeadline := func(e limits.Entry) time.Time {
		if e.StepDeadline.IsZero() {
			return start.Add(time.Hour)
		}
		return e.StepDeadline
	}
	return stepDeadline(a).Before(stepDeadline(b))
}

func (n *reference) Next(now time.Time) ([]limits.Ticket, []limits.Expired) {
	starts, expired := n.queueUnderTest.Next(now)
	for _, x := range expired {
		n.drop(x.Ticket)
	}
	late := func(e limits.Entry) bool { return !e.Deadline.IsZero() && !now.Before(e.Deadline) }
	Expect(n.count(late)).To(BeZero(), "exactly the entries whose deadline has passed expire")
	var want []limits.Ticket
	for c := production; c <= rollout; c++ {
		for n.canStart(c) {
			best := -1
			for i, e := range n.queue {
				if e.Class == c && (best < 0 || n.startsBefore(e, n.queue[best])) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			e := n.queue[best]
			n.start(e)
			n.drop(e.Ticket)
			want = append(want, e.Ticket)
		}
	}
	Expect(starts).To(Equal(want))
	return starts, expired
}

var _ = It("agrees with the reference implementation in random sessions", func() {
	for seed := range uint64(40) {
		runSession(seed, 600, newReference(limits.Options{ProductionReserve: 0.3, MaxQueue: 30 + int(seed)}))
	}
})
