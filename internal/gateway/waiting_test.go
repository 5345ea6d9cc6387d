package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// idle is the load of an upstream with free slots.
var idle = loadreport.Report{Running: 1, Slots: 6, Slowdown: 1}

// fillUpstream makes u0 known to be full for a run time of 50 ms, and its service contended. The
// fleet admits all calls without a customer, so that none is refused by chance.
func fillUpstream(gate *Gateway) {
	gate.balancer.observe("u0", routing.Observation{Load: &full}, gate.now())
	gate.SetFleet("s", shares.Table{Demands: []shares.Demand{{Customer: "large", Rate: 1000}, {Customer: "", Rate: 1}}, Known: true, Admitted: 0.5, Daemons: 61, NextReport: shares.MinInterval}, gate.now())
}

// atFullUpstream runs a test with u0 as the only upstream. It answers after 10 ms.
func atFullUpstream(t *testing.T, test func(g Gomega, gate *Gateway, f *fakeUpstreams)) {
	synctest.Test(t, func(t *testing.T) {
		gate, f := setup(ok(10 * time.Millisecond))
		time.Sleep(time.Second)
		fillUpstream(gate)
		test(NewWithT(t), gate, f)
	})
}

// Guards against calls that are sent to a full upstream, that miss the time at which it may have
// room, against timers while none waits, and against a first send without room. Load: one call.
func TestCallWaitsWhileUpstreamIsFull(t *testing.T) {
	atFullUpstream(t, func(g Gomega, gate *Gateway, _ *fakeUpstreams) {
		began := time.Now()
		time.AfterFunc(20*time.Millisecond, func() {
			status := gate.AdmissionStatus()[0]
			g.Expect(status.Waiting).To(Equal(1))
			g.Expect(status.OldestWaitMS).To(Equal(20.0))
			for _, late := range []bool{false, true} {
				_, found := gate.pick(&Call{Deadline: began.Add(time.Second), late: late, needsRoom: true}, "s", nil)
				g.Expect(found).To(BeFalse(), "it became full since the call was started")
			}
		})
		response, _ := gate.Do(context.Background(), route(routes.Safe, 1), call())
		g.Expect(response).NotTo(BeNil())
		g.Expect(time.Since(began)).To(Equal(60*time.Millisecond), "50 ms until the knowledge expires")
		g.Expect(gate.admissions.of("s").wake.Stop()).To(BeFalse())
	})
}

// Guards against calls that wait on although a response has shown room, and that take more room than
// there is. Load: 3 calls at once for one slot. The first answer, after 10 ms, widens the window by one.
func TestWaitingCallsStartAtResponseAndAtEndOfCall(t *testing.T) {
	atFullUpstream(t, func(g Gomega, gate *Gateway, f *fakeUpstreams) {
		gate.balancer.observe("u0", routing.Observation{Load: &loadreport.Report{Running: 1, Waiting: 4, Slots: 1, Slowdown: 1}}, gate.now())
		for range 3 {
			go gate.Do(context.Background(), route(routes.Safe, 1), call())
		}
		time.Sleep(5 * time.Millisecond)
		response := &Response{Status: 200, Load: &idle}
		gate.balancer.observe("u0", observation(response, 0), gate.now())
		gate.observeLoad(call(), registry.Upstream{ID: "u0", Service: "s"}, response)
		synctest.Wait()
		g.Expect(f.total()).To(Equal(1))
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		g.Expect(f.total()).To(Equal(3))
		time.Sleep(10 * time.Millisecond) // until the last calls have ended
	})
}

// Guards against calls that wait until their deadline, against a reason that can't be told from
// those of other refusals, and against calls that are sent, or keep their place, after their caller
// left. Load: one call at an upstream that stays full, with and without a caller that leaves.
func TestWaitingCallEndsWithoutSend(t *testing.T) {
	for reason, leavesAfter := range map[string]time.Duration{"not admitted: queue": time.Second, "caller left the queue": 10 * time.Millisecond} {
		atFullUpstream(t, func(g Gomega, gate *Gateway, f *fakeUpstreams) {
			time.AfterFunc(40*time.Millisecond, func() { fillUpstream(gate) })
			ctx, cancel := context.WithTimeout(context.Background(), leavesAfter)
			defer cancel()
			began := time.Now()
			_, refusal := gate.Do(ctx, route(routes.Safe, 1), call())
			g.Expect(time.Since(began)).To(Equal(min(leavesAfter, 75*time.Millisecond)), "half of the latency target")
			g.Expect(refusal.Status).To(Equal(503))
			g.Expect(refusal.Reason).To(Equal(reason))
			g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
			g.Expect(gate.admissions.of("s").waiters).To(BeEmpty())
			g.Expect(gate.AdmissionStatus()[0].Waiting).To(BeZero())
			time.Sleep(time.Second)
			g.Expect(f.total()).To(BeZero())
		})
	}
}

// Guards against waits, and refusals without a send, where the mechanism must change nothing. Load:
// one call at an upstream that is known to be full.
func TestNothingWaitsWithoutContentionOrPolicy(t *testing.T) {
	for name, c := range map[string]struct {
		off    policy.Mechanism
		target time.Duration
		after  time.Duration // since the contention
	}{
		"not contended":     {"", 150 * time.Millisecond, 10 * time.Second},
		"no latency target": {"", 0, 0},
		"queue off":         {policy.Queue, 150 * time.Millisecond, 0},
		"admission off":     {policy.Admission, 150 * time.Millisecond, 0},
	} {
		atFullUpstream(t, func(g Gomega, gate *Gateway, _ *fakeUpstreams) {
			gate.policy = policy.Without(c.off)
			time.Sleep(c.after)
			gate.balancer.observe("u0", routing.Observation{Load: &full}, gate.now())
			r, began := route(routes.Safe, 1), time.Now()
			r.LatencyTarget = c.target
			response, _ := gate.Do(context.Background(), r, call())
			g.Expect(response).NotTo(BeNil(), name)
			g.Expect(time.Since(began)).To(Equal(10*time.Millisecond), name)
		})
	}
}

// Guards against streams that pass by the queue, or keep their place after their end. Load: one
// stream.
func TestStreamWaitsWhileUpstreamIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := streamSetup(streamBehaviour{load: &idle})
		time.Sleep(time.Second)
		fillUpstream(gate)
		began := time.Now()
		g.Expect(gate.Stream(context.Background(), route(routes.Safe, 1), call(), 0, f)).To(BeZero())
		g.Expect(time.Since(began)).To(Equal(50 * time.Millisecond))
		time.Sleep(10 * time.Second)
		gate.Trim()
		g.Expect(gate.admissions.of("s").decisions.HasWindow()).To(BeFalse())
	})
}
