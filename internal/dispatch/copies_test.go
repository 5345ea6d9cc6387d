package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// fleet starts daemons that tell each other everything.
func (w *world) fleet(ctx context.Context, n int) []*Dispatcher { return w.fleetOf(ctx, n, gossip) }

func (w *world) fleetOf(ctx context.Context, n int, tell func(context.Context, *Dispatcher, []*Dispatcher)) []*Dispatcher {
	var all []*Dispatcher
	for i := range n {
		all = append(all, w.daemon(ctx, ident.VM(fmt.Sprint("vm", i+1)), Ours))
	}
	for _, from := range all {
		go tell(ctx, from, all)
		from.SetPlacer(&placer{home: all[0], answers: true})
	}
	time.Sleep(time.Second)
	return all
}

// gossipSlow is gossip whose words take up to a third of a second.
func gossipSlow(ctx context.Context, from *Dispatcher, all []*Dispatcher) {
	for _, to := range all {
		if to != from {
			go gossipLate(ctx, from, to)
		}
	}
}

// placer asks one daemon for all requests.
type placer struct {
	home    *Dispatcher
	answers bool // false: it says nothing
	known   bool // that it doesn't answer: it isn't asked
}

const (
	askTakes   = 2 * time.Millisecond
	askGivenUp = 50 * time.Millisecond
)

func (p *placer) Place(ctx context.Context, c poison.Copy) (ident.Upstream, error) {
	if p.known {
		return "", errors.New("not asked")
	}
	if !p.answers {
		waitFor(ctx, nil, askGivenUp)
		return "", errors.New("no answer")
	}
	waitFor(ctx, nil, askTakes)
	return p.home.PlaceHere(c), nil
}

// favour has a daemon believe that all engines but one are full, by the word of a
// peer of its own: daemons' views of load are late and differ.
func favour(d *Dispatcher, w *world, only ident.Upstream) {
	loads := map[ident.Upstream]int{}
	for name := range w.engines {
		if name != only {
			loads[name] = 50
		}
	}
	d.Merge("somebody", Digest{InFlight: loads})
}

// sendAtOnce sends one killer through each daemon, the next one a while after.
func sendAtOnce(daemons []*Dispatcher, apart time.Duration) []error {
	var group sync.WaitGroup
	errs := make([]error, len(daemons))
	for i, d := range daemons {
		group.Go(func() {
			time.Sleep(time.Duration(i) * apart)
			_, _, errs[i] = ask(d, killer)
		})
	}
	group.Wait()
	return errs
}

