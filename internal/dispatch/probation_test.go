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

// sendHarmless sends n harmless requests at once and waits for all answers.
func sendHarmless(w *world, d *Dispatcher, n int) []error {
	var group sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		group.Go(func() {
			_, seen, err := generate(d, fmt.Sprint("innocent ", i))
			if err == nil && seen != answerOf(w.answerTokens) {
				err = errors.New("incomplete answer: " + seen)
			}
			errs[i] = err
		})
	}
	group.Wait()
	return errs
}

// sendKillerAmongHarmless sends a killer among harmless requests.
func sendKillerAmongHarmless(w *world, d *Dispatcher) (harmlessErrs []error, killerErr error) {
	var group sync.WaitGroup
	group.Go(func() { harmlessErrs = sendHarmless(w, d, 24) })
	time.Sleep(tokenTime / 2)
	_, _, killerErr = generate(d, killerPrompt)
	group.Wait()
	return harmlessErrs, killerErr
}

// promptWithEqualDelays returns a killer whose trial two daemons would start within a few
// milliseconds of each other.
func promptWithEqualDelays(a, b *Dispatcher) string {
	return promptWithDelayNear(killerPrompt, b, func(fp poison.Fingerprint) time.Duration { return a.trialDelay(fp) })
}

// promptWithDelayNear returns a prompt for which a daemon's trial delay differs by at most a
// few milliseconds from the one that target returns for the prompt's fingerprint.
func promptWithDelayNear(prefix string, d *Dispatcher, target func(poison.Fingerprint) time.Duration) string {
	for n := range 10000 {
		prompt := fmt.Sprint(prefix, " ", n)
		fp := promptFingerprint(prompt)
		if difference := d.trialDelay(fp) - target(fp); difference.Abs() <= 2*time.Millisecond {
			return prompt
		}
	}
	return ""
}

func promptFingerprint(prompt string) poison.Fingerprint {
	return requestFingerprint(GenerateRequest{Team: "t", Model: "m", Prompt: prompt, MaxTokens: answerTokens})
}

// gossipDelayed is gossip between two daemons whose digests take digestDelay to arrive.
func gossipDelayed(ctx context.Context, from, to *Dispatcher) {
	const digestDelay = 60 * time.Millisecond
	for ctx.Err() == nil {
		waitForUrgent(ctx, from)
		digest := from.Digest()
		time.AfterFunc(digestDelay, func() { to.Merge(from.options.Self, digest) })
	}
}

var _ = Describe("a suspect on probation", func() {
	// A request kills its engine at one token of its answer: the first, one that it reaches
	// late, or the last. Two engines may be lost. A third was, when a request that had been
	// generating for a while was not marked as a suspect the first time.
	for _, at := range []int{0, 8, 15, 16, 17, 40, 58, 59} {
		It(fmt.Sprintf("kills at most two engines if it does so at token %d of 60", at), withDaemon(6, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
			w.answerTokens, w.killAtToken = 60, at
			harmlessErrs, killerErr := sendKillerAmongHarmless(w, d)
			g.Expect(w.deaths()).To(BeNumerically("<=", 2), "engines killed")
			g.Expect(dispatchError(killerErr).Reason).To(Equal(ReasonPoison))
			for _, err := range harmlessErrs {
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, _, again := generate(d, killerPrompt)
			g.Expect(dispatchError(again).Reason).To(Equal(ReasonPoison))
			g.Expect(w.deaths()).To(BeNumerically("<=", 2))
		}))
	}

	// An engine crashes under eight of 24 streams, each with two seconds to go. There is
	// room for one quarantine, and one after the other they would take 16 s. Each must leave
	// it after its 16 tokens of probation, so that the next suspect can join.
	It("makes room for the next suspect when its probation ends", withDaemon(3, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		w.answerTokens = 300
		time.AfterFunc(time.Second, func() { w.kill(w.engines["e0"]) })
		began := time.Now()
		for _, err := range sendHarmless(w, d, 24) {
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(w.deaths()).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically("<", 7*time.Second))
		d.allShards()[0].mu.Lock()
		defer d.allShards()[0].mu.Unlock()
		quarantine := d.allShards()[0].quarantine
		g.Expect(quarantine.active).To(BeEmpty())
		g.Expect(quarantine.standby).To(BeEmpty())
		g.Expect(quarantine.pastProbation).To(BeEmpty())
		for _, m := range d.allShards()[0].used {
			g.Expect(m.usable()).To(BeTrue())
		}
	}))

	// Two engines crash, some seconds apart. Requests that ran on both had passed their
	// probation on the second one. They must be answered, not convicted.
	It("isn't convicted when an engine crashes on which it had passed its probation", withDaemon(3, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		w.answerTokens = 600
		time.AfterFunc(time.Second, func() { w.kill(w.engines["e0"]) })
		time.AfterFunc(4*time.Second, func() { w.kill(w.engines["e1"]) })
		time.AfterFunc(4500*time.Millisecond, func() { w.kill(w.engines["e2"]) })
		errs := sendHarmless(w, d, 3)
		for _, err := range errs {
			g.Expect(err).NotTo(HaveOccurred())
		}
	}))

	// A straggler and its hedge run on two engines, and both engines crash, at different
	// points of the answer. Only one of these deaths may count against the request.
	It("isn't convicted by deaths of the engines of two runs at different points", func() {
		d := New(Options{Self: "vm1", Client: newWorld(1)})
		r := &requestRun{dispatcher: d, fingerprint: 7}
		dies := func(boot string, tokens int) poison.Verdict {
			r.recordSuspectDeath(&slot{member: &member{}, tokens: tokens}, poison.Death{Upstream: "e", BootID: boot})
			return d.poisonDecision(7).Verdict
		}
		Expect(dies("a", 100)).To(Equal(poison.Suspect))
		Expect(dies("b", 200)).To(Equal(poison.Suspect))
		Expect(dies("c", 101)).To(Equal(poison.Convicted), "two deaths at about the same point")
	})

	It("is convicted by a death in quarantine, at any point", func() {
		d := New(Options{Self: "vm1", Client: newWorld(1)})
		r := &requestRun{dispatcher: d, fingerprint: 7}
		r.recordSuspectDeath(&slot{member: &member{}, tokens: 100}, poison.Death{Upstream: "e", BootID: "a"})
		r.recordSuspectDeath(&slot{member: &member{}, tokens: 3, quarantined: true}, poison.Death{Upstream: "e", BootID: "b"})
		Expect(d.poisonDecision(7).Verdict).To(Equal(poison.Convicted))
	})
})

