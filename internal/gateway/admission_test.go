package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/routes"
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
