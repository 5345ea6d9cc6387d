package limits_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// fifo is a naive queue: first come, first served, for whoever it is.
type fifo struct {
	total, running int
	queue          []limits.Entry
}

func (f *fifo) SetTeam(ident.Team, float64, int)    {}
func (f *fifo) SetCapacity(total, _ int)            { f.total = total }
func (f *fifo) Done(limits.Ticket, time.Time)       { f.running-- }
func (f *fifo) Cancel(_ limits.Ticket, _ time.Time) {}
func (f *fifo) Enqueue(e limits.Entry, _ time.Time) limits.Decision {
	f.queue = append(f.queue, e)
	return limits.Decision{Queued: true}
}

func (f *fifo) Next(time.Time) (starts []limits.Ticket, _ []limits.Expired) {
	for len(f.queue) > 0 && f.running < f.total {
		starts = append(starts, f.queue[0].Ticket)
		f.queue = f.queue[1:]
		f.running++
	}
	return starts, nil
}

// traffic is one class of one team: so many requests every 100 ms.
type traffic struct {
	team  ident.Team
	class routing.Class
	every int // requests a tick
}

// waits runs 60 s of traffic over 20 slots of one second each and returns the
// longest wait and the starts of each traffic; those that never start wait until
// the end, those refused don't count.
func waits(q admitter, all []traffic) (longest []time.Duration, starts []int) {
	const ticks = 600
	type job struct{ kind, asked int }
	waiting, ending := map[limits.Ticket]job{}, map[int][]limits.Ticket{}
	longest, starts = make([]time.Duration, len(all)), make([]int, len(all))
	at := func(tick int) time.Time { return start.Add(time.Duration(tick) * 100 * time.Millisecond) }
	leave := func(t limits.Ticket, tick int) {
		j := waiting[t]
		delete(waiting, t)
		longest[j.kind] = max(longest[j.kind], at(tick).Sub(at(j.asked)))
	}
	q.SetCapacity(20, 0)
	ticket := limits.Ticket(0)
	for tick := range ticks {
		for _, t := range ending[tick] {
			q.Done(t, at(tick))
		}
		var admitted []limits.Ticket
		for kind, tr := range all {
			for range tr.every {
				ticket++
				d := q.Enqueue(limits.Entry{Ticket: ticket, Team: tr.team, Class: tr.class, Cost: 100}, at(tick))
				if d.Refused == limits.RefuseNone {
					waiting[ticket] = job{kind, tick}
				}
				if d.Admit {
					admitted = append(admitted, ticket)
				}
			}
		}
		ready, _ := q.Next(at(tick))
		for _, t := range append(admitted, ready...) {
			starts[waiting[t].kind]++
			leave(t, tick)
			ending[tick+10] = append(ending[tick+10], t)
		}
	}
	for t := range waiting {
		leave(t, ticks)
	}
	return longest, starts
}

func newQueue() *limits.Queue {
	q := limits.NewQueue(limits.Options{ProductionReserve: 0.3})
	for _, t := range []ident.Team{"a", "b"} {
		q.SetTeam(t, 1, 200)
	}
	return q
}

