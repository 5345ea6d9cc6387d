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

// withDaemon returns a test body that runs with simulated engines and one daemon.
func withDaemon(engines int, p Policy, body func(g Gomega, w *world, d *Dispatcher)) func() {
	return inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(engines)
		body(g, w, w.startDaemon(ctx, "vm1", p))
	})
}

func dispatchError(err error) *Error {
	var e *Error
	if !errors.As(err, &e) {
		return &Error{Reason: -1}
	}
	return e
}

var _ = Describe("a generation", func() {
	// An engine's process dies in mid-stream, after four tokens. Another engine, with
	// another version, generates the rest, and the segments say so.
	It("is resumed on another engine at the token where its engine died", withDaemon(3, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		time.AfterFunc(4*tokenTime+tokenTime/2, func() { w.kill(w.busyEngines()[0]) })
		answer, seen, err := generate(d, "hello")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Text).To(Equal(fullAnswer()))
		g.Expect(seen).To(Equal(fullAnswer()), "each chunk must be passed on once, in order")
		g.Expect(answer.Upstreams).To(HaveLen(2))
		g.Expect(answer.Segments).To(Equal([]Segment{
			{Version: w.engines[answer.Upstreams[0]].version, Tokens: 4},
			{Version: w.engines[answer.Upstreams[1]].version, Tokens: 6},
		}))
	}))

	// All engines are down and refuse connections. The error must be "not run", and the
	// engines must not have started the request.
	It("hasn't run if it is refused as not run", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		for _, e := range w.engines {
			w.kill(e)
		}
		_, _, err := generate(d, "hello")
		g.Expect(dispatchError(err).Outcome).To(Equal(outcome.NotRun))
		g.Expect(dispatchError(err).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(w.startCount("hello")).To(Equal(0))
	}))

	// A straggler runs on an engine that has become slow. A hedge resumes its answer on
	// another engine and wins. Only the winner's chunks are passed on.
	It("is hedged if it is a slow straggler, and each chunk is passed on once", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		w.setExtraTokenTime(time.Second, false)
		time.AfterFunc(300*time.Millisecond, func() { w.setExtraTokenTime(0, true) })
		seen := ""
		began := time.Now()
		request := GenerateRequest{ID: "s", Team: "t", Model: "m", Class: ClassRollout, Prompt: "long", Straggler: true}
		answer, err := d.Generate(context.Background(), request, func(ch upstream.Chunk) error {
			seen += ch.Text
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Text).To(Equal(fullAnswer()))
		g.Expect(seen).To(Equal(fullAnswer()))
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
		g.Expect(w.startCount("long")).To(Equal(2))
	}))
})

var _ = Describe("a call that isn't idempotent", func() {
	call := CallRequest{ID: "c", Team: "t", Group: "g", Method: "POST", Path: "/", Body: []byte("once")}

	// The connection breaks after the first byte, so it is unknown whether the call ran. It
	// must not be sent again, and the outcome must be "unknown".
	It("isn't sent again when its answer is lost", withDaemon(3, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		for _, e := range w.engines {
			e.resetAll = true
		}
		_, err := d.Call(context.Background(), call)
		g.Expect(dispatchError(err).Outcome).To(Equal(outcome.Unknown))
		g.Expect(w.startCount("once")).To(Equal(1))
	}))

	// Two of three upstreams refuse connections before health knows of it. A refused
	// connection means "not run", so the third may run the call.
	It("is sent to another upstream when the connection is refused", withDaemon(3, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		w.kill(w.engines["e0"])
		w.kill(w.engines["e1"])
		response, err := d.Call(context.Background(), call)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("once"))
		g.Expect(w.startCount("once")).To(Equal(1))
	}))
})

