package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// session starts a world with one daemon and ends both.
func session(engines int, p Policy, body func(g Gomega, w *world, d *Dispatcher)) func() {
	return bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(engines)
		body(g, w, w.daemon(ctx, "vm1", p))
	})
}

func problem(err error) *Error {
	var e *Error
	if !errors.As(err, &e) {
		return &Error{Reason: -1}
	}
	return e
}

var _ = Describe("a generation", func() {
	// An engine's process ends in mid-stream. The caller had four tokens; the
	// rest comes from another engine, of another version, and the label says so.
	It("is resumed where its engine died", session(3, Ours, func(g Gomega, w *world, d *Dispatcher) {
		time.AfterFunc(4*tokenTime+tokenTime/2, func() { w.kill(w.busy()[0]) })
		answer, seen, err := ask(d, "hello")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Text).To(Equal(whole()))
		g.Expect(seen).To(Equal(whole()), "each chunk once, in order")
		g.Expect(answer.Upstreams).To(HaveLen(2))
		g.Expect(answer.Segments).To(Equal([]Segment{
			{Version: w.engines[answer.Upstreams[0]].version, Tokens: 4},
			{Version: w.engines[answer.Upstreams[1]].version, Tokens: 6},
		}))
	}))

	// Every engine is gone and nothing listens: the refusal says "not run", and
	// the engines' count agrees.
	It("is truly not run when refused", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		for _, e := range w.engines {
			w.kill(e)
		}
		_, _, err := ask(d, "hello")
		g.Expect(problem(err).Outcome).To(Equal(outcome.NotRun))
		g.Expect(problem(err).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(w.count("hello")).To(Equal(0))
	}))

	// A straggler sits on an engine that became slow. A copy goes on from its
	// tokens elsewhere and wins; chunks of the winner alone are seen.
	It("is hedged as a straggler, and seen once", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		w.slow(time.Second, false)
		time.AfterFunc(300*time.Millisecond, func() { w.slow(0, true) })
		seen := ""
		began := time.Now()
		request := Generate{ID: "s", Team: "t", Model: "m", Class: Rollout, Prompt: "long", Straggler: true}
		answer, err := d.Generate(context.Background(), request, func(ch upstream.Chunk) error {
			seen += ch.Text
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Text).To(Equal(whole()))
		g.Expect(seen).To(Equal(whole()))
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
		g.Expect(w.count("long")).To(Equal(2))
	}))
})

var _ = Describe("a call that isn't idempotent", func() {
	call := Call{ID: "c", Team: "t", Group: "g", Method: "POST", Path: "/", Body: []byte("once")}

	// The connection breaks after the first byte: nobody knows whether it ran, so
	// it is dispatched once and the caller is told "unknown".
	It("is dispatched once when its answer is lost", session(3, Ours, func(g Gomega, w *world, d *Dispatcher) {
		for _, e := range w.engines {
			e.resetAll = true
		}
		_, err := d.Call(context.Background(), call)
		g.Expect(problem(err).Outcome).To(Equal(outcome.Unknown))
		g.Expect(w.count("once")).To(Equal(1))
	}))

	// Two of three upstreams refuse connections before health knows: refused is
	// "not run", so the third may run it.
	It("goes elsewhere when refused", session(3, Ours, func(g Gomega, w *world, d *Dispatcher) {
		w.kill(w.engines["e0"])
		w.kill(w.engines["e1"])
		response, err := d.Call(context.Background(), call)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("once"))
		g.Expect(w.count("once")).To(Equal(1))
	}))
})

// poisoned sends a killer three times, among innocents, and returns the errors.
func poisoned(w *world, d []*Dispatcher) (innocent, killed []error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range 12 {
		group.Go(func() {
			_, seen, err := ask(d[i%len(d)], fmt.Sprint("innocent ", i))
			if err == nil && seen != whole() {
				err = errors.New("not whole: " + seen)
			}
			mu.Lock()
			defer mu.Unlock()
			innocent = append(innocent, err)
		})
	}
	for i := range 4 {
		_, _, err := ask(d[i%len(d)], killer)
		killed = append(killed, err)
		for _, to := range d { // digests flow
			for j, from := range d {
				to.Merge(ident.VM(fmt.Sprint("vm", j+1)), from.Digest())
			}
		}
	}
	group.Wait()
	return innocent, killed
}