var _ = Describe("copies of a killer that come through several daemons at one moment", func() {
	// A program sends its request through three daemons at once. Each daemon knows
	// nothing of the others' copies, sees other engines free, and has it run there:
	// three engines end before any of them can tell. Two may be lost.
	It("cost two engines, whichever each daemon would choose", session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.killAt = 0
		all := w.fleet(ctx, 3)
		for i, d := range all {
			favour(d, w, ident.Upstream(fmt.Sprint("e", i)))
		}
		for _, err := range sendAtOnce(all, 0) {
			g.Expect(problem(err).Reason).To(Equal(Poison))
		}
		g.Expect(w.deaths()).To(BeNumerically("<=", 2))
	}))

	// The daemon that places the copies is frozen, for all or for some of the others:
	// who gets no answer goes where all such go.
	for _, silent := range [][]bool{{true, true, true}, {false, true, false}, {true, false, true}} {
		It(fmt.Sprint("cost two engines though who places them doesn't answer: ", silent), session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.killAt = 0
			all := w.fleet(ctx, 3)
			for i, d := range all {
				favour(d, w, ident.Upstream(fmt.Sprint("e", i)))
				d.SetPlacer(&placer{home: all[0], answers: !silent[i]})
			}
			for _, err := range sendAtOnce(all, 0) {
				g.Expect(problem(err).Reason).To(Equal(Poison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// One after the other within the time that word takes: the second copy finds its
	// upstream dead under the first one and must not go on to the next by itself.
	for _, apart := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 8 * time.Millisecond, 40 * time.Millisecond} {
		It(fmt.Sprint("cost two engines when they come apart by ", apart), session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.killAt = 0
			all := w.fleet(ctx, 4)
			for i, d := range all {
				favour(d, w, ident.Upstream(fmt.Sprint("e", i)))
			}
			for _, err := range sendAtOnce(all, apart) {
				g.Expect(problem(err).Reason).To(Equal(Poison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// The same while nobody is asked, since who places the copies didn't answer a moment
	// ago: all go to one engine by its name, find it dead one after the other, and must not
	// hop on to the next name together.
	// Word of a death takes longer than a repetition waits.
	for _, apart := range []time.Duration{0, time.Millisecond, 8 * time.Millisecond, 50 * time.Millisecond} {
		It(fmt.Sprint("cost two engines when nobody is asked and they come apart by ", apart), session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.killAt = 0
			all := w.fleetOf(ctx, 5, gossipSlow)
			for _, d := range all {
				d.SetPlacer(&placer{known: true})
			}
			for _, err := range sendAtOnce(all, apart) {
				g.Expect(problem(err).Reason).To(Equal(Poison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// It ends its engine seconds into its answer, and its copies come seconds apart: they
	// run on engines of their own when the first one ends. Each would go on to that point
	// though all daemons know by then what it does.
	for _, apart := range []time.Duration{500 * time.Millisecond, 2200 * time.Millisecond} {
		It(fmt.Sprint("cost two engines when they kill late and come apart by ", apart), session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.size, w.killAt = 800, 500
			all := w.fleet(ctx, 3)
			for _, err := range sendAtOnce(all, apart) {
				g.Expect(problem(err).Reason).To(Equal(Poison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// Two callers sent the same prompt seconds apart, and the engine of one of them crashes
	// for another reason. The other copy is stopped and goes on alone from where it was:
	// its caller sees each token once.
	It("are whole though one was stopped for the other's engine", session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.size = 600
		all := w.fleet(ctx, 2)
		favour(all[0], w, "e0")
		favour(all[1], w, "e1")
		time.AfterFunc(3*time.Second, func() { w.kill(w.engines["e0"]) })
		var group sync.WaitGroup
		var faults faultList
		for i, d := range all {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 2500 * time.Millisecond)
				answer, seen, err := ask(d, "hello")
				if err != nil || seen != wholeOf(w.size) || answer.Text != seen {
					faults.add(fmt.Errorf("%w, %d bytes", err, len(seen)))
				}
			})
		}
		group.Wait()
		g.Expect(faults.list).To(BeEmpty())
		g.Expect(w.count("hello")).To(Equal(4), "each began, and went on alone")
		g.Expect(w.deaths()).To(Equal(1))
	}))

	It("cost two engines over random sessions", func() {
		for seed := firstSeed(); seed < firstSeed()+copySeeds; seed++ {
			session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) { playCopies(g, w, seed) })()
		}
	})

	// The same prompt from three callers, which harms nobody: all are answered, and once
	// one was, its daemon asks no more.
	It("are answered if they kill nothing", session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := w.fleet(ctx, 3)
		for round := range 2 {
			var group sync.WaitGroup
			var faults faultList
			for i, d := range all {
				if round > 0 {
					d.SetPlacer(&placer{answers: false})
				}
				favour(d, w, ident.Upstream(fmt.Sprint("e", i)))
				group.Go(func() {
					began := time.Now()
					_, seen, err := ask(d, "hello")
					if took := time.Since(began); err != nil || seen != whole() || took >= answerSize*tokenTime+askGivenUp {
						faults.add(fmt.Errorf("%w, %q, %v", err, seen, took))
					}
				})
			}
			group.Wait()
			g.Expect(faults.list).To(BeEmpty())
		}
	}))

	// An engine is gone and nobody knows yet. A request without copies goes on elsewhere
	// at once.
	It("aren't waited for where there are none", session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		d := w.fleet(ctx, 2)[1]
		favour(d, w, "e0")
		w.kill(w.engines["e0"])
		began := time.Now()
		_, _, err := ask(d, "hello")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", answerSize*tokenTime+100*time.Millisecond))
	}))
})

// copySeeds is how many random sessions a run plays.
const copySeeds = 60

// firstSeed lets a run by hand play other sessions than CI.
func firstSeed() uint64 {
	first, err := strconv.ParseUint(cmp.Or(os.Getenv("DISPATCH_FIRST_SEED"), "0"), 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return first
}

// playCopies sends one killer through daemons at random moments, with random views of
// load, words that are slow at times, some daemons without an answer from who places copies, and others beside it.
func playCopies(g Gomega, w *world, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 7))
	w.size = 400
	w.killAt = []int{0, 1, random.IntN(20), random.IntN(w.size)}[random.IntN(4)]
	within := []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 6 * time.Second}[random.IntN(3)]
	tell := gossip
	if random.IntN(4) == 0 {
		tell = gossipSlow
	}
	all := w.fleetOf(ctx, 2+random.IntN(4), tell)
	var group sync.WaitGroup
	var faults faultList
	for i, d := range all {
		favour(d, w, ident.Upstream(fmt.Sprint("e", random.IntN(6))))
		d.SetPlacer(&placer{home: all[0], answers: random.IntN(4) > 0, known: random.IntN(6) == 0})
		for range 1 + random.IntN(3) {
			after := time.Duration(random.Int64N(int64(within)))
			group.Go(func() {
				time.Sleep(after)
				if _, _, err := ask(d, killer); problem(err).Reason != Poison {
					faults.add(fmt.Errorf("the killer: %w", err))
				}
			})
		}
		for n := range 3 {
			after := time.Duration(random.Int64N(int64(within)))
			group.Go(func() {
				time.Sleep(after)
				if _, seen, err := ask(d, fmt.Sprint("innocent ", i, n)); err != nil || seen != wholeOf(w.size) {
					faults.add(fmt.Errorf("innocent %d %d: %w, %d bytes", i, n, err, len(seen)))
				}
			})
		}
	}
	group.Wait()
	g.Expect(faults.list).To(BeEmpty(), "seed %d", seed)
	g.Expect(w.deaths()).To(BeNumerically("<=", 2), "seed %d", seed)
}

// faultList collects what goroutines find wrong.
type faultList struct {
	mu   sync.Mutex
	list []error
}

func (f *faultList) add(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, err)
}
