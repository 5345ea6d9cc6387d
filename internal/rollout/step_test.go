package rollout

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

var _ = Describe("token versions", func() {
	// Failure: a sample is attributed to a single version although the engine switched
	// weights in mid-stream, or the attempt was resumed on an engine with another
	// version. This happens if the version of the first or last chunk is used for all.
	It("are recorded for every token, with adjacent segments merged", func() {
		s := newStep(testSpec(1, 1), Options{})
		g := actionsOf[Generate](s.Handle(at(0), Tick{}))[0]
		segments := []Segment{{5, 0, 2}, {5, 2, 3}, {6, 3, 7}, {5, 7, 8}}
		s.Handle(at(1), Generated{ID: g.ID, Attempt: g.Attempt, Text: "x", Tokens: 8, Segments: segments})
		s.Handle(at(2), Scored{ID: g.ID, Attempt: g.Attempt})
		answer, _ := handlePull(s, at(3), pullWith(6))
		Expect(answer.Groups[0].Samples[0].Segments).To(Equal([]Segment{{5, 0, 3}, {6, 3, 7}, {5, 7, 8}}))
	})

	// Failure: a chunk has no version or the segments omit a token, and the trainer gets
	// tokens of unknown version. The text must be generated again.
	DescribeTable("are required for every token of a delivered sample", func(segments ...Segment) {
		s := newStep(testSpec(1, 1), Options{})
		g := actionsOf[Generate](s.Handle(at(0), Tick{}))[0]
		s.Handle(at(1), Generated{ID: g.ID, Attempt: g.Attempt, Text: "x", Tokens: 4, Segments: segments})
		Expect(s.Counts().Tally.Unlabelled).To(Equal(1))
		Expect(s.Counts().Waiting).To(Equal(1))
		Expect(actionsOf[Generate](s.Handle(at(5000), Tick{}))).To(HaveLen(1))
	},
		Entry("no segments"),
		Entry("version 0", Segment{5, 0, 2}, Segment{0, 2, 4}),
		Entry("a gap", Segment{5, 0, 1}, Segment{6, 2, 4}),
		Entry("an overlap", Segment{5, 0, 3}, Segment{6, 2, 4}),
		Entry("too short", Segment{5, 0, 3}),
		Entry("too long", Segment{5, 0, 5}),
	)

	// Failure: an engine reports version 9 before serving it, so an attempt is sent there
	// although its first token will be from version 4. Completing the attempt wastes
	// work, and retrying without a delay calls the same engine in a tight loop.
	It("cancel an attempt whose first token is too old, with a backoff", func() {
		s := newStep(testSpec(1, 1), Options{})
		s.Handle(at(0), NewestVersion{9})
		actions := s.Handle(at(1), Began{ID: SampleID{0, 0}, Attempt: 1, Version: 4})
		Expect(actions).To(Equal([]Action{CancelAttempt{SampleID{0, 0}, 1}}))
		Expect(actionsOf[Generate](s.Handle(at(50), Tick{}))).To(BeEmpty())
		Expect(actionsOf[Generate](s.Handle(at(150), Tick{}))).To(HaveLen(1))
	})
})