// gossip pushes a daemon's digest to the others, at once if it is urgent.
func gossip(ctx context.Context, from *Dispatcher, to []*Dispatcher) {
	for ctx.Err() == nil {
		waitForUrgent(ctx, from)
		waitFor(ctx, nil, 5*time.Millisecond) // on its way
		digest := from.Digest()
		for _, d := range to {
			if d != from {
				d.Merge(from.o.Self, digest)
			}
		}
	}
}

func waitForUrgent(ctx context.Context, d *Dispatcher) {
	select {
	case <-ctx.Done():
	case <-d.Urgent():
	case <-time.After(300 * time.Millisecond):
	}
}

var _ = Describe("a request that kills engines", func() {
	check := func(g Gomega, w *world, innocent, killed []error) {
		g.Expect(w.deaths()).To(BeNumerically("<=", 2), "upstreams lost")
		for _, err := range innocent {
			g.Expect(err).NotTo(HaveOccurred())
		}
		for _, err := range killed {
			g.Expect(problem(err).Reason).To(Equal(Poison))
			g.Expect(problem(err).RetryAfter).To(BeNumerically(">", 0))
		}
	}

	// It kills the engine it runs on, and a second one that it runs on alone.
	// Its caller and every resend get a final answer; who shared the engine is
	// answered whole.
	It("costs two engines and no innocent its answer", session(6, Ours, func(g Gomega, w *world, d *Dispatcher) {
		innocent, killed := poisoned(w, []*Dispatcher{d})
		check(g, w, innocent, killed)
	}))

	// The same, sent again and again through different daemons.
	It("costs two engines through three daemons", session(6, Ours, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*Dispatcher{d, w.daemon(ctx, "vm2", Ours), w.daemon(ctx, "vm3", Ours)}
		innocent, killed := poisoned(w, all)
		check(g, w, innocent, killed)
	}))

	// Its caller sends it to three daemons at the same moment. Each sees the death,
	// but they try it alone one after the other, and the second death ends it.
	It("costs two engines when sent to three daemons at once", session(6, Ours, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*Dispatcher{d, w.daemon(ctx, "vm2", Ours), w.daemon(ctx, "vm3", Ours)}
		for _, from := range all {
			go gossip(ctx, from, all)
		}
		time.Sleep(time.Second)
		var group sync.WaitGroup
		errs := make([]error, len(all))
		for i, at := range all {
			group.Go(func() { _, _, errs[i] = ask(at, killer) })
		}
		group.Wait()
		for _, err := range errs {
			g.Expect(problem(err).Reason).To(Equal(Poison))
		}
		g.Expect(w.deaths()).To(BeNumerically("<=", 2))
	}))

	// Two daemons are busy on every engine. After its first kill the request gets
	// an engine that both keep clear, so that the second kill costs nobody anything.
	It("runs alone after its first kill", session(4, Ours, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*Dispatcher{d, w.daemon(ctx, "vm2", Ours)}
		var group sync.WaitGroup
		for i, from := range all {
			go gossip(ctx, from, all)
			for j := range 8 {
				group.Go(func() {
					for n := 0; n < 20; n++ {
						_, _, _ = ask(from, fmt.Sprint("load ", i, j, n))
					}
				})
			}
		}
		time.Sleep(500*time.Millisecond + 5*tokenTime) // amid the others' answers
		_, _, err := ask(d, killer)
		group.Wait()
		g.Expect(problem(err).Reason).To(Equal(Poison))
		g.Expect(w.beside[killer]).To(HaveLen(2))
		g.Expect(w.beside[killer][0]).To(BeNumerically(">", 0))
		g.Expect(w.beside[killer][1]).To(Equal(0))
	}))

	// The naive policy shows that the check can find a fault.
	It("red alive: costs the naive policy more", session(6, Naive, func(g Gomega, w *world, d *Dispatcher) {
		innocent, killed := poisoned(w, []*Dispatcher{d})
		var faults []string
		note := NewGomega(func(message string, _ ...int) { faults = append(faults, message) })
		check(note, w, innocent, killed)
		g.Expect(faults).NotTo(BeEmpty())
		g.Expect(w.deaths()).To(BeNumerically(">", 2))
	}))
})