var _ = Describe("a suspect known to two daemons", func() {
	// A request has killed an engine. Copies of it arrive at two daemons whose trial delays
	// differ by less than an announcement takes. Both announced a trial, neither saw it
	// acknowledged, both started it after QuarantineWait, and each lost an engine.
	It("gets a trial at one of them only", withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.killAtToken = 0
		all := w.startDaemons(ctx, 2)
		prompt := promptWithEqualDelays(all[0], all[1])
		for _, at := range all {
			at.recordDeath(promptFingerprint(prompt), poison.Death{Upstream: "e9", BootID: "a"})
		}
		var group sync.WaitGroup
		for _, at := range all {
			group.Go(func() {
				_, _, err := generate(at, prompt)
				g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
			})
		}
		group.Wait()
		g.Expect(w.deaths()).To(Equal(1))
	}))
})

// addStandbyQuarantine gives a daemon a standby upstream, kept from an earlier trial.
func addStandbyQuarantine(d *Dispatcher, on ident.Upstream) {
	s := d.allShards()[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.standby[on] = true
	s.members[on].quarantined = true
	s.updateRouting(s.members[on])
}

var _ = Describe("a suspect that waits for a quarantine at two daemons", func() {
	// After a crash, each daemon runs one trial after the other on an upstream that it keeps
	// free of other work. Both daemons had the same suspect next. Neither heard of the
	// other's trial, each started it at once, and each lost an engine.
	It("gets a trial at one of them only, even if both have a standby upstream", withDaemon(6, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.killAtToken = 0
		all := w.startDaemons(ctx, 2)
		prompt := promptWithEqualDelays(all[0], all[1])
		var group sync.WaitGroup
		for i, at := range all {
			at.allShards()[0].addWaitingSuspects(1)
			addStandbyQuarantine(at, ident.Upstream(fmt.Sprint("e", i)))
			at.recordDeath(promptFingerprint(prompt), poison.Death{Upstream: "e9", BootID: "a"})
			group.Go(func() { _, _, _ = generate(at, prompt) })
		}
		group.Wait()
		g.Expect(w.deaths()).To(Equal(1))
		_, _, err := generate(all[0], prompt)
		g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
	}))
})

