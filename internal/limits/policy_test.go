package limits_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// fifo is a first-in, first-out queue that ignores class, team and weight.
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

// traffic is a constant rate of requests of one team and class.
type traffic struct {
	team    ident.Team
	class   routing.Class
	perTick int // requests per tick of 100 ms
}

// simulate runs 60 s of traffic over 20 slots, where each request takes one second. It
// returns the longest wait and the number of starts by element of all. Requests that never
// start count as waiting until the end; refused requests do not count.
func simulate(q admitter, all []traffic) (longest []time.Duration, starts []int) {
	const ticks = 600
	type request struct{ source, tick int } // index in all, tick of arrival
	waiting, ending := map[limits.Ticket]request{}, map[int][]limits.Ticket{}
	longest, starts = make([]time.Duration, len(all)), make([]int, len(all))
	at := func(tick int) time.Time { return start.Add(time.Duration(tick) * 100 * time.Millisecond) }
	recordWait := func(t limits.Ticket, tick int) {
		r := waiting[t]
		delete(waiting, t)
		longest[r.source] = max(longest[r.source], at(tick).Sub(at(r.tick)))
	}
	q.SetCapacity(20, 0)
	ticket := limits.Ticket(0)
	for tick := range ticks {
		for _, t := range ending[tick] {
			q.Done(t, at(tick))
		}
		var admitted []limits.Ticket
		for source, tr := range all {
			for range tr.perTick {
				ticket++
				d := q.Enqueue(limits.Entry{Ticket: ticket, Team: tr.team, Class: tr.class, Cost: 100}, at(tick))
				if d.Refused == limits.RefuseNone {
					waiting[ticket] = request{source, tick}
				}
				if d.Admit {
					admitted = append(admitted, ticket)
				}
			}
		}
		ready, _ := q.Next(at(tick))
		for _, t := range append(admitted, ready...) {
			starts[waiting[t].source]++
			recordWait(t, tick)
			ending[tick+10] = append(ending[tick+10], t)
		}
	}
	for t := range waiting {
		recordWait(t, ticks)
	}
	return longest, starts
}

// newQueue returns a queue with a reserve of 0.3 and two teams of equal weight.
func newQueue() *limits.Queue {
	q := limits.NewQueue(limits.Options{ProductionReserve: 0.3})
	for _, t := range []ident.Team{"a", "b"} {
		q.SetTeam(t, 1, 200)
	}
	return q
}

