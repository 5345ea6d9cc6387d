package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// ownsPartitionOf reports whether a VM's daemon runs the batches of a model.
func (v *testVM) ownsPartitionOf(model string) bool {
	s := v.daemon()
	p := s.partitionForModel(model)
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return p != nil && s.owner.runners[p.number] != nil
}

// Guards against reporting that there is no result yet from an outdated view. A trainer has read a
// result at one daemon, and a second later asks another one for the same position. The latter's
// waiting read of the log hangs on a stalled connection, while new calls succeed. Its view is old,
// but not so old that it counts as out of contact.
func TestOldViewIsRefreshedBeforeReportingNoResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		w.engines.eventInterval = 400 * time.Millisecond
		time.Sleep(2 * time.Second)
		name := "old"
		for sampleLength("m0-"+name+"-0-0") > 3 { // the result is due some 1.2 s after submission
			name += "y"
		}
		w.submitBatch(g, "m0", name, 1, 1, 1)
		time.Sleep(200 * time.Millisecond)
		owner, reader := w.vms[0], w.vms[1]
		if reader.ownsPartitionOf("m0") {
			owner, reader = reader, owner
		}
		p := reader.daemon().partitionForModel("m0")
		defer p.follower.Hold()() // as if it had just handled a call about the batch
		time.Sleep(100 * time.Millisecond)
		reader.client.SetFaults(metastore.Faults{Unreachable: true})
		time.Sleep(follow.PollWait + 10*time.Millisecond) // reads hang from here on
		resultCount := func() int {
			page, err := owner.daemon().Results(context.Background(), "b", 0, 0)
			g.Expect(err).NotTo(HaveOccurred())
			return len(page.Results)
		}
		for resultCount() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		reader.client.SetFaults(metastore.Faults{Latency: storeLatency})
		g.Expect(p.resultCount("b")).To(BeZero(), "the reader's own view lacks the result")
		g.Expect(p.follower.Age()).To(BeNumerically("<", follow.StaleAfter), "the view isn't out of contact")
		page, err := reader.daemon().Results(context.Background(), "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).NotTo(BeEmpty())
	})
}

// Guards against a step that ends half a second late because its trainer reads the results just
// before the last one. The last sample's text is complete and its reward call is in progress. The
// read must wait for the score: after an answer without it the trainer asks again only half a
// second later.
func TestReadWaitsForTheLastScore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 4, scoredModel)
		defer w.stop()
		w.scorer.setCallDuration(scoreDuration / 2)
		w.scorer.failuresLeft["m1-last-0-1"] = 1 // its score comes one call later than the others
		items := submitScored(g, w, "last", 2)
		page, err := w.vms[1].daemon().Results(context.Background(), "b", 0, 20*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(len(items)))
	})
}

// Guards against a read that waits too long for a score that doesn't come. It must return the
// other results after lastScoresWait.
func TestReadDoesNotWaitLongForAScore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 4, scoredModel)
		defer w.stop()
		w.scorer.failuresLeft["m1-never-0-1"] = 9
		w.scorer.setCallDuration(2 * time.Second)
		submitScored(g, w, "never", 2)
		for len(results(g, w.vms[0])) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		began := time.Now()
		page, err := w.vms[0].daemon().Results(context.Background(), "b", 0, 20*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(1))
		g.Expect(time.Since(began)).To(BeNumerically("<=", lastScoresWait+50*time.Millisecond))
	})
}

// Guards against a step that ends half a second late because its trainer asks a daemon whose view
// lacks the last result, which has been in the log for some ms. A daemon that hasn't been asked for
// a while reads its view four times a second.
func TestReadReturnsTheNewestResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 3, 4, scoredModel)
		defer w.stop()
		items := submitScored(g, w, "newest", 2)
		var owner, idle *testVM
		for _, v := range w.vms {
			if v.ownsPartitionOf(scoredModel) {
				owner = v
			} else {
				idle = v
			}
		}
		for len(owner.resultsInView("b")) < len(items) {
			time.Sleep(time.Millisecond)
		}
		g.Expect(results(g, idle)).To(HaveLen(len(items)))
	})
}