var _ = Describe("staleness", func() {
	// Failure: new versions are published while samples are being generated or scored or
	// are waiting for a pull, and the trainer gets samples beyond the staleness bound.
	// This happens if staleness is checked at generation instead of delivery.
	It("discards stale samples in every state and starts them again", func() {
		s := newStep(testSpec(1, 3), Options{})
		starts := actionsOf[Generate](s.Handle(at(0), Tick{}))
		completeSample(s, at(1), starts[0], 5)                                                                         // ready
		s.Handle(at(1), Generated{ID: starts[1].ID, Attempt: 1, Text: "t", Tokens: 1, Segments: []Segment{{5, 0, 1}}}) // being scored
		s.Handle(at(1), Began{ID: starts[2].ID, Attempt: 1, Version: 5})                                               // generating
		Expect(s.Handle(at(2), NewestVersion{7})).To(BeEmpty())
		actions := s.Handle(at(3), NewestVersion{8})
		again := actionsOf[Generate](actions)
		Expect(again).To(HaveLen(3))
		for _, g := range again {
			Expect(g.Attempt).To(BeEquivalentTo(2))
			Expect(g.MinVersion).To(BeEquivalentTo(6))
		}
		Expect(actionsOf[CancelAttempt](actions)).To(HaveLen(2))
	})

	// Failure: a daemon is suspended with a finished group and resumes when the group is
	// beyond the staleness bound. It has not seen the new versions, and only the pull
	// contains the trainer's version.
	It("is checked against the trainer's version in the pull", func() {
		s := newStep(testSpec(1, 2), Options{})
		for _, g := range actionsOf[Generate](s.Handle(at(0), Tick{})) {
			completeSample(s, at(1), g, 5)
		}
		Expect(s.DeliverableGroups()).To(Equal(1))
		answer, again := handlePull(s, at(3_600_000), pullWith(8))
		Expect(answer).To(Equal(Deliver{JudgedBy: 8, Remaining: 1}))
		Expect(again).To(HaveLen(2))
	})

	It("is determined by the oldest version of a sample, and a lower bound applies immediately", func() {
		s := newStep(testSpec(1, 1), Options{})
		g := actionsOf[Generate](s.Handle(at(0), Tick{}))[0]
		s.Handle(at(1), Generated{ID: g.ID, Attempt: 1, Text: "x", Tokens: 4, Segments: []Segment{{6, 0, 3}, {5, 3, 4}}})
		s.Handle(at(1), Scored{ID: g.ID, Attempt: 1})
		s.Handle(at(2), NewestVersion{6})
		Expect(s.DeliverableGroups()).To(Equal(1))
		s.Handle(at(3), SetStalenessBound{0})
		Expect(s.DeliverableGroups()).To(Equal(0))
	})

	// Failure: engines serve version 17, the newest version is 20, the bound is 4 and the
	// staleness weight is 1. A step that required version 19 had every attempt refused
	// although samples of version 17 were fresh enough.
	DescribeTable("limits the minimum version to the bound and the preferred version to a margin above it", func(weight float64, bound, minimum, preferred int) {
		spec := testSpec(1, 1)
		spec.StalenessWeight = weight
		spec.StalenessBound = int64(bound)
		g := actionsOf[Generate](newStep(spec, Options{}).Handle(at(0), NewestVersion{20}))[0]
		Expect(g.MinVersion).To(Equal(ident.Version(minimum)))
		Expect(g.Prefer).To(Equal(ident.Version(preferred)))
	},
		Entry("weight on idle time only", 0.0, 4, 16, 16),
		Entry("weight on both", 0.5, 4, 16, 18),
		Entry("weight on staleness only, one version left for the switch", 1.0, 4, 16, 19),
		Entry("bound of zero", 1.0, 0, 20, 20),
		Entry("bound that reaches below the first version", 1.0, 30, 0, 19),
	)
})

