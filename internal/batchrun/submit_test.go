package batchrun

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// Guards against reporting a batch as not run because its append wasn't answered. The store
// performs the write seconds later: the trainer would have given the step up, and engines would
// run a batch that nobody reads.
func TestUnansweredAppendIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 1, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		head, items, requests := newBatch("m0", "before", 1, 2, 1)
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "a", head, items, requests)).To(Succeed())
		w.vms[0].client.SetFaults(metastore.Faults{Latency: storeLatency, DelayWrite: func(topic string) time.Duration {
			if topic != batchTopic {
				return 0 // the requests are written in time; only the batch's record is late
			}
			return 5 * time.Second
		}})
		head, items, requests = newBatch("m0", "late", 1, 2, 1)
		err := w.vms[0].daemon().Submit(context.Background(), "b", head, items, requests)
		g.Expect(err).To(MatchError(ErrUnknown))
		g.Expect(errors.Is(err, ErrNotRun)).To(BeFalse())
		time.Sleep(6 * time.Second)
		_, err = w.vms[1].daemon().Results(context.Background(), "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred(), "the write has taken effect")
	})
}

// Guards against running a batch twice that is submitted to two daemons at the same time, as after
// the trainer's first connection broke. Both daemons find it unknown and append it. Each sample
// must run once and have one result.
func TestConcurrentSubmissionsAreAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		head, items, requests := newBatch("m0", "twice", 2, 3, 1)
		errs := make(chan error, 2)
		for _, v := range w.vms {
			go func() { errs <- v.daemon().Submit(context.Background(), "b", head, items, requests) }()
		}
		g.Expect(<-errs).To(Succeed())
		g.Expect(<-errs).To(Succeed())
		time.Sleep(10 * time.Second)
		for _, v := range w.vms {
			page, err := v.daemon().Results(context.Background(), "b", 0, 0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(page.Results).To(HaveLen(len(items)))
		}
		g.Expect(w.engines.runs).To(HaveLen(len(items)), "each sample ran once")
	})
}

// Guards against a daemon that reports a batch as not found because its connection to the store has
// stalled and its view lacks the batch, which the trainer knows from another daemon. It must answer
// with ErrUnsure.
func TestDaemonOutOfContactReportsUnsure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		w.vms[1].client.SetFaults(metastore.Faults{Unreachable: true})
		time.Sleep(2 * time.Second)
		w.submitBatch(g, "m0", "cut", 1, 2, 1)
		_, err := w.vms[1].daemon().Results(context.Background(), "b", 0, 0)
		g.Expect(err).To(MatchError(ErrUnsure))
		g.Expect(errors.Is(err, ErrNotFound)).To(BeFalse())
		_, err = w.vms[0].daemon().Results(context.Background(), "none", 0, 0)
		g.Expect(err).To(MatchError(ErrNotFound))
	})
}

// Guards against a sample that is retried forever, or given up too early, when engines answer it
// with status 500 each time. It must be given up after the route's maximum number of attempts.
func TestFailingSampleIsGivenUpAfterMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		head, items, requests := newBatch("m0", "fails", 1, 3, 1)
		w.engines.failures[items[0].ID] = 2 // one less than the attempts
		w.engines.failures[items[1].ID] = 9
		time.Sleep(2 * time.Second)
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
		time.Sleep(10 * time.Second)
		page, err := w.vms[1].daemon().Results(context.Background(), "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(3))
		for _, r := range page.Results {
			want := batch.Completed
			if r.ID == items[1].ID {
				want = batch.GivenUp
			}
			g.Expect(r.State).To(Equal(want), r.ID)
		}
		g.Expect(w.engines.failures[items[1].ID]).To(Equal(9-head.MaxAttempts), "no more runs than attempts")
	})
}

// Guards against one failure that counts twice: a late copy of an engine's or a scorer's failure
// has the ID of the next attempt as well, so that attempt must not use the same connection.
func TestAttemptAfterAFailureUsesANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 2, scoredModel)
		defer w.stop()
		w.engines.failures["m1-late-0-0"] = 1
		w.scorer.failuresLeft["m1-late-0-1"] = 1
		items := submitScored(g, w, "late", 1)
		time.Sleep(12 * time.Second)
		g.Expect(results(g, w.vms[0])).To(HaveLen(len(items)))
		for _, x := range w.engines.runs {
			g.Expect(x.newConn).To(Equal(x.sample == items[0].ID), x.sample)
		}
		for i, call := range w.scorer.calls {
			retried := slices.ContainsFunc(w.scorer.calls[:i], func(c fakeRewardCall) bool { return c.sample == call.sample })
			g.Expect(call.newConn).To(Equal(retried), call.sample)
		}
	})
}

