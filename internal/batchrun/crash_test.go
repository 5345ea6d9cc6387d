package batchrun

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/crashes"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

// runStepWithCrasher hands in a step one sample of which ends each engine that runs it, and
// returns how many of the others are listed when the step is due, and the engines' ends.
func runStepWithCrasher(t *testing.T, seed uint64, set policy.Set) (listed, wanted int, ends []engineCrash) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestClusterWithPolicy(t, Ours(set), seed, 4, 2, 3, "m0")
		defer w.stop()
		w.engines.eventInterval = 100 * time.Millisecond
		time.Sleep(2 * time.Second)
		items := w.submitBatch(g, "m0", "crash", 5, 4, 1)
		w.engines.mu.Lock()
		w.engines.crashAt[items[7].ID] = 2
		w.engines.mu.Unlock()
		time.Sleep(7500 * time.Millisecond)
		listed, wanted = len(results(g, w.vms[1])), len(items)-1
		time.Sleep(7500 * time.Millisecond)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		ends = w.engines.crashes
	})
	return listed, wanted, ends
}

// One sample of a step ends the process of each engine that runs it. Its broken run was
// started again at once on the next engine, among the samples that moved there from the
// last one; all engines of the model were away for as long as the batch was kept, and its
// trainer got no step whole. It may not be given up, nor be kept off engines for over five
// seconds: it runs alone, and seldom.
func TestSampleThatCrashesEngines(t *testing.T) {
	const mostOff = 5 * time.Second
	for seed := range uint64(8) {
		g := NewWithT(t)
		listed, wanted, ends := runStepWithCrasher(t, seed, policy.Set{})
		g.Expect(listed).To(Equal(wanted), "seed %d: %v", seed, ends)
		g.Expect(len(ends)).To(BeNumerically(">", 3), "it was tried again")
		for i, end := range ends[1:] {
			apart := end.at.Sub(ends[i].at)
			g.Expect(apart).To(BeNumerically("<=", mostOff), "seed %d: %v", seed, ends)
			if i+1 < 2 {
				continue
			}
			g.Expect(end.otherSamples).To(Equal(0), "seed %d: %v", seed, ends)
			if i+1 > 2 {
				g.Expect(apart).To(BeNumerically(">=", crashes.CrasherPause), "seed %d: %v", seed, ends)
			}
		}
	}
}

// The same step without trials: the checks above can find the fault.
func TestSampleThatCrashesEnginesWithoutTrials(t *testing.T) {
	listed, wanted, ends := runStepWithCrasher(t, 1, policy.Without(policy.Trials))
	g := NewWithT(t)
	g.Expect(listed).To(BeNumerically("<", wanted))
	g.Expect(len(ends)).To(BeNumerically(">", 10))
	g.Expect(ends[3].otherSamples).To(BeNumerically(">", 0))
}

// Steps follow each other, the next one before the one with such a sample has ended, as
// trainers ask for them. The later steps' samples fill the engines that it is tried on.
func TestOtherStepsFinishDespiteASampleThatCrashesEngines(t *testing.T) {
	const steps = 4
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestCluster(t, seed, 2, 3, "m0")
			defer w.stop()
			w.engines.eventInterval = 100 * time.Millisecond
			time.Sleep(2 * time.Second)
			wanted := -1 // all but the one
			var listed atomic.Int64
			for step := range steps {
				id := fmt.Sprint("step", step)
				head, items, requests := newBatch("m0", id, 5, 4, 1)
				g.Expect(w.vms[0].daemon().Submit(context.Background(), id, head, items, requests)).To(Succeed())
				wanted += len(items)
				if step == 0 {
					w.engines.mu.Lock()
					w.engines.crashAt[items[7].ID] = 2
					w.engines.mu.Unlock()
				}
				time.AfterFunc(time.Duration(head.TargetMS)*time.Millisecond, func() {
					if page, err := w.vms[1].daemon().Results(context.Background(), id, 0, 0); err == nil {
						listed.Add(int64(len(page.Results)))
					}
				})
				time.Sleep(3 * time.Second)
			}
			time.Sleep(10 * time.Second)
			g.Expect(int(listed.Load())).To(Equal(wanted), "seed %d: listed when their steps were due", seed)
		})
	}
}
