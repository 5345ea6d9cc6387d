package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

var (
	fullRoom = admission.Room{Slots: 6, RunTime: 25 * ms, ExpiresAt: 20 * ms}
	freeRoom = admission.Room{Slots: 6, RunTime: 25 * ms, Free: true}
)

// contendedService is contended for the first seconds. Its fleet admits half of the calls.
func contendedService() *admission.Service {
	s := admission.NewService()
	s.SetFleet(fleetTable(shares.Demand{Customer: "a", Rate: 100}), 0, 0)
	return s
}

// Guards against an order by arrival. Load: a large customer's 10 calls and two small ones' single
// calls of the same level, one of them urgent, wait for a service without room.
func TestWaitingCallsStartByLevelAndCustomer(t *testing.T) {
	g, s := NewWithT(t), contendedService()
	names := map[limits.Ticket]string{}
	enter := func(customer string, level int, timeLeft time.Duration) {
		r := call(customer, level/2)
		r.TimeLeft = timeLeft
		p := s.Enter(r, level, fullRoom, 0)
		g.Expect(p.Queued).To(BeTrue())
		names[p.Ticket] = customer
	}
	for range 10 {
		enter("large", 2, 800*ms)
	}
	enter("large, first to expire", 2, 100*ms)
	enter("small", 2, 800*ms)
	enter("urgent", 0, 800*ms)
	starts, expired := s.Next(fullRoom, ms)
	g.Expect(append(starts, expired...)).To(BeEmpty())
	starts, _ = s.Next(freeRoom, 2*ms)
	var order []string
	for _, ticket := range starts {
		order = append(order, names[ticket])
	}
	g.Expect(order).To(Equal([]string{"urgent", "large", "large, first to expire", "small", "large", "large"}), "as many as there are slots")
	s.End(starts[0], true, 30*ms)
	starts, _ = s.Next(freeRoom, 30*ms)
	g.Expect(starts).To(HaveLen(1))
}

// Guards against a call that waits until its deadline, and against one that is refused early while
// its latency target can be kept. Load: one call of each kind at a service without room.
func TestLatestStart(t *testing.T) {
	for name, c := range map[string]struct {
		timeLeft time.Duration
		level    int
		want     time.Duration
	}{
		"half of the latency target": {800 * ms, 0, 75 * ms},
		"twice the run time is left": {100 * ms, 0, 50 * ms},
		"late":                       {400 * ms, 1, 350 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			g, s := NewWithT(t), contendedService()
			r := call("a", 0)
			r.TimeLeft = c.timeLeft
			p := s.Enter(r, c.level, fullRoom, 0)
			at, ok := s.WakeAt(fullRoom, 0)
			g.Expect(at).To(Equal(fullRoom.ExpiresAt), "earlier than the latest start")
			g.Expect(ok).To(BeTrue())
			at, _ = s.WakeAt(freeRoom, 0)
			g.Expect(at).To(Equal(c.want))
			_, expired := s.Next(fullRoom, c.want-ms)
			g.Expect(expired).To(BeEmpty())
			_, expired = s.Next(fullRoom, c.want)
			g.Expect(expired).To(Equal([]limits.Ticket{p.Ticket}))
			_, ok = s.WakeAt(fullRoom, c.want)
			g.Expect(ok).To(BeFalse(), "no timer while none waits")
		})
	}
}

// Guards against a queue that grows with the demand, and against calls that wait although they
// can't start in time at the measured rate. Load: 1,000 calls at once of one customer.
func TestQueueIsBounded(t *testing.T) {
	g, s := NewWithT(t), contendedService()
	for range 1000 {
		s.Enter(call("a", 0), 0, fullRoom, 0)
	}
	g.Expect(s.Waiting()).To(Equal(4 * 6))
	starts, _ := s.Next(freeRoom, 0)
	for range 3 { // six calls in flight, each taking 50 ms
		for _, ticket := range starts {
			s.End(ticket, true, 50*ms)
		}
		starts, _ = s.Next(freeRoom, 50*ms)
	}
	for range 1000 {
		s.Enter(call("b", 0), 0, freeRoom, 50*ms)
	}
	g.Expect(s.Waiting()).To(BeNumerically("<=", 24))
	before := s.Waiting()
	p := s.Enter(call("b", 0), 0, fullRoom, 50*ms)
	g.Expect(p.Refused).To(BeTrue())
	g.Expect(s.Waiting()).To(Equal(before))
}

// Guards against a window that stays wide while upstreams refuse, collapses at refusals of calls
// sent together, or outlives the contention. Load: 20 calls at once before each check.
func TestWindow(t *testing.T) {
	g, s := NewWithT(t), contendedService()
	started := func(now time.Duration) (n int) {
		var tickets []limits.Ticket
		for range 20 {
			p := s.Enter(call("a", 0), 0, freeRoom, now)
			if tickets = append(tickets, p.Ticket); !p.Queued && !p.Refused {
				n++
			}
		}
		for _, ticket := range tickets {
			s.Leave(ticket, now)
		}
		return n
	}
	g.Expect(started(0)).To(Equal(6))
	for range 5 {
		s.ObserveFull(freeRoom, 10*ms)
	}
	g.Expect(started(10 * ms)).To(Equal(4)) // 6 * 0.7
	low, high := loadreport.Report{Running: 6, Slots: 6, Slowdown: 1}, loadreport.Report{Running: 6, Waiting: 12, Slots: 6, Slowdown: 1}
	for range 5 {
		s.ObserveAnswer(low, freeRoom, 150*ms)
		s.ObserveAnswer(high, freeRoom, 150*ms)
	}
	g.Expect(started(11 * ms)).To(Equal(5))
	for i := range 20 {
		s.ObserveFull(freeRoom, time.Duration(i+2)*25*ms)
	}
	g.Expect(started(600 * ms)).To(Equal(1))
	later := 10 * time.Second
	s.Next(freeRoom, later)
	g.Expect(s.HasWindow()).To(BeFalse())
	g.Expect(s.Enter(call("a", 0), 0, fullRoom, later)).To(BeZero(), "nothing waits without contention")
}