// Guards against a step that is late because the new owner of its partition must wait until another
// VM's lease on an engine has expired before it may order a load. The engine's weights are too old
// for the step. The VM with the last claim on the engine must load it on the owner's request.
func TestLastClaimHolderLoadsForTheNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 1, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		w.publish("m0", 2)
		time.Sleep(2 * time.Second)
		g.Expect(w.engines.versionsOf("e0")).To(HaveKeyWithValue("m0", int64(2)))
		w.store.ForceRebalance(ownersGroup)
		time.Sleep(500 * time.Millisecond)
		w.publish("m0", 3)
		w.submitBatch(g, "m0", "new", 1, 1, 3)
		time.Sleep(testLease - 500*time.Millisecond)
		g.Expect(w.engines.versionsOf("e0")).To(HaveKeyWithValue("m0", int64(3)), "before the lease has expired")
	})
}

// Guards against generating a sample's text from the start when the sample is resubmitted in the
// next step, because its step ended before it was complete. The text in the log must be resumed if
// its weights are new enough for that step.
func TestResubmittedSampleResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		ctx := context.Background()
		head, items, _ := newBatch("m0", "again", 1, 20, 1)
		items = slices.DeleteFunc(items, func(i batch.Item) bool { return sampleLength(i.ID) < 35 })[:2] // long enough to be running when the step ends
		requests := requestsOf(items)
		g.Expect(w.vms[0].daemon().Submit(ctx, "b1", head, items, requests)).To(Succeed())
		time.Sleep(700 * time.Millisecond) // after a checkpoint, and before a sample is complete
		g.Expect(w.vms[0].daemon().End(ctx, "b1")).To(Succeed())
		g.Expect(w.vms[0].daemon().Submit(ctx, "b2", head, items, requests)).To(Succeed())
		time.Sleep(5 * time.Second)
		page, err := w.vms[1].daemon().Results(ctx, "b2", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(2))
		for _, r := range page.Results {
			w.engines.checkText(r.ID, r.Text)
		}
		resumed := 0
		for _, run := range w.engines.runs {
			if run.after > 0 {
				resumed++
			}
		}
		g.Expect(resumed).To(Equal(2))
	})
}

// Guards against orders of two VMs within the lease when an engine restarts between them as another
// incarnation at the same address. When claims were by incarnation, the second VM could order it at
// once.
func TestClaimBlocksTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 1, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		before := registry.Upstream{ID: "e0", Address: "e0"}
		g.Expect(w.vms[0].daemon().loader.load(context.Background(), before, loadTarget{model: "m0", version: 2}, func(batch.Loaded) error { return nil })).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		w.engines.engines["e0-again"] = &fakeEngine{versions: map[string]int64{"m0": 1}}
		after := registry.Upstream{ID: "e0-again", Address: "e0"}
		_, err := w.vms[1].daemon().loader.claimAndLoad(context.Background(), after, loadTarget{model: "m0", version: 2})
		g.Expect(err).To(MatchError(errClaimedElsewhere))
	})
}

// Guards against evicting samples for a load that can't be ordered, because the store is unavailable
// while newer weights are known and a step's last samples run. The samples then moved from engine to
// engine, a dozen times in a recorded day.
func TestNoEngineIsEvictedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 2, "m0")
		defer w.stop()
		w.engines.eventInterval = 200 * time.Millisecond
		time.Sleep(2 * time.Second)
		head, items, _ := newBatch("m0", "away", 1, 20, 1)
		items = slices.DeleteFunc(items, func(i batch.Item) bool { return sampleLength(i.ID) < 35 })[:2]
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requestsOf(items))).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		w.vms[0].client.SetFaults(metastore.Faults{Refuse: true, Latency: storeLatency})
		time.Sleep(2 * time.Second)
		w.publish("m0", 2)
		time.Sleep(3 * time.Second)
		g.Expect(w.engines.runs).To(HaveLen(len(items)), "each sample stays on its engine")
	})
}

