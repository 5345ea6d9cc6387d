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

// submitScored hands a batch of scored samples in and returns their IDs.
func submitScored(g Gomega, w *testCluster, name string, size int) []batch.Item {
	time.Sleep(2 * time.Second)
	items := w.submitBatch(g, scoredModel, name, 1, size, 1)
	return items
}

// results reads batch b at a VM that is in touch.
func results(g Gomega, v *testVM) []Result {
	page, err := v.daemon().Results(context.Background(), "b", 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	return page.Results
}

// A trainer's samples are scored by a call each. It must find every sample with the
// signature of a good answer, and one that the scorer always fails given up after
// the route's attempts: without an end to them it would wait for its step for ever.
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
				g.Expect(r.State).To(Equal(batch.Dead))
				g.Expect(w.scorer.callCount(r.ID)).To(Equal(4))
				continue
			}
			g.Expect(r.State).To(Equal(batch.Completed))
			w.engines.checkText(r.ID, r.Text)
			w.scorer.checkScore(r)
		}
	})
}

// An owner dies while the scorer works on its samples. Their texts are whole and took
// seconds; the trainer waits for them to be generated again unless the log has them, and
// the next owner only asks for the scores.
func TestCompleteTextSurvivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 4, scoredModel)
		defer w.stop()
		w.scorer.callDuration = 4 * time.Second
		items := submitScored(g, w, "outlives", 4)
		time.Sleep(3 * time.Second)
		g.Expect(results(g, w.vms[1])).To(BeEmpty())
		runs := len(w.engines.runs)
		w.scorer.callDuration = scoreDuration
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

// A trainer ends its step while samples wait for their scores. A reward call that is
// made after that works for nobody, and the rules count it against the system.
func TestNoRewardCallAfterTheBatchEnded(t *testing.T) {
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
		g.Expect(before).To(BeNumerically(">", 1), "a call that brought no score is made again")
		time.Sleep(3 * time.Second)
		g.Expect(w.scorer.callCount(items[0].ID)).To(Equal(before))
	})
}

// The store hands an owner's partition to another daemon that can't be told: for a
// moment both score the same samples. Each is listed once, with the first score that
// the log took.
func TestTwoOwnersScoreTheSameSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 3, 4, scoredModel)
		defer w.stop()
		w.scorer.callDuration = 1500 * time.Millisecond
		items := submitScored(g, w, "both", 4)
		time.Sleep(1800 * time.Millisecond)
		for range 3 {
			w.store.Redeal(ownersGroup)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		seen := results(g, w.vms[0])
		g.Expect(seen).To(HaveLen(len(items)))
		for _, v := range w.vms {
			g.Expect(results(g, v)).To(Equal(seen))
		}
		for _, r := range seen {
			w.scorer.checkScore(r)
		}
	})
}

// The store is away while samples are scored. Their results are written when it is back,
// and no call is made twice for that.
func TestScoresSurviveAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 4, scoredModel)
		defer w.stop()
		w.scorer.callDuration = time.Second
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

// The store is away for seconds, and a text becomes whole meanwhile. Scored only when the
// store is back, the sample is listed later by a call's time, and with it its step.
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
