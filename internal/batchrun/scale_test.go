package batchrun

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// Limits of the store of a large deployment, from its settings.
	scaleParts    = 24               // partitions of a topic
	scaleReadRate = 80 << 20         // bytes per second, shared by all daemons
	scaleReads    = 16000            // calls per second
	scaleWrites   = 3200             // calls per second
	scaleRecovery = 15 * time.Second // within which a restarted fleet must serve

	scaleModels  = 3
	scaleHistory = 2 << 20  // bytes in the partition of each model
	scaleRecord  = 32 << 10 // bytes in one record
)

// largeFleet is a number of daemons that share one store with a history. They run no
// samples: the tests are about what they read.
type largeFleet struct {
	store    *metastore.Store
	services []*Service
	clients  []*metastore.Client
	cancel   context.CancelFunc
	work     sync.WaitGroup
	start    time.Time
}

func newLargeFleet(g *WithT, daemons int, wrap func(store.Log) store.Log) *largeFleet {
	f := &largeFleet{store: metastore.New(scaleParts), start: time.Now()}
	f.store.SetRateLimits(metastore.RateLimits{ReadBytesPerSecond: scaleReadRate, ReadsPerSecond: scaleReads, WritesPerSecond: scaleWrites})
	f.writeHistory(g)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	now := func() time.Duration { return time.Since(f.start) }
	for n := range daemons {
		client := metastore.NewClient(f.store, callTimeout)
		client.SetFaults(metastore.Faults{Latency: storeLatency})
		s := New(Options{
			VM: fmt.Sprint("vm", n), Address: fmt.Sprint("10.0.0.", n, ":1"), Policy: DefaultPolicy(policy.Set{}), Log: wrap(client), Membership: client,
			View: fleet.New(now), Suspects: health.NewSuspects(), Partitions: scaleParts, RecordBytes: 256 << 10, CallBytes: 2 << 20,
			MemberTTL: 1500 * time.Millisecond, ClaimLease: testLease, Now: now, Logger: zerolog.Nop(),
		})
		f.services, f.clients = append(f.services, s), append(f.clients, client)
		f.work.Go(func() { s.Run(ctx) })
	}
	return f
}

// writeHistory fills the partitions of some models with as much as a minute of steps leaves
// there.
func (f *largeFleet) writeHistory(g *WithT) {
	client := metastore.NewClient(f.store, callTimeout)
	assignments := loads.NewPartitionAssignments(scaleParts)
	record, err := batch.Encode(batch.Ended{Batch: strings.Repeat("x", scaleRecord)})
	g.Expect(err).NotTo(HaveOccurred())
	for n := range scaleModels {
		assignment := assignments.NewAssignment(fmt.Sprint("m", n))
		assignments.Apply(assignment)
		data, err := encodeModelPartition(assignment)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = client.Append(context.Background(), modelPartitionsTopic, 0, [][]byte{data})
		g.Expect(err).NotTo(HaveOccurred())
		for range scaleHistory / scaleRecord {
			_, err := client.Append(context.Background(), batchTopic, assignment.Partition, [][]byte{record})
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

func (f *largeFleet) stop() {
	f.cancel()
	f.work.Wait()
}

// countCurrent returns how many daemons can answer calls about every batch, and how many of
// the partitions with batches are run by an owner.
func (f *largeFleet) countCurrent() (daemons, parts int) {
	owned := map[int]bool{}
	for _, s := range f.services {
		if s.Loaded() && s.Lag() < time.Second {
			daemons++
		}
		for _, part := range s.OwnedPartitions() {
			owned[part] = true
		}
	}
	for _, part := range f.services[0].modelPartitions.partitions() {
		if owned[part] {
			parts++
		}
	}
	return daemons, parts
}

// waitUntilCurrent waits until all daemons are current and all partitions with batches are
// run. It reports false if that takes longer than limit.
func (f *largeFleet) waitUntilCurrent(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if daemons, parts := f.countCurrent(); daemons == len(f.services) && parts == scaleModels {
			return true
		}
	}
	return false
}

// unwrappedLog returns the store's log unchanged.
func unwrappedLog(l store.Log) store.Log { return l }

// unboundedLog reads pages without a size limit.
type unboundedLog struct{ store.Log }

func (u unboundedLog) Read(ctx context.Context, topic string, part int, from store.ReadOptions) (store.Page, error) {
	from.MaxBytes = 0
	return u.Log.Read(ctx, topic, part, from)
}

// Guards against a fleet that takes minutes to become current after all of its VMs were killed
// and started at once. When each daemon read every partition, they exceeded the read rate that
// they share: reads timed out and were repeated, and no view was loaded for minutes, in which
// accepted batches couldn't be read. Now only its owner reads a partition, and a fleet three
// times as large is current as soon and reads no more of the batches topic.
func TestFleetStartedAtOnceIsCurrentInTime(t *testing.T) {
	for _, daemons := range []int{195, 690} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newLargeFleet(g, daemons, unwrappedLog)
			defer f.stop()
			g.Expect(f.waitUntilCurrent(scaleRecovery/3)).To(BeTrue(), "%d daemons", daemons)
			g.Expect(f.store.BytesRead(batchTopic)).To(BeNumerically("<", 2*scaleModels*scaleHistory), "%d daemons", daemons)
		})
	}
}

