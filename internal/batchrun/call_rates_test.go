package batchrun

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/policy"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// callRates are the calls of an average daemon to the store, per second.
type callRates struct{ reads, writes, joins float64 }

// measureCallRates measures the daemons' calls over a time while it runs a function, which must
// end within that time.
func (w *testCluster) measureCallRates(over time.Duration, during func()) callRates {
	total := func() (all metastore.Calls) {
		for _, v := range w.vms {
			c := v.client.Calls()
			all.Reads += c.Reads
			all.Writes += c.Writes
			all.Membership += c.Membership
		}
		return all
	}
	before := total()
	done := make(chan struct{})
	go func() {
		during()
		close(done)
	}()
	time.Sleep(over)
	<-done
	after := total()
	daemonSeconds := over.Seconds() * float64(len(w.vms))
	return callRates{float64(after.Reads-before.Reads) / daemonSeconds, float64(after.Writes-before.Writes) / daemonSeconds, float64(after.Membership-before.Membership) / daemonSeconds}
}

// runSteps runs a trainer's steps of a model, one after the other.
func (w *testCluster) runSteps(model string, steps int) {
	for step := range steps {
		version := int64(step + 1)
		w.publish(model, version)
		head, items, requests := newBatch(model, fmt.Sprint("step", step), 4, 4, max(1, version-1))
		id := fmt.Sprint(model, step)
		if err := w.vms[step%len(w.vms)].daemon().Submit(context.Background(), id, head, items, requests); err != nil {
			w.t.Errorf("%s: %v", id, err)
		}
		time.Sleep(4 * time.Second)
		if err := w.vms[0].daemon().End(context.Background(), id); err != nil {
			w.t.Errorf("%s: %v", id, err)
		}
	}
}

// Guards against daemons that each make more calls to the store the more daemons there are: twice
// as many would make four times as many calls, and the store refuses those above its rate limits.
// With -v the test prints the table of docs/CAPACITY.md.
func TestStoreCallsPerDaemonDoNotGrowWithTheFleet(t *testing.T) {
	const over = 40 * time.Second
	measure := func(parts, vms, models int) (idle, busy callRates) {
		synctest.Test(t, func(t *testing.T) {
			names := make([]string, models)
			for i := range names {
				names[i] = fmt.Sprint("m", i)
			}
			w := newTestClusterWithPolicy(t, DefaultPolicy(policy.Set{}), 1, parts, vms, 3*models, names...)
			defer w.stop()
			time.Sleep(10 * time.Second)
			idle = w.measureCallRates(over, func() {})
			busy = w.measureCallRates(over, func() {
				done := make(chan struct{})
				for _, m := range names {
					go func() {
						w.runSteps(m, 8)
						done <- struct{}{}
					}()
				}
				for range names {
					<-done
				}
			})
		})
		t.Logf("%2d partitions, %2d daemons, %d models: idle %.2f reads %.2f joins; busy %.2f reads %.2f writes %.2f joins",
			parts, vms, models, idle.reads, idle.joins, busy.reads, busy.writes, busy.joins)
		return idle, busy
	}
	g := NewWithT(t)
	idle8, busy8 := measure(8, 8, 3)
	idle32, busy32 := measure(8, 32, 3)
	idle24Parts, _ := measure(24, 32, 3)
	measure(8, 8, 6)
	g.Expect(idle32.reads).To(BeNumerically("<=", 1.1*idle8.reads))
	g.Expect(idle32.joins).To(BeNumerically("<=", 1.1*idle8.joins))
	g.Expect(busy32.reads).To(BeNumerically("<=", 1.1*busy8.reads))
	g.Expect(busy32.writes).To(BeNumerically("<=", 0.5*busy8.writes), "the same writes are shared by more daemons")
	perPartition := (idle24Parts.reads - idle32.reads) * 32 / (24 - 8)
	g.Expect(perPartition).To(BeNumerically(">", 0.9), "each followed partition adds reads")
}
