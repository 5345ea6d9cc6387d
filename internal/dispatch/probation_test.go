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
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// innocents asks for n answers at once and waits for all of them.
func innocents(w *world, d *Dispatcher, n int) []error {
	var group sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		group.Go(func() {
			_, seen, err := ask(d, fmt.Sprint("innocent ", i))
			if err == nil && seen != wholeOf(w.size) {
				err = errors.New("not whole: " + seen)
			}
			errs[i] = err
		})
	}
	group.Wait()
	return errs
}

// killedAmid sends a killer among innocents.
func killedAmid(w *world, d *Dispatcher) (innocent []error, killed error) {
	var group sync.WaitGroup
	group.Go(func() { innocent = innocents(w, d, 24) })
	time.Sleep(tokenTime / 2)
	_, _, killed = ask(d, killer)
	group.Wait()
	return innocent, killed
}

// turnsTogether returns a killer for which two daemons would try it within a few
// milliseconds of each other.
func turnsTogether(a, b *Dispatcher) string {
	return turnWithin(killer, b, func(fp poison.Fingerprint) time.Duration { return a.stagger(fp) })
}

// turnWithin returns a prompt for which a daemon's turn comes within a few milliseconds
// of a time that may depend on it.
func turnWithin(prefix string, d *Dispatcher, of func(poison.Fingerprint) time.Duration) string {
	for n := range 10000 {
		prompt := fmt.Sprint(prefix, " ", n)
		fp := fingerprintOf(prompt)
		if apart := d.stagger(fp) - of(fp); apart.Abs() <= 2*time.Millisecond {
			return prompt
		}
	}
	return ""
}

func fingerprintOf(prompt string) poison.Fingerprint {
	return fingerprint(Generate{Team: "t", Model: "m", Prompt: prompt, MaxTokens: answerSize})
}

// gossipLate is gossip whose words take lateWord on their way.
func gossipLate(ctx context.Context, from, to *Dispatcher) {
	const lateWord = 60 * time.Millisecond
	for ctx.Err() == nil {
		waitForUrgent(ctx, from)
		digest := from.Digest()
		time.AfterFunc(lateWord, func() { to.Merge(from.o.Self, digest) })
	}
}

