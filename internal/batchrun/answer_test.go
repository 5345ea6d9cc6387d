package batchrun

import (
	"context"
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

// clusterPeers carries calls between the daemons of a world. An address is a VM's name.
type clusterPeers struct {
	w *testCluster

	mu     sync.Mutex
	silent map[string]bool // calls to them hang
	calls  int
}

const peerLatency = 2 * time.Millisecond

func (p *clusterPeers) setSilent(address string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[address] = silent
}

// dial suffers the way to a daemon.
func (p *clusterPeers) dial(ctx context.Context, address string) (Here, error) {
	p.mu.Lock()
	p.calls++
	silent := p.silent[address]
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Here{}, ErrUnreachable
	}
	pause.For(ctx, peerLatency)
	for _, v := range p.w.vms {
		if s := v.daemon(); v.name == address && s != nil {
			return s.Here(), nil
		}
	}
	return Here{}, ErrUnreachable // the connection is refused
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

func (p *clusterPeers) Body(ctx context.Context, address, id, item string) (BodyAt, error) {
	h, err := p.dial(ctx, address)
	if err != nil {
		return BodyAt{}, err
	}
	return h.Body(ctx, id, item)
}

// newPeerCluster is a world whose daemons reach each other.
func newPeerCluster(t *testing.T, vms int) (*testCluster, *clusterPeers) {
	peers := &clusterPeers{silent: map[string]bool{}}
	w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 4, vms: vms, engines: 2, models: []string{"m0"}, peers: peers})
	return w, peers
}

// joinAndSubmit lets the daemons join and hands a batch "b" of model m0 in at the first VM.
func joinAndSubmit(g *WithT, w *testCluster, name string, groups int) []batch.Item {
	time.Sleep(2 * time.Second)
	items := w.submitBatch(g, "m0", name, groups, 2, 1)
	return items
}

// ownerAndOther returns the VM that runs the model's batches, and another one.
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

// A trainer's calls reach daemons that don't follow its batch. Each answers by the owner:
// the results, a body, the end, and that a batch doesn't exist, without reading the
// partition itself.
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
		g.Expect(s.partitionForModel("m0").follower.Loaded()).To(BeFalse(), "it has not read the partition")
	})
}

// A batch that was accepted comes again at another daemon, as after a lost answer. The
// daemon asks the owner and spares the log the requests of the whole step.
func TestResentBatchIsNotWrittenAgain(t *testing.T) {
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

// The owner falls silent while a trainer waits for results at another daemon, which is cut
// off from it alone. The trainer's read must come back within the 1.5 s that it waits
// beyond what it asked for, with what the log has, and must never say that there is no
// such batch.
func TestSilentOwnerIsBypassedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, peers := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		items := joinAndSubmit(g, w, "silent", 2)
		owner, other := ownerAndOther(w, "m0")
		for _, silentAfter := range []time.Duration{0, 20 * time.Millisecond} { // before the call, and under it
			peers.setSilent(owner.name, silentAfter == 0)
			time.AfterFunc(silentAfter, func() { peers.setSilent(owner.name, true) })
			began := time.Now()
			page, err := other.daemon().Results(ctx, "b", 0, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
			g.Expect(page.Total).To(Equal(len(items)))
			peers.setSilent(owner.name, false)
			time.Sleep(2*followLinger + 5*time.Second)
			g.Expect(other.daemon().partitionForModel("m0").follower.Loaded()).To(BeFalse(), "silent after %v: it does not follow the partition for good", silentAfter)
		}
	})
}

// The owner is killed, and a daemon that reaches neither an owner nor the store is asked.
// It can't know; "no such batch" would make the trainer drop its step.
func TestUnreachableOwnerAndStoreAreNotReportedAsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		joinAndSubmit(g, w, "away", 1)
		owner, other := ownerAndOther(w, "m0")
		w.kill(owner)
		other.client.SetFaults(metastore.Faults{Cut: true})
		_, err := other.daemon().Results(ctx, "b", 0, 0)
		g.Expect(err).To(MatchError(ErrUnsure))
		g.Expect(other.daemon().End(ctx, "b")).To(MatchError(ErrUnsure))
	})
}

// All VMs are killed right after a batch was accepted, in a deployment with many
// partitions and few daemons that follow each. The batch must be there when they are back.
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

// The store is away. Results that are ready must be delivered all the same: the owner, who
// lives, has the list and the texts that it wrote last, and the daemon that is asked knows
// the owner from before.
func TestReadyResultsAreGivenWhileTheStoreIsAway(t *testing.T) {
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
			v.client.SetFaults(metastore.Faults{Cut: true})
		}
		time.Sleep(2 * ownersMaxAge)
		began := time.Now()
		page, err := other.daemon().Results(ctx, "b", 0, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(len(items)))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}

// All batches of a day are read from the start at one moment, long after they were run.
// Their texts are megabytes in the log. Were the three owners to read them for everybody,
// their links and processors would be full for seconds and readers give up; each daemon
// that is asked reads what it needs itself.
func TestOwnersDoNotReadTextsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		items := joinAndSubmit(g, w, "late", 2)
		time.Sleep(10 * time.Second)
		w.killAll(w.vms, 0) // nobody has a text at hand any more
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

// Daemons that reach neither the store nor an owner try to read partitions here. None of
// them may go on with it when the store is back: dozens that read everything at that moment
// took a second of the rate that all share.
func TestPartialViewsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, peers := newPeerCluster(t, 2)
		defer w.stop()
		ctx := context.Background()
		joinAndSubmit(g, w, "dropped", 2)
		owner, other := ownerAndOther(w, "m0")
		peers.setSilent(owner.name, true)
		other.client.SetFaults(metastore.Faults{Cut: true})
		_, err := other.daemon().Results(ctx, "b", 0, 0)
		g.Expect(err).To(MatchError(ErrUnsure))
		time.Sleep(2 * follow.LookInterval)
		other.client.SetFaults(metastore.Faults{Latency: storeLatency})
		time.Sleep(follow.LookInterval)
		g.Expect(other.daemon().partitionForModel("m0").follower.Following()).To(BeFalse())
	})
}

// The record of which partition a model has is missing when a VM starts. Asked for a batch, its daemon knows
// of no partition with batches. It must look into all of them before it says that there is
// no such batch.
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