// sendKillersAmongHarmless sends a killer four times among harmless requests and returns
// the errors.
func sendKillersAmongHarmless(w *world, daemons []*Dispatcher) (harmlessErrs, killerErrs []error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range 12 {
		group.Go(func() {
			_, seen, err := generate(daemons[i%len(daemons)], fmt.Sprint("innocent ", i))
			if err == nil && seen != fullAnswer() {
				err = errors.New("incomplete answer: " + seen)
			}
			mu.Lock()
			defer mu.Unlock()
			harmlessErrs = append(harmlessErrs, err)
		})
	}
	for i := range 4 {
		_, _, err := generate(daemons[i%len(daemons)], killerPrompt)
		killerErrs = append(killerErrs, err)
		for _, to := range daemons { // exchange digests
			for j, from := range daemons {
				to.Merge(ident.VM(fmt.Sprint("vm", j+1)), from.Digest())
			}
		}
	}
	group.Wait()
	return harmlessErrs, killerErrs
}

// gossip sends a daemon's digest to the others, at once if it is urgent.
func gossip(ctx context.Context, from *Dispatcher, to []*Dispatcher) {
	for ctx.Err() == nil {
		waitForUrgent(ctx, from)
		waitUpTo(ctx, nil, 5*time.Millisecond) // network delay
		digest := from.Digest()
		for _, d := range to {
			if d != from {
				d.Merge(from.options.Self, digest)
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
	check := func(g Gomega, w *world, harmlessErrs, killerErrs []error) {
		g.Expect(w.deaths()).To(BeNumerically("<=", 2), "engines killed")
		for _, err := range harmlessErrs {
			g.Expect(err).NotTo(HaveOccurred())
		}
		for _, err := range killerErrs {
			g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
			g.Expect(dispatchError(err).RetryAfter).To(BeNumerically(">", 0))
		}
	}

	// The killer ends the engine that it runs on, and then the one on which it runs in
	// quarantine. Its client gets a final error, also when it sends the request again.
	// Requests that ran on the same engines get their whole answers.
	It("kills at most two engines, and other requests get their answers", withDaemon(6, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		harmlessErrs, killerErrs := sendKillersAmongHarmless(w, []*Dispatcher{d})
		check(g, w, harmlessErrs, killerErrs)
	}))

	// The same killer is sent again and again through different daemons.
	It("kills at most two engines through three daemons", withDaemon(6, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*Dispatcher{d, w.startDaemon(ctx, "vm2", PolicyFull), w.startDaemon(ctx, "vm3", PolicyFull)}
		harmlessErrs, killerErrs := sendKillersAmongHarmless(w, all)
		check(g, w, harmlessErrs, killerErrs)
	}))

	// The killer is sent through three daemons at the same time. Each sees the first death,
	// but they must run their trials one after the other, so that the second death is the
	// last one.
	It("kills at most two engines when sent through three daemons at once", withDaemon(6, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*Dispatcher{d, w.startDaemon(ctx, "vm2", PolicyFull), w.startDaemon(ctx, "vm3", PolicyFull)}
		for _, from := range all {
			go gossip(ctx, from, all)
		}
		time.Sleep(time.Second)
		var group sync.WaitGroup
		errs := make([]error, len(all))
		for i, at := range all {
			group.Go(func() { _, _, errs[i] = generate(at, killerPrompt) })
		}
		group.Wait()
		for _, err := range errs {
			g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
		}
		g.Expect(w.deaths()).To(BeNumerically("<=", 2))
	}))

	// Two daemons have requests on every engine. After its first kill, the killer must get an
	// engine that neither daemon uses, so that the second kill affects no other request.
	It("runs without other requests beside it after its first kill", withDaemon(4, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*Dispatcher{d, w.startDaemon(ctx, "vm2", PolicyFull)}
		var group sync.WaitGroup
		for i, from := range all {
			go gossip(ctx, from, all)
			for j := range 8 {
				group.Go(func() {
					for n := 0; n < 20; n++ {
						_, _, _ = generate(from, fmt.Sprint("load ", i, j, n))
					}
				})
			}
		}
		time.Sleep(500*time.Millisecond + 5*tokenTime) // other answers are being generated
		_, _, err := generate(d, killerPrompt)
		group.Wait()
		g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
		g.Expect(w.runningAtStart[killerPrompt]).To(HaveLen(2))
		g.Expect(w.runningAtStart[killerPrompt][0]).To(BeNumerically(">", 0))
		g.Expect(w.runningAtStart[killerPrompt][1]).To(Equal(0))
	}))

	// Shows that the check above can fail.
	It("negative control: kills more engines under the naive policy", withDaemon(6, PolicyNaive, func(g Gomega, w *world, d *Dispatcher) {
		harmlessErrs, killerErrs := sendKillersAmongHarmless(w, []*Dispatcher{d})
		var faults []string
		note := NewGomega(func(message string, _ ...int) { faults = append(faults, message) })
		check(note, w, harmlessErrs, killerErrs)
		g.Expect(faults).NotTo(BeEmpty())
		g.Expect(w.deaths()).To(BeNumerically(">", 2))
	}))
})

