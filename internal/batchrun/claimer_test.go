package batchrun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// claimAll claims engines concurrently and returns those that were claimed, by the fencing
// token of their claim.
func claimAll(g *WithT, v *testVM, engines int) map[int64]string {
	var (
		work sync.WaitGroup
		mu   sync.Mutex
	)
	fences := map[int64]string{}
	for i := range engines {
		work.Go(func() {
			engine := fmt.Sprint("engine-", i)
			p, err := v.daemon().loader.claimer.claim(context.Background(), engine)
			if errors.Is(err, errClaimedElsewhere) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(fences).NotTo(HaveKey(p.Fence))
			fences[p.Fence] = engine
		})
	}
	work.Wait()
	return fences
}

// Guards against claims that overload the store. New weights are published, and two owners
// claim hundreds of engines at once. With one append for each engine, which made the others
// fail, and a read after each, they made thousands of calls; the store refused them, and
// engines waited seconds for their orders. Each engine must have one holder, and each claim
// its own fencing token.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines = 300
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		before := w.vms[0].client.Calls().Writes + w.vms[1].client.Calls().Writes
		began := time.Now()
		var got [2]map[int64]string
		var work sync.WaitGroup
		for i, v := range w.vms {
			work.Go(func() { got[i] = claimAll(g, v, engines) })
		}
		work.Wait()
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		g.Expect(w.vms[0].client.Calls().Writes + w.vms[1].client.Calls().Writes - before).To(BeNumerically("<", 20))
		holders := map[string]int{}
		for _, fences := range got {
			for fence, engine := range fences {
				holders[engine]++
				g.Expect(holders[engine]).To(Equal(1), "%s, fencing token %d", engine, fence)
			}
		}
		g.Expect(holders).To(HaveLen(engines))
		for fence := range got[0] {
			g.Expect(got[1]).NotTo(HaveKey(fence))
		}
	})
}

// Guards against claims that are repeated because the store's answer to their append was
// lost. They are found in the log; claiming the engines again would block them for no use.
func TestClaimsWithLostAnswerAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 1, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		lost := false
		w.vms[0].client.SetFaults(metastore.Faults{Latency: storeLatency, LoseResponse: func() bool {
			defer func() { lost = true }()
			return !lost
		}})
		end := w.store.End(claimsTopic, 0)
		got := claimAll(g, w.vms[0], 5)
		g.Expect(got).To(HaveLen(5))
		g.Expect(w.store.End(claimsTopic, 0)).To(Equal(end+5), "each claim is in the log once")
	})
}

// Guards against a partition whose engines can't be loaded after its owner's death because
// the next owner, which hasn't followed the claims log before, takes every claim in it for
// new.
func TestNewOwnerKnowsTheAgeOfClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 1, vms: 2, engines: 4, models: []string{"m0"}})
		defer w.stop()
		time.Sleep(2 * time.Second)
		w.publish("m0", 2)
		time.Sleep(10 * time.Second) // all engines are claimed and loaded, and no claim blocks any more
		owner, other := ownerAndOther(w, "m0")
		g.Expect(other.daemon().loader.follower.Following()).To(BeFalse(), "only owners follow the claims log")
		w.kill(owner)
		time.Sleep(3 * time.Second)
		g.Expect(other.daemon().OwnedPartitions()).To(Equal([]int{0}))
		for id := range w.engines.engines {
			g.Expect(other.daemon().loader.claimBlockedFor(id)).To(BeZero(), id)
		}
	})
}

// Guards against claims that fail because of the records of completed loads: when each of them
// made the claims under way fail, fewer claims succeeded the more models there were. Owners
// claim some dozens of engines twice a second and load as many, for as many models as the
// largest fleet has and for twice as many.
func TestClaimsSucceedDuringManyLoads(t *testing.T) {
	const (
		bursts   = 20
		engines  = 30 // in a burst
		interval = 500 * time.Millisecond
	)
	for _, owners := range []int{8, 16} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var models []string
			for i := range owners {
				models = append(models, fmt.Sprint("m", i))
			}
			w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 24, vms: 24, engines: 24, models: models})
			defer w.stop()
			time.Sleep(2 * time.Second)
			var (
				work   sync.WaitGroup
				failed atomic.Int32
			)
			for i, v := range w.vms[:owners] {
				part, err := v.daemon().modelPartitions.assign(context.Background(), models[i], engines)
				g.Expect(err).NotTo(HaveOccurred())
				for burst := range bursts {
					for e := range engines {
						work.Go(func() {
							time.Sleep(time.Duration(burst)*interval + time.Duration(rand.IntN(int(interval))/engines))
							engine := fmt.Sprint("engine-", i, "-", e)
							if _, err := v.daemon().loader.claimer.claim(context.Background(), engine); err != nil {
								failed.Add(1)
							}
							time.Sleep(time.Duration(rand.IntN(int(interval))))
							if err := v.daemon().loader.appendLoaded(context.Background(), part, batch.Loaded{Engine: engine, Model: models[i], Version: 1}); err != nil {
								failed.Add(1)
							}
						})
					}
				}
			}
			work.Wait()
			t.Logf("%d owners: %d of %d claims failed", owners, failed.Load(), owners*bursts*engines)
			g.Expect(failed.Load()).To(BeZero())
		})
	}
}