var _ = Describe("a suspect on probation", func() {
	// A request ends its engine at one token of its answer, be it the first, one
	// that it reaches after a long while, or the last. Two engines are lost. Cause
	// of a third: a request that had generated for a while was excused once.
	for _, at := range []int{0, 8, 15, 16, 17, 40, 58, 59} {
		It(fmt.Sprintf("costs two engines if it kills at token %d of 60", at), session(6, Ours, func(g Gomega, w *world, d *Dispatcher) {
			w.size, w.killAt = 60, at
			innocent, killed := killedAmid(w, d)
			g.Expect(w.deaths()).To(BeNumerically("<=", 2), "upstreams lost")
			g.Expect(problem(killed).Reason).To(Equal(Poison))
			for _, err := range innocent {
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, _, again := ask(d, killer)
			g.Expect(problem(again).Reason).To(Equal(Poison))
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// An engine crashes under eight of 24 streams, each with two seconds to go.
	// One after the other alone, they would take 16 s on the one lane. Each takes
	// as long as its 16 tokens; then the next one joins.
	It("makes room for the next one", session(3, Ours, func(g Gomega, w *world, d *Dispatcher) {
		w.size = 300
		time.AfterFunc(time.Second, func() { w.kill(w.engines["e0"]) })
		began := time.Now()
		for _, err := range innocents(w, d, 24) {
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(w.deaths()).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically("<", 7*time.Second))
		d.allShards()[0].mu.Lock()
		defer d.allShards()[0].mu.Unlock()
		lanes := d.allShards()[0].lanes
		g.Expect(lanes.held).To(BeEmpty())
		g.Expect(lanes.spare).To(BeEmpty())
		g.Expect(lanes.passed).To(BeEmpty())
		for _, m := range d.allShards()[0].order {
			g.Expect(m.usable()).To(BeTrue())
		}
	}))

	// Two engines crash, some seconds apart. Requests that ran on both were past
	// probation on the second one: they are answered, not convicted.
	It("isn't convicted for a second engine that it shared", session(3, Ours, func(g Gomega, w *world, d *Dispatcher) {
		w.size = 600
		time.AfterFunc(time.Second, func() { w.kill(w.engines["e0"]) })
		time.AfterFunc(4*time.Second, func() { w.kill(w.engines["e1"]) })
		time.AfterFunc(4500*time.Millisecond, func() { w.kill(w.engines["e2"]) })
		errs := innocents(w, d, 3)
		for _, err := range errs {
			g.Expect(err).NotTo(HaveOccurred())
		}
	}))

	// A straggler and its copy run on two engines, and both are killed, apart.
	// Peers' and own marks show one death that counts.
	It("isn't convicted for the engines of two copies at different points", func() {
		d := New(Options{Self: "vm1", Client: newWorld(1)})
		r := &run{d: d, fp: 7}
		dies := func(boot string, tokens int) poison.Verdict {
			r.suspect(&slot{m: &member{}, tokens: tokens}, poison.Death{Upstream: "e", BootID: boot})
			return d.judge(7).Verdict
		}
		Expect(dies("a", 100)).To(Equal(poison.Suspect))
		Expect(dies("b", 200)).To(Equal(poison.Suspect))
		Expect(dies("c", 101)).To(Equal(poison.Convicted), "both killed at one point")
	})

	It("is convicted by a death alone, at whatever point", func() {
		d := New(Options{Self: "vm1", Client: newWorld(1)})
		r := &run{d: d, fp: 7}
		r.suspect(&slot{m: &member{}, tokens: 100}, poison.Death{Upstream: "e", BootID: "a"})
		r.suspect(&slot{m: &member{}, tokens: 3, lane: true}, poison.Death{Upstream: "e", BootID: "b"})
		Expect(d.judge(7).Verdict).To(Equal(poison.Convicted))
	})
})

var _ = Describe("a suspect that two daemons know", func() {
	// It has killed once. Copies of it come to two daemons, whose waits for a turn end
	// within the time that word takes: both announce it, neither hears the other's word
	// repeated, both run it when they have waited long enough, and each loses an engine.
	It("is tried by one of them", session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.killAt = 0
		all := w.fleet(ctx, 2)
		prompt := turnsTogether(all[0], all[1])
		for _, at := range all {
			at.died(fingerprintOf(prompt), poison.Death{Upstream: "e9", BootID: "a"})
		}
		var group sync.WaitGroup
		for _, at := range all {
			group.Go(func() {
				_, _, err := ask(at, prompt)
				g.Expect(problem(err).Reason).To(Equal(Poison))
			})
		}
		group.Wait()
		g.Expect(w.deaths()).To(Equal(1))
	}))
})

// spareLane gives a daemon a lane that was cleared for an earlier suspect.
func spareLane(d *Dispatcher, on ident.Upstream) {
	s := d.allShards()[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lanes.spare[on] = true
	s.members[on].held = true
	s.refresh(s.members[on])
}

var _ = Describe("a suspect that waits for a lane at two daemons", func() {
	// After a crash each daemon tries one suspect after the other, on a lane that stays
	// clear of other work. The same suspect is next at both: neither heard of the other's
	// trial, each ran it at once, and each lost an engine.
	It("is tried by one of them, also on lanes that are clear", session(6, Ours, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.killAt = 0
		all := w.fleet(ctx, 2)
		prompt := turnsTogether(all[0], all[1])
		var group sync.WaitGroup
		for i, at := range all {
			at.allShards()[0].seek(1)
			spareLane(at, ident.Upstream(fmt.Sprint("e", i)))
			at.died(fingerprintOf(prompt), poison.Death{Upstream: "e9", BootID: "a"})
			group.Go(func() { _, _, _ = ask(at, prompt) })
		}
		group.Wait()
		g.Expect(w.deaths()).To(Equal(1))
		_, _, err := ask(all[0], prompt)
		g.Expect(problem(err).Reason).To(Equal(Poison))
	}))
})

var _ = Describe("a step's sample that another daemon tries alone", func() {
	// The step's owner stops and hands the step over while it tries one of the samples. The
	// next owner's attempt was refused as poison, which is final: the trainer lost the whole
	// group to a sample that had only shared an engine with a crash.
	It("waits for the trial's end", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		g.Expect(d.o.Self).To(BeEquivalentTo("vm1"))
		request := Generate{ID: "s", Team: "t", Model: "m", Class: Rollout, Prompt: "long", MaxTokens: answerSize}
		fp := fingerprint(request)
		d.died(fp, poison.Death{Upstream: "e9", BootID: "a"})
		until := time.Now().Add(2 * time.Second)
		trial := poison.Mark{Fingerprint: fp, Expires: time.Now().Add(time.Minute), Trying: "vm0", TryingOn: "e0", TryingUntil: until}
		d.Merge("vm0", Digest{Poison: []poison.Mark{trial}})
		answer, err := d.Generate(context.Background(), request, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Text).To(Equal(whole()))
		g.Expect(time.Now()).To(BeTemporally(">=", until))
	}))
})

var _ = Describe("two suspects of two daemons", func() {
	// Both ran beside a death. The daemons open a lane on the same engine at the same
	// moment, each before it hears of the other's. A third daemon is frozen and repeats no
	// word, so both wait as long as they may and then run there. One suspect kills the
	// engine; the other one's death there counts as one alone, and its caller is refused
	// for minutes.
	for _, killerAt := range []int{0, 1} {
		It(fmt.Sprint("aren't tried on one engine at once, the killer at daemon ", killerAt+1), session(1, Ours, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			all := w.fleet(ctx, 2)
			kills := killer + " 0"
			turn := all[killerAt].stagger(fingerprintOf(kills))
			innocent := turnWithin("hello", all[1-killerAt], func(poison.Fingerprint) time.Duration { return turn })
			for _, prompt := range []string{kills, innocent} {
				all[0].died(fingerprintOf(prompt), poison.Death{Upstream: "e9", BootID: "a"})
				all[1].died(fingerprintOf(prompt), poison.Death{Upstream: "e9", BootID: "a"})
			}
			for _, at := range all {
				at.Merge("frozen", Digest{})
			}
			var group sync.WaitGroup
			var seen string
			var killed, answered error
			group.Go(func() { _, _, killed = ask(all[killerAt], kills) })
			group.Go(func() { _, seen, answered = ask(all[1-killerAt], innocent) })
			group.Wait()
			g.Expect(problem(killed).Reason).To(Equal(Poison))
			g.Expect(answered).NotTo(HaveOccurred())
			g.Expect(seen).To(Equal(whole()))
			g.Expect(w.deaths()).To(Equal(1))
		}))
	}
})

