package batchrun

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/locate"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// clusterPeers makes calls between the daemons of a testCluster. The address of a daemon is the
// name of its VM.
type clusterPeers struct {
	w *testCluster

	mu     sync.Mutex
	silent map[string]bool // by address, calls to the daemon hang
	calls  int
}

// peerLatency is how long a call between two daemons takes.
const peerLatency = 2 * time.Millisecond

func (p *clusterPeers) setSilent(address string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[address] = silent
}

// dial returns the handler of a daemon after the latency. It hangs if the daemon is silent, and
// fails if it is down.
func (p *clusterPeers) dial(ctx context.Context, address string) (LocalHandler, error) {
	p.mu.Lock()
	p.calls++
	silent := p.silent[address]
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return LocalHandler{}, ErrUnreachable
	}
	pause.For(ctx, peerLatency)
	for _, v := range p.w.vms {
		if s := v.daemon(); v.name == address && s != nil {
			return s.LocalHandler(), nil
		}
	}
	return LocalHandler{}, ErrUnreachable // connection refused
}

func (p *clusterPeers) Locate(ctx context.Context, address, id string, confirm bool) (locate.Answer, error) {
	h, err := p.dial(ctx, address)
	if err != nil {
		return locate.Answer{}, err
	}
	return h.Locate(ctx, id, confirm), nil
}

func (p *clusterPeers) List(ctx context.Context, address, id string, after int, wait time.Duration) (Listing, error) {
	h, err := p.dial(ctx, address)
	if err != nil {
		return Listing{}, err
	}
	return h.List(ctx, id, after, wait)
}

func (p *clusterPeers) End(ctx context.Context, address, id string) error {
	h, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return h.End(ctx, id)
}

func (p *clusterPeers) Body(ctx context.Context, address, id, sampleID string) (BodyLocation, error) {
	h, err := p.dial(ctx, address)
	if err != nil {
		return BodyLocation{}, err
	}
	return h.Body(ctx, id, sampleID)
}

// newPeerCluster returns a cluster whose daemons can reach each other.
func newPeerCluster(t *testing.T, vms int) (*testCluster, *clusterPeers) {
	peers := &clusterPeers{silent: map[string]bool{}}
	w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 4, vms: vms, engines: 2, models: []string{"m0"}, peers: peers})
	return w, peers
}

// joinAndSubmit waits until the daemons have joined, and submits a batch of model m0 with the ID
// "b" to the first VM. It returns the batch's samples.
func joinAndSubmit(g *WithT, w *testCluster, name string, groups int) []batch.Item {
	time.Sleep(2 * time.Second)
	items := w.submitBatch(g, "m0", name, groups, 2, 1)
	return items
}

// ownerAndOther returns the VM that runs a model's batches, and another one, whose daemon may be
// down.
func ownerAndOther(w *testCluster, model string) (owner, other *testVM) {
	for _, v := range w.vms {
		if v.daemon() != nil && v.ownsPartitionOf(model) {
			owner = v
		} else {
			other = v
		}
	}
	return owner, other
}

// Guards against daemons that read a partition for each call about a batch that they don't follow.
// They must forward the calls to the owner: for results, a body, the end of the batch, and for a
// batch that doesn't exist.
func TestCallsAreForwardedToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 3)
		defer w.stop()
		ctx := context.Background()
		items := joinAndSubmit(g, w, "passed", 2)
		time.Sleep(time.Second)
		_, other := ownerAndOther(w, "m0")
		s := other.daemon()
		body, err := s.Body(ctx, "b", items[3].ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("body of " + items[3].ID))
		_, err = s.Body(ctx, "b", "none")
		g.Expect(err).To(MatchError(ErrNotFound))
		_, err = s.Results(ctx, "none", 0, 0)
		g.Expect(err).To(MatchError(ErrNotFound))
		var listed []Result
		for len(listed) < len(items) {
			page, err := s.Results(ctx, "b", len(listed), time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			listed = append(listed, page.Results...)
		}
		for _, r := range listed {
			w.engines.checkText(r.ID, r.Text)
		}
		g.Expect(s.End(ctx, "b")).To(Succeed())
		g.Expect(s.End(ctx, "none")).To(MatchError(ErrNotFound))
		g.Expect(s.partitionForModel("m0").follower.Loaded()).To(BeFalse(), "the daemon has not read the partition")
	})
}

// Guards against writing the requests of a step to the log again when an accepted batch is resent
// to another daemon, as trainers do after a lost answer. The daemon must ask the owner first.
func TestResentBatchIsNotAppendedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 2)
		defer w.stop()
		joinAndSubmit(g, w, "resent", 2)
		head, items, requests := newBatch("m0", "resent", 2, 2, 1)
		time.Sleep(100 * time.Millisecond)
		_, other := ownerAndOther(w, "m0")
		writes := other.client.Calls().Writes
		g.Expect(other.daemon().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
		g.Expect(other.client.Calls().Writes).To(Equal(writes))
	})
}

