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

// callRates are the calls to the store a second, of one daemon on average.
type callRates struct{ reads, writes, joins float64 }

// measureCallRates counts all daemons' calls over a time.
func (w *testCluster) measureCallRates(over time.Duration, during func()) callRates {
	sum := func() (all metastore.Calls) {
		for _, v := range w.vms {
			c := v.client.Calls()
			all.Reads += c.Reads
			all.Writes += c.Writes
			all.Joins += c.Joins
		}
		return all
	}
	before := sum()
	done := make(chan struct{})
	go func() {
		during()
		close(done)
	}()
	time.Sleep(over)
	<-done
	after := sum()
	n := over.Seconds() * float64(len(w.vms))
	return callRates{float64(after.Reads-before.Reads) / n, float64(after.Writes-before.Writes) / n, float64(after.Joins-before.Joins) / n}
}

// runSteps plays one trainer's runSteps of a model, one after the other.
func (w *testCluster) runSteps(model string, n int) {
	for step := range n {
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

// What a daemon asks of the store may not grow with the number of daemons: twice as
// many would ask four times as much, and the store refuses what exceeds its rates.
// Run with -v, the test prints the table of docs/CAPACITY.md.
func TestStoreCallsPerDaemonDoNotGrowWithTheFleet(t *testing.T) {
	const over = 40 * time.Second
	measure := func(parts, vms, models int) (rest, work callRates) {
		synctest.Test(t, func(t *testing.T) {
			names := make([]string, models)
			for i := range names {
				names[i] = fmt.Sprint("m", i)
			}
			w := newTestClusterWithPolicy(t, Ours(policy.Set{}), 1, parts, vms, 3*models, names...)
			defer w.stop()
			time.Sleep(10 * time.Second)
			rest = w.measureCallRates(over, func() {})
			work = w.measureCallRates(over, func() {
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
		t.Logf("%2d partitions, %2d daemons, %d models: at rest %.2f reads %.2f joins; at work %.2f reads %.2f writes %.2f joins",
			parts, vms, models, rest.reads, rest.joins, work.reads, work.writes, work.joins)
		return rest, work
	}
	g := NewWithT(t)
	rest8, work8 := measure(8, 8, 3)
	rest32, work32 := measure(8, 32, 3)
	rest24, _ := measure(24, 32, 3)
	measure(8, 8, 6)
	g.Expect(rest32.reads).To(BeNumerically("<=", 1.1*rest8.reads))
	g.Expect(rest32.joins).To(BeNumerically("<=", 1.1*rest8.joins))
	g.Expect(work32.reads).To(BeNumerically("<=", 1.1*work8.reads))
	g.Expect(work32.writes).To(BeNumerically("<=", 0.5*work8.writes), "the work's writes are shared by more daemons")
	perPartition := (rest24.reads - rest32.reads) * 32 / (24 - 8)
	g.Expect(perPartition).To(BeNumerically(">", 0.9), "what does grow: the partitions that are followed")
}
