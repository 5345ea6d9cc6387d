package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// Guards against an owner that retries appends without delay while the store resets every
// connection for some seconds: hundreds of calls a second cost processor time, and each of them
// writes a log line. The step must still complete.
func TestAppendRetriesAreLimitedWhileTheStoreResetsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 3, "m0")
		defer w.stop()
		w.engines.eventInterval = 100 * time.Millisecond
		time.Sleep(2 * time.Second)
		items := w.submitBatch(g, "m0", "step", 2, 4, 1)
		time.Sleep(time.Second)
		const outage = 4 * time.Second
		before := w.vms[0].client.Calls().Writes
		w.applyFaults(w.vms, metastore.Faults{Latency: time.Millisecond, Reset: true}, outage)
		g.Expect(w.vms[0].client.Calls().Writes - before).To(BeNumerically("<=", 1+int(outage/outboxRetryInterval)))
		time.Sleep(5 * time.Second)
		page, err := w.vms[0].daemon().Results(context.Background(), "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(len(items)))
	})
}
