package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// runCounter is a UsageRecorder that keeps the start times of the runs.
type runCounter struct {
	mu     sync.Mutex
	starts []time.Time
}

func (r *runCounter) RecordRun(_ string, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, time.Now().Add(-ago))
}

// A customer is billed for each run of a call that an upstream began, including runs whose
// response was lost. Sends that an upstream refused, or that never left the gateway, must not
// be counted.
func TestRunsOfCallsAreCounted(t *testing.T) {
	lost, refused, dial := fails(exchange.Reset, true), status(503, true), fails(exchange.Dial, false)
	for _, c := range []struct {
		name       string
		customer   string
		behaviours []behaviour
		want       int
	}{
		{"answered", "a", []behaviour{ok(0)}, 1},
		{"failed", "a", []behaviour{status(500, false), status(500, false)}, 2},
		{"refused, then a response", "a", []behaviour{refused, ok(0)}, 1},
		{"connection failed, then a response", "a", []behaviour{dial, ok(0)}, 1},
		{"response lost, then a response", "a", []behaviour{lost, ok(0)}, 2},
		{"refused everywhere", "a", []behaviour{refused, refused}, 0},
		{"without a customer", "", []behaviour{ok(0)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate, _ := setup(c.behaviours...)
				counter := &runCounter{}
				gate.usage = counter
				billed := call()
				billed.Customer = c.customer
				gate.Do(context.Background(), route(routes.Safe, 2), billed)
				synctest.Wait()
				NewWithT(t).Expect(counter.starts).To(HaveLen(c.want))
			})
		})
	}
}

// The run of a stream counts from its first event, which may fall into a later usage window
// than its request.
func TestStreamRunIsCountedAtFirstEvent(t *testing.T) {
	for _, c := range []struct {
		name       string
		behaviours []streamBehaviour
		want       int
	}{
		{"whole", []streamBehaviour{{}}, 1},
		{"refused, then complete", []streamBehaviour{{status: 503, notRun: true}, {}}, 1},
		{"broken after its second event, resumed", []streamBehaviour{{breakAfter: 2}, {}}, 2},
		{"response is not a stream", []streamBehaviour{{status: 404}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, f := streamSetup(c.behaviours...)
				f.firstEventDelay = 300 * time.Millisecond
				counter := &runCounter{}
				gate.usage = counter
				startedAt := time.Now()
				billed := call()
				billed.Customer = "a"
				gate.Stream(context.Background(), routes.Route{Resumable: true, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}, billed, 0, f)
				g.Expect(counter.starts).To(HaveLen(c.want))
				if c.behaviours[0].status == 0 {
					g.Expect(counter.starts[0].Sub(startedAt)).To(Equal(f.firstEventDelay))
				}
			})
		})
	}
}
