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

// runSamples generates n samples at once and returns how many failed and how long all took.
func runSamples(d *Dispatcher, name string, n int, minVersion, prefer ident.Version) (failed int, elapsed time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	started := time.Now()
	for i := range n {
		group.Go(func() {
			id := fmt.Sprintf("%s %d", name, i)
			request := GenerateRequest{ID: ident.RequestID(id), Team: "t", Model: "m", Class: ClassRollout, Prompt: id, MaxTokens: answerTokens, MinVersion: minVersion, PreferVersion: prefer}
			if _, err := d.Generate(context.Background(), request, nil); err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failed, time.Since(started)
}

// maxConcurrent returns the largest number of requests that were running on an engine when
// it started one whose prompt has the given prefix.
func (w *world) maxConcurrent(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	largest := 0
	for content, counts := range w.runningAtStart {
		if strings.HasPrefix(content, prefix) {
			for _, running := range counts {
				largest = max(largest, running+1)
			}
		}
	}
	return largest
}

// runSample generates one sample and reports whether it ended as expected: with its whole
// answer or, if givesUp is set, given up by its client. Some engine always serves version 4 or
// newer, so no sample is refused.
func (w *world) runSample(ctx context.Context, d *Dispatcher, i int, minVersion ident.Version, givesUp bool, patience time.Duration) bool {
	if givesUp {
		short, stop := context.WithTimeout(ctx, patience)
		defer stop()
		ctx = short
	}
	id := fmt.Sprintf("sample %d", i)
	answer, err := d.Generate(ctx, GenerateRequest{ID: ident.RequestID(id), Team: "t", Model: "m", Class: ClassRollout, Prompt: id, MaxTokens: answerTokens, MinVersion: minVersion}, nil)
	if err != nil {
		return givesUp && ctx.Err() != nil
	}
	return answer.Text == fullAnswer()
}

// raiseVersion makes an engine switch to its next version.
func (w *world) raiseVersion(d *Dispatcher, name ident.Upstream) {
	w.mu.Lock()
	w.engines[name].version++
	w.mu.Unlock()
	d.PollNow("g", name)
}

// expectNoIdleCapacity checks that no parked request could run on an engine with room, and
// that no request is queued, unless all capacity that the queue leaves to rollouts is used.
func (s *shard) expectNoIdleCapacity(g Gomega) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := 0
	for _, m := range s.used {
		running += m.inFlight
	}
	full := float64(running) >= float64(len(s.used)*engineLimit)*(1-s.admission.productionReserve)-1
	parked := 0
	for _, queue := range s.admission.parked {
		parked += len(queue.waiters)
		g.Expect(full || s.mustPark(&queue.waiters[0].request)).To(BeTrue(), "requests of %v wait although they could run", queue.key)
	}
	g.Expect(full || s.admission.waitingCount() == parked).To(BeTrue(), "the queue holds back requests that could run")
}

func (s *shard) expectEmpty(g Gomega) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.admission.waitingCount()).To(BeZero())
	g.Expect(s.admission.parked).To(BeEmpty())
	for _, m := range s.used {
		g.Expect(m.inFlight).To(BeZero())
	}
}

const engineLimit = 8

// startLimitedDaemon starts a daemon with a limit of engineLimit for each engine. Engine e0
// serves version 1, e1 version 2 and so on.
func startLimitedDaemon(ctx context.Context, w *world) *Dispatcher {
	d := w.startDaemon(ctx, "vm1", PolicyFull)
	tree := w.tree()
	for name, u := range tree.Fleet.Groups["g"].Upstreams {
		u.MaxConcurrency = engineLimit
		tree.Fleet.Groups["g"].Upstreams[name] = u
	}
	d.applyTree(tree)
	return d
}

