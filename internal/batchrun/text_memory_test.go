package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

func newTestRun() *run {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &run{ctx: ctx, cancel: cancel, text: &text{}}
}

// Guards against texts of several endless responses that take more memory together than there is,
// and against the others yielding to them.
func TestLargestTextYieldsWhenRoomGetsScarce(t *testing.T) {
	g := NewWithT(t)
	m := newTextMemory(membudget.New(100))
	small, large := newTestRun(), newTestRun()
	g.Expect(m.grow(small, 20)).To(BeTrue())
	g.Expect(m.grow(large, 56)).To(BeTrue())
	g.Expect(m.grow(small, 4)).To(BeTrue())
	g.Expect(context.Cause(large.ctx)).To(MatchError(errNoRoom))
	g.Expect(small.ctx.Err()).NotTo(HaveOccurred())
	g.Expect(m.grow(small, 21)).To(BeFalse(), "above the budget")
	m.release(large)
	g.Expect(m.grow(small, 21)).To(BeTrue())
	queued := m.move(small, 45, 10)
	m.release(small)
	g.Expect(m.budget.Held()).To(BeEquivalentTo(10))
	queued.Release()
	g.Expect(m.budget.Held()).To(BeZero())
	g.Expect(m.runs).To(BeEmpty())
}

// Guards against texts that are kept in memory without bound while the store is away, and against
// texts larger than the whole budget that never come to their end.
func TestTextsStayWithinTheMemoryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const limit = 64 << 10
		memory := membudget.New(limit)
		w := newTestClusterWithOptions(t, clusterOptions{memory: memory, seed: 3, parts: 1, vms: 1, engines: 3, models: []string{"m0"}})
		w.engines.padding = 3 << 10 // 130 KB for the longest text
		defer w.stop()
		time.Sleep(5 * time.Second)
		items := w.submitBatch(g, "m0", "x", 2, 4, 1)
		time.Sleep(300 * time.Millisecond)
		w.vms[0].client.SetFaults(metastore.Faults{Unreachable: true})
		for range 50 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(memory.Held()).To(BeNumerically("<=", limit))
		}
		w.vms[0].client.SetFaults(metastore.Faults{Latency: storeLatency})
		time.Sleep(20 * time.Second)
		page, err := w.vms[0].daemon().Results(context.Background(), "b", 0, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(len(items)))
		for _, r := range page.Results {
			g.Expect(r.State).To(Equal(batch.Completed))
			w.engines.checkText(r.ID, r.Text)
		}
		g.Expect(memory.Held()).To(BeZero())
	})
}
