package batchrun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// trainerBatch is what a trainer knows of one of its batches.
type trainerBatch struct {
	model, id string
	samples   int       // number of samples in the batch
	accepted  time.Time // when a daemon accepted the batch, zero if none did
	notRun    bool      // every submission was answered with ErrNotRun
	ended     bool      // a daemon has ended the batch
	results   []Result  // by position
}

// read reads the batch's results from a position on at a daemon and checks them.
func (b *trainerBatch) read(w *testCluster, s *Service, from int, wait time.Duration) {
	page, err := s.Results(context.Background(), b.id, from, wait)
	if err != nil {
		if errors.Is(err, ErrNotFound) && time.Since(b.accepted) > time.Second {
			w.t.Errorf("batch %s, accepted %s ago: %v", b.id, time.Since(b.accepted), err)
		}
		return
	}
	if page.Total != b.samples {
		w.t.Errorf("batch %s has %d samples, the daemon reports %d", b.id, b.samples, page.Total)
	}
	for i, r := range page.Results {
		b.checkResult(w, from+i, r)
	}
}

// checkResult fails the test if a result differs from the one that was read before at its position.
// A new one must be of a sample that has no result yet, with a valid text and score.
func (b *trainerBatch) checkResult(w *testCluster, position int, r Result) {
	if position < len(b.results) {
		if before := b.results[position]; before.ID != r.ID || before.State != r.State || before.Text != r.Text || before.Score != r.Score {
			w.t.Errorf("batch %s: the result at position %d changed from %s to %s", b.id, position, before.ID, r.ID)
		}
		return
	}
	for _, other := range b.results {
		if other.ID == r.ID {
			w.t.Errorf("batch %s: sample %s has two results", b.id, r.ID)
		}
	}
	if r.State == batch.Completed {
		w.engines.checkText(r.ID, r.Text)
		if b.model == scoredModel {
			w.scorer.checkScore(r)
		}
	}
	b.results = append(b.results, r)
}