var _ = Describe("a suspect's trial", func() {
	// A killer ended an engine, which is back under a new boot ID; the daemon hasn't had a
	// report since. The trial there ends it again. Taken for the death known already, it
	// didn't count, and the next trial cost another engine.
	It("counts on an upstream that has just started again", session(1, Ours, func(g Gomega, w *world, d *Dispatcher) {
		w.killAt = 0
		w.kill(w.engines["e0"])
		d.died(fingerprintOf(killer), poison.Death{Upstream: "e0", BootID: "1"})
		time.Sleep(restartTime + time.Millisecond)
		_, _, err := ask(d, killer)
		g.Expect(problem(err).Reason).To(Equal(Poison))
		g.Expect(w.deaths()).To(Equal(2))
	}))
})

var _ = Describe("a lane's upstream", func() {
	// A peer's word of a moment ago says that nothing runs there; meanwhile it has
	// placed a request. Only a word made after it heard of the lane counts.
	It("is idle when each peer has heard of the lane and says so", func() {
		d := New(Options{Self: "vm1", Client: newWorld(1)})
		peer := New(Options{Self: "vm2", Client: newWorld(1)})
		d.died(7, poison.Death{Upstream: "e9", BootID: "a"})
		d.Merge("vm2", peer.Digest())
		Expect(d.try(7, "e0", time.Now())).To(BeTrue())
		Expect(d.saidClear(7, "e0", false)).To(BeFalse(), "said before it heard")
		peer.Merge("vm1", d.Digest())
		busy := peer.Digest()
		busy.InFlight["e0"] = 1
		d.Merge("vm2", busy)
		Expect(d.saidClear(7, "e0", false)).To(BeFalse(), "one runs on there")
		d.Merge("vm2", peer.Digest())
		Expect(d.saidClear(7, "e0", false)).To(BeTrue())
		Expect(d.saidClear(7, "e1", false)).To(BeFalse())
	})

	// The same with two busy daemons whose words take a while on their way. What
	// killed once ran beside a request that the peer had placed meanwhile.
	It("is idle though words take long", session(4, Ours, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		peer := w.daemon(ctx, "vm2", Ours)
		go gossipLate(ctx, d, peer)
		go gossipLate(ctx, peer, d)
		var group sync.WaitGroup
		for i, from := range []*Dispatcher{d, peer} {
			for j := range 3 {
				group.Go(func() {
					for n := range 40 {
						waitFor(ctx, nil, time.Duration(7*i+11*j+13*n%50)*time.Millisecond)
						_, _, _ = ask(from, fmt.Sprint("load ", i, j, n))
					}
				})
			}
		}
		time.Sleep(time.Second)
		_, _, err := ask(d, killer)
		group.Wait()
		g.Expect(problem(err).Reason).To(Equal(Poison))
		g.Expect(w.beside[killer]).To(HaveLen(2))
		g.Expect(w.beside[killer][1]).To(Equal(0))
	}))

	It("isn't waited for longer than QuarantineWait", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		d.Merge("vm2", Digest{})
		d.died(7, poison.Death{Upstream: "e9", BootID: "a"})
		s := d.allShards()[0]
		began := time.Now()
		s.awaitIdle(context.Background(), s.order[0], 7, false)
		g.Expect(time.Since(began)).To(Equal(d.o.QuarantineWait))
	}))

	// All lanes are taken for long. A peer convicts a request that waits for one;
	// its caller gets the final answer at once.
	It("isn't waited for by who was convicted meanwhile", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		s := d.allShards()[0]
		s.mu.Lock()
		s.openLane(99, &want{})
		s.mu.Unlock()
		d.died(7, poison.Death{Upstream: "e8", BootID: "a"})
		time.AfterFunc(time.Second, func() { d.died(7, poison.Death{Upstream: "e9", BootID: "b"}) })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r := &run{d: d, s: s, fp: 7}
		began := time.Now()
		_, err := r.place(ctx)
		g.Expect(err.Reason).To(Equal(Poison))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second+2*tick))
	}))
})