// Guards against a second partition for a model. The log keeps records for some minutes only. A VM
// that starts after the record of a model's partition has expired would assign another partition to
// it, and the same batch could be accepted in both.
func TestModelKeepsItsPartitionAfterItsRecordExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 1, "m0", "m1")
		defer w.stop()
		time.Sleep(2 * time.Second)
		for _, model := range w.models {
			head, items, requests := newBatch(model, "old", 1, 1, 1)
			g.Expect(w.vms[0].daemon().Submit(context.Background(), model, head, items, requests)).To(Succeed())
		}
		want, ok := w.vms[0].daemon().modelPartitions.lookup("m1")
		g.Expect(ok).To(BeTrue())
		before := w.store.End(modelPartitionsTopic, 0)
		time.Sleep(2 * demandInterval)
		w.store.Trim(modelPartitionsTopic, 0, before)
		w.killAll(w.vms[1:], 0)
		time.Sleep(2 * time.Second)
		got, ok := w.vms[1].daemon().modelPartitions.lookup("m1")
		g.Expect(ok).To(BeTrue())
		g.Expect(got).To(Equal(want))
	})
}

// Guards against an engine that never loads the version that a step needs because it restarts under
// its ID during a load order. Its order count is reset: the owner must neither wait for the next
// count of the old process nor take the weights of that process for loaded.
func TestEngineRestartsUnderItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		w.publish("m0", 2)
		time.Sleep(3 * time.Second)
		g.Expect(w.engines.versionsOf("e0")).To(HaveKeyWithValue("m0", int64(2)))
		w.publish("m0", 3)
		time.Sleep(loadDuration / 2) // one of the engines is loading
		for _, id := range []string{"e0", "e1"} {
			w.engines.restart(id, "m0", 1)
		}
		time.Sleep(3 * time.Second)
		items := w.submitBatch(g, "m0", "again", 1, 4, 3)
		time.Sleep(5 * time.Second)
		page, err := w.vms[0].daemon().Results(context.Background(), "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(len(items)))
		for _, id := range []string{"e0", "e1"} {
			u, _ := w.vms[0].daemon().options.View.Get(id)
			g.Expect(u.Started).To(BeNumerically(">", 1))
		}
	})
}

// Guards against a step that waits seconds for engines that are ready, because an engine that
// restarted under its ID is still suspect for failures of its former process.
func TestSuspicionEndsWithARestart(t *testing.T) {
	g := NewWithT(t)
	o := Options{Partitions: 1, Suspects: health.NewSuspects(), Now: func() time.Duration { return 0 }}
	r := newRunner(New(o), newPartition(0, o), func() bool { return true })
	before := registry.Upstream{ID: "e0", Started: 1}
	after := registry.Upstream{ID: "e0", Started: 2}
	e := r.engineLocked(before.Incarnation())
	e.running = 4
	r.s.options.Suspects.Failed(before.Incarnation(), 0)
	e.gap.observe(time.Second, 0, gapMaxAge)
	g.Expect(r.unusableLocked(before.Incarnation(), 0)).To(BeTrue())
	next := r.engineLocked(after.Incarnation())
	g.Expect(r.unusableLocked(after.Incarnation(), 0)).To(BeFalse())
	g.Expect(next.running).To(BeZero())
	g.Expect(next.gap.mean(0, gapMaxAge)).To(BeZero())
}

// Guards against an owner that retries reading a step's requests without delay while the store
// refuses its partition: it made hundreds of calls a second, which count against the rate limit that
// all daemons share.
func TestRequestReadsAreRetriedWithDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		w.engines.eventInterval = 300 * time.Millisecond
		w.submitBatch(g, "m0", "asked", 1, 4, 1)
		w.killAll(w.vms, 0)
		time.Sleep(150 * time.Millisecond)
		w.vms[0].client.SetFaults(metastore.Faults{Refuse: true, Latency: storeLatency})
		s := w.vms[0].daemon()
		before := w.vms[0].client.Calls().Reads
		r := newRunner(s, s.partitionForModel("m0"), func() bool { return true })
		r.partition.setOwnerCallbacks(r.wake, r.onResultIgnored)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		r.run(ctx)
		g.Expect(w.vms[0].client.Calls().Reads - before).To(BeNumerically("<", 100))
	})
}

// Guards against a submission that repeats its append without a pause while the store resets connections.
func TestSubmissionBacksOffWhileTheStoreResetsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		w.submitBatch(g, "m0", "first", 1, 2, 1)
		v := w.vms[0]
		if v.ownsPartitionOf("m0") {
			v = w.vms[1] // an owner has other appends
		}
		v.client.SetFaults(metastore.Faults{Reset: true, Latency: time.Millisecond})
		before := v.client.Calls().Writes
		head, items, requests := newBatch("m0", "second", 1, 2, 1)
		g.Expect(v.daemon().Submit(context.Background(), "c", head, items, requests)).NotTo(Succeed())
		g.Expect(v.client.Calls().Writes - before).To(BeNumerically("<=", 1+int(submitTimeout/outboxRetryInterval)))
	})
}
