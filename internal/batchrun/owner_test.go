package batchrun

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// Guards against a step that makes no progress until its owner has read all partitions. A VM
// restarts during a step, and reads of partitions other than the step's take seconds.
func TestPartitionStartsOnceItsOwnViewIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 3, "m0")
		defer w.stop()
		w.engines.eventInterval = 200 * time.Millisecond
		time.Sleep(2 * time.Second)
		items := w.submitBatch(g, "m0", "step", 2, 4, 1)
		time.Sleep(time.Second)
		v := w.vms[0]
		own := v.daemon().partitionForModel("m0").number
		w.kill(v)
		v.client.SetFaults(metastore.Faults{Latency: storeLatency, ReadDelay: func(topic string, part int) time.Duration {
			if topic == batchTopic && part != own {
				return 6 * time.Second
			}
			return 0
		}})
		w.engines.mu.Lock()
		before := len(w.engines.runs)
		w.engines.mu.Unlock()
		w.startDaemon(v)
		time.Sleep(4 * time.Second)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		g.Expect(len(w.engines.runs)).To(BeNumerically(">=", before+len(items)))
	})
}

// Guards against a drain that loses text because the store is unavailable when it starts.
// The samples have run for seconds and their latest text is only in the daemon's memory. The
// store is back before the drain's timeout, and the next owner has to find the text.
func TestDrainRetriesUntilTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 3, "m0")
		defer w.stop()
		w.engines.eventInterval = 300 * time.Millisecond
		time.Sleep(2 * time.Second)
		head, items, _ := newBatch("m0", "away", 1, 40, 1)
		items = slices.DeleteFunc(items, func(i batch.Item) bool { return sampleLength(i.ID) < 35 })[:3]
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requestsOf(items))).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		for _, v := range w.vms {
			v.client.SetFaults(metastore.Faults{Refuse: true, Latency: storeLatency})
		}
		time.Sleep(2500 * time.Millisecond) // eight events that are in no record
		owner := w.vms[0]
		if !owner.ownsPartitionOf("m0") {
			owner = w.vms[1]
		}
		ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
		defer cancel()
		go owner.daemon().Drain(ctx)
		time.Sleep(2 * time.Second)
		for _, v := range w.vms {
			v.client.SetFaults(metastore.Faults{Latency: storeLatency})
		}
		time.Sleep(3 * time.Second)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		resumed := 0
		for _, run := range w.engines.runs {
			if run.after >= 8 {
				resumed++
			}
		}
		g.Expect(resumed).To(BeNumerically(">", 0))
	})
}

// Guards against open steps that wait for a membership timeout after all VMs were killed and
// restarted at once: their partitions belong to the dead processes until then.
func TestRestartedVMsReclaimTheirPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 3, 3, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		head, items, requests := newBatch("m0", "back", 1, 6, 1)
		w.engines.eventInterval = 300 * time.Millisecond
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
		time.Sleep(time.Second)
		w.killAll(w.vms, 100*time.Millisecond)
		w.engines.mu.Lock()
		before := len(w.engines.runs)
		w.engines.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		g.Expect(len(w.engines.runs)).To(BeNumerically(">=", before+len(items)))
	})
}

// Guards against partitions that pass from one dead member to another. All VMs are killed and
// restarted. The group still has their dead processes, most of which own nothing, and a
// partition that a dead owner gives up is assigned to another of them. Open steps would make
// no progress until all of them have timed out, 1.5 s after their last call.
func TestPartitionsAreNotAssignedToDeadMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 16, 2, "m0")
		defer w.stop()
		time.Sleep(3 * time.Second)
		w.killAll(w.vms, 0)
		began := time.Now()
		owned := func() int {
			n := 0
			for _, v := range w.vms {
				n += len(v.daemon().OwnedPartitions())
			}
			return n
		}
		for owned() < w.parts {
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}

// Guards against an old step that a new owner takes for a new one. Its owner is killed during
// the step, and the next one reads the step's record when it takes the partition over. The
// step's last samples, which are nearly late, would wait behind those of the next step.
func TestNextOwnerKnowsTheAgeOfABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		w.engines.eventInterval = 500 * time.Millisecond
		time.Sleep(2 * time.Second)
		head, items, requests := newBatch("m0", "old", 1, 2, 1)
		submitted := w.now()
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
		time.Sleep(3 * time.Second)
		owner, other := ownerAndOther(w, "m0")
		w.kill(owner)
		time.Sleep(3 * time.Second)
		g.Expect(other.ownsPartitionOf("m0")).To(BeTrue())
		other.daemon().partitionForModel("m0").withBatch("b", func(b *batch.Batch) {
			g.Expect(b.AcceptedAt).To(BeNumerically("~", submitted, 20*time.Millisecond))
			g.Expect(b.ReadAt).To(BeNumerically(">", submitted+3*time.Second), "its retention time starts again when it is read")
		})
	})
}