var _ = Describe("an upstream that is leaving", func() {
	// Requests that run on the upstream end there. No new one starts, neither from this daemon
	// nor, after the next digest, from a peer.
	It("gets no new requests, and those running there end", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		peer := w.startDaemon(ctx, "vm2", PolicyFull)
		var first Completion
		var err error
		var group sync.WaitGroup
		group.Go(func() { first, _, err = generate(d, "first") })
		time.Sleep(3 * tokenTime)
		leaving := w.busyEngines()[0]
		d.SetLeaving(leaving.name, "vm list")
		peer.Merge("vm1", d.Digest())
		for i := range 8 {
			a, _, _ := generate(d, fmt.Sprint("mine ", i))
			b, _, _ := generate(peer, fmt.Sprint("peer's ", i))
			g.Expect(append(a.Upstreams, b.Upstreams...)).NotTo(ContainElement(leaving.name))
		}
		group.Wait()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(first.Upstreams).To(Equal([]ident.Upstream{leaving.name}))
	}))
})

var _ = Describe("an upstream that the VM list reported as leaving before the daemon was configured", func() {
	// A daemon restarts. The VM list, which names each leaving upstream only once, is read
	// before the configuration.
	It("gets no requests", inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(2)
		d := New(Options{Self: "vm1", Client: w})
		d.SetLeaving("e0", "vm list")
		d.applyTree(w.tree())
		go d.Run(ctx)
		for i := range 8 {
			answer, _, err := generate(d, fmt.Sprint(i))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Upstreams).To(Equal([]ident.Upstream{"e1"}))
		}
	}))
})

var _ = Describe("a frozen service", func() {
	// The service accepts connections and never answers. An idempotent call is sent to
	// another upstream after a quarter of its time. Any other call waits until its deadline,
	// since it is unknown whether it ran.
	call := func(d *Dispatcher, body string, idempotent bool) error {
		_, err := d.Call(context.Background(), CallRequest{
			ID: ident.RequestID(body), Team: "t", Group: "g", Method: "POST", Path: "/", Body: []byte(body),
			Idempotent: idempotent, Deadline: time.Now().Add(20 * time.Second),
		})
		return err
	}
	It("delays an idempotent call for a part of its time, and leaves the outcome of any other unknown", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		w.engines["e0"].frozen = true
		began := time.Now()
		for i := range 6 {
			g.Expect(call(d, fmt.Sprint(i), true)).To(Succeed())
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", 20*time.Second))
		w.engines["e1"].frozen = true
		began = time.Now()
		err := call(d, "once", false)
		g.Expect(dispatchError(err).Outcome).To(Equal(outcome.Unknown))
		g.Expect(time.Since(began)).To(BeNumerically("~", 20*time.Second, time.Second))
		g.Expect(w.startCount("once")).To(Equal(1))
	}))
})

var _ = Describe("draining", func() {
	// The daemon is stopped under load: accepted requests get their whole answers, and new
	// ones are refused as not run.
	It("ends accepted requests and refuses new ones", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		var group sync.WaitGroup
		var err error
		group.Go(func() { _, _, err = generate(d, "accepted") })
		time.Sleep(3 * tokenTime)
		d.Drain()
		_, _, late := generate(d, "late")
		g.Expect(dispatchError(late).Reason).To(Equal(ReasonDraining))
		g.Expect(dispatchError(late).Outcome).To(Equal(outcome.NotRun))
		g.Expect(w.startCount("late")).To(Equal(0))
		group.Wait()
		g.Expect(err).NotTo(HaveOccurred())
	}))
})
