package gateway

import (
	"context"
	"net/http"
	"strings"
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
// service contended. The fleet admits all calls of customers other than "large".
func fillUpstream(gate *Gateway) {
	gate.balancer.observe("u0", routing.Observation{Load: &full}, gate.now())
	demands := []shares.Demand{{Customer: "large", Rate: 1000}}
	gate.SetFleet("s", shares.Table{Demands: demands, Known: true, Admitted: 0.5, Daemons: 61, NextReport: shares.MinInterval}, gate.now())
}

// outcome is how a call ended, and after which time.
type outcome struct {
	refusal *Refusal
	took    time.Duration
}

// doLater sends a call in the background.
func doLater(ctx context.Context, gate *Gateway, c *Call) <-chan outcome {
	out, began := make(chan outcome, 1), time.Now()
	go func() {
		_, refusal := gate.Do(ctx, route(routes.Safe, 1), c)
		out <- outcome{refusal, time.Since(began)}
	}()
	synctest.Wait()
	return out
}

// Guards against calls that are sent to a full upstream, that miss the time at which it may have
// room, and against timers while none waits. Load: one call after the refusal of another.
func TestCallWaitsWhileUpstreamIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := setup(ok(10 * time.Millisecond))
		time.Sleep(time.Second)
		fillUpstream(gate)
		waiting := doLater(context.Background(), gate, call())
		g.Expect(f.total()).To(BeZero())
		time.Sleep(20 * time.Millisecond)
		status := gate.AdmissionStatus()[0]
		g.Expect(status.Waiting).To(Equal(1))
		g.Expect(status.OldestWaitMS).To(Equal(20.0))
		g.Expect(<-waiting).To(Equal(outcome{nil, 60 * time.Millisecond}), "50 ms until the knowledge expires")
		g.Expect(gate.admissions.of("s").wake.Stop()).To(BeFalse())
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

// Guards against calls that wait until their deadline, and against a reason that can't be told from
// those of other refusals. Load: one call at an upstream that stays full.
func TestWaitingCallIsRefusedAtItsLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := setup(ok(0))
		time.Sleep(time.Second)
		fillUpstream(gate)
		waiting := doLater(context.Background(), gate, call())
		time.Sleep(40 * time.Millisecond)
		fillUpstream(gate)
		o := <-waiting
		g.Expect(o.took).To(Equal(75*time.Millisecond), "half of the latency target")
		g.Expect(o.refusal.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(o.refusal.Reason).To(Equal("not admitted: queue"))
		g.Expect(o.refusal.RetryAfter).To(BeNumerically(">", 0))
		g.Expect(f.total()).To(BeZero())
	})
}

// Guards against calls that are sent for callers that have gone, and against their places staying
// taken. Load: one call whose caller leaves after 10 ms.
func TestCallerLeavesWhileItsCallWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := setup(ok(0))
		time.Sleep(time.Second)
		fillUpstream(gate)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		o := <-doLater(ctx, gate, call())
		g.Expect(o.took).To(Equal(10 * time.Millisecond))
		g.Expect(o.refusal.Status).To(Equal(http.StatusServiceUnavailable))
		s := gate.admissions.of("s")
		g.Expect(s.waiters).To(BeEmpty())
		g.Expect(s.decisions.Waiting()).To(BeZero())
		time.Sleep(time.Second)
		g.Expect(f.total()).To(BeZero())
	})
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
		t.Run(name, func(t *testing.T) {
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
				g.Expect(response).NotTo(BeNil())
				g.Expect(time.Since(began)).To(BeZero())
				g.Expect(gate.admissions.of("s").wake).To(BeNil())
			})
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
		g.Expect(strings.Join(f.received, " ")).To(Equal("u0:1 u0:2 u0:3 u0:4"))
		time.Sleep(10 * time.Second)
		gate.Trim()
		g.Expect(gate.admissions.of("s").decisions.HasWindow()).To(BeFalse())
	})
}
