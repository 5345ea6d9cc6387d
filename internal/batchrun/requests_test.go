package batchrun

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
)

// Guards against a trainer's open batches whose requests take more memory together than there is. Those
// without room wait for others to end, and none waits for ever.
func TestRequestsOfOpenBatchesStayWithinTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const limit, batches, samples, body = 100 << 10, 8, 8, 2 << 10
		memory := membudget.New(limit)
		w := newTestClusterWithOptions(t, clusterOptions{requestMemory: memory, seed: 8, parts: 1, vms: 1, engines: 3, models: []string{"m0"}})
		w.engines.bodies = body
		defer w.stop()
		time.Sleep(5 * time.Second)
		peak := int64(0)
		for n := range batches {
			head, items, requests := newBatch("m0", fmt.Sprint(n), 2, samples/2, 1)
			for i := range requests {
				requests[i].Body = append(requests[i].Body, make([]byte, body)...)
			}
			g.Expect(w.vms[0].daemon().Submit(context.Background(), fmt.Sprint(n), head, items, requests)).To(Succeed())
		}
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			peak = max(peak, memory.Held())
		}
		g.Expect(peak).To(And(BeNumerically(">", limit/3), BeNumerically("<=", limit)))
		for n := range batches {
			page, err := w.vms[0].daemon().Results(context.Background(), fmt.Sprint(n), 0, 0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(page.Results).To(HaveLen(samples))
		}
		g.Expect(memory.Held()).To(BeZero())
	})
}
