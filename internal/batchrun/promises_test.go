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

// trainerView is what one trainer has seen of one batch.
type trainerView struct {
	model, id string
	samples   int
	accepted  time.Time // zero: never
	notRun    bool      // every submission was answered "not run"
	ended     bool
	results   []Result // by position
}

// read reads a batch on at a VM and compares what was read before.
func (l *trainerView) read(w *testCluster, s *Service, from int, wait time.Duration) {
	page, err := s.Results(context.Background(), l.id, from, wait)
	if err != nil {
		if errors.Is(err, ErrNotFound) && time.Since(l.accepted) > time.Second {
			w.t.Errorf("batch %s, accepted %s ago: %v", l.id, time.Since(l.accepted), err)
		}
		return
	}
	if page.Total != l.samples {
		w.t.Errorf("batch %s has %d samples, %d are told", l.id, l.samples, page.Total)
	}
	for i, r := range page.Results {
		l.checkResult(w, from+i, r)
	}
}

func (l *trainerView) checkResult(w *testCluster, at int, r Result) {
	if at < len(l.results) {
		if before := l.results[at]; before.ID != r.ID || before.State != r.State || before.Text != r.Text || before.Score != r.Score {
			w.t.Errorf("batch %s: position %d was %s, is %s", l.id, at, before.ID, r.ID)
		}
		return
	}
	for _, other := range l.results {
		if other.ID == r.ID {
			w.t.Errorf("batch %s: sample %s is listed twice", l.id, r.ID)
		}
	}
	if r.State == batch.Completed {
		w.engines.checkText(r.ID, r.Text)
		if l.model == scoredModel {
			w.scorer.checkScore(r)
		}
	}
	l.results = append(l.results, r)
}

// runTrainer submits, reads and ends batches at any VM, one after the other.
func (w *testCluster) runTrainer(model string, random *rand.Rand, steps int) []*trainerView {
	var logs []*trainerView
	version := int64(1)
	for step := range steps {
		l := &trainerView{model: model, id: fmt.Sprintf("s%d", step), notRun: true}
		l.id = model + l.id
		logs = append(logs, l)
		w.submitForTrainer(l, random, max(1, version-1))
		if l.accepted.IsZero() {
			continue
		}
		w.readResults(l, random)
		if random.IntN(4) > 0 {
			w.endBatch(l, random)
		}
		version++
		w.publish(model, version)
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
	return logs
}

func (w *testCluster) randomDaemon(random *rand.Rand) *Service {
	return w.vms[random.IntN(len(w.vms))].daemon()
}

func (w *testCluster) submitForTrainer(l *trainerView, random *rand.Rand, minVersion int64) {
	head, items, requests := newBatch(l.model, l.id, 3, 4, minVersion)
	l.samples = len(items)
	for range 8 {
		s := w.randomDaemon(random)
		if s == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		err := s.Submit(context.Background(), l.id, head, items, requests)
		if err == nil {
			l.accepted = time.Now()
			l.notRun = false
			return
		}
		if !errors.Is(err, ErrNotRun) {
			l.notRun = false
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (w *testCluster) readResults(l *trainerView, random *rand.Rand) {
	limit := time.Now().Add(12 * time.Second)
	for time.Now().Before(limit) && len(l.results) < l.samples {
		if s := w.randomDaemon(random); s != nil {
			l.read(w, s, random.IntN(len(l.results)+1), 500*time.Millisecond)
			l.read(w, s, len(l.results), 500*time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *testCluster) endBatch(l *trainerView, random *rand.Rand) {
	for range 5 {
		if s := w.randomDaemon(random); s != nil && s.End(context.Background(), l.id) == nil {
			l.ended = true
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// injectFaults plays faults until the time is up, and heals everything.
func (w *testCluster) injectFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
		v := w.vms[random.IntN(len(w.vms))]
		lasting := time.Duration(200+random.IntN(4000)) * time.Millisecond
		switch random.IntN(9) {
		case 0:
			w.killAll([]*testVM{v}, lasting/2)
		case 1:
			w.killAll(w.vms, lasting/4)
		case 2:
			w.applyFaults([]*testVM{v}, metastore.Faults{Cut: true}, lasting)
		case 3:
			w.applyFaults(w.vms, metastore.Faults{Refuse: true, Latency: storeLatency}, lasting)
		case 4:
			w.applyFaults(w.vms, metastore.Faults{Latency: 240 * time.Millisecond}, lasting)
		case 5:
			w.applyFaults(w.vms, metastore.Faults{Latency: storeLatency, LoseAnswer: func() bool { return w.engines.chance(0.4) }}, lasting)
		case 6:
			late := func(string) time.Duration {
				if w.engines.chance(0.35) {
					return 3 * time.Second
				}
				return 0
			}
			w.applyFaults(w.vms, metastore.Faults{Latency: storeLatency, Late: late}, lasting)
		case 7:
			w.store.Redeal(ownersGroup)
		case 8:
			w.drain(v)
		}
	}
}

func (w *testCluster) killAll(list []*testVM, down time.Duration) {
	for _, v := range list {
		w.kill(v)
	}
	time.Sleep(down)
	for _, v := range list {
		w.restart(v)
	}
}

func (w *testCluster) applyFaults(list []*testVM, f metastore.Faults, lasting time.Duration) {
	for _, v := range list {
		v.client.SetFaults(f)
	}
	time.Sleep(lasting)
	for _, v := range list {
		v.client.SetFaults(metastore.Faults{Latency: storeLatency})
	}
}

func (w *testCluster) drain(v *testVM) {
	v.daemon().Drain(context.Background())
	w.killAll([]*testVM{v}, 0)
}

// A trainer's step goes through daemons that die, stop and start, over a store that
// loses answers, does things late, refuses or is cut off from some, while engines
// break off, and another daemon takes every partition at once. It must find its
// batch accepted once, each result at its place, whole, from runs that fit.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkGuarantees(t, seed, Ours(policy.Set{})) })
		})
	}
}

// The baseline keeps the promises too: a policy only decides who serves sooner.
func TestGuaranteesWithBaselinePolicy(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkGuarantees(t, seed, Naive()) })
		})
	}
}

