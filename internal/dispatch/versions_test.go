package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rollOut runs n samples at once and returns how many failed and when the last ended.
func rollOut(d *Dispatcher, name string, n int, least, prefer ident.Version) (failed int, took time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	since := time.Now()
	for i := range n {
		group.Go(func() {
			id := fmt.Sprintf("%s %d", name, i)
			g := Generate{ID: ident.RequestID(id), Team: "t", Model: "m", Class: Rollout, Prompt: id, MaxTokens: answerSize, MinVersion: least, Prefer: prefer}
			if _, err := d.Generate(context.Background(), g, nil); err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failed, time.Since(since)
}

// most is how many requests ran at once where one of a name began.
func (w *world) most(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for what, beside := range w.beside {
		if strings.HasPrefix(what, name) {
			for _, b := range beside {
				n = max(n, b+1)
			}
		}
	}
	return n
}

// sample asks for one and says whether it ended as it should: whole, or given up
// by its caller. Engines serve 4 at least somewhere, so none is refused.
func (w *world) sample(ctx context.Context, d *Dispatcher, i int, least ident.Version, gone bool, patience time.Duration) bool {
	if gone {
		short, stop := context.WithTimeout(ctx, patience)
		defer stop()
		ctx = short
	}
	id := fmt.Sprintf("sample %d", i)
	got, err := d.Generate(ctx, Generate{ID: ident.RequestID(id), Team: "t", Model: "m", Class: Rollout, Prompt: id, MaxTokens: answerSize, MinVersion: least}, nil)
	if err != nil {
		return gone && ctx.Err() != nil
	}
	return got.Text == whole()
}

// raise has an engine switch to a newer version.
func (w *world) raise(d *Dispatcher, name ident.Upstream) {
	w.mu.Lock()
	w.engines[name].version++
	w.mu.Unlock()
	d.Recheck("g", name)
}

// expectNoneIdle says that nothing is parked that has room where it fits, and
// nothing queued, unless all that the queue lets rollouts use is taken.
func (s *shard) expectNoneIdle(g Gomega) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := 0
	for _, m := range s.order {
		running += m.inFlight
	}
	full := float64(running) >= float64(len(s.order)*engineLimit)*(1-s.gate.reserve)-1
	parked := 0
	for _, l := range s.gate.parked {
		parked += len(l.waiters)
		g.Expect(full || s.mustPark(&l.waiters[0].want)).To(BeTrue(), "%v waits for nothing", l.fit)
	}
	g.Expect(full || s.gate.queued() == parked).To(BeTrue(), "the queue holds back what fits")
}

func (s *shard) expectEmpty(g Gomega) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.gate.queued()).To(BeZero())
	g.Expect(s.gate.parked).To(BeEmpty())
	for _, m := range s.order {
		g.Expect(m.inFlight).To(BeZero())
	}
}

const engineLimit = 8

// limitedDaemon starts a dispatcher with engineLimit at each engine; e0 serves 1, e1 2 and so on.
func limitedDaemon(ctx context.Context, w *world) *Dispatcher {
	d := w.daemon(ctx, "vm1", Ours)
	t := w.tree()
	for name, u := range t.Fleet.Groups["g"].Upstreams {
		u.MaxConcurrency = engineLimit
		t.Fleet.Groups["g"].Upstreams[name] = u
	}
	d.applyTree(t)
	return d
}