var _ = Describe("a step's sample whose trial runs at another daemon", func() {
	// The owner of a training step stops while it runs a trial of one of the step's samples,
	// and another daemon takes over the step. That daemon's attempt was refused as poison,
	// which is final, so the trainer lost a whole group of samples because of one that had
	// merely been running on an engine when that crashed.
	It("waits for the end of the trial", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		g.Expect(d.options.Self).To(BeEquivalentTo("vm1"))
		request := GenerateRequest{ID: "s", Team: "t", Model: "m", Class: ClassRollout, Prompt: "long", MaxTokens: answerTokens}
		fp := requestFingerprint(request)
		d.recordDeath(fp, poison.Death{Upstream: "e9", BootID: "a"})
		until := time.Now().Add(2 * time.Second)
		trial := poison.Mark{Fingerprint: fp, Expires: time.Now().Add(time.Minute), TrialVM: "vm0", TrialUpstream: "e0", TrialExpires: until}
		d.Merge("vm0", Digest{Poison: []poison.Mark{trial}})
		answer, err := d.Generate(context.Background(), request, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Text).To(Equal(fullAnswer()))
		g.Expect(time.Now()).To(BeTemporally(">=", until))
	}))
})

var _ = Describe("a step's sample under which engines died in a burst", func() {
	// Two engines died under a sound sample, the second one while it ran alone. The sample was
	// rejected for ten minutes, and its group was delivered as failed. A caller's request with as
	// many deaths must still be rejected.
	It("runs alone again after a pause", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		sample := GenerateRequest{ID: "s", Team: "t", Model: "m", Class: ClassRollout, Prompt: "sample", MaxTokens: answerTokens}
		call := GenerateRequest{ID: "c", Team: "t", Model: "m", Prompt: "call", MaxTokens: answerTokens}
		for _, request := range []GenerateRequest{sample, call} {
			for _, boot := range []string{"a", "b"} {
				d.recordDeath(requestFingerprint(request), poison.Death{Upstream: "e9", BootID: boot})
			}
		}
		_, err := d.Generate(context.Background(), sample, nil)
		g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
		retryAfter := dispatchError(err).RetryAfter
		g.Expect(retryAfter).To(BeNumerically("<=", 4*time.Second))
		time.Sleep(retryAfter)
		answer, err := d.Generate(context.Background(), sample, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Text).To(Equal(fullAnswer()))
		_, err = d.Generate(context.Background(), call, nil)
		g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
		g.Expect(dispatchError(err).RetryAfter).To(BeNumerically(">", time.Minute))
	}))

	It("costs at most one engine in each pause if it does kill them", withDaemon(6, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		sample := GenerateRequest{ID: "s", Team: "t", Model: "m", Class: ClassRollout, Prompt: killerPrompt, MaxTokens: answerTokens}
		const duration = 20 * time.Second
		for began := time.Now(); time.Since(began) < duration; {
			_, err := d.Generate(context.Background(), sample, nil)
			g.Expect(err).To(HaveOccurred())
			time.Sleep(max(dispatchError(err).RetryAfter, 100*time.Millisecond))
		}
		g.Expect(w.deaths()).To(And(BeNumerically(">", 2), BeNumerically("<=", 2+int(duration/(4*time.Second)))))
	}))
})

var _ = Describe("the trials of two suspects at two daemons", func() {
	// Both suspects were running on an engine that died. The daemons quarantined the same
	// engine at the same moment, before they heard of each other's trial. A third daemon was
	// frozen and acknowledged neither, so both waited for QuarantineWait and started. One
	// suspect killed the engine, the death counted as one in quarantine for the other as
	// well, and its client was refused for minutes.
	for _, killerAt := range []int{0, 1} {
		It(fmt.Sprint("don't run on the same engine at the same time, with the killer at daemon ", killerAt+1), withDaemon(1, PolicyFull, func(g Gomega, w *world, _ *Dispatcher) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			all := w.startDaemons(ctx, 2)
			variant := killerPrompt + " 0"
			delay := all[killerAt].trialDelay(promptFingerprint(variant))
			harmlessPrompt := promptWithDelayNear("hello", all[1-killerAt], func(poison.Fingerprint) time.Duration { return delay })
			for _, prompt := range []string{variant, harmlessPrompt} {
				all[0].recordDeath(promptFingerprint(prompt), poison.Death{Upstream: "e9", BootID: "a"})
				all[1].recordDeath(promptFingerprint(prompt), poison.Death{Upstream: "e9", BootID: "a"})
			}
			for _, at := range all {
				at.Merge("frozen", Digest{})
			}
			var group sync.WaitGroup
			var seen string
			var killerErr, harmlessErr error
			group.Go(func() { _, _, killerErr = generate(all[killerAt], variant) })
			group.Go(func() { _, seen, harmlessErr = generate(all[1-killerAt], harmlessPrompt) })
			group.Wait()
			g.Expect(dispatchError(killerErr).Reason).To(Equal(ReasonPoison))
			g.Expect(harmlessErr).NotTo(HaveOccurred())
			g.Expect(seen).To(Equal(fullAnswer()))
			g.Expect(w.deaths()).To(Equal(1))
		}))
	}
})

