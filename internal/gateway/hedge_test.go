package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// Guards against hedging every call of a service that is slow at peak load: the copies would
// double the load and slow it down further. 400 calls arrive at 40 per second; each is
// answered after 120 ms and would be hedged after 75 ms. The bound is that of the hedge
// budget: 50 at once, then 3 per second and a tenth of the responses.
func TestHedgeBudgetLimitsCopiesToSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		slow := ok(120 * time.Millisecond)
		gate, f := setup(slow, slow, slow)
		const calls, interval = 400, 25 * time.Millisecond
		var pending sync.WaitGroup
		for range calls {
			pending.Go(func() {
				response, _ := gate.Do(context.Background(), route(routes.Safe, 2), call())
				g.Expect(response).NotTo(BeNil())
			})
			time.Sleep(interval)
		}
		pending.Wait()
		copies := f.total() - calls
		seconds := (calls * interval).Seconds()
		g.Expect(copies).To(BeNumerically(">=", 50), "calls are hedged while the budget lasts")
		g.Expect(float64(copies)).To(BeNumerically("<=", 50+3*seconds+calls/10))
	})
}