var _ = Describe("an upstream that is leaving", func() {
	// Its answer says so. What runs there ends; nothing new starts, here at once
	// and at a peer with the next digest.
	It("gets no new work, and what runs there ends", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		peer := w.daemon(ctx, "vm2", Ours)
		var first Generated
		var err error
		var group sync.WaitGroup
		group.Go(func() { first, _, err = ask(d, "first") })
		time.Sleep(3 * tokenTime)
		leaving := w.busy()[0]
		d.SetLeaving(leaving.name, "vm list")
		peer.Merge("vm1", d.Digest())
		for i := range 8 {
			a, _, _ := ask(d, fmt.Sprint("mine ", i))
			b, _, _ := ask(peer, fmt.Sprint("peer's ", i))
			g.Expect(append(a.Upstreams, b.Upstreams...)).NotTo(ContainElement(leaving.name))
		}
		group.Wait()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(first.Upstreams).To(Equal([]ident.Upstream{leaving.name}))
	}))
})

var _ = Describe("an upstream that the VM list said was leaving before the daemon was configured", func() {
	// A daemon restarts. The list, which names each departure once, is read before
	// the first record of the configuration.
	It("gets no work", bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(2)
		d := New(Options{Self: "vm1", Client: w})
		d.SetLeaving("e0", "vm list")
		d.applyTree(w.tree())
		go d.Run(ctx)
		for i := range 8 {
			answer, _, err := ask(d, fmt.Sprint(i))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Upstreams).To(Equal([]ident.Upstream{"e1"}))
		}
	}))
})

var _ = Describe("a frozen service", func() {
	// It takes connections and calls and answers none. An idempotent call goes to
	// another one after a quarter of its time; any other waits to its deadline,
	// since nobody knows whether it ran.
	call := func(d *Dispatcher, body string, idempotent bool) error {
		_, err := d.Call(context.Background(), Call{
			ID: ident.RequestID(body), Team: "t", Group: "g", Method: "POST", Path: "/", Body: []byte(body),
			Idempotent: idempotent, Deadline: time.Now().Add(20 * time.Second),
		})
		return err
	}
	It("is found by an idempotent call, and costs no other one its outcome", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		w.engines["e0"].frozen = true
		began := time.Now()
		for i := range 6 {
			g.Expect(call(d, fmt.Sprint(i), true)).To(Succeed())
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", 20*time.Second))
		w.engines["e1"].frozen = true
		began = time.Now()
		err := call(d, "once", false)
		g.Expect(problem(err).Outcome).To(Equal(outcome.Unknown))
		g.Expect(time.Since(began)).To(BeNumerically("~", 20*time.Second, time.Second))
		g.Expect(w.count("once")).To(Equal(1))
	}))
})

var _ = Describe("draining", func() {
	// The daemon stops under load: what it accepted ends whole, what comes now is
	// refused as not run.
	It("cuts nothing and takes nothing", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		var group sync.WaitGroup
		var err error
		group.Go(func() { _, _, err = ask(d, "accepted") })
		time.Sleep(3 * tokenTime)
		d.Drain()
		_, _, late := ask(d, "late")
		g.Expect(problem(late).Reason).To(Equal(Draining))
		g.Expect(problem(late).Outcome).To(Equal(outcome.NotRun))
		g.Expect(w.count("late")).To(Equal(0))
		group.Wait()
		g.Expect(err).NotTo(HaveOccurred())
	}))
})
