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

// startDaemons starts n daemons that exchange digests.
func (w *world) startDaemons(ctx context.Context, n int) []*Dispatcher {
	return w.startDaemonsWith(ctx, n, gossip)
}

func (w *world) startDaemonsWith(ctx context.Context, n int, gossipFunc func(context.Context, *Dispatcher, []*Dispatcher)) []*Dispatcher {
	var all []*Dispatcher
	for i := range n {
		all = append(all, w.startDaemon(ctx, ident.VM(fmt.Sprint("vm", i+1)), PolicyFull))
	}
	for _, from := range all {
		go gossipFunc(ctx, from, all)
		from.SetCopyPlacer(&fakePlacer{owner: all[0], answers: true})
	}
	time.Sleep(time.Second)
	return all
}

// gossipSlowly is gossip with a delay of up to a third of a second.
func gossipSlowly(ctx context.Context, from *Dispatcher, all []*Dispatcher) {
	for _, to := range all {
		if to != from {
			go gossipDelayed(ctx, from, to)
		}
	}
}

// fakePlacer asks one daemon to place the copies of all requests.
type fakePlacer struct {
	owner   *Dispatcher
	answers bool // false: it doesn't answer in time
	skipped bool // it isn't asked, since it recently didn't answer
}

const (
	placeLatency = 2 * time.Millisecond
	placeTimeout = 50 * time.Millisecond
)

func (p *fakePlacer) PlaceCopy(ctx context.Context, c poison.Copy) (ident.Upstream, error) {
	if p.skipped {
		return "", errors.New("the daemon isn't asked")
	}
	if !p.answers {
		waitUpTo(ctx, nil, placeTimeout)
		return "", errors.New("no answer")
	}
	waitUpTo(ctx, nil, placeLatency)
	return p.owner.PlaceHere(c), nil
}

// reportOthersBusy makes a daemon believe, by the digest of an invented peer, that all
// engines but one are full. Real daemons have outdated and different views of the load.
func reportOthersBusy(d *Dispatcher, w *world, only ident.Upstream) {
	loads := map[ident.Upstream]int{}
	for name := range w.engines {
		if name != only {
			loads[name] = 50
		}
	}
	d.Merge("invented-peer", Digest{InFlight: loads})
}

// sendKillers sends a killer through each daemon, one after the other with a delay.
func sendKillers(daemons []*Dispatcher, delay time.Duration) []error {
	var group sync.WaitGroup
	errs := make([]error, len(daemons))
	for i, d := range daemons {
		group.Go(func() {
			time.Sleep(time.Duration(i) * delay)
			_, _, errs[i] = generate(d, killerPrompt)
		})
	}
	group.Wait()
	return errs
}