var _ = Describe("the queue", func() {
	// The rollouts of a step arrive in addition to production traffic. With a common
	// first-in, first-out queue and no reserve, rollouts occupy every slot and production,
	// which was answered at once before, waits for minutes.
	It("keeps production ahead of a burst of rollouts", func() {
		mixed := []traffic{{"a", rollout, 10}, {"a", production, 1}}
		const bound = time.Second
		queueWaits, _ := simulate(newQueue(), mixed)
		Expect(queueWaits[1]).To(BeNumerically("<=", bound))
		fifoWaits, _ := simulate(&fifo{}, mixed)
		Expect(fifoWaits[1]).To(BeNumerically(">", bound), "a first-in, first-out queue must fail this check")
	})

	// A script of one team loops and sends ten times too many requests. Without a bound
	// and a share for each team, the other team's requests, which are well within its
	// share, wait behind them.
	It("keeps an overloading team from delaying another", func() {
		mixed := []traffic{{"a", production, 20}, {"b", production, 1}}
		const bound = time.Second
		queueWaits, _ := simulate(newQueue(), mixed)
		Expect(queueWaits[1]).To(BeNumerically("<=", bound))
		fifoWaits, _ := simulate(&fifo{}, mixed)
		Expect(fifoWaits[1]).To(BeNumerically(">", bound), "a first-in, first-out queue must fail this check")
	})

	It("shares slots by weight between busy teams, and gives all to a single one", func() {
		q := newQueue()
		q.SetTeam("a", 3, 200)
		_, n := simulate(q, []traffic{{"a", production, 5}, {"b", production, 5}})
		Expect(float64(n[0]) / float64(n[1])).To(BeNumerically("~", 3, 0.2))
		_, alone := simulate(newQueue(), []traffic{{"a", production, 5}})
		Expect(alone[0]).To(BeNumerically(">=", 1180))
	})

	It("keeps rollouts out of the reserve, and lets production use all slots", func() {
		q := newQueue()
		q.SetCapacity(10, 2)
		for i := range 30 {
			q.Enqueue(limits.Entry{Ticket: limits.Ticket(i), Team: "a", Class: rollout}, start)
		}
		Expect(q.Running(rollout)).To(Equal(5), "10 - 3 reserved - 2 used by peers")
		q.SetPeerProduction(2)
		q.Next(start)
		Expect(q.Running(rollout)).To(Equal(7))
		q.SetCapacity(20, 2)
		for i := range 30 {
			q.Enqueue(limits.Entry{Ticket: limits.Ticket(100 + i), Team: "a", Class: production}, start)
		}
		Expect(q.Running(production)).To(Equal(11))
	})

	It("starts no rollout while production waits", func() {
		q := newQueue()
		Expect(q.Enqueue(limits.Entry{Ticket: 1, Team: "a", Class: production}, start).Queued).To(BeTrue())
		q.SetCapacity(10, 0)
		Expect(q.Enqueue(limits.Entry{Ticket: 2, Team: "b", Class: rollout}, start).Queued).To(BeTrue())
		starts, _ := q.Next(start)
		Expect(starts).To(Equal([]limits.Ticket{1, 2}))
	})

	It("refuses requests that cannot start in time, with the time to retry after", func() {
		q, now := newQueue(), start
		q.SetCapacity(4, 0)
		ticket := limits.Ticket(0)
		enqueue := func(wait time.Duration) limits.Decision {
			ticket++
			return q.Enqueue(limits.Entry{Ticket: ticket, Team: "a", Class: production, Deadline: now.Add(wait)}, now)
		}
		for range 10 {
			Expect(enqueue(time.Minute).Admit).To(BeTrue())
			now = now.Add(2 * time.Second)
			q.Done(ticket, now)
		}
		for range 4 + 20 {
			enqueue(time.Minute)
		}
		d := enqueue(5 * time.Second)
		Expect(d.Refused).To(Equal(limits.RefuseDeadline))
		Expect(d.RetryAfter).To(BeNumerically("~", 10500*time.Millisecond, time.Millisecond), "21 starts at 4 slots / 2 s")
		Expect(enqueue(11 * time.Second).Queued).To(BeTrue())
		_, expired := q.Next(now.Add(12 * time.Second))
		Expect(expired).To(HaveLen(1))
		Expect(expired[0].RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the controller", func() {
	// observeEngine feeds the controller with token times of an engine that always runs
	// as many requests as the limit allows. Above knee requests the token time grows in
	// proportion. It returns the time at the end.
	observeEngine := func(c *limits.Controller, knee float64, from time.Time) time.Time {
		now := from
		for range 4000 {
			n := c.Limit()
			slowdown := max(1, float64(n)/knee)
			c.Observe(time.Duration(20e6*slowdown), n, now)
			now = now.Add(20 * time.Millisecond)
		}
		return now
	}

	It("converges to about the knee times the tolerance, and follows a change of the knee", func() {
		c := limits.NewController(limits.Options{Initial: 8})
		now := observeEngine(c, 32, start)
		Expect(c.Limit()).To(And(BeNumerically(">=", 48), BeNumerically("<=", 80)))
		observeEngine(c, 8, now)
		Expect(c.Limit()).To(And(BeNumerically(">=", 8), BeNumerically("<=", 24)))
	})

	It("tolerates slower tokens of rollouts than of production", func() {
		finalLimit := func(class routing.Class) int {
			c := limits.NewController(limits.Options{})
			c.ObserveClass(class, 10*time.Millisecond, 1, start)
			for i := range 4000 {
				n := c.Limit()
				tokenTime := time.Duration(10e6 * (1 + 0.04*float64(n-1)))
				c.ObserveClass(class, tokenTime, n, start.Add(time.Duration(i)*20*time.Millisecond))
			}
			return c.Limit()
		}
		Expect(finalLimit(production)).To(BeNumerically("~", 26, 8), "1 + 0.04 x 25 is twice the unloaded time")
		Expect(finalLimit(rollout)).To(BeNumerically("~", 76, 16))
	})

	// A daemon restarted during an overload and used the token time of the loaded engines
	// as the baseline. It then admitted twice as many requests as could end in time.
	It("learns the baseline from single requests, before any window ends", func() {
		c := limits.NewController(limits.Options{Initial: 16})
		c.Observe(10*time.Millisecond, 1, start)
		for i := range 400 {
			n := c.Limit()
			c.Observe(time.Duration(10e6*(1+0.1*float64(n-1))), n, start.Add(time.Duration(1000+i*50)*time.Millisecond))
		}
		Expect(c.Limit()).To(And(BeNumerically(">=", 6), BeNumerically("<=", 16)))
	})

	It("uses a suggested baseline only while it knows none", func() {
		finalLimit := func(suggested time.Duration) int {
			c := limits.NewController(limits.Options{Initial: 24})
			c.SuggestBaseline(suggested, start)
			c.SuggestBaseline(time.Hour, start)
			for i := range 40 {
				n := c.Limit()
				c.Observe(time.Duration(10e6*(1+0.1*float64(n-1))), n, start.Add(time.Duration(i)*200*time.Millisecond))
			}
			return c.Limit()
		}
		Expect(finalLimit(10 * time.Millisecond)).To(BeNumerically("<=", 14))
		c := limits.NewController(limits.Options{Initial: 24})
		for i := range 40 {
			n := c.Limit()
			c.Observe(time.Duration(10e6*(1+0.1*float64(n-1))), n, start.Add(time.Duration(i)*200*time.Millisecond))
		}
		Expect(c.Limit()).To(BeNumerically(">", 24), "without a suggestion the limit grows during an overload")
	})

	It("does not grow while unused, shrinks once per window on refusals, and stays within its bounds", func() {
		c := limits.NewController(limits.Options{Initial: 20, Min: 3, Max: 40})
		for i := range 1000 {
			c.Observe(time.Millisecond, 2, start.Add(time.Duration(i)*20*time.Millisecond))
		}
		Expect(c.Limit()).To(Equal(20))
		for range 5 {
			c.RecordOverload(start)
		}
		Expect(c.Limit()).To(Equal(14))
		for i := range 50 {
			c.RecordOverload(start.Add(time.Duration(i) * time.Second))
		}
		Expect(c.Limit()).To(Equal(3))
		observeEngine(c, 1000, start.Add(time.Hour))
		Expect(c.Limit()).To(Equal(40))
	})
})