var _ = Describe("versions", func() {
	// The first of four engines has switched, and a step asks for the new version.
	// Admission counted the places of all four, and all that it let through was put
	// on the one, beyond its limit. Found with `scripts/bench.sh versions-fresh`.
	It("queues here what only a full engine may run", bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := limitedDaemon(ctx, w)
		failed, _ := rollOut(d, "new", 40, 4, 0)
		g.Expect(failed).To(BeZero())
		g.Expect(w.most("new")).To(BeNumerically("<=", engineLimit))
	}))

	It("lets others pass those that wait for one engine", bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := limitedDaemon(ctx, w)
		var group sync.WaitGroup
		group.Go(func() {
			defer GinkgoRecover()
			failed, _ := rollOut(d, "new", 60, 4, 0)
			g.Expect(failed).To(BeZero())
		})
		time.Sleep(tokenTime)
		failed, took := rollOut(d, "any", 10, 0, 0)
		g.Expect(failed).To(BeZero())
		g.Expect(took).To(BeNumerically("<=", (answerSize+1)*tokenTime))
		group.Wait()
		g.Expect(w.most("new")).To(BeNumerically("<=", engineLimit))
	}))

	It("starts all that waits once more engines switched, and refuses what none will run", bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := limitedDaemon(ctx, w)
		time.AfterFunc(answerSize*tokenTime/2, func() {
			w.mu.Lock()
			for _, e := range w.engines {
				e.version = 4
			}
			w.mu.Unlock()
			for name := range w.engines {
				d.Recheck("g", name) // as whoever ordered the switch does
			}
		})
		failed, took := rollOut(d, "new", 100, 4, 0)
		g.Expect(failed).To(BeZero())
		g.Expect(took).To(BeNumerically("<", 100/engineLimit*answerSize*tokenTime*2/3), "not one engine's work")
		failed, _ = rollOut(d, "newer", 3, 5, 0)
		g.Expect(failed).To(Equal(3))
	}))

	It("gives up what waits for an engine when its caller does", bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := limitedDaemon(ctx, w)
		go rollOut(d, "new", engineLimit, 4, 0)
		time.Sleep(tokenTime)
		short, stop := context.WithTimeout(ctx, 2*tokenTime)
		defer stop()
		late := Generate{ID: "late", Team: "t", Model: "m", Class: Rollout, Prompt: "late", MaxTokens: answerSize, MinVersion: 4}
		_, err := d.Generate(short, late, nil)
		g.Expect(err).To(HaveOccurred())
		time.Sleep(time.Second)
		g.Expect(w.count("late")).To(BeZero())
		d.shardOf("g").expectEmpty(g)
	}))

	// Random sessions against the rules: each caller gets one end, an engine never
	// runs more than its limit, nothing waits while it could run, nothing is left.
	DescribeTable("random sessions", func(seed uint64) {
		bubble(func(g Gomega) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(4)
			d := limitedDaemon(ctx, w)
			var group sync.WaitGroup
			for i := range 300 {
				least, gone := ident.Version(r.IntN(5)), r.IntN(8) == 0
				patience := time.Duration(r.IntN(300)) * time.Millisecond
				group.Go(func() {
					defer GinkgoRecover()
					g.Expect(w.sample(ctx, d, i, least, gone, patience)).To(BeTrue())
				})
				if r.IntN(20) == 0 {
					w.raise(d, ident.Upstream(fmt.Sprintf("e%d", r.IntN(4))))
				}
				time.Sleep(time.Duration(r.IntN(6)) * time.Millisecond)
				synctest.Wait()
				d.shardOf("g").expectNoneIdle(g)
			}
			group.Wait()
			g.Expect(w.most("sample")).To(BeNumerically("<=", engineLimit))
			d.shardOf("g").expectEmpty(g)
		})()
	}, Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)))

	// A step that preferred newer weights than any engine served was refused whole.
	It("prefers newer weights, within their engine's limit, and refuses nothing for it", bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(2)
		d := limitedDaemon(ctx, w)
		failed, _ := rollOut(d, "few", 3, 1, 2)
		g.Expect(failed).To(BeZero())
		g.Expect(w.most("few")).To(Equal(3), "all on the newer one")
		failed, took := rollOut(d, "more", 14, 1, 2)
		g.Expect(failed).To(BeZero())
		g.Expect(w.most("more")).To(Equal(engineLimit))
		g.Expect(took).To(BeNumerically("<=", (answerSize+1)*tokenTime), "none waited")
		failed, _ = rollOut(d, "none serves", 3, 1, 9)
		g.Expect(failed).To(BeZero())
	}))

	// The first engine to switch was filled to its limit while three idled, and its
	// samples, slow by its load, decided the step's end.
	It("doesn't pile all on the first engine with newer weights", bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := limitedDaemon(ctx, w)
		failed, _ := rollOut(d, "some", 12, 1, 4)
		g.Expect(failed).To(BeZero())
		g.Expect(w.most("some")).To(And(BeNumerically(">", 12/4), BeNumerically("<=", 6)), "more than its part, within the bound")
	}))
})