var _ = Describe("copies of a killer that arrive through several daemons at the same time", func() {
	// A client sends its request through three daemons at the same time. No daemon knows of
	// the other copies, and each considers another engine free. If each placed its copy
	// there, three engines would die before any daemon could report it. Two may be lost.
	It("kill at most two engines, whichever engine each daemon prefers", withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.killAtToken = 0
		all := w.startDaemons(ctx, 3)
		for i, d := range all {
			reportOthersBusy(d, w, ident.Upstream(fmt.Sprint("e", i)))
		}
		for _, err := range sendKillers(all, 0) {
			g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
		}
		g.Expect(w.deaths()).To(BeNumerically("<=", 2))
	}))

	// The daemon that places the copies is frozen, for all or for some of the others. Those
	// that get no answer must agree on an engine without it.
	for _, unanswered := range [][]bool{{true, true, true}, {false, true, false}, {true, false, true}} {
		It(fmt.Sprint("kill at most two engines if the daemon that places them doesn't answer: ", unanswered), withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.killAtToken = 0
			all := w.startDaemons(ctx, 3)
			for i, d := range all {
				reportOthersBusy(d, w, ident.Upstream(fmt.Sprint("e", i)))
				d.SetCopyPlacer(&fakePlacer{owner: all[0], answers: !unanswered[i]})
			}
			for _, err := range sendKillers(all, 0) {
				g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// The copies arrive one after the other, within the time that a report of a death takes.
	// The second copy finds that its engine has died under the first one, and must not move
	// on to another engine by itself.
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 8 * time.Millisecond, 40 * time.Millisecond} {
		It(fmt.Sprint("kill at most two engines if they arrive one after another by ", delay), withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.killAtToken = 0
			all := w.startDaemons(ctx, 4)
			for i, d := range all {
				reportOthersBusy(d, w, ident.Upstream(fmt.Sprint("e", i)))
			}
			for _, err := range sendKillers(all, delay) {
				g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// The same without asking the daemon that places the copies, since it recently didn't
	// answer. All copies go to the engine that hashing selects, find it dead one after the
	// other, and must not move on to the next one together. The report of a death takes
	// longer than the delay before a retry.
	for _, delay := range []time.Duration{0, time.Millisecond, 8 * time.Millisecond, 50 * time.Millisecond} {
		It(fmt.Sprint("kill at most two engines if no daemon is asked and they arrive one after another by ", delay), withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.killAtToken = 0
			all := w.startDaemonsWith(ctx, 5, gossipSlowly)
			for _, d := range all {
				d.SetCopyPlacer(&fakePlacer{skipped: true})
			}
			for _, err := range sendKillers(all, delay) {
				g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// The killer ends its engine seconds into its answer, and its copies arrive seconds
	// apart, so they run on different engines when the first one dies. Without a stop, each
	// would run on to the same point, although all daemons know of the death by then.
	for _, delay := range []time.Duration{500 * time.Millisecond, 2200 * time.Millisecond} {
		It(fmt.Sprint("kill at most two engines if they kill late in their answer and arrive one after another by ", delay), withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.answerTokens, w.killAtToken = 800, 500
			all := w.startDaemons(ctx, 3)
			for _, err := range sendKillers(all, delay) {
				g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
			}
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// Two clients send the same prompt seconds apart, and the engine of one of them crashes
	// for another reason. The other copy is stopped and resumed in quarantine; its client
	// must receive each token once.
	It("get whole answers if one is stopped because the other's engine crashed", withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.answerTokens = 600
		all := w.startDaemons(ctx, 2)
		reportOthersBusy(all[0], w, "e0")
		reportOthersBusy(all[1], w, "e1")
		time.AfterFunc(3*time.Second, func() { w.kill(w.engines["e0"]) })
		var group sync.WaitGroup
		var faults errorList
		for i, d := range all {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 2500 * time.Millisecond)
				answer, seen, err := generate(d, "hello")
				if err != nil || seen != answerOf(w.answerTokens) || answer.Text != seen {
					faults.add(fmt.Errorf("%w, %d bytes", err, len(seen)))
				}
			})
		}
		group.Wait()
		g.Expect(faults.list).To(BeEmpty())
		g.Expect(w.startCount("hello")).To(Equal(4), "each was started and then resumed in quarantine")
		g.Expect(w.deaths()).To(Equal(1))
	}))

	It("kill at most two engines in random sessions", func() {
		for seed := firstSeed(); seed < firstSeed()+copySeeds; seed++ {
			withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) { runCopySession(g, w, seed) })()
		}
	})

	// Three clients send the same harmless prompt. All are answered, and once one has been,
	// its daemon doesn't ask where to place the copies any more.
	It("are answered without delay if they are harmless", withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := w.startDaemons(ctx, 3)
		for round := range 2 {
			var group sync.WaitGroup
			var faults errorList
			for i, d := range all {
				if round > 0 {
					d.SetCopyPlacer(&fakePlacer{answers: false})
				}
				reportOthersBusy(d, w, ident.Upstream(fmt.Sprint("e", i)))
				group.Go(func() {
					began := time.Now()
					_, seen, err := generate(d, "hello")
					if took := time.Since(began); err != nil || seen != fullAnswer() || took >= answerTokens*tokenTime+placeTimeout {
						faults.add(fmt.Errorf("%w, %q, %v", err, seen, took))
					}
				})
			}
			group.Wait()
			g.Expect(faults.list).To(BeEmpty())
		}
	}))

	// An engine has died, and no daemon knows yet. A request without copies is sent elsewhere
	// at once.
	It("don't delay a request that has none", withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		d := w.startDaemons(ctx, 2)[1]
		reportOthersBusy(d, w, "e0")
		w.kill(w.engines["e0"])
		began := time.Now()
		_, _, err := generate(d, "hello")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", answerTokens*tokenTime+100*time.Millisecond))
	}))
})

// copySeeds is the number of random sessions in a test run.
const copySeeds = 60

// firstSeed returns the first seed of the random sessions. A manual run can set another one.
func firstSeed() uint64 {
	first, err := strconv.ParseUint(cmp.Or(os.Getenv("DISPATCH_FIRST_SEED"), "0"), 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return first
}

// runCopySession sends a killer through several daemons at random times, among harmless
// requests. The daemons' views of the load are random, their digests are slow in some
// sessions, and some of them get no answer on where to place copies.
func runCopySession(g Gomega, w *world, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 7))
	w.answerTokens = 400
	w.killAtToken = []int{0, 1, random.IntN(20), random.IntN(w.answerTokens)}[random.IntN(4)]
	within := []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 6 * time.Second}[random.IntN(3)]
	gossipFunc := gossip
	if random.IntN(4) == 0 {
		gossipFunc = gossipSlowly
	}
	all := w.startDaemonsWith(ctx, 2+random.IntN(4), gossipFunc)
	var group sync.WaitGroup
	var errs errorList
	for i, d := range all {
		reportOthersBusy(d, w, ident.Upstream(fmt.Sprint("e", random.IntN(6))))
		d.SetCopyPlacer(&fakePlacer{owner: all[0], answers: random.IntN(4) > 0, skipped: random.IntN(6) == 0})
		for range 1 + random.IntN(3) {
			after := time.Duration(random.Int64N(int64(within)))
			group.Go(func() {
				time.Sleep(after)
				if _, _, err := generate(d, killerPrompt); dispatchError(err).Reason != ReasonPoison {
					errs.add(fmt.Errorf("killer: %w", err))
				}
			})
		}
		for n := range 3 {
			after := time.Duration(random.Int64N(int64(within)))
			group.Go(func() {
				time.Sleep(after)
				if _, seen, err := generate(d, fmt.Sprint("innocent ", i, n)); err != nil || seen != answerOf(w.answerTokens) {
					errs.add(fmt.Errorf("daemon %d, harmless request %d: %w, %d bytes", i, n, err, len(seen)))
				}
			})
		}
	}
	group.Wait()
	g.Expect(errs.list).To(BeEmpty(), "seed %d", seed)
	g.Expect(w.deaths()).To(BeNumerically("<=", 2), "seed %d", seed)
}

// errorList collects errors from several goroutines.
type errorList struct {
	mu   sync.Mutex
	list []error
}

func (f *errorList) add(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, err)
}
