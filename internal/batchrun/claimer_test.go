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

// claimAll claims engines at one moment and returns the fencing numbers of those that
// were got.
func claimAll(g *WithT, v *vm, engines int) map[int64]string {
	var (
		work sync.WaitGroup
		mu   sync.Mutex
	)
	fences := map[int64]string{}
	for i := range engines {
		work.Go(func() {
			engine := fmt.Sprint("engine-", i)
			p, err := v.current().orders.claimer.claim(context.Background(), engine)
			if errors.Is(err, errBarred) {
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

// New weights are named, and two owners claim hundreds of engines at one moment. One
// append an engine made the others fail, with a read after each: thousands of calls, the
// store refused them, and engines waited seconds for their orders. Each engine has one
// holder, and each claim a fencing number of its own.
func TestManyClaimsTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines = 300
		g := NewWithT(t)
		w := newWorld(t, 1, 2, 2, "m0")
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
				g.Expect(holders[engine]).To(Equal(1), "%s, fencing number %d", engine, fence)
			}
		}
		g.Expect(holders).To(HaveLen(engines))
		for fence := range got[0] {
			g.Expect(got[1]).NotTo(HaveKey(fence))
		}
	})
}

// The store takes the claims and its answer is lost. The log tells that they are there, so
// the engines needn't be claimed anew, which would bar them for nobody's use.
func TestClaimsWithoutAnswerAreLookedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, 1, 1, 2, "m0")
		defer w.stop()
		time.Sleep(2 * time.Second)
		lost := false
		w.vms[0].client.SetFaults(metastore.Faults{Latency: storeAnswer, LoseAnswer: func() bool {
			defer func() { lost = true }()
			return !lost
		}})
		end := w.store.End(claimsTopic, 0)
		got := claimAll(g, w.vms[0], 5)
		g.Expect(got).To(HaveLen(5))
		g.Expect(w.store.End(claimsTopic, 0)).To(Equal(end+5), "each stands once in the log")
	})
}

// Guards against a partition that stands still after its owner's death because the next
// owner, which has not followed the claims' log before, takes every claim in it for new.
func TestNewOwnerKnowsTheAgeOfClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorldOf(t, worldOptions{seed: 1, parts: 1, vms: 2, engines: 4, models: []string{"m0"}})
		defer w.stop()
		time.Sleep(2 * time.Second)
		w.publish("m0", 2)
		time.Sleep(10 * time.Second) // all engines were claimed and loaded, and no claim bars any more
		owner, other := ownerAndOther(w, "m0")
		g.Expect(other.current().orders.follower.Following()).To(BeFalse(), "only owners follow the claims")
		w.kill(owner)
		time.Sleep(3 * time.Second)
		g.Expect(other.current().Owns()).To(Equal([]int{0}))
		for id := range w.engines.engines {
			g.Expect(other.current().orders.barred(id)).To(BeZero(), id)
		}
	})
}

// Guards against claims that fail because every load that ends appends a record of its own
// behind which each claim has to be made again: the more models, the fewer claims come
// through. Owners claim some dozens of engines twice a second and load as many, by as many
// models as the largest fleet has and by twice as many.
func TestClaimsComeThroughBesideManyLoads(t *testing.T) {
	const (
		bursts   = 20
		engines  = 30 // of a burst
		interval = 500 * time.Millisecond
	)
	for _, owners := range []int{8, 16} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var models []string
			for i := range owners {
				models = append(models, fmt.Sprint("m", i))
			}
			w := newWorldOf(t, worldOptions{seed: 1, parts: 24, vms: 24, engines: 24, models: models})
			defer w.stop()
			time.Sleep(2 * time.Second)
			var (
				work   sync.WaitGroup
				failed atomic.Int32
			)
			for i, v := range w.vms[:owners] {
				home, err := v.current().homes.settle(context.Background(), models[i], engines)
				g.Expect(err).NotTo(HaveOccurred())
				for burst := range bursts {
					for e := range engines {
						work.Go(func() {
							time.Sleep(time.Duration(burst)*interval + time.Duration(rand.IntN(int(interval))/engines))
							engine := fmt.Sprint("engine-", i, "-", e)
							if _, err := v.current().orders.claimer.claim(context.Background(), engine); err != nil {
								failed.Add(1)
							}
							time.Sleep(time.Duration(rand.IntN(int(interval))))
							if err := v.current().orders.tellLoaded(context.Background(), home, batch.Loaded{Engine: engine, Model: models[i], Version: 1}); err != nil {
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