// Guards against a read that fails or takes too long because the owner stops answering while a
// trainer waits for results at another daemon, which can reach the store. The read must return
// what the log has within the 1.5 s that trainers wait beyond the wait that they request, and
// must never report that there is no such batch.
func TestSilentOwnerIsBypassedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, peers := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		items := joinAndSubmit(g, w, "silent", 2)
		owner, other := ownerAndOther(w, "m0")
		for _, silentAfter := range []time.Duration{0, 20 * time.Millisecond} { // before the call, and during it
			peers.setSilent(owner.name, silentAfter == 0)
			time.AfterFunc(silentAfter, func() { peers.setSilent(owner.name, true) })
			began := time.Now()
			page, err := other.daemon().Results(ctx, "b", 0, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
			g.Expect(page.Total).To(Equal(len(items)))
			peers.setSilent(owner.name, false)
			time.Sleep(2*followLinger + 5*time.Second)
			g.Expect(other.daemon().partitionForModel("m0").follower.Loaded()).To(BeFalse(), "silent after %v: the partition is not followed any more", silentAfter)
		}
	})
}

// Guards against reporting a batch as not found, which makes the trainer drop its step, by a
// daemon that can reach neither an owner nor the store. The owner is killed, and the daemon that
// is asked is cut off from the store.
func TestUnreachableOwnerAndStoreAreNotReportedAsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		joinAndSubmit(g, w, "away", 1)
		owner, other := ownerAndOther(w, "m0")
		w.kill(owner)
		other.client.SetFaults(metastore.Faults{Unreachable: true})
		_, err := other.daemon().Results(ctx, "b", 0, 0)
		g.Expect(err).To(MatchError(ErrUnsure))
		g.Expect(other.daemon().End(ctx, "b")).To(MatchError(ErrUnsure))
	})
}

// Guards against the loss of accepted batches when all VMs are killed right afterwards, in a
// deployment with many partitions, each followed by few daemons.
func TestAcceptedBatchSurvivesLossOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peers := &clusterPeers{silent: map[string]bool{}}
		w := newTestClusterWithOptions(t, clusterOptions{seed: 2, parts: scaleParts, vms: 30, engines: 6, models: []string{"m0", "m1", "m2"}, peers: peers})
		defer w.stop()
		time.Sleep(3 * time.Second)
		ctx := context.Background()
		for i, model := range w.models {
			head, items, requests := newBatch(model, "kept", 2, 2, 1)
			g.Expect(w.vms[i].daemon().Submit(ctx, "b"+model, head, items, requests)).To(Succeed())
		}
		w.killAll(w.vms, 0)
		time.Sleep(4 * time.Second)
		for i, v := range w.vms {
			id := "b" + w.models[i%len(w.models)]
			page, err := v.daemon().Results(ctx, id, 0, 20*time.Second)
			g.Expect(err).NotTo(HaveOccurred(), "%s at %s", id, v.name)
			g.Expect(page.Total).To(Equal(4))
			g.Expect(page.Results).NotTo(BeEmpty())
		}
	})
}

// Guards against results that aren't returned during an outage of the store. The owner is up and
// has the results, with the texts that it wrote last, and the daemon that is asked knows the
// owner from before.
func TestResultsAreReturnedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		items := joinAndSubmit(g, w, "ready", 2)
		_, other := ownerAndOther(w, "m0")
		for listed := 0; listed < len(items); {
			page, err := other.daemon().Results(ctx, "b", listed, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			listed += len(page.Results)
		}
		for _, v := range w.vms {
			v.client.SetFaults(metastore.Faults{Unreachable: true})
		}
		time.Sleep(2 * ownersMaxAge)
		began := time.Now()
		page, err := other.daemon().Results(ctx, "b", 0, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(len(items)))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}

// Guards against owners that are overloaded because they read texts from the log for all daemons.
// When all batches of a day are read from the start at once, long after they were run, their
// texts are megabytes in the log. The links and processors of the three owners would be busy for
// seconds, and readers would give up. Each daemon must read what it was asked for itself.
func TestOwnersDoNotReadTextsForOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		items := joinAndSubmit(g, w, "late", 2)
		time.Sleep(10 * time.Second)
		w.killAll(w.vms, 0) // no text is cached any more
		time.Sleep(4 * time.Second)
		owner, other := ownerAndOther(w, "m0")
		page, err := other.daemon().Results(ctx, "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(len(items)))
		_, err = other.daemon().Body(ctx, "b", items[0].ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(owner.daemon().blobs.byKey).To(BeEmpty())
	})
}

// Guards against daemons that overload the store after an outage. While a daemon can reach neither
// the store nor an owner, it tries to read partitions itself. It must not continue when the store
// is back: dozens of daemons that read whole partitions then used up the shared rate limit for a
// second.
func TestPartialViewsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, peers := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		joinAndSubmit(g, w, "dropped", 2)
		owner, other := ownerAndOther(w, "m0")
		peers.setSilent(owner.name, true)
		other.client.SetFaults(metastore.Faults{Unreachable: true})
		_, err := other.daemon().Results(ctx, "b", 0, 0)
		g.Expect(err).To(MatchError(ErrUnsure))
		time.Sleep(2 * follow.HoldCheckInterval)
		other.client.SetFaults(metastore.Faults{Latency: storeLatency})
		time.Sleep(follow.HoldCheckInterval)
		g.Expect(other.daemon().partitionForModel("m0").follower.Following()).To(BeFalse())
	})
}

