package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// submitScored waits until the daemons have joined, and submits a batch with the ID "b" whose
// samples have reward calls. It returns the samples.
func submitScored(g Gomega, w *testCluster, name string, size int) []batch.Item {
	time.Sleep(2 * time.Second)
	items := w.submitBatch(g, scoredModel, name, 1, size, 1)
	return items
}

// results returns the results of batch "b" from a VM whose daemon can reach the store.
func results(g Gomega, v *testVM) []Result {
	page, err := v.daemon().Results(context.Background(), "b", 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	return page.Results
}

// Guards against results without a valid score, and against a step that never ends because the
// scorer always fails one of its samples: that sample must be given up after the route's maximum
// number of attempts.
func TestResultsHaveScores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, scoredModel)
		defer w.stop()
		w.scorer.noScoreRate = 0.3
		w.scorer.failuresLeft["m1-scores-0-0"] = 3 // one less than the attempts
		w.scorer.failuresLeft["m1-scores-0-1"] = 9
		items := submitScored(g, w, "scores", 4)
		time.Sleep(12 * time.Second)
		list := results(g, w.vms[1])
		g.Expect(list).To(HaveLen(len(items)))
		for _, r := range list {
			if r.ID == items[1].ID {
				g.Expect(r.State).To(Equal(batch.GivenUp))
				g.Expect(w.scorer.callCount(r.ID)).To(Equal(4))
				continue
			}
			g.Expect(r.State).To(Equal(batch.Completed))
			w.engines.checkText(r.ID, r.Text)
			w.scorer.checkScore(r)
		}
	})
}

// Guards against generating complete texts again, which takes seconds, when an owner dies during
// the reward calls of its samples. The log must have the texts, and the next owner makes only the
// reward calls.
func TestCompleteTextSurvivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 4, scoredModel)
		defer w.stop()
		w.scorer.setCallDuration(4 * time.Second)
		items := submitScored(g, w, "outlives", 4)
		time.Sleep(3 * time.Second)
		g.Expect(results(g, w.vms[1])).To(BeEmpty())
		runs := len(w.engines.runs)
		w.scorer.setCallDuration(scoreDuration)
		w.killAll(w.vms, 100*time.Millisecond)
		time.Sleep(3500 * time.Millisecond)
		list := results(g, w.vms[1])
		g.Expect(list).To(HaveLen(len(items)))
		for _, r := range list {
			w.scorer.checkScore(r)
		}
		g.Expect(w.engines.runs).To(HaveLen(runs), "no text was generated again")
	})
}

// Guards against reward calls that are made after a trainer has ended the step. Their scores are
// of no use, and the rules count such calls against the system.
func TestNoRewardCallAfterTheBatchHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 4, scoredModel)
		defer w.stop()
		w.scorer.noScoreRate = 1
		items := submitScored(g, w, "ended", 4)
		time.Sleep(3 * time.Second)
		g.Expect(w.vms[1].daemon().End(context.Background(), "b")).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		before := w.scorer.callCount(items[0].ID)
		g.Expect(before).To(BeNumerically(">", 1), "a call without a score is repeated")
		time.Sleep(3 * time.Second)
		g.Expect(w.scorer.callCount(items[0].ID)).To(Equal(before))
	})
}

// Guards against two results for one sample when the store assigns an owner's partition to another
// daemon without notice, and for a moment both make reward calls for the same samples. Each sample
// must have one result on all daemons, with the score that reached the log first.
func TestTwoOwnersScoreTheSameSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 3, 4, scoredModel)
		defer w.stop()
		w.scorer.setCallDuration(1500 * time.Millisecond)
		items := submitScored(g, w, "both", 4)
		time.Sleep(1800 * time.Millisecond)
		for range 3 {
			w.store.ForceRebalance(ownersGroup)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		want := results(g, w.vms[0])
		g.Expect(want).To(HaveLen(len(items)))
		for _, v := range w.vms {
			g.Expect(results(g, v)).To(Equal(want))
		}
		for _, r := range want {
			w.scorer.checkScore(r)
		}
	})
}

// Guards against losing scores, or making reward calls twice, when the store is unavailable while
// the calls are in progress. The results must be written when the store is back.
func TestScoresSurviveAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 4, scoredModel)
		defer w.stop()
		w.scorer.setCallDuration(time.Second)
		items := submitScored(g, w, "outage", 4)
		time.Sleep(1800 * time.Millisecond)
		w.vms[0].client.SetFaults(metastore.Faults{Refuse: true, Latency: storeLatency})
		time.Sleep(2 * time.Second)
		w.vms[0].client.SetFaults(metastore.Faults{Latency: storeLatency})
		time.Sleep(1500 * time.Millisecond)
		g.Expect(results(g, w.vms[0])).To(HaveLen(len(items)))
		for _, i := range items {
			g.Expect(w.scorer.callCount(i.ID)).To(Equal(1))
		}
		g.Expect(metrics.Counter("reward_calls").Value()).To(BeNumerically(">=", len(items)))
	})
}

// Guards against reward calls that wait for the end of a store outage. A text is completed during
// the outage; if its call were made only afterwards, the sample and its step would be late by the
// duration of a call.
func TestTextsAreScoredWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 4, scoredModel)
		defer w.stop()
		w.engines.eventInterval = 150 * time.Millisecond
		items := submitScored(g, w, "away", 4)
		time.Sleep(200 * time.Millisecond)
		w.vms[0].client.SetFaults(metastore.Faults{Refuse: true, Latency: storeLatency})
		time.Sleep(contactTimeout + 4*time.Second)
		for _, i := range items {
			g.Expect(w.scorer.callCount(i.ID)).To(Equal(1))
		}
		w.vms[0].client.SetFaults(metastore.Faults{Latency: storeLatency})
		time.Sleep(time.Second)
		g.Expect(results(g, w.vms[0])).To(HaveLen(len(items)))
	})
}