// runTrainer submits, reads and ends batches at random VMs, one after the other.
func (w *testCluster) runTrainer(model string, random *rand.Rand, steps int) []*trainerBatch {
	var batches []*trainerBatch
	version := int64(1)
	for step := range steps {
		b := &trainerBatch{model: model, id: fmt.Sprintf("s%d", step), notRun: true}
		b.id = model + b.id
		batches = append(batches, b)
		w.submitForTrainer(b, random, max(1, version-1))
		if b.accepted.IsZero() {
			continue
		}
		w.readResults(b, random)
		if random.IntN(4) > 0 {
			w.endBatch(b, random)
		}
		version++
		w.publish(model, version)
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
	return batches
}

// randomDaemon returns the daemon of a random VM, nil if it is down.
func (w *testCluster) randomDaemon(random *rand.Rand) *Service {
	return w.vms[random.IntN(len(w.vms))].daemon()
}

// submitForTrainer submits a batch until a daemon accepts it, 8 times at most.
func (w *testCluster) submitForTrainer(b *trainerBatch, random *rand.Rand, minVersion int64) {
	head, items, requests := newBatch(b.model, b.id, 3, 4, minVersion)
	b.samples = len(items)
	for range 8 {
		s := w.randomDaemon(random)
		if s == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		err := s.Submit(context.Background(), b.id, head, items, requests)
		if err == nil {
			b.accepted = time.Now()
			b.notRun = false
			return
		}
		if !errors.Is(err, ErrNotRun) {
			b.notRun = false
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// readResults reads a batch's results until they are complete, for 12 s at most. It reads those
// from a random earlier position on again.
func (w *testCluster) readResults(b *trainerBatch, random *rand.Rand) {
	deadline := time.Now().Add(12 * time.Second)
	for time.Now().Before(deadline) && len(b.results) < b.samples {
		if s := w.randomDaemon(random); s != nil {
			b.read(w, s, random.IntN(len(b.results)+1), 500*time.Millisecond)
			b.read(w, s, len(b.results), 500*time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// endBatch ends a batch at a random daemon, in 5 attempts at most.
func (w *testCluster) endBatch(b *trainerBatch, random *rand.Rand) {
	for range 5 {
		if s := w.randomDaemon(random); s != nil && s.End(context.Background(), b.id) == nil {
			b.ended = true
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// injectFaults injects random faults one after the other until a time, each of which is removed
// again.
func (w *testCluster) injectFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
		v := w.vms[random.IntN(len(w.vms))]
		duration := time.Duration(200+random.IntN(4000)) * time.Millisecond
		switch random.IntN(9) {
		case 0:
			w.killAll([]*testVM{v}, duration/2)
		case 1:
			w.killAll(w.vms, duration/4)
		case 2:
			w.applyFaults([]*testVM{v}, metastore.Faults{Unreachable: true}, duration)
		case 3:
			w.applyFaults(w.vms, metastore.Faults{Refuse: true, Latency: storeLatency}, duration)
		case 4:
			w.applyFaults(w.vms, metastore.Faults{Latency: 240 * time.Millisecond}, duration)
		case 5:
			w.applyFaults(w.vms, metastore.Faults{Latency: storeLatency, LoseResponse: func() bool { return w.engines.chance(0.4) }}, duration)
		case 6:
			late := func(string) time.Duration {
				if w.engines.chance(0.35) {
					return 3 * time.Second
				}
				return 0
			}
			w.applyFaults(w.vms, metastore.Faults{Latency: storeLatency, DelayWrite: late}, duration)
		case 7:
			w.store.ForceRebalance(ownersGroup)
		case 8:
			w.drain(v)
		}
	}
}

// killAll kills the daemons of some VMs and restarts them after a downtime.
func (w *testCluster) killAll(vms []*testVM, downtime time.Duration) {
	for _, v := range vms {
		w.kill(v)
	}
	time.Sleep(downtime)
	for _, v := range vms {
		w.restart(v)
	}
}

// applyFaults applies faults to the store connections of some VMs for a while.
func (w *testCluster) applyFaults(vms []*testVM, f metastore.Faults, duration time.Duration) {
	for _, v := range vms {
		v.client.SetFaults(f)
	}
	time.Sleep(duration)
	for _, v := range vms {
		v.client.SetFaults(metastore.Faults{Latency: storeLatency})
	}
}

// drain drains a VM's daemon and restarts it.
func (w *testCluster) drain(v *testVM) {
	v.daemon().Drain(context.Background())
	w.killAll([]*testVM{v}, 0)
}

// Checks the guarantees to trainers under random faults: daemons are killed, drained and
// restarted; the store loses answers, is slow, performs writes late, refuses calls, is cut off
// from a VM or reassigns all partitions; engines refuse samples and break streams off. A batch
// must be accepted once, and each result must stay at its position, with a complete text from
// runs that continue each other.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkGuarantees(t, seed, DefaultPolicy(policy.Set{})) })
		})
	}
}

// Checks that the baseline policy gives the same guarantees: a policy only decides what is served
// first.
func TestGuaranteesWithBaselinePolicy(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkGuarantees(t, seed, BaselinePolicy()) })
		})
	}
}

// Checks the guarantees while engines also crash at random and restart under their IDs. Samples
// under which several engines crashed run alone; none of them may be lost, given up or get an
// incomplete text for that.
func TestGuaranteesWhileEnginesCrash(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(t, seed, 3, 4, "m0", "m1")
				go w.crashEngines(rand.New(rand.NewPCG(seed, 4)), time.Now().Add(30*time.Second))
				w.checkGuarantees(seed)
			})
		})
	}
}

// crashEngines crashes random engines until a time.
func (w *testCluster) crashEngines(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		if id := fmt.Sprint("e", random.IntN(4)); !w.engines.isDown(id) {
			w.engines.crash(id)
		}
	}
}