// Guards against reporting an existing batch as not found when the record of its model's partition
// is missing. A daemon that starts then knows of no partition with batches, and must search all
// of them.
func TestBatchIsFoundWithoutTheRecordOfItsPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 3)
		defer w.stop()
		ctx := context.Background()
		items := joinAndSubmit(g, w, "homeless", 1)
		time.Sleep(time.Second)
		g.Expect(w.store.Put(modelPartitionsTopic, "m0", nil)).To(Succeed())
		_, other := ownerAndOther(w, "m0")
		w.kill(other)
		w.restart(other)
		time.Sleep(300 * time.Millisecond)
		g.Expect(other.daemon().modelPartitions.partitions()).To(BeEmpty())
		page, err := other.daemon().Results(ctx, "b", 0, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Total).To(Equal(len(items)))
		_, err = other.daemon().Results(ctx, "none", 0, 0)
		g.Expect(err).To(MatchError(ErrNotFound))
	})
}

// fillPartition appends so many bytes of records without effect to the partition of model m0.
func (w *testCluster) fillPartition(g *WithT, bytes int) {
	record, err := batch.Encode(batch.Ended{Batch: strings.Repeat("x", 16<<10)})
	g.Expect(err).NotTo(HaveOccurred())
	part := w.vms[0].daemon().partitionForModel("m0").number
	for range bytes / len(record) {
		_, err := w.vms[0].client.Append(context.Background(), batchTopic, part, [][]byte{record})
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// readWithRetries reads a batch from the start at one VM until it gets results, within recoveryBound.
func readWithRetries(v *testVM, id string) (err error) {
	until := time.Now().Add(recoveryBound)
	for time.Now().Before(until) {
		ctx, cancel := context.WithTimeout(context.Background(), readerPatience)
		var page Page
		page, err = v.daemon().Results(ctx, id, 0, 0)
		cancel()
		if err == nil && len(page.Results) > 0 {
			return nil
		}
		time.Sleep(readerPause)
	}
	return fmt.Errorf("nothing read: %w", err)
}

// Guards against a view that never loads because each call that needs it starts reading its partition from nothing.
func TestViewLoadsAcrossRetriesWhileItsOwnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, peers := newPeerCluster(t, 2)
		defer w.stop()
		joinAndSubmit(g, w, "old", 1)
		w.fillPartition(g, 8<<20)
		head, items, requests := newBatch("m0", "new", 1, 2, 1)
		g.Expect(w.vms[0].daemon().Submit(context.Background(), "c", head, items, requests)).To(Succeed())
		time.Sleep(5 * time.Second)
		owner, other := ownerAndOther(w, "m0")
		w.store.SetRateLimits(metastore.RateLimits{ReadBytesPerSecond: smallLinkRate})
		peers.setSilent(owner.name, true)
		g.Expect(readWithRetries(other, "c")).To(Succeed())
	})
}

// Guards against a partial view in which a batch was found, but not its results, and that never loads.
func TestPartialViewWithABatchLoadsAcrossRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, peers := newPeerCluster(t, 2)
		defer w.stop()
		w.engines.refuseRate = 1
		joinAndSubmit(g, w, "late", 1)
		w.fillPartition(g, 8<<20)
		w.engines.mu.Lock()
		w.engines.refuseRate = 0
		w.engines.mu.Unlock()
		time.Sleep(10 * time.Second)
		owner, other := ownerAndOther(w, "m0")
		w.store.SetRateLimits(metastore.RateLimits{ReadBytesPerSecond: smallLinkRate})
		peers.setSilent(owner.name, true)
		g.Expect(readWithRetries(other, "b")).To(Succeed())
	})
}

// Guards against results that a daemon can't return while the store refuses its calls and serves those of the owner.
func TestResultsAreReadAtADaemonThatTheStoreRefuses(t *testing.T) {
	for _, asked := range []bool{true, false} { // the daemon has read the list of owners before
		t.Run(fmt.Sprint("owners known ", asked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w, _ := newPeerCluster(t, 3)
				defer w.stop()
				joinAndSubmit(g, w, "stored", 2)
				time.Sleep(10 * time.Second)
				w.killAll(w.vms, 0) // no text is cached any more
				time.Sleep(4 * time.Second)
				_, other := ownerAndOther(w, "m0")
				if asked {
					g.Expect(other.daemon().Find(context.Background(), "b")).To(Succeed())
				}
				other.client.SetFaults(metastore.Faults{Refuse: true, Latency: storeLatency})
				g.Expect(readWithRetries(other, "b")).To(Succeed())
			})
		})
	}
}