var _ = Describe("versions", func() {
	// The first of four engines has switched to a new version, and a step asks for it.
	// Admission counted the capacity of all four engines, and all requests that it admitted
	// went to the one, beyond its limit. Found with `scripts/bench.sh versions-fresh`.
	It("queues requests that only a full engine may run", inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := startLimitedDaemon(ctx, w)
		failed, _ := runSamples(d, "new", 40, 4, 0)
		g.Expect(failed).To(BeZero())
		g.Expect(w.maxConcurrent("new")).To(BeNumerically("<=", engineLimit))
	}))

	It("lets other requests pass those that wait for one engine", inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := startLimitedDaemon(ctx, w)
		var group sync.WaitGroup
		group.Go(func() {
			defer GinkgoRecover()
			failed, _ := runSamples(d, "new", 60, 4, 0)
			g.Expect(failed).To(BeZero())
		})
		time.Sleep(tokenTime)
		failed, elapsed := runSamples(d, "any", 10, 0, 0)
		g.Expect(failed).To(BeZero())
		g.Expect(elapsed).To(BeNumerically("<=", (answerTokens+1)*tokenTime))
		group.Wait()
		g.Expect(w.maxConcurrent("new")).To(BeNumerically("<=", engineLimit))
	}))

	It("starts waiting requests once more engines have switched, and refuses those that no engine can serve", inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := startLimitedDaemon(ctx, w)
		time.AfterFunc(answerTokens*tokenTime/2, func() {
			w.mu.Lock()
			for _, e := range w.engines {
				e.version = 4
			}
			w.mu.Unlock()
			for name := range w.engines {
				d.PollNow("g", name) // as the code that ordered the switch does
			}
		})
		failed, elapsed := runSamples(d, "new", 100, 4, 0)
		g.Expect(failed).To(BeZero())
		g.Expect(elapsed).To(BeNumerically("<", 100/engineLimit*answerTokens*tokenTime*2/3), "more than one engine must have taken part")
		failed, _ = runSamples(d, "newer", 3, 5, 0)
		g.Expect(failed).To(Equal(3))
	}))

	It("drops a waiting request when its client gives up", inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := startLimitedDaemon(ctx, w)
		go runSamples(d, "new", engineLimit, 4, 0)
		time.Sleep(tokenTime)
		short, stop := context.WithTimeout(ctx, 2*tokenTime)
		defer stop()
		late := GenerateRequest{ID: "late", Team: "t", Model: "m", Class: ClassRollout, Prompt: "late", MaxTokens: answerTokens, MinVersion: 4}
		_, err := d.Generate(short, late, nil)
		g.Expect(err).To(HaveOccurred())
		time.Sleep(time.Second)
		g.Expect(w.startCount("late")).To(BeZero())
		d.shardOf("g").expectEmpty(g)
	}))

	// Invariants in random sessions: each client gets one result, no engine exceeds its
	// limit, no request waits that could run, and nothing is left over at the end.
	DescribeTable("keeps its invariants in random sessions", func(seed uint64) {
		inBubble(func(g Gomega) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(4)
			d := startLimitedDaemon(ctx, w)
			var group sync.WaitGroup
			for i := range 300 {
				minVersion, givesUp := ident.Version(r.IntN(5)), r.IntN(8) == 0
				patience := time.Duration(r.IntN(300)) * time.Millisecond
				group.Go(func() {
					defer GinkgoRecover()
					g.Expect(w.runSample(ctx, d, i, minVersion, givesUp, patience)).To(BeTrue())
				})
				if r.IntN(20) == 0 {
					w.raiseVersion(d, ident.Upstream(fmt.Sprintf("e%d", r.IntN(4))))
				}
				time.Sleep(time.Duration(r.IntN(6)) * time.Millisecond)
				synctest.Wait()
				d.shardOf("g").expectNoIdleCapacity(g)
			}
			group.Wait()
			g.Expect(w.maxConcurrent("sample")).To(BeNumerically("<=", engineLimit))
			d.shardOf("g").expectEmpty(g)
		})()
	}, Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)))

	// A step that preferred a version newer than any engine served was refused as a whole.
	It("prefers engines with newer weights up to their limit, and refuses no request for lack of one", inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(2)
		d := startLimitedDaemon(ctx, w)
		failed, _ := runSamples(d, "few", 3, 1, 2)
		g.Expect(failed).To(BeZero())
		g.Expect(w.maxConcurrent("few")).To(Equal(3), "all on the engine with newer weights")
		failed, elapsed := runSamples(d, "more", 14, 1, 2)
		g.Expect(failed).To(BeZero())
		g.Expect(w.maxConcurrent("more")).To(Equal(engineLimit))
		g.Expect(elapsed).To(BeNumerically("<=", (answerTokens+1)*tokenTime), "no request may have waited")
		failed, _ = runSamples(d, "none serves", 3, 1, 9)
		g.Expect(failed).To(BeZero())
	}))

	// The first engine to switch was filled to its limit while three were idle. The load
	// slowed its samples down, and the step ended late because of them.
	It("doesn't send all requests to the first engine with newer weights", inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(4)
		d := startLimitedDaemon(ctx, w)
		failed, _ := runSamples(d, "some", 12, 1, 4)
		g.Expect(failed).To(BeZero())
		g.Expect(w.maxConcurrent("some")).To(And(BeNumerically(">", 12/4), BeNumerically("<=", 6)), "more than an even share, but within the load bound")
	}))
})