var _ = Describe("exactly-once delivery", func() {
	// Failure: the connection breaks in the middle of an answer, which the trainer
	// discards. An owner that treats groups as delivered once they are sent never sends
	// them again, and the step never completes.
	It("offers a group until it is in the cursor, and never afterwards", func() {
		s := newStep(testSpec(2, 1), Options{})
		for _, g := range actionsOf[Generate](s.Handle(at(0), Tick{})) {
			completeSample(s, at(1), g, 5)
		}
		answer, _ := handlePull(s, at(2), pullWith(5))
		Expect(answer.Groups).To(HaveLen(2))
		answer, _ = handlePull(s, at(3), pullWith(5, 1))
		Expect(answer.Groups).To(HaveLen(1))
		Expect(answer.Groups[0].Number).To(Equal(0))
		Expect(answer.Whole).To(BeTrue())
		answer, _ = handlePull(s, at(4), pullWith(5, 0, 1))
		Expect(answer).To(Equal(Deliver{JudgedBy: 5, Whole: true}))
		Expect(s.Counts().Bytes).To(BeZero())
	})

	// Failure: two daemons own the step, and the other one has delivered group 0 while
	// this one still generates it. This one must not deliver it or continue its work.
	It("cancels the work on a group that another owner delivered", func() {
		s := newStep(testSpec(2, 2), Options{})
		s.Handle(at(0), Tick{})
		actions := s.Handle(at(1), pullWith(5, 0))
		Expect(actionsOf[CancelAttempt](actions)).To(HaveLen(2))
		s.Handle(at(2), Generated{ID: SampleID{0, 0}, Attempt: 1, Text: "late", Tokens: 1, Segments: []Segment{{5, 0, 1}}})
		Expect(s.Counts().Ready + s.Counts().Scoring).To(BeZero())
	})

	// Failure: the trainer restarts and loses the groups that it held, so its cursor is
	// empty, and the step never generates them again.
	It("generates a group again that is no longer in the cursor", func() {
		s := newStep(testSpec(1, 1), Options{})
		completeSample(s, at(1), actionsOf[Generate](s.Handle(at(0), Tick{}))[0], 5)
		handlePull(s, at(2), pullWith(5, 0))
		_, again := handlePull(s, at(3), pullWith(5))
		Expect(again).To(HaveLen(1))
	})

	// Failure: an attempt times out and a second one runs when the result of the first
	// one arrives, so the slot gets two texts.
	It("ignores the late result of an attempt that has ended", func() {
		s := newStep(testSpec(1, 1), Options{})
		s.Handle(at(0), Tick{})
		s.Handle(at(1), GenerateFailed{ID: SampleID{0, 0}, Attempt: 1})
		Expect(actionsOf[Generate](s.Handle(at(200), Tick{}))).To(HaveLen(1))
		Expect(s.Handle(at(201), Generated{ID: SampleID{0, 0}, Attempt: 1, Text: "x", Tokens: 1, Segments: []Segment{{5, 0, 1}}})).To(BeEmpty())
		Expect(s.Counts().Generating).To(Equal(1))
	})

	// Failure: a prompt crashes every engine that runs it, and the trainer waits for the
	// group until its deadline. The group must be reported as failed immediately, once.
	It("delivers a group with a poison request as failed, once", func() {
		s := newStep(testSpec(2, 2), Options{})
		s.Handle(at(0), Tick{})
		poison := GenerateFailed{ID: SampleID{1, 1}, Attempt: 1, Failure: Failure{Kind: Poison, Reason: "poison"}}
		Expect(s.Handle(at(1), poison)).To(ConsistOf(CancelAttempt{SampleID{1, 0}, 1}))
		answer, _ := handlePull(s, at(2), pullWith(5))
		Expect(answer.Groups).To(Equal([]Group{{Number: 1, Failed: true, Reason: "poison"}}))
		answer, _ = handlePull(s, at(3), pullWith(5, 1))
		Expect(answer.Groups).To(BeEmpty())
	})
})

