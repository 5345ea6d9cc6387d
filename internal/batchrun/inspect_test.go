package batchrun

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Checks what operators see of a batch while it runs and when it is complete, on the daemon that
// runs it and on another one.
func TestInspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		w.engines.eventInterval = 500 * time.Millisecond
		time.Sleep(2 * time.Second)
		w.submitBatch(g, "m0", "seen", 1, 2, 1)
		time.Sleep(1200 * time.Millisecond)
		owner, other := w.vms[0].daemon(), w.vms[1].daemon()
		if w.vms[1].ownsPartitionOf("m0") {
			owner, other = other, owner
		}
		detail, ok := owner.InspectBatch("b")
		g.Expect(ok).To(BeTrue())
		g.Expect(detail.Owner).To(Equal(owner.options.VM))
		g.Expect(detail.Running).To(Equal(2))
		g.Expect(detail.SampleDetails[0].State).To(Equal("running"))
		g.Expect(detail.SampleDetails[0].Upstream).NotTo(BeEmpty())
		g.Expect(owner.OwnedPartitions()).To(ContainElement(detail.Part))
		g.Expect(other.OwnedPartitions()).NotTo(ContainElement(detail.Part))
		g.Expect(other.InspectBatches()).To(BeEmpty(), "the daemon doesn't follow the partition")
		defer other.partitions[detail.Part].follower.Hold()()
		time.Sleep(30 * time.Second)
		list := other.InspectBatches()
		g.Expect(list).To(HaveLen(1))
		g.Expect(list[0].Owner).To(BeEmpty())
		g.Expect(list[0].Completed).To(Equal(2))
		detail, _ = other.InspectBatch("b")
		g.Expect(detail.SampleDetails[0].Position + detail.SampleDetails[1].Position).To(Equal(1))
		_, ok = other.InspectBatch("none")
		g.Expect(ok).To(BeFalse())
		for _, v := range other.Views() {
			g.Expect(v.InContact).To(BeTrue())
			g.Expect(v.AgeMS).To(BeNumerically(">=", 0))
		}
	})
}