var _ = Describe("a suspect's trial", func() {
	// A killer ended an engine, which has restarted under a new boot ID. The daemon hasn't
	// had a load report since. The trial ended the engine again, but the death was taken for
	// the one already known and didn't count, so the next trial cost another engine.
	It("counts a death on an upstream that has just restarted", withDaemon(1, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		w.killAtToken = 0
		w.kill(w.engines["e0"])
		d.recordDeath(promptFingerprint(killerPrompt), poison.Death{Upstream: "e0", BootID: "1"})
		time.Sleep(restartTime + time.Millisecond)
		_, _, err := generate(d, killerPrompt)
		g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
		g.Expect(w.deaths()).To(Equal(2))
	}))
})

var _ = Describe("a quarantined upstream", func() {
	// A peer's digest may report no requests on the engine while the peer is just placing one
	// there. Only a digest made after the peer heard of the trial counts.
	It("is idle once each peer has acknowledged the trial and reports no requests there", func() {
		d := New(Options{Self: "vm1", Client: newWorld(1)})
		peer := New(Options{Self: "vm2", Client: newWorld(1)})
		d.recordDeath(7, poison.Death{Upstream: "e9", BootID: "a"})
		d.Merge("vm2", peer.Digest())
		Expect(d.claimTrial(7, "e0", time.Now())).To(BeTrue())
		Expect(d.peersReportClear(7, "e0", false)).To(BeFalse(), "the peer hadn't heard of the trial")
		peer.Merge("vm1", d.Digest())
		busy := peer.Digest()
		busy.InFlight["e0"] = 1
		d.Merge("vm2", busy)
		Expect(d.peersReportClear(7, "e0", false)).To(BeFalse(), "one of the peer's requests is still running there")
		d.Merge("vm2", peer.Digest())
		Expect(d.peersReportClear(7, "e0", false)).To(BeTrue())
		Expect(d.peersReportClear(7, "e1", false)).To(BeFalse())
	})

	// The same with two busy daemons whose digests arrive late. A suspect ran beside a request
	// that the peer had placed in the meantime.
	It("is idle when the trial starts, even if digests arrive late", withDaemon(4, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		peer := w.startDaemon(ctx, "vm2", PolicyFull)
		go gossipDelayed(ctx, d, peer)
		go gossipDelayed(ctx, peer, d)
		var group sync.WaitGroup
		for i, from := range []*Dispatcher{d, peer} {
			for j := range 3 {
				group.Go(func() {
					for n := range 40 {
						waitUpTo(ctx, nil, time.Duration(7*i+11*j+13*n%50)*time.Millisecond)
						_, _, _ = generate(from, fmt.Sprint("load ", i, j, n))
					}
				})
			}
		}
		time.Sleep(time.Second)
		_, _, err := generate(d, killerPrompt)
		group.Wait()
		g.Expect(dispatchError(err).Reason).To(Equal(ReasonPoison))
		g.Expect(w.runningAtStart[killerPrompt]).To(HaveLen(2))
		g.Expect(w.runningAtStart[killerPrompt][1]).To(Equal(0))
	}))

	It("isn't waited for longer than QuarantineWait", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		d.Merge("vm2", Digest{})
		d.recordDeath(7, poison.Death{Upstream: "e9", BootID: "a"})
		s := d.allShards()[0]
		began := time.Now()
		s.waitUntilIdle(context.Background(), s.used[0], 7, false)
		g.Expect(time.Since(began)).To(Equal(d.options.QuarantineWait))
	}))

	// No quarantine is available for a long time. A peer convicts a request that waits for
	// one; its client must get the final error at once.
	It("isn't waited for by a request that is convicted in the meantime", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		s := d.allShards()[0]
		s.mu.Lock()
		s.openQuarantine(99, &placementRequest{})
		s.mu.Unlock()
		d.recordDeath(7, poison.Death{Upstream: "e8", BootID: "a"})
		time.AfterFunc(time.Second, func() { d.recordDeath(7, poison.Death{Upstream: "e9", BootID: "b"}) })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r := &requestRun{dispatcher: d, shard: s, fingerprint: 7}
		began := time.Now()
		_, err := r.acquireSlot(ctx)
		g.Expect(err.Reason).To(Equal(ReasonPoison))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second+2*tickInterval))
	}))
})