// Shows that the test above can fail: in the same fleet each daemon follows every partition, in
// pages without a size limit. Its reads time out and are repeated for ever.
func TestFleetFollowingAllPartitionsIsNeverCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newLargeFleet(g, 195, func(l store.Log) store.Log { return unboundedLog{l} })
		defer f.stop()
		for _, s := range f.services {
			for _, p := range s.partitions {
				defer p.follower.Hold()()
			}
		}
		for until := time.Now().Add(4 * scaleRecovery); time.Now().Before(until); time.Sleep(time.Second) {
			for _, s := range f.services {
				g.Expect(len(s.loadedPartitions())).To(BeNumerically("<", scaleParts))
			}
		}
	})
}

// Guards against a fleet that isn't current soon after an outage of the store. The store is
// unavailable for seven seconds, and then refuses a third of the VMs for some more. All views
// fall behind at the same time and catch up at the same time.
func TestFleetIsCurrentSoonAfterAnOutage(t *testing.T) {
	for _, daemons := range []int{195, 690} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newLargeFleet(g, daemons, unwrappedLog)
			defer f.stop()
			g.Expect(f.waitUntilCurrent(scaleRecovery)).To(BeTrue())
			f.setFaults(1, metastore.Faults{Unreachable: true})
			time.Sleep(7 * time.Second)
			f.setFaults(1, metastore.Faults{Latency: storeLatency})
			g.Expect(f.waitUntilCurrent(scaleRecovery/3)).To(BeTrue(), "%d daemons", daemons)
			f.setFaults(0.35, metastore.Faults{Refuse: true, Latency: storeLatency})
			time.Sleep(7 * time.Second)
			_, parts := f.countCurrent()
			g.Expect(parts).To(Equal(scaleModels), "the other VMs run the batches")
			f.setFaults(1, metastore.Faults{Latency: storeLatency})
			g.Expect(f.waitUntilCurrent(scaleRecovery/3)).To(BeTrue(), "%d daemons", daemons)
		})
	}
}

// setFaults sets the faults of the connections of the first fraction of the daemons.
func (f *largeFleet) setFaults(fraction float64, faults metastore.Faults) {
	for _, c := range f.clients[:int(fraction*float64(len(f.clients)))] {
		c.SetFaults(faults)
	}
}

// Guards against a batch that nobody can read while its owner is unreachable: daemons that discard
// their view whenever a reader leaves before it is loaded read the same records again and again, and
// together use up the rate that they share.
func TestBatchIsReadByManyWhileOwnersAreUnreachable(t *testing.T) {
	for _, c := range []struct{ daemons, readers int }{{61, 40}, {122, 160}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newLargeFleet(g, c.daemons, unwrappedLog) // its daemons can't reach each other
			defer f.stop()
			g.Expect(f.waitUntilCurrent(scaleRecovery)).To(BeTrue())
			head, items, requests := newBatch("m0", "x", 2, 2, 1)
			g.Expect(f.services[0].Submit(context.Background(), "b", head, items, requests)).To(Succeed())
			ctx, cancel := context.WithTimeout(context.Background(), scaleRecovery)
			defer cancel()
			var calls, answered atomic.Int64
			var readers sync.WaitGroup
			for range c.readers {
				readers.Go(func() {
					for ctx.Err() == nil {
						if f.read(ctx, int(calls.Add(1)), "b") == nil {
							answered.Add(1)
							return
						}
						pause.For(ctx, 100*time.Millisecond)
					}
				})
			}
			readers.Wait()
			g.Expect(answered.Load()).To(BeEquivalentTo(c.readers), "readers of %d daemons, %d MB read", c.daemons, f.store.BytesRead(batchTopic)>>20)
		})
	}
}

// read asks one of the daemons in turn for the results of a batch, within a reader's patience.
func (f *largeFleet) read(ctx context.Context, call int, batch string) error {
	ctx, cancel := context.WithTimeout(ctx, readerPatience)
	defer cancel()
	_, err := f.services[call%len(f.services)].Results(ctx, batch, 0, 0)
	return err
}
