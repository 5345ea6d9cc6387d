package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

var (
	fullRoom = admission.Room{Slots: 6, RunTime: 25 * ms}
	freeRoom = admission.Room{Slots: 6, FreeSlots: 6, RunTime: 25 * ms, Free: true}
)

// contendedService is contended for the first seconds.
func contendedService() *admission.Service {
	s := admission.NewService()
	s.SetFleet(fleetTable(), 0, 0)
	return s
}

// Guards against a start in the order of arrival. Load: 9 calls of a large customer, then one of a
// small one and an urgent one, wait for a service with 6 slots and no room.
func TestWaitingCallsStartByLevelAndCustomer(t *testing.T) {
	g, s := NewWithT(t), contendedService()
	names := map[limits.Ticket]string{}
	enter := func(name, customer string, level int, timeLeft time.Duration) {
		p := s.Enter(admission.Request{Customer: customer, LatencyTarget: 150 * ms, TimeLeft: timeLeft}, level, fullRoom, 0)
		g.Expect(p.Queued).To(BeTrue())
		names[p.Ticket] = name
	}
	for range 8 {
		enter("large", "large", 2, 800*ms)
	}
	enter("large, less time", "large", 2, 100*ms)
	enter("small", "small", 2, 800*ms)
	enter("urgent", "large", 0, 800*ms)
	starts, expired := s.Next(fullRoom, ms)
	g.Expect(append(starts, expired...)).To(BeEmpty())
	starts, _ = s.Next(freeRoom, 2*ms)
	var order []string
	for _, ticket := range starts {
		order = append(order, names[ticket])
	}
	g.Expect(order).To(Equal([]string{"urgent", "large, less time", "small", "large", "large", "large"}), "as many as there are slots")
}

// Guards against waiting calls that all start for one free slot: those that find no room would be
// refused although they could wait on. Load: 6 calls wait when one slot of 6 comes free.
func TestOneFreeSlotStartsOneCall(t *testing.T) {
	g, s := NewWithT(t), contendedService()
	for range 6 {
		s.Enter(admission.Request{LatencyTarget: 150 * ms, TimeLeft: 800 * ms}, 0, fullRoom, 0)
	}
	oneSlot := admission.Room{Slots: 6, FreeSlots: 1, RunTime: 25 * ms, Free: true}
	starts, _ := s.Next(oneSlot, ms)
	g.Expect(starts).To(HaveLen(1))
	at, ok := s.WakeAt(oneSlot, ms)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(26*ms), "also without a response the next one starts a run time later")
	starts, _ = s.Next(fullRoom, 2*ms)
	g.Expect(starts).To(BeEmpty())
}

// Guards against a call that waits until its deadline, and against one that is refused while it
// could still be in time. Load: one call of each kind at a service without room.
func TestLatestStart(t *testing.T) {
	for want, c := range map[time.Duration]struct {
		timeLeft time.Duration
		level    int
	}{
		75 * ms:  {800 * ms, 0}, // half of the latency target
		50 * ms:  {100 * ms, 0}, // twice the run time is left
		350 * ms: {400 * ms, 1}, // late
	} {
		g, s := NewWithT(t), contendedService()
		p := s.Enter(admission.Request{LatencyTarget: 150 * ms, TimeLeft: c.timeLeft}, c.level, fullRoom, 0)
		_, expired := s.Next(fullRoom, want-ms)
		g.Expect(expired).To(BeEmpty())
		_, expired = s.Next(fullRoom, want)
		g.Expect(expired).To(Equal([]limits.Ticket{p.Ticket}))
	}
}

// Guards against a queue that grows with the demand, and against calls that wait although they
// can't start in time at the measured rate. Load: 1,000 calls at once, two times.
func TestQueueIsBounded(t *testing.T) {
	g, s := NewWithT(t), contendedService()
	enterMany := func(room admission.Room, now time.Duration) {
		for range 1000 {
			s.Enter(call("a", 0), 0, room, now)
		}
	}
	enterMany(fullRoom, 0)
	g.Expect(s.Waiting()).To(Equal(4*6), "four per slot while the rate is unknown")
	for range 4 { // six calls in flight, each taking 50 ms
		starts, _ := s.Next(freeRoom, 0)
		for _, ticket := range starts {
			s.End(ticket, true, 50*ms)
		}
	}
	enterMany(freeRoom, 50*ms)
	g.Expect(s.Waiting()).To(Equal(9), "6 per 50 ms, within 75 ms")
}

// Guards against a window that stays wide while upstreams refuse, collapses at refusals of calls
// sent together, or outlives the contention. Load: 20 calls at once before each check.
func TestWindow(t *testing.T) {
	g, s := NewWithT(t), contendedService()
	started := func(now time.Duration) (n int) {
		for range 20 {
			p := s.Enter(call("a", 0), 0, freeRoom, now)
			if !p.Queued && !p.Refused {
				n++
			}
			defer s.Leave(p.Ticket, now)
		}
		return n
	}
	g.Expect(started(0)).To(Equal(6))
	for range 5 {
		s.ObserveFull(freeRoom, 10*ms)
	}
	g.Expect(started(10*ms)).To(Equal(4), "6 x 0.7")
	for range 5 {
		s.ObserveAnswer(loadreport.Report{Running: 6, Slots: 6, Slowdown: 1}, freeRoom, 150*ms)
		s.ObserveAnswer(loadreport.Report{Running: 6, Waiting: 12, Slots: 6, Slowdown: 1}, freeRoom, 150*ms)
	}
	g.Expect(started(11*ms)).To(Equal(5), "wider after five answers without a queue")
	for i := range 20 {
		s.ObserveFull(freeRoom, time.Duration(i+2)*25*ms)
	}
	g.Expect(started(600 * ms)).To(Equal(1))
	s.Next(freeRoom, 10*time.Second)
	g.Expect(s.HasWindow()).To(BeFalse())
	g.Expect(s.Enter(call("a", 0), 0, fullRoom, 10*time.Second)).To(BeZero(), "nothing waits without contention")
}
