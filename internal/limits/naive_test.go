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

// naive is the same policy on plain lists: each question is a pass over all
// entries. RetryAfter and refusals by estimate are the real queue's; the naive one
// takes over the latter (peek) and checks that they are possible at all.
type naive struct {
	real                   *limits.Queue
	total, peers, maxQueue int
	weight                 map[ident.Team]float64
	bound                  map[ident.Team]int
	tags                   [2]map[ident.Team]float64
	clock                  [2]float64
	queue                  []limits.Entry
	running                map[limits.Ticket]routing.Class
}

func newNaive(o limits.Options) *naive {
	return &naive{
		real: limits.NewQueue(o), maxQueue: o.MaxQueue,
		weight: map[ident.Team]float64{}, bound: map[ident.Team]int{},
		tags:    [2]map[ident.Team]float64{{}, {}},
		running: map[limits.Ticket]routing.Class{},
	}
}

func (n *naive) SetTeam(t ident.Team, w float64, m int) {
	n.real.SetTeam(t, w, m)
	n.weight[t], n.bound[t] = w, m
}

func (n *naive) SetCapacity(total, used int) {
	n.real.SetCapacity(total, used)
	n.total, n.peers = total, used
}

func (n *naive) weightOf(t ident.Team) float64 {
	if w, ok := n.weight[t]; ok {
		return w
	}
	return 1
}

func (n *naive) count(match func(limits.Entry) bool) (c int) {
	for _, e := range n.queue {
		if match(e) {
			c++
		}
	}
	return c
}

func (n *naive) free(c routing.Class) bool {
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

func (n *naive) begin(e limits.Entry) {
	c, team := e.Class, e.Team
	n.clock[c] = max(n.clock[c], n.tags[c][team])
	n.tags[c][team] = n.clock[c] + max(1, e.Cost)/n.weightOf(team)
	n.running[e.Ticket] = c
}

func (n *naive) Enqueue(e limits.Entry, now time.Time) limits.Decision {
	real := n.real.Enqueue(e, now)
	ours := func(o limits.Entry) bool { return o.Class == e.Class && o.Team == e.Team }
	team := func(o limits.Entry) bool { return o.Team == e.Team }
	late := !e.Deadline.IsZero() && !now.Before(e.Deadline)
	same := n.count(func(o limits.Entry) bool { return o.Class == e.Class })
	bound, ok := n.bound[e.Team]
	if !ok {
		bound = limits.DefaultTeamQueue
	}
	active := map[ident.Team]bool{e.Team: true}
	for _, o := range n.queue {
		active[o.Team] = true
	}
	want := limits.Decision{RetryAfter: real.RetryAfter}
	switch {
	case same == 0 && n.free(e.Class) && !late:
		want.Admit = true
		n.begin(e)
	case n.count(ours) >= bound:
		want.Refused = limits.RefuseTeamFull
	case len(n.queue) >= n.maxQueue && n.count(team) >= n.maxQueue/len(active):
		want.Refused = limits.RefuseFull
	case late, real.Refused == limits.RefuseDeadline:
		Expect(e.Deadline.IsZero()).To(BeFalse())
		want.Refused = limits.RefuseDeadline
	default:
		want.Queued = true
		n.queue = append(n.queue, e)
		if n.count(ours) == 1 {
			n.tags[e.Class][e.Team] = max(n.tags[e.Class][e.Team], n.clock[e.Class])
		}
	}
	Expect(real).To(Equal(want))
	return real
}

func (n *naive) drop(t limits.Ticket) {
	for i, e := range n.queue {
		if e.Ticket == t {
			n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
			return
		}
	}
}

func (n *naive) Done(t limits.Ticket, now time.Time) {
	n.real.Done(t, now)
	delete(n.running, t)
}

func (n *naive) Cancel(t limits.Ticket, now time.Time) {
	n.real.Cancel(t, now)
	delete(n.running, t)
	n.drop(t)
}

// better orders two entries of one class.
func (n *naive) better(a, b limits.Entry) bool {
	x, y := n.tags[a.Class][a.Team], n.tags[b.Class][b.Team]
	if a.Team != b.Team {
		return x < y || x == y && a.Team < b.Team
	}
	if a.Straggler != b.Straggler {
		return a.Straggler
	}
	far := func(e limits.Entry) time.Time {
		if e.StepDeadline.IsZero() {
			return start.Add(time.Hour)
		}
		return e.StepDeadline
	}
	return far(a).Before(far(b))
}

func (n *naive) Next(now time.Time) ([]limits.Ticket, []limits.Expired) {
	starts, expired := n.real.Next(now)
	for _, x := range expired {
		n.drop(x.Ticket)
	}
	late := func(e limits.Entry) bool { return !e.Deadline.IsZero() && !now.Before(e.Deadline) }
	Expect(n.count(late)).To(BeZero(), "all that is late, and no more, expires")
	var want []limits.Ticket
	for c := production; c <= rollout; c++ {
		for n.free(c) {
			best := -1
			for i, e := range n.queue {
				if e.Class == c && (best < 0 || n.better(e, n.queue[best])) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			e := n.queue[best]
			n.begin(e)
			n.drop(e.Ticket)
			want = append(want, e.Ticket)
		}
	}
	Expect(starts).To(Equal(want))
	return starts, expired
}

var _ = It("agrees with the naive queue over random sessions", func() {
	for seed := range uint64(40) {
		session(seed, 600, newNaive(limits.Options{ProductionReserve: 0.3, MaxQueue: 30 + int(seed)}))
	}
})
