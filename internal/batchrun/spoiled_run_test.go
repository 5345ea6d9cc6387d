package batchrun

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

// Guards against foreign bytes behind the end of a sample that are listed as its text, or resumed
// behind, where no engine has an event any more: when the response proves malformed, breaks off before
// that, or when its run is moved or its owner dies, at each with and without a checkpoint before.
func TestForeignEventsAreNeitherListedNorResumedBehind(t *testing.T) {
	reset := errors.New("connection reset")
	for _, c := range []struct {
		name  string
		spoil spoiledRun
		kill  bool // the owner, while the run hangs
		move  bool // the run, while it hangs
	}{
		{"malformed", spoiledRun{50, 0, ErrMalformed}, false, false},
		{"malformed after a checkpoint", spoiledRun{50, time.Second, ErrMalformed}, false, false},
		{"one event too many, malformed", spoiledRun{1, 0, ErrMalformed}, false, false},
		{"broken off", spoiledRun{50, 0, reset}, false, false},
		{"broken off after a checkpoint", spoiledRun{50, time.Second, reset}, false, false},
		{"one event too many, broken off", spoiledRun{1, time.Second, reset}, false, false},
		{"broken off at the end", spoiledRun{0, time.Second, reset}, false, false},
		{"moved", spoiledRun{50, 10 * time.Second, reset}, false, true},
		{"owner lost", spoiledRun{50, 10 * time.Second, reset}, true, false},
	} {
		for _, model := range []string{"m0", scoredModel} {
			t.Run(c.name+" "+model, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					w := newTestCluster(t, 5, 2, 3, model)
					defer w.stop()
					time.Sleep(5 * time.Second)
					_, items, _ := newBatch(model, "x", 1, 4, 1)
					for _, item := range items {
						w.engines.spoiled[item.ID] = c.spoil
					}
					w.submitBatch(g, model, "x", 1, 4, 1)
					time.Sleep(2500 * time.Millisecond)
					if c.kill {
						w.kill(w.ownerOf(g, model))
					}
					if c.move {
						w.moveAll(model)
					}
					time.Sleep(10 * time.Second)
					checkAllCompleted(g, w, len(items))
				})
			})
		}
	}
}

// Guards against bytes that a lost owner had saved before its run proved malformed: the owner that
// takes over must know that they were retracted.
func TestRetractionOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestClusterWithPolicy(t, DefaultPolicy(policy.Without(policy.Moves, policy.Hardware)), 6, 4, 2, 3, "m0")
		defer w.stop()
		time.Sleep(5 * time.Second)
		_, items, _ := newBatch("m0", "x", 1, 4, 1)
		for _, item := range items {
			w.engines.spoiled[item.ID] = spoiledRun{50, time.Second, ErrMalformed}
			w.engines.refused[item.ID] = true
		}
		w.submitBatch(g, "m0", "x", 1, 4, 1)
		time.Sleep(4 * time.Second)
		w.kill(w.ownerOf(g, "m0"))
		time.Sleep(time.Second)
		w.engines.mu.Lock()
		clear(w.engines.refused)
		w.engines.mu.Unlock()
		time.Sleep(10 * time.Second)
		checkAllCompleted(g, w, len(items))
		for _, run := range w.engines.runs {
			g.Expect(run.after).To(BeNumerically("<", sampleLength(run.sample)))
		}
	})
}

// Guards against samples of a batch that allows one weights version which are resumed behind the text
// of a version that no engine serves any more, and cancelled at their first event, for ever.
func TestTextOfAVersionThatIsGoneIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 7, 2, 3, "m0")
		defer w.stop()
		time.Sleep(5 * time.Second)
		head, items, requests := newBatch("m0", "x", 2, 4, 1)
		head.SingleVersion = true
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
		time.Sleep(600 * time.Millisecond) // a checkpoint has saved text of version 1
		for _, id := range w.engines.ids() {
			w.engines.restart(id, "m0", 2)
			w.registerEngine(id)
		}
		w.moveAll("m0")
		time.Sleep(10 * time.Second)
		checkAllCompleted(g, w, len(items))
		page, err := w.vms[0].daemon().Results(context.Background(), "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		for _, r := range page.Results {
			g.Expect(r.Versions).To(HaveLen(1))
		}
		g.Expect(len(w.engines.runs)).To(BeNumerically("<=", 3*len(items)))
	})
}

// checkAllCompleted checks that all samples of the batch "b" have their own text.
func checkAllCompleted(g Gomega, w *testCluster, n int) {
	for _, v := range w.vms {
		if v.daemon() == nil {
			continue
		}
		page, err := v.daemon().Results(context.Background(), "b", 0, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(n))
		for _, r := range page.Results {
			g.Expect(r.State).To(Equal(batch.Completed))
			w.engines.checkText(r.ID, r.Text)
		}
	}
}

// runnerOf returns the runner of a model's partition at a VM, nil if the VM doesn't own it.
func runnerOf(v *testVM, model string) *runner {
	s := v.daemon()
	if s == nil {
		return nil
	}
	p := s.partitionForModel(model)
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.owner.runners[p.number]
}

func (w *testCluster) ownerOf(g Gomega, model string) *testVM {
	for _, v := range w.vms {
		if runnerOf(v, model) != nil {
			return v
		}
	}
	g.Expect(model).To(BeEmpty(), "no owner")
	return nil
}

// moveAll moves all runs of a model to other engines.
func (w *testCluster) moveAll(model string) {
	for _, v := range w.vms {
		r := runnerOf(v, model)
		if r == nil {
			continue
		}
		r.mu.Lock()
		for _, x := range r.runs {
			x.cancel(errMoved)
		}
		r.mu.Unlock()
	}
}