// checkGuarantees checks the guarantees to trainers in a new cluster.
func checkGuarantees(t *testing.T, seed uint64, policy Policy) {
	newTestClusterWithPolicy(t, policy, seed, 4, 3, 4, "m0", "m1").checkGuarantees(seed)
}

// checkGuarantees runs one trainer for each model while faults are injected, and checks what they
// and all VMs see of the batches.
func (w *testCluster) checkGuarantees(seed uint64) {
	g := NewWithT(w.t)
	w.engines.breakRate, w.engines.refuseRate, w.engines.bufferedRate = 0.01, 0.05, 0.5
	w.scorer.noScoreRate = 0.1
	var trainers sync.WaitGroup
	var mu sync.Mutex
	var batches []*trainerBatch
	for i, model := range w.models {
		trainers.Go(func() {
			ofTrainer := w.runTrainer(model, rand.New(rand.NewPCG(seed, uint64(10+i))), 6)
			mu.Lock()
			defer mu.Unlock()
			batches = append(batches, ofTrainer...)
		})
	}
	w.injectFaults(rand.New(rand.NewPCG(seed, 2)), time.Now().Add(30*time.Second))
	trainers.Wait()
	time.Sleep(20 * time.Second)
	accepted := 0
	for _, b := range batches {
		if b.accepted.IsZero() && !b.notRun {
			continue
		}
		if !b.accepted.IsZero() {
			accepted++
		}
		for _, v := range w.vms {
			w.checkFinalResults(b, v)
		}
	}
	g.Expect(accepted).To(BeNumerically(">=", 6), "most steps are accepted between the faults")
	w.stop()
}

// checkFinalResults reads a batch's results from the start at a VM whose daemon can reach the store,
// and checks them.
func (w *testCluster) checkFinalResults(b *trainerBatch, v *testVM) {
	g := NewWithT(w.t)
	if b.accepted.IsZero() {
		_, err := v.daemon().Results(context.Background(), b.id, 0, 0)
		g.Expect(err).To(MatchError(ErrNotFound), "batch %s was refused with ErrNotRun", b.id)
		return
	}
	for from := 0; from < len(b.results); {
		before := from
		page, err := v.daemon().Results(context.Background(), b.id, from, 0)
		g.Expect(err).NotTo(HaveOccurred())
		for i, r := range page.Results {
			b.checkResult(w, from+i, r)
		}
		from = page.Next
		g.Expect(from).To(BeNumerically(">", before))
	}
	b.read(w, v.daemon(), len(b.results), 0)
	if !b.ended {
		g.Expect(b.results).To(HaveLen(b.samples), "batch %s has all results in the end", b.id)
	}
	g.Expect(countGivenUp(b.results)).To(BeZero(), "no sample failed, so none is given up")
}

// disruptKills kills daemons, single ones and all of them, until a time.
func (w *testCluster) disruptKills(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		vms := w.vms
		switch random.IntN(4) {
		case 0, 1:
			vms = []*testVM{w.vms[random.IntN(len(w.vms))]}
		case 2:
			vms = w.vms[:1+random.IntN(len(w.vms))]
		}
		w.killAll(vms, time.Duration(random.IntN(2000))*time.Millisecond)
	}
}

// disruptStore has the store fail for some VMs or all until a time.
func (w *testCluster) disruptStore(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		vms := w.vms
		if random.IntN(2) == 0 {
			vms = w.vms[:1+len(w.vms)/3]
		}
		late := func(string) time.Duration {
			if w.engines.chance(0.35) {
				return time.Duration(1+random.IntN(4)) * time.Second
			}
			return 0
		}
		lose := func() bool { return w.engines.chance(0.4) }
		faults := []metastore.Faults{
			{Unreachable: true}, {Refuse: true, Latency: storeLatency}, {Reset: true, Latency: storeLatency}, {Latency: 240 * time.Millisecond},
			{Latency: storeLatency, LoseResponse: lose}, {Latency: storeLatency, DelayWrite: late}, {Latency: 200 * time.Millisecond, LoseResponse: lose, DelayWrite: late},
		}
		if random.IntN(8) == 0 {
			w.store.ForceRebalance(ownersGroup)
			continue
		}
		w.applyFaults(vms, faults[random.IntN(len(faults))], time.Duration(200+random.IntN(4000))*time.Millisecond)
	}
}

