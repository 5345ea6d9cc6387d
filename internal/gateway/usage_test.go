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

// runsCounted notes when requests are said to have begun.
type runsCounted struct {
	mu sync.Mutex
	at []time.Time
}

func (r *runsCounted) Began(_ string, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = append(r.at, time.Now().Add(-ago))
}

// A customer is billed for what upstreams began: each run of a call counts once, also one
// whose answer was lost, and none that an upstream refused or that never left.
func TestRunsOfCallsAreCounted(t *testing.T) {
	lost, refused, dial := fails(exchange.Reset, true), status(503, true), fails(exchange.Dial, false)
	for _, c := range []struct {
		name     string
		customer string
		does     []behaviour
		want     int
	}{
		{"answered", "a", []behaviour{ok(0)}, 1},
		{"failed", "a", []behaviour{status(500, false), status(500, false)}, 2},
		{"refused, then answered", "a", []behaviour{refused, ok(0)}, 1},
		{"its connection failed, then answered", "a", []behaviour{dial, ok(0)}, 1},
		{"its answer lost, then answered", "a", []behaviour{lost, ok(0)}, 2},
		{"refused everywhere", "a", []behaviour{refused, refused}, 0},
		{"nobody's", "", []behaviour{ok(0)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate, _ := setup(c.does...)
				counted := &runsCounted{}
				gate.usage = counted
				one := call()
				one.Customer = c.customer
				gate.Do(context.Background(), route(routes.Safe, 2), one)
				synctest.Wait()
				NewWithT(t).Expect(counted.at).To(HaveLen(c.want))
			})
		})
	}
}

// A stream begins with its first event, which may come in another window than its request.
func TestStreamIsCountedAtItsFirstEvent(t *testing.T) {
	for _, c := range []struct {
		name    string
		sources []source
		want    int
	}{
		{"whole", []source{{}}, 1},
		{"refused, then whole", []source{{refuses: 503, notRun: true}, {}}, 1},
		{"broken behind its second event, resumed", []source{{breaksAt: 2}, {}}, 2},
		{"answered without a stream", []source{{refuses: 404}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, w := streamSetup(c.sources...)
				w.firstAfter = 300 * time.Millisecond
				counted := &runsCounted{}
				gate.usage = counted
				began := time.Now()
				one := call()
				one.Customer = "a"
				gate.Stream(context.Background(), routes.Route{Resumable: true, MaxAttempts: 2, Services: []routes.Share{{Service: "s", Weight: 1}}}, one, 0, w)
				g.Expect(counted.at).To(HaveLen(c.want))
				if c.sources[0].refuses == 0 {
					g.Expect(counted.at[0].Sub(began)).To(Equal(w.firstAfter))
				}
			})
		})
	}
}
