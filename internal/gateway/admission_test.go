package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// full is the load of an upstream that refuses calls.
var full = loadreport.Report{Running: 6, Waiting: 24, Slots: 6, Slowdown: 1}

// refusesFull refuses calls because its queue is full.
func refusesFull(context.Context) (*Response, error) {
	load := full
	return &Response{Status: http.StatusServiceUnavailable, NotRun: true, Load: &load}, nil
}

// Guards against messages to a coordinator, and missing hedges, for a service of which no call can
// be refused by the admission because no route to it has a latency target.
func TestServiceWithoutLatencyTargetIsNotContended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, _ := setup(refusesFull)
		time.Sleep(time.Second)
		r := route(routes.Safe, 1)
		r.LatencyTarget = 0
		_, refusal := gate.Do(context.Background(), r, call())
		g.Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(gate.Contended(gate.now())).To(BeEmpty())
		g.Expect(gate.Changed()).NotTo(Receive())
		_, _ = gate.Do(context.Background(), route(routes.Safe, 1), call())
		g.Expect(gate.Contended(gate.now())).To(Equal([]string{"s"}), "with a latency target it is")
	})
}

// Guards against streams that are all admitted while they wait in the upstreams' queues: only
// refusals would lower the admitted fraction.
func TestLoadReportedWithStreamIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := streamSetup(streamBehaviour{load: &loadreport.Report{Running: 6, Waiting: 20, Slots: 6, Slowdown: 1}})
		time.Sleep(time.Second)
		f.firstEventDelay = 10 * time.Millisecond
		result := gate.Stream(context.Background(), route(routes.Safe, 1), call(), 0, f)
		g.Expect(result).To(BeZero())
		g.Expect(gate.Contended(gate.now())).To(Equal([]string{"s"}))
	})
}

// Guards against an end of contention that nobody notices because the calls have stopped: it would
// not be logged, and the next contention would not be reported to the coordinator.
func TestEndOfContentionWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, _ := setup(refusesFull)
		time.Sleep(time.Second)
		s := gate.admissions.of("s")
		refuse := func() {
			load := full
			gate.observeLoad(call(), registry.Upstream{ID: "u0", Service: "s"}, &Response{Status: http.StatusServiceUnavailable, NotRun: true, Load: &load})
		}
		refuse()
		g.Expect(gate.Changed()).To(Receive())
		time.Sleep(10 * time.Second)
		gate.Trim()
		g.Expect(s.contended).To(BeFalse())
		refuse() // the late answer to a call from before
		g.Expect(gate.Changed()).To(Receive())
	})
}

// Guards against calls and streams that are sent to one full upstream after another: each refusal
// costs the upstreams work that is missing for the calls that they run.
func TestKnownFullUpstreamsAreNotTriedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := route(routes.Safe, 2)
		refuses := streamBehaviour{status: http.StatusServiceUnavailable, notRun: true, load: &full}
		streams, f := streamSetup(refuses, refuses, refuses)
		calls, upstreams := setup(refusesFull, refusesFull, refusesFull)
		time.Sleep(time.Second)
		for _, gate := range []*Gateway{streams, calls} {
			for _, u := range []string{"u0", "u1", "u2"} {
				gate.balancer.observe(u, routing.Observation{Load: &full}, gate.now())
			}
		}
		result := streams.Stream(context.Background(), r, call(), 0, f)
		g.Expect(result.Refusal.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(f.opened).To(HaveLen(1))
		_, refusal := calls.Do(context.Background(), r, call())
		g.Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(upstreams.total()).To(Equal(1))
	})
}

// Guards against a queue time of upstreams that have restarted or left, after the list of a
// service's upstreams has changed.
func TestIncarnationsFollowTheUpstreams(t *testing.T) {
	g := NewWithT(t)
	gate, _ := setup(refusesFull)
	s := gate.admissions.of("s")
	g.Expect(s.upstreamIncarnations(gate.view)).To(Equal([]string{"u0"}))
	gate.view.UpdateUpstreams(func(r *registry.Registry, _ time.Duration) {
		r.Put(registry.Upstream{ID: "u0", Service: "s", Started: 5})
		r.Put(registry.Upstream{ID: "u1", Service: "s"})
	})
	g.Expect(s.upstreamIncarnations(gate.view)).To(Equal([]string{"u0@5", "u1"}))
}

// Guards against an upstream that is never full because its load report states more slots than it accepts
// connections, on calls and on streams.
func TestReportOfMoreSlotsThanConnectionsIsDropped(t *testing.T) {
	for _, c := range []struct{ slots, load int }{{170, 3}, {171, -1}, {registry.MaxSlots, -1}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			report := loadreport.Report{Running: 3, Slots: c.slots, Slowdown: 1}
			answer := report
			gate, _ := setup(func(context.Context) (*Response, error) { return &Response{Status: http.StatusOK, Load: &answer}, nil })
			streaming, f := streamSetup(streamBehaviour{load: &report})
			for _, x := range []*Gateway{gate, streaming} {
				x.view.SetConfig(routes.New(1, nil, []routes.Service{{Name: "s", MaxConnections: 170}}, routes.Limits{}, nil))
			}
			time.Sleep(time.Second)
			_, refusal := gate.Do(context.Background(), route(routes.Safe, 1), call())
			g.Expect(refusal).To(BeNil())
			load, _ := gate.balancer.lastLoad("u0", gate.now())
			g.Expect(load).To(Equal(c.load))
			g.Expect(streaming.Stream(context.Background(), route(routes.Safe, 1), call(), 0, f).Err).NotTo(HaveOccurred())
			load, _ = streaming.balancer.lastLoad("u0", streaming.now())
			g.Expect(load).To(Equal(c.load))
		})
	}
}
