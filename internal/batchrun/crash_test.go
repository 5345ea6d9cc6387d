package batchrun

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
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
	interrupting := 0
	for _, crash := range engineCrashes[3:] {
		if crash.otherSamples > 0 {
			interrupting++
		}
	}
	g.Expect(interrupting).To(BeNumerically(">", 10))
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

// runBurst submits a step whose engines crash for a while, each soon after samples have started on
// it. It returns the results that are listed at the end of the calm time after that, how many
// samples the step has, and how many engines crashed. Where the owner changes, the first VM dies in
// the middle of the burst.
func runBurst(t *testing.T, seed uint64, ownerChanges bool, calm time.Duration) (listed []Result, samples, crashCount int) {
	synctest.Test(t, func(t *testing.T) {
		const (
			burst  = 15 * time.Second
			uptime = 60 * time.Millisecond // with samples
		)
		g := NewWithT(t)
		w := newTestClusterWithPolicy(t, DefaultPolicy(policy.Set{}), seed, 1, 3, 4, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		samples = len(w.submitBatch(g, "m0", "burst", 4, 8, 1))
		for begin := time.Now(); time.Since(begin) < burst; time.Sleep(uptime) {
			busy := w.engines.busyEngines()
			time.Sleep(uptime)
			for _, id := range busy {
				w.engines.crash(id)
			}
			if ownerChanges && time.Since(begin) > burst/2 {
				ownerChanges = false
				w.kill(w.vms[0])
			}
		}
		time.Sleep(calm)
		listed = results(g, w.vms[1])
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		crashCount = len(w.engines.crashes)
	})
	return listed, samples, crashCount
}

// Guards against samples that are never placed again after a burst in which engines crashed under
// them several times. All must be complete once the engines have been up for a while, also if the
// partition's owner changes.
func TestSamplesCompleteAfterABurstOfCrashes(t *testing.T) {
	const calm = 8 * time.Second // three until the engines count as steady, five until a waiting sample counts as lost
	for seed := range uint64(4) {
		listed, samples, crashCount := runBurst(t, seed, seed%2 == 1, calm)
		g := NewWithT(t)
		g.Expect(crashCount).To(BeNumerically(">=", 16))
		g.Expect(listed).To(HaveLen(samples), "seed %d", seed)
		for _, r := range listed {
			g.Expect(r.State).To(Equal(batch.Completed), "seed %d", seed)
		}
	}
}
