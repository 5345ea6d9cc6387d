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

// runStepWithCrasher submits a step with one sample that crashes each engine that runs it. It
// returns how many of the other samples have a result when the step is due, how many of them there
// are, and the crashes.
func runStepWithCrasher(t *testing.T, seed uint64, set policy.Set) (listed, wanted int, engineCrashes []engineCrash) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestClusterWithPolicy(t, DefaultPolicy(set), seed, 4, 2, 3, "m0")
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
		engineCrashes = w.engines.crashes
	})
	return listed, wanted, engineCrashes
}

// Guards against a step that no trainer can complete because one of its samples crashes each
// engine that runs it. When the sample was retried at once on the next engine, among the samples
// that had moved there from the last one, all engines of the model were down for as long as the
// batch was kept. The sample must neither be given up nor be kept off the engines for over five
// seconds: it runs alone, and rarely.
func TestSampleThatCrashesEngines(t *testing.T) {
	const maxInterval = 5 * time.Second
	for seed := range uint64(8) {
		g := NewWithT(t)
		listed, wanted, engineCrashes := runStepWithCrasher(t, seed, policy.Set{})
		g.Expect(listed).To(Equal(wanted), "seed %d: %v", seed, engineCrashes)
		g.Expect(len(engineCrashes)).To(BeNumerically(">", 3), "the sample was retried")
		for i, crash := range engineCrashes[1:] {
			interval := crash.at.Sub(engineCrashes[i].at)
			g.Expect(interval).To(BeNumerically("<=", maxInterval), "seed %d: %v", seed, engineCrashes)
			if i+1 < 2 {
				continue
			}
			g.Expect(crash.otherSamples).To(Equal(0), "seed %d: %v", seed, engineCrashes)
			if i+1 > 2 {
				g.Expect(interval).To(BeNumerically(">=", crashes.CrasherPause), "seed %d: %v", seed, engineCrashes)
			}
		}
	}
}

// Checks that the test above can find the failure: without trials the step doesn't complete.
func TestSampleThatCrashesEnginesWithoutTrials(t *testing.T) {
	listed, wanted, engineCrashes := runStepWithCrasher(t, 1, policy.Without(policy.Trials))
	g := NewWithT(t)
	g.Expect(listed).To(BeNumerically("<", wanted))
	g.Expect(len(engineCrashes)).To(BeNumerically(">", 10))
	g.Expect(engineCrashes[3].otherSamples).To(BeNumerically(">", 0))
}

// Guards against later steps that are late because of a sample that crashes engines. Trainers
// submit the next step before the one with such a sample has ended, and its samples fill the
// engines on which that sample is tried.
func TestOtherStepsFinishDespiteASampleThatCrashesEngines(t *testing.T) {
	const steps = 4
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestCluster(t, seed, 2, 3, "m0")
			defer w.stop()
			w.engines.eventInterval = 100 * time.Millisecond
			time.Sleep(2 * time.Second)
			wanted := -1 // all samples but the one that crashes engines
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
			g.Expect(int(listed.Load())).To(Equal(wanted), "seed %d: results when their steps were due", seed)
		})
	}
}