// Engines crash at random besides, and start again under their IDs. Samples that lose one
// after the other are tried alone; none may be lost, given up or listed in pieces by that.
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

func (w *testCluster) crashEngines(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		if id := fmt.Sprint("e", random.IntN(4)); !w.engines.isDown(id) {
			w.engines.crash(id)
		}
	}
}

func checkGuarantees(t *testing.T, seed uint64, policy Policy) {
	newTestClusterWithPolicy(t, policy, seed, 4, 3, 4, "m0", "m1").checkGuarantees(seed)
}

func (w *testCluster) checkGuarantees(seed uint64) {
	g := NewWithT(w.t)
	w.engines.breakRate, w.engines.refuseRate, w.engines.bufferedRate = 0.01, 0.05, 0.5
	w.scorer.noScoreRate = 0.1
	var trainers sync.WaitGroup
	var mu sync.Mutex
	var logs []*trainerView
	for i, model := range w.models {
		trainers.Go(func() {
			own := w.runTrainer(model, rand.New(rand.NewPCG(seed, uint64(10+i))), 6)
			mu.Lock()
			defer mu.Unlock()
			logs = append(logs, own...)
		})
	}
	w.injectFaults(rand.New(rand.NewPCG(seed, 2)), time.Now().Add(30*time.Second))
	trainers.Wait()
	time.Sleep(20 * time.Second)
	accepted := 0
	for _, l := range logs {
		if l.accepted.IsZero() && !l.notRun {
			continue
		}
		if !l.accepted.IsZero() {
			accepted++
		}
		for _, v := range w.vms {
			w.checkFinalResults(l, v)
		}
	}
	g.Expect(accepted).To(BeNumerically(">=", 6), "most steps are taken in between troubles")
	w.stop()
}

// checkFinalResults reads a batch from the start at a VM that is in touch.
func (w *testCluster) checkFinalResults(l *trainerView, v *testVM) {
	g := NewWithT(w.t)
	if l.accepted.IsZero() {
		_, err := v.daemon().Results(context.Background(), l.id, 0, 0)
		g.Expect(err).To(MatchError(ErrNotFound), "batch %s was refused as not run", l.id)
		return
	}
	for from := 0; from < len(l.results); {
		before := from
		page, err := v.daemon().Results(context.Background(), l.id, from, 0)
		g.Expect(err).NotTo(HaveOccurred())
		for i, r := range page.Results {
			l.checkResult(w, from+i, r)
		}
		from = page.Next
		g.Expect(from).To(BeNumerically(">", before))
	}
	l.read(w, v.daemon(), len(l.results), 0)
	if !l.ended {
		g.Expect(l.results).To(HaveLen(l.samples), "batch %s is whole in the end", l.id)
	}
	g.Expect(countGivenUp(l.results)).To(BeZero(), "no sample failed, so none is given up")
}