// disruptPeers has daemons not reach others until a time.
func (w *testCluster) disruptPeers(peers *clusterPeers, random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		v := w.vms[random.IntN(len(w.vms))]
		peers.setSilent(v.name, true)
		time.Sleep(time.Duration(200+random.IntN(4000)) * time.Millisecond)
		peers.setSilent(v.name, false)
	}
}

// readToTheEnd reads a batch from the start at random VMs until all its samples are listed, and again after each failure.
func (b *trainerBatch) readToTheEnd(w *testCluster, random *rand.Rand, until time.Time) error {
	var last error
	read := 0
	for wanted := b.samples; read < wanted; {
		if time.Now().After(until) {
			return fmt.Errorf("batch %s: %d of %d results read, %d known before: %w", b.id, read, b.samples, len(b.results), last)
		}
		if b.ended {
			wanted = len(b.results)
		}
		ctx, cancel := context.WithTimeout(context.Background(), readerPatience+time.Second)
		page, err := w.randomDaemon(random).Results(ctx, b.id, read, time.Second)
		cancel()
		if err != nil {
			if errors.Is(err, ErrNotFound) {
				return fmt.Errorf("batch %s: %w", b.id, err)
			}
			last = err
			time.Sleep(readerPause)
			continue
		}
		for i, r := range page.Results {
			b.checkResult(w, read+i, r)
		}
		read = page.Next
	}
	return nil
}

// Guards against accepted batches that can't be read after overlapping disruptions of daemons, store and network.
func TestAcceptedBatchesAreReadAfterOverlappingDisruptions(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				peers := &clusterPeers{silent: map[string]bool{}}
				w := newTestClusterWithOptions(t, clusterOptions{seed: seed, parts: 8, vms: 9, engines: 6, models: []string{"m0", "m1", "m2"}, peers: peers})
				defer w.stop()
				var trainers, disruptions sync.WaitGroup
				var mu sync.Mutex
				var batches []*trainerBatch
				for i, model := range w.models {
					trainers.Go(func() {
						ofTrainer := w.runTrainer(model, rand.New(rand.NewPCG(seed, uint64(10+i))), 4)
						mu.Lock()
						defer mu.Unlock()
						batches = append(batches, ofTrainer...)
					})
				}
				until := time.Now().Add(time.Duration(10+10*(seed%3)) * time.Second)
				disruptions.Go(func() { w.disruptKills(rand.New(rand.NewPCG(seed, 2)), until) })
				disruptions.Go(func() { w.disruptStore(rand.New(rand.NewPCG(seed, 3)), until) })
				disruptions.Go(func() { w.disruptPeers(peers, rand.New(rand.NewPCG(seed, 4)), until) })
				disruptions.Wait()
				trainers.Wait()
				for _, v := range w.vms {
					v.client.SetFaults(metastore.Faults{Latency: storeLatency})
				}
				if seed%2 == 0 {
					w.killAll(w.vms, 0)
				}
				var work sync.WaitGroup
				accepted, results := 0, 0
				bound := time.Now().Add(recoveryBound)
				for n, b := range batches {
					if b.accepted.IsZero() {
						continue
					}
					accepted++
					results += len(b.results)
					work.Go(func() {
						if err := b.readToTheEnd(w, rand.New(rand.NewPCG(seed, uint64(100+n))), bound); err != nil {
							t.Error(err)
						}
					})
				}
				work.Wait()
				t.Logf("%d batches accepted, %d results read before the end", accepted, results)
				g.Expect(accepted).To(BeNumerically(">", 0))
			})
		})
	}
}