// resultsInView returns the indices of a batch's samples that have a result in the view of a VM's
// daemon.
func (v *testVM) resultsInView(id string) (out []int) {
	if p := v.daemon().partitionForBatch(id); p != nil {
		p.withBatch(id, func(b *batch.Batch) { out = b.Listed })
	}
	return out
}

// Guards against an outage of the store that delays results whose texts are cached. Of two texts
// only the first is cached. It must be returned: with ErrUnsure because of the second, both would
// be delayed until the store is back.
func TestCachedTextsAreReturnedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		ctx := context.Background()
		head, items, requests := newBatch("m0", "hand", 1, 2, 1)
		s := w.vms[0].daemon()
		g.Expect(s.Submit(ctx, "b", head, items, requests)).To(Succeed())
		time.Sleep(10 * time.Second)
		l, err := s.LocalHandler().List(ctx, "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Samples).To(HaveLen(2))
		for _, offset := range textOffsets(l.Samples[1:]) {
			delete(l.Blobs, offset)
		}
		s.blobs = newBlobCache(s.options.Log, w.parts)
		w.vms[0].client.SetFaults(metastore.Faults{Unreachable: true})
		page, err := s.readPage(ctx, l, 0, &ReadStats{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(1))
		g.Expect(page.Next).To(Equal(1))
		_, err = s.readPage(ctx, Listing{Partition: l.Partition, Total: 2, Samples: l.Samples[1:]}, 1, &ReadStats{})
		g.Expect(err).To(MatchError(ErrUnsure))
	})
}

// Guards against a read that takes all texts of a batch into memory for a page that holds few of them.
func TestPageHoldsNoMoreBlobsThanItNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 4, 2, 3, "m0")
		w.engines.padding = 20 << 10
		defer w.stop()
		time.Sleep(5 * time.Second)
		items := w.submitBatch(g, "m0", "x", 6, 4, 1) // some 10 MB of text
		time.Sleep(10 * time.Second)
		results := 0
		for range items {
			s := w.ownerOf(g, "m0").daemon()
			l, err := LocalHandler{s}.List(context.Background(), "b", results, 0)
			g.Expect(err).NotTo(HaveOccurred())
			blobs, _ := s.pageBlobs(context.Background(), l, &fetchStats{}) // some may be missing
			g.Expect(bytesOf(blobs)).To(BeNumerically("<=", maxPageBlobBytes+callReads*maxFetchBytes))
			page, err := s.Results(context.Background(), "b", results, 0)
			g.Expect(err).NotTo(HaveOccurred())
			for _, r := range page.Results {
				w.engines.checkText(r.ID, r.Text)
			}
			results += len(page.Results)
			if results == len(items) {
				return
			}
			g.Expect(page.Results).NotTo(BeEmpty())
		}
		g.Expect(results).To(Equal(len(items)))
	})
}

// Guards against one stored text that can't be decoded which takes all results of its page with it.
func TestUnreadableTextLeavesTheOtherResultsReadable(t *testing.T) {
	g := NewWithT(t)
	good, err := batch.PackText([]batch.Event{{Data: "x"}})
	g.Expect(err).NotTo(HaveOccurred())
	sample := func(id string, offset int64) batch.Sample {
		return batch.Sample{Item: batch.Item{ID: id}, State: batch.Completed, Text: batch.Text{Segments: []batch.Segment{{Offset: offset, Events: 1}}}}
	}
	s := &Service{blobs: newBlobCache(nil, 1)}
	page, err := s.readPage(context.Background(), Listing{Total: 3, Samples: []batch.Sample{sample("a", 1), sample("b", 2), sample("c", 3)},
		Blobs: map[int64][]byte{1: good, 2: []byte("spoiled"), 3: good}}, 0, &ReadStats{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page).To(Equal(Page{Total: 3, Next: 3, Results: []Result{{ID: "a", State: batch.Completed, Text: "x"}, {ID: "b", State: batch.GivenUp}, {ID: "c", State: batch.Completed, Text: "x"}}}))
}