var _ = Describe("scheduling", func() {
	It("starts groups with the longest expected length first, each with all its samples, up to the concurrency limit", func() {
		s := newStep(testSpec(3, 2), Options{MaxGenerating: 3})
		var order []SampleID
		for _, g := range actionsOf[Generate](s.Handle(at(0), Tick{})) {
			order = append(order, g.ID)
		}
		Expect(order).To(Equal([]SampleID{{2, 0}, {2, 1}, {1, 0}}))
	})

	It("doubles the backoff up to its maximum and respects the upstream's Retry-After", func() {
		s := newStep(testSpec(1, 1), Options{BackoffBase: 100 * time.Millisecond, BackoffMax: 300 * time.Millisecond})
		s.Handle(at(0), Tick{})
		now := 0
		for attempt, wait := range []int{100, 200, 300, 300} {
			s.Handle(at(now), GenerateFailed{ID: SampleID{0, 0}, Attempt: uint32(attempt + 1)})
			Expect(actionsOf[Generate](s.Handle(at(now+wait-1), Tick{}))).To(BeEmpty())
			now += wait
			Expect(actionsOf[Generate](s.Handle(at(now), Tick{}))).To(HaveLen(1))
		}
		s.Handle(at(now), GenerateFailed{ID: SampleID{0, 0}, Attempt: 5, Failure: Failure{Kind: NotRun, RetryAfter: time.Second}})
		Expect(actionsOf[Generate](s.Handle(at(now+999), Tick{}))).To(BeEmpty())
	})

	// Failure: the trainer publishes a version and submits a step of 500 samples, while
	// the engines need seven seconds to load the version and switch to it. With a separate
	// backoff for each slot, each sample was refused every few seconds, thousands of times
	// in total, and the step resumed up to five seconds after the switch.
	It("probes with a single attempt while attempts are refused, and starts the rest when a probe succeeds", func() {
		s := newStep(testSpec(125, 4), Options{MaxGenerating: 1024})
		attempts := actionsOf[Generate](s.Handle(at(0), Tick{}))
		Expect(attempts).To(HaveLen(500))
		const switched, tick = 7030, 100
		for now := tick; now < switched; now += tick {
			for _, g := range attempts {
				s.Handle(at(now-tick+3), GenerateFailed{g.ID, g.Attempt, Failure{Kind: NotRun}})
			}
			attempts = actionsOf[Generate](s.Handle(at(now), Tick{}))
			Expect(len(attempts)).To(BeNumerically("<=", 1))
		}
		Expect(s.Counts().Tally.Attempts).To(BeNumerically("<", 500+25))
		for _, g := range attempts {
			s.Handle(at(switched-1), GenerateFailed{g.ID, g.Attempt, Failure{Kind: NotRun}})
		}
		attempts = nil
		now := switched
		for ; len(attempts) == 0; now += tick {
			attempts = actionsOf[Generate](s.Handle(at(now), Tick{}))
		}
		Expect(now).To(BeNumerically("<", switched+1000))
		rest := actionsOf[Generate](s.Handle(at(now), Began{attempts[0].ID, attempts[0].Attempt, 5}))
		Expect(rest).To(HaveLen(499))
		Expect(s.checkInvariants()).To(Succeed())
	})

	// Failure: other steps fill the dispatcher's queue, so a probe waits there, neither
	// refused nor generating. With only one attempt in the queue the step starves.
	It("allows more probes while they wait in a queue", func() {
		s := newStep(testSpec(8, 2), Options{BackoffBase: 100 * time.Millisecond, MaxProbeInterval: 500 * time.Millisecond})
		first := actionsOf[Generate](s.Handle(at(0), Tick{}))
		s.Handle(at(0), GenerateFailed{first[0].ID, 1, Failure{Kind: NotRun}})
		for _, g := range first[1:] {
			s.Handle(at(1), GenerateFailed{g.ID, 1, Failure{Kind: NotRun}})
		}
		var started []int
		for _, now := range []int{70, 100, 599, 600, 1100} {
			started = append(started, len(actionsOf[Generate](s.Handle(at(now), Tick{}))))
		}
		Expect(started).To(Equal([]int{0, 1, 0, 1, 2}))
	})

	// Failure: an engine reports a version before serving it, so the first token of each
	// probe is too old. This must not count as a successful probe.
	It("keeps probing while the first tokens of probes are too old", func() {
		s := newStep(testSpec(2, 2), Options{})
		for _, g := range actionsOf[Generate](s.Handle(at(0), NewestVersion{9})) {
			s.Handle(at(1), GenerateFailed{g.ID, 1, Failure{Kind: NotRun}})
		}
		probe := actionsOf[Generate](s.Handle(at(101), Tick{}))
		Expect(probe).To(HaveLen(1))
		Expect(actionsOf[Generate](s.Handle(at(102), Began{probe[0].ID, probe[0].Attempt, 4}))).To(BeEmpty())
		Expect(actionsOf[Generate](s.Handle(at(400), Tick{}))).To(HaveLen(1))
	})

	// Failure: the last sample runs on a slow engine, and the trainer waits for it alone.
	It("marks only the last samples to start as stragglers, including their retries", func() {
		s := newStep(testSpec(1, 8), Options{MaxGenerating: 1}) // the previous sample is being scored when the next one starts
		var order, stragglers []int
		starts := actionsOf[Generate](s.Handle(at(0), Tick{}))
		for remaining := 8; len(starts) > 0; remaining-- {
			g := starts[0]
			starts = starts[1:]
			if g.Straggler {
				stragglers = append(stragglers, g.ID.Index)
			}
			if remaining == 1 && g.Attempt == 1 {
				s.Handle(at(100), GenerateFailed{ID: g.ID, Attempt: 1})
				starts = actionsOf[Generate](s.Handle(at(200), Tick{}))
				remaining++
				continue
			}
			order = append(order, g.ID.Index)
			actions := s.Handle(at(10), Generated{ID: g.ID, Attempt: g.Attempt, Text: "t", Tokens: 4, Segments: []Segment{{5, 0, 4}}})
			starts = append(starts, actionsOf[Generate](append(actions, s.Handle(at(10), Scored{ID: g.ID, Attempt: g.Attempt})...))...)
		}
		Expect(order).To(Equal([]int{0, 1, 2, 3, 4, 5, 6, 7}))
		Expect(stragglers).To(Equal([]int{7, 7}))
	})

	It("starts no attempts while the memory is full and a pull could free some", func() {
		s := newStep(testSpec(4, 1), Options{MaxGenerating: 1, MaxBufferedBytes: 1})
		completeSample(s, at(1), actionsOf[Generate](s.Handle(at(0), Tick{}))[0], 5)
		Expect(s.DeliverableGroups()).To(Equal(1))
		Expect(s.Counts().Generating).To(BeEquivalentTo(1)) // started while the first was being scored
		completeSample(s, at(2), Generate{ID: SampleID{1, 0}, Attempt: 1}, 5)
		Expect(s.Counts().Generating + s.Counts().Scoring).To(BeZero())
		_, started := handlePull(s, at(3), pullWith(5, 1, 2))
		Expect(started).To(HaveLen(1))
	})

	// Failure: many steps together fill the daemon's memory although none exceeds its own
	// limit.
	It("starts no attempts under memory pressure from other steps if a pull could free some", func() {
		s := newStep(testSpec(3, 1), Options{MaxGenerating: 1})
		first := actionsOf[Generate](s.Handle(at(0), Tick{}))[0]
		second := actionsOf[Generate](s.Handle(at(1), Generated{first.ID, 1, "t", 1, []Segment{{5, 0, 1}}}))[0]
		s.Handle(at(2), Scored{first.ID, 1, 0.5})
		s.Handle(at(3), MemoryPressure{Full: true})
		completeSample(s, at(4), second, 5)
		Expect(s.Counts().Generating).To(BeZero())
		third := actionsOf[Generate](s.Handle(at(5), MemoryPressure{}))[0]
		s.Handle(at(6), MemoryPressure{Full: true})
		s.Handle(at(7), GenerateFailed{ID: third.ID, Attempt: 1})
		Expect(actionsOf[Generate](s.Handle(at(5000), Tick{}))).To(BeEmpty())
		held := pullWith(5, uint32(first.ID.Group), uint32(second.ID.Group))
		_, started := handlePull(s, at(5001), held) // a pull could free nothing more
		Expect(started).To(HaveLen(1))
	})

	It("cancels all attempts when the step is cancelled", func() {
		s := newStep(testSpec(2, 2), Options{})
		s.Handle(at(0), Tick{})
		Expect(actionsOf[CancelAttempt](s.Handle(at(1), Cancel{}))).To(HaveLen(4))
		Expect(s.Handle(at(2), pullWith(5))).To(BeEmpty())
	})
})
