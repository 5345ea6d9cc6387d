package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// A VM starts again in the midst of a step, and the store reads slowly: other
// partitions than the step's take seconds. The step must not stand still until a daemon
// has read all of them.
func TestPartitionRunsAsSoonAsItsOwnViewIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, 1, 1, 3, "m0")
		defer w.stop()
		w.engines.pace = 200 * time.Millisecond
		time.Sleep(2 * time.Second)
		head, items, requests := sampleBatch("m0", "step", 2, 4, 1)
		g.Expect(w.vms[0].current().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
		time.Sleep(time.Second)
		v := w.vms[0]
		home := v.current().partitionOf("m0").number
		w.kill(v)
		v.client.SetFaults(metastore.Faults{Latency: storeAnswer, ReadDelay: func(topic string, part int) time.Duration {
			if topic == batchTopic && part != home {
				return 6 * time.Second
			}
			return 0
		}})
		w.engines.mu.Lock()
		before := len(w.engines.runs)
		w.engines.mu.Unlock()
		w.boot(v)
		time.Sleep(4 * time.Second)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		g.Expect(len(w.engines.runs)).To(BeNumerically(">=", before+len(items)))
	})
}
