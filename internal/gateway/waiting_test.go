package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// fillUpstream makes u0, the only upstream, known to be full for a run time of 50 ms, and its
// service contended. The fleet admits all calls without a customer, so that none is refused by chance.
func fillUpstream(gate *Gateway) {
	gate.balancer.observe("u0", routing.Observation{Load: &full}, gate.now())
	demands := []shares.Demand{{Customer: "large", Rate: 1000}, {Customer: "", Rate: 1}}
	gate.SetFleet("s", shares.Table{Demands: demands, Known: true, Admitted: 0.5, Daemons: 61, NextReport: shares.MinInterval}, gate.now())
}

// Guards against calls that are sent to a full upstream, that miss the time at which it may have
// room, and against timers while none waits. Load: one call.
func TestCallWaitsWhileUpstreamIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := setup(ok(10 * time.Millisecond))
		time.Sleep(time.Second)
		fillUpstream(gate)
		began := time.Now()
		time.AfterFunc(20*time.Millisecond, func() {
			status := gate.AdmissionStatus()[0]
			g.Expect(status.Waiting).To(Equal(1))
			g.Expect(status.OldestWaitMS).To(Equal(20.0))
			g.Expect(f.total()).To(BeZero())
		})
		response, _ := gate.Do(context.Background(), route(routes.Safe, 1), call())
		g.Expect(response).NotTo(BeNil())
		g.Expect(time.Since(began)).To(Equal(60*time.Millisecond), "50 ms until the knowledge expires")
		g.Expect(gate.admissions.of("s").wake.Stop()).To(BeFalse())
	})
}

// Guards against calls that wait on although a response has shown room. Load: one call.
func TestResponseThatShowsRoomStartsWaitingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := setup(ok(0), ok(0))
		time.Sleep(time.Second)
		gate.balancer.observe("u1", routing.Observation{Load: &full}, gate.now())
		fillUpstream(gate)
		began := time.Now()
		time.AfterFunc(10*time.Millisecond, func() {
			response := &Response{Status: 200, Load: &loadreport.Report{Slots: 6, Slowdown: 1}}
			gate.balancer.observe("u1", observation(response, 0), gate.now())
			gate.observeLoad(call(), "s", response)
		})
		_, _ = gate.Do(context.Background(), route(routes.Safe, 1), call())
		g.Expect(time.Since(began)).To(Equal(10 * time.Millisecond))
		g.Expect(f.total()).To(Equal(1))
	})
}

// Guards against a first send to an upstream that has become full since the call was started, and
// against resends that are held back. Load: one call, late or not, at a full upstream.
func TestFirstSendNeedsRoom(t *testing.T) {
	g := NewWithT(t)
	gate, _ := setup(ok(0))
	gate.balancer.observe("u0", routing.Observation{Load: &full}, time.Second)
	gate.now = func() time.Duration { return time.Second }
	for _, late := range []bool{false, true} {
		c := call()
		c.late, c.needsRoom = late, true
		_, found := gate.pick(c, "s", nil)
		g.Expect(found).To(BeFalse())
		_, found = gate.pick(c, "s", map[string]bool{"other": true})
		g.Expect(found).To(BeTrue())
	}
}

// Guards against calls that wait until their deadline, against a reason that can't be told from
// those of other refusals, and against calls that are sent, or keep their place, after their caller
// left. Load: one call at an upstream that stays full, with and without a caller that leaves.
func TestWaitingCallEndsWithoutSend(t *testing.T) {
	for reason, leavesAfter := range map[string]time.Duration{"not admitted: queue": time.Second, "caller left the queue": 10 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			gate, f := setup(ok(0))
			time.Sleep(time.Second)
			fillUpstream(gate)
			time.AfterFunc(40*time.Millisecond, func() { fillUpstream(gate) })
			ctx, cancel := context.WithTimeout(context.Background(), leavesAfter)
			defer cancel()
			began := time.Now()
			_, refusal := gate.Do(ctx, route(routes.Safe, 1), call())
			g.Expect(time.Since(began)).To(Equal(min(leavesAfter, 75*time.Millisecond)), "half of the latency target")
			g.Expect(refusal.Status).To(Equal(503))
			g.Expect(refusal.Reason).To(Equal(reason))
			g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
			s := gate.admissions.of("s")
			g.Expect(s.waiters).To(BeEmpty())
			g.Expect(s.decisions.Waiting()).To(BeZero())
			time.Sleep(time.Second)
			g.Expect(f.total()).To(BeZero())
		})
	}
}

// Guards against waits, and refusals without a send, where the mechanism must change nothing. Load:
// one call at an upstream that is known to be full.
func TestNothingWaitsWithoutContentionOrPolicy(t *testing.T) {
	for name, c := range map[string]struct {
		off       policy.Mechanism
		target    time.Duration
		contended bool
	}{
		"not contended":     {"", 150 * time.Millisecond, false},
		"no latency target": {"", 0, true},
		"queue off":         {policy.Queue, 150 * time.Millisecond, true},
		"admission off":     {policy.Admission, 150 * time.Millisecond, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			gate, _ := setup(ok(0))
			gate.policy = policy.Without(c.off)
			time.Sleep(time.Second)
			if c.contended {
				fillUpstream(gate)
			}
			gate.balancer.observe("u0", routing.Observation{Load: &full}, gate.now())
			r, began := route(routes.Safe, 1), time.Now()
			r.LatencyTarget = c.target
			response, _ := gate.Do(context.Background(), r, call())
			g.Expect(response).NotTo(BeNil(), name)
			g.Expect(time.Since(began)).To(BeZero(), name)
		})
	}
}

// Guards against streams that pass by the queue, or keep their place after their end. Load: one
// stream at an upstream that is known to be full.
func TestStreamWaitsWhileUpstreamIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := streamSetup(streamBehaviour{load: &loadreport.Report{Running: 1, Slots: 6, Slowdown: 1}})
		time.Sleep(time.Second)
		fillUpstream(gate)
		began := time.Now()
		result := gate.Stream(context.Background(), route(routes.Safe, 1), call(), 0, f)
		g.Expect(result).To(BeZero())
		g.Expect(time.Since(began)).To(Equal(50 * time.Millisecond))
		time.Sleep(10 * time.Second)
		gate.Trim()
		g.Expect(gate.admissions.of("s").decisions.HasWindow()).To(BeFalse())
	})
}