var _ = Describe("the queue", func() {
	// A step of rollouts arrives on top of production traffic. Callers, who had
	// their answers at once, wait for minutes. Cause: a common queue, first come
	// first served, and slots that rollouts hold to the last one.
	It("keeps production ahead of a burst of rollouts", func() {
		mixed := []traffic{{"a", rollout, 10}, {"a", production, 1}}
		const bound = time.Second
		ours, _ := waits(newQueue(), mixed)
		Expect(ours[1]).To(BeNumerically("<=", bound))
		naive, _ := waits(&fifo{}, mixed)
		Expect(naive[1]).To(BeNumerically(">", bound), "the check must catch the naive one")
	})

	// One team's script loops and sends ten times too much. The other's requests,
	// well within its share, wait behind them. Cause: no bound and no share.
	It("keeps a misbehaving team from crowding out another", func() {
		mixed := []traffic{{"a", production, 20}, {"b", production, 1}}
		const bound = time.Second
		ours, _ := waits(newQueue(), mixed)
		Expect(ours[1]).To(BeNumerically("<=", bound))
		naive, _ := waits(&fifo{}, mixed)
		Expect(naive[1]).To(BeNumerically(">", bound), "the check must catch the naive one")
	})

	It("shares by weight while both want more, and gives all to one alone", func() {
		q := newQueue()
		q.SetTeam("a", 3, 200)
		_, n := waits(q, []traffic{{"a", production, 5}, {"b", production, 5}})
		Expect(float64(n[0]) / float64(n[1])).To(BeNumerically("~", 3, 0.2))
		_, alone := waits(newQueue(), []traffic{{"a", production, 5}})
		Expect(alone[0]).To(BeNumerically(">=", 1180))
	})

	It("never lets rollouts into the reserve, and production into all", func() {
		q := newQueue()
		q.SetCapacity(10, 2)
		for i := range 30 {
			q.Enqueue(limits.Entry{Ticket: limits.Ticket(i), Team: "a", Class: rollout}, start)
		}
		Expect(q.Running(rollout)).To(Equal(5), "10 - 3 in reserve - 2 of peers")
		q.SetPeerProduction(2)
		q.Next(start)
		Expect(q.Running(rollout)).To(Equal(7))
		q.SetCapacity(20, 2)
		for i := range 30 {
			q.Enqueue(limits.Entry{Ticket: limits.Ticket(100 + i), Team: "a", Class: production}, start)
		}
		Expect(q.Running(production)).To(Equal(11))
	})

	It("starts no rollout where production waits", func() {
		q := newQueue()
		Expect(q.Enqueue(limits.Entry{Ticket: 1, Team: "a", Class: production}, start).Queued).To(BeTrue())
		q.SetCapacity(10, 0)
		Expect(q.Enqueue(limits.Entry{Ticket: 2, Team: "b", Class: rollout}, start).Queued).To(BeTrue())
		starts, _ := q.Next(start)
		Expect(starts).To(Equal([]limits.Ticket{1, 2}))
	})

	It("refuses at once what can't start in time, and says when to come again", func() {
		q, now := newQueue(), start
		q.SetCapacity(4, 0)
		ticket := limits.Ticket(0)
		ask := func(wait time.Duration) limits.Decision {
			ticket++
			return q.Enqueue(limits.Entry{Ticket: ticket, Team: "a", Class: production, Deadline: now.Add(wait)}, now)
		}
		for range 10 {
			Expect(ask(time.Minute).Admit).To(BeTrue())
			now = now.Add(2 * time.Second)
			q.Done(ticket, now)
		}
		for range 4 + 20 {
			ask(time.Minute)
		}
		d := ask(5 * time.Second)
		Expect(d.Refused).To(Equal(limits.RefuseDeadline))
		Expect(d.RetryAfter).To(BeNumerically("~", 10500*time.Millisecond, time.Millisecond), "21 starts at 4 slots / 2 s")
		Expect(ask(11 * time.Second).Queued).To(BeTrue())
		_, expired := q.Next(now.Add(12 * time.Second))
		Expect(expired).To(HaveLen(1))
		Expect(expired[0].RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the controller", func() {
	// drive runs an engine whose tokens slow down in proportion past knee requests,
	// always as full as the limit allows.
	drive := func(c *limits.Controller, knee float64, from time.Time) time.Time {
		now := from
		for range 4000 {
			n := c.Limit()
			slow := max(1, float64(n)/knee)
			c.Observe(time.Duration(20e6*slow), n, now)
			now = now.Add(20 * time.Millisecond)
		}
		return now
	}

	It("settles near the knee times the tolerance, and follows it", func() {
		c := limits.NewController(limits.Options{Initial: 8})
		now := drive(c, 32, start)
		Expect(c.Limit()).To(And(BeNumerically(">=", 48), BeNumerically("<=", 80)))
		drive(c, 8, now)
		Expect(c.Limit()).To(And(BeNumerically(">=", 8), BeNumerically("<=", 24)))
	})

	It("tolerates slower tokens of rollouts than of production", func() {
		settled := func(class routing.Class) int {
			c := limits.NewController(limits.Options{})
			c.ObserveClass(class, 10*time.Millisecond, 1, start)
			for i := range 4000 {
				n := c.Limit()
				took := time.Duration(10e6 * (1 + 0.04*float64(n-1)))
				c.ObserveClass(class, took, n, start.Add(time.Duration(i)*20*time.Millisecond))
			}
			return c.Limit()
		}
		Expect(settled(production)).To(BeNumerically("~", 26, 8), "1 + 0.04 x 25 is twice the time")
		Expect(settled(rollout)).To(BeNumerically("~", 76, 16))
	})

	// A restarted daemon met an overload and took the crowded engines' token time
	// for the unloaded one: it let twice as many in as end in time.
	It("learns the unloaded time from single requests, before any window", func() {
		c := limits.NewController(limits.Options{Initial: 16})
		c.Observe(10*time.Millisecond, 1, start)
		for i := range 400 {
			n := c.Limit()
			c.Observe(time.Duration(10e6*(1+0.1*float64(n-1))), n, start.Add(time.Duration(1000+i*50)*time.Millisecond))
		}
		Expect(c.Limit()).To(And(BeNumerically(">=", 6), BeNumerically("<=", 16)))
	})

	It("takes a suggested unloaded time while it knows none, and no later", func() {
		settled := func(suggested time.Duration) int {
			c := limits.NewController(limits.Options{Initial: 24})
			c.Suggest(suggested, start)
			c.Suggest(time.Hour, start)
			for i := range 40 {
				n := c.Limit()
				c.Observe(time.Duration(10e6*(1+0.1*float64(n-1))), n, start.Add(time.Duration(i)*200*time.Millisecond))
			}
			return c.Limit()
		}
		Expect(settled(10 * time.Millisecond)).To(BeNumerically("<=", 14))
		c := limits.NewController(limits.Options{Initial: 24})
		for i := range 40 {
			n := c.Limit()
			c.Observe(time.Duration(10e6*(1+0.1*float64(n-1))), n, start.Add(time.Duration(i)*200*time.Millisecond))
		}
		Expect(c.Limit()).To(BeNumerically(">", 24), "without it the limit grows in an overload")
	})

	It("doesn't grow unused, shrinks on refusals once a window, keeps its bounds", func() {
		c := limits.NewController(limits.Options{Initial: 20, Min: 3, Max: 40})
		for i := range 1000 {
			c.Observe(time.Millisecond, 2, start.Add(time.Duration(i)*20*time.Millisecond))
		}
		Expect(c.Limit()).To(Equal(20))
		for range 5 {
			c.Overloaded(start)
		}
		Expect(c.Limit()).To(Equal(14))
		for i := range 50 {
			c.Overloaded(start.Add(time.Duration(i) * time.Second))
		}
		Expect(c.Limit()).To(Equal(3))
		drive(c, 1000, start.Add(time.Hour))
		Expect(c.Limit()).To(Equal(40))
	})
})
