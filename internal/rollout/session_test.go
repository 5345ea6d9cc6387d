package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// session is a randomized simulation of one step: two daemons that may own the step at
// the same time, engines and scorers that fail, versions published at any time, and a
// trainer that follows the protocol. It checks the package's guarantees at the trainer.
type session struct {
	rng              *rand.Rand
	spec             Spec
	newOwner         func(Spec) eventHandler
	now              time.Time
	owners           [2]eventHandler // nil for a daemon that crashed or never got the step
	work             [2][]Action     // Generate and Score actions in progress at each owner
	publishedVersion ident.Version

	accepted       map[int]Group // groups that the trainer holds
	trainerVersion ident.Version // newest version known to the trainer
	delayedAnswers []Deliver     // answers that frozen owners never sent; discarded at a later pull
	injectFaults   bool
}

func newSession(seed uint64, newOwner func(Spec) eventHandler) *session {
	w := &session{rng: rand.New(rand.NewPCG(seed, 7)), newOwner: newOwner, now: epoch, publishedVersion: 5, trainerVersion: 5, accepted: map[int]Group{}, injectFaults: true}
	w.spec = testSpec(2+w.rng.IntN(6), 1+w.rng.IntN(4))
	return w
}

// oneIn returns true with probability 1/n while faults are injected, otherwise false.
func (w *session) oneIn(n int) bool { return w.injectFaults && w.rng.IntN(n) == 0 }

// run simulates 300 rounds with faults, then up to 400 rounds without, in which the
// trainer must get every group. The error describes the first violation that the
// trainer observed.
func (w *session) run() error {
	for range 300 {
		if err := w.advance(); err != nil {
			return err
		}
	}
	w.injectFaults = false
	for range 400 {
		if err := w.advance(); err != nil {
			return err
		}
		if len(w.accepted) == len(w.spec.Prompts) {
			return nil
		}
	}
	return fmt.Errorf("missing: only %d of %d groups arrived", len(w.accepted), len(w.spec.Prompts))
}

// advance simulates one round of up to 150 ms.
func (w *session) advance() error {
	w.now = w.now.Add(time.Duration(w.rng.IntN(150)) * time.Millisecond)
	if w.oneIn(25) {
		w.publishedVersion++
	}
	if w.oneIn(8) {
		w.trainerVersion = max(w.trainerVersion, w.publishedVersion)
	}
	if w.oneIn(120) {
		w.accepted = map[int]Group{} // the trainer restarts and has lost all groups
	}
	for o := range w.owners {
		if w.oneIn(60) {
			w.owners[o], w.work[o] = nil, nil
		}
		if w.owners[o] == nil {
			continue
		}
		w.handle(o, Tick{})
		if !w.oneIn(3) {
			w.handle(o, NewestVersion{w.publishedVersion})
		}
		for range 1 + w.rng.IntN(6) {
			w.completeOne(o)
		}
	}
	if w.rng.IntN(3) == 0 {
		return w.simulateTrainerPull()
	}
	return nil
}

// handle passes an event to an owner and queues the work that it starts. It returns the
// answer if the event is a pull.
func (w *session) handle(o int, e Event) (answer Deliver) {
	for _, a := range w.owners[o].Handle(w.now, e) {
		switch a := a.(type) {
		case Deliver:
			answer = a
		case Generate, Score:
			w.work[o] = append(w.work[o], a)
		}
	}
	return answer
}

// completeOne ends one random piece of an owner's work. The work may have been cancelled
// already, because results can arrive late.
func (w *session) completeOne(o int) {
	if len(w.work[o]) == 0 {
		return
	}
	i := w.rng.IntN(len(w.work[o]))
	a := w.work[o][i]
	w.work[o] = slices.Delete(w.work[o], i, i+1)
	failure := Failure{Kind: FailureKind(w.rng.IntN(2)), RetryAfter: time.Duration(w.rng.IntN(300)) * time.Millisecond}
	if w.oneIn(40) {
		failure = Failure{Kind: Poison, Reason: "poison"}
	}
	switch a := a.(type) {
	case Score:
		if w.oneIn(6) {
			w.handle(o, ScoreFailed{a.ID, a.Attempt, failure})
			return
		}
		w.handle(o, Scored{a.ID, a.Attempt, 1})
	case Generate:
		if w.oneIn(5) {
			w.handle(o, GenerateFailed{a.ID, a.Attempt, failure})
			return
		}
		w.simulateEngine(o, a)
	}
}

// simulateEngine completes an attempt as an engine does that may serve an older version
// than requested and may switch versions in mid-stream. The text contains the version of
// each token.
func (w *session) simulateEngine(o int, a Generate) {
	v := w.publishedVersion
	if w.injectFaults {
		v = max(1, w.publishedVersion-ident.Version(w.rng.IntN(4)))
	}
	if w.rng.IntN(2) == 0 {
		w.handle(o, Began{a.ID, a.Attempt, v})
	}
	var segments []Segment
	text := ""
	tokens := 1 + w.rng.IntN(8)
	for range tokens {
		if w.oneIn(10) {
			v++
		}
		text += fmt.Sprintf("%d,", v)
		segments = AppendTokens(segments, v, 1)
	}
	if w.oneIn(12) {
		segments[0].Version = 0
	}
	w.handle(o, Generated{a.ID, a.Attempt, text, tokens, segments})
}

// simulateTrainerPull sends a pull to one of the owners at random, as a load balancer
// would, or submits the step again if that daemon doesn't know it.
func (w *session) simulateTrainerPull() error {
	o := w.rng.IntN(len(w.owners))
	have := roaring.New()
	for g := range w.accepted {
		have.Add(uint32(g))
	}
	if w.owners[o] == nil { // the daemon answers that the step is unknown
		w.owners[o] = w.newOwner(w.spec)
		w.handle(o, Cursor{have, w.trainerVersion})
		return nil
	}
	answer := w.handle(o, Pull{Have: have, TrainerVersion: w.trainerVersion, MaxGroups: w.rng.IntN(4)})
	switch {
	case w.oneIn(5): // the connection breaks in the middle of the answer
		return nil
	case w.oneIn(5): // the owner freezes before it has sent the answer
		w.delayedAnswers = append(w.delayedAnswers, answer)
		return nil
	case w.oneIn(6): // the trainer learns of a new version before the answer arrives
		w.trainerVersion = max(w.trainerVersion, w.publishedVersion)
	}
	// Answers from frozen owners arrive on connections that the trainer no longer reads.
	w.delayedAnswers = nil
	if answer.JudgedBy < w.trainerVersion {
		return nil
	}
	return w.accept(answer)
}

// accept checks an answer and takes its groups as the trainer does.
func (w *session) accept(answer Deliver) error {
	for _, group := range answer.Groups {
		if _, accepted := w.accepted[group.Number]; accepted {
			return fmt.Errorf("group %d was delivered twice", group.Number)
		}
		if err := w.checkGroup(group); err != nil {
			return err
		}
		w.accepted[group.Number] = group
	}
	complete := len(w.accepted) == len(w.spec.Prompts)
	if answer.Whole && !complete {
		return fmt.Errorf("missing: the answer is marked whole with only %d of %d groups", len(w.accepted), len(w.spec.Prompts))
	}
	if complete && !answer.Whole {
		return errors.New("every group was delivered but the answer isn't marked whole")
	}
	return nil
}

// checkGroup checks the completeness, the staleness and the token versions of a group.
func (w *session) checkGroup(group Group) error {
	if group.Failed {
		return nil
	}
	if len(group.Samples) != w.spec.GroupSize {
		return errors.New("an incomplete group was delivered")
	}
	for i, sample := range group.Samples {
		if sample.Index != i || sample.Group != group.Number {
			return errors.New("a sample has the wrong group or index")
		}
		if sample.Oldest() < w.trainerVersion-ident.Version(w.spec.StalenessBound) {
			return fmt.Errorf("stale: version %d was delivered when the trainer knew version %d", sample.Oldest(), w.trainerVersion)
		}
		var text strings.Builder
		for _, segment := range sample.Segments {
			text.WriteString(strings.Repeat(fmt.Sprintf("%d,", segment.Version), segment.To-segment.From))
		}
		if text.String() != sample.Completion {
			return fmt.Errorf("segments %v don't match the text %s", sample.Segments, sample.Completion)
		}
	}
	return nil
}

// comparison passes every event to two handlers and records the first difference
// between their actions.
type comparison struct {
	a, b            eventHandler
	firstDifference error
}

func (p *comparison) Handle(now time.Time, e Event) []Action {
	left, right := p.a.Handle(now, e), p.b.Handle(now, e)
	if l, r := sortedActions(left), sortedActions(right); !slices.Equal(l, r) && p.firstDifference == nil {
		p.firstDifference = fmt.Errorf("%T %+v:\n%v\n%v", e, e, l, r)
	}
	return left
}

// sortedActions formats actions and sorts them. The order of the reference's
// cancellations is random because it iterates over a map.
func sortedActions(actions []Action) []string {
	var lines []string
	for _, a := range actions {
		lines = append(lines, fmt.Sprintf("%T%+v", a, a))
	}
	slices.Sort(lines)
	return lines
}

const sessionCount = 200

var referenceOptions = Options{MaxGenerating: 5, MaxScoring: 2, StragglerShare: 0.3}

var _ = Describe("random sessions", func() {
	It("uphold every guarantee to the trainer", func() {
		options := Options{MaxGenerating: 5, StragglerShare: 0.3}
		attempts := 0
		for seed := range uint64(sessionCount) {
			var steps []*Step
			w := newSession(seed, func(spec Spec) eventHandler {
				s, _ := New(spec, options, epoch)
				steps = append(steps, s)
				return s
			})
			Expect(w.run()).To(Succeed(), "seed %d", seed)
			for _, s := range steps {
				attempts += s.tally.Attempts
				Expect(s.checkInvariants()).To(Succeed(), "seed %d", seed)
			}
		}
		Expect(attempts).To(BeNumerically(">", sessionCount*10))
	})

	It("lead to the same decisions as the reference model", func() {
		for seed := range uint64(sessionCount) {
			var comparisons []*comparison
			w := newSession(seed, func(spec Spec) eventHandler {
				s, _ := New(spec, referenceOptions, epoch)
				comparisons = append(comparisons, &comparison{a: s, b: newReference(spec, referenceOptions)})
				return comparisons[len(comparisons)-1]
			})
			Expect(w.run()).To(Succeed(), "seed %d", seed)
			for _, p := range comparisons {
				Expect(p.firstDifference).NotTo(HaveOccurred(), "seed %d", seed)
			}
		}
	})

	// The checks of a session must be able to fail: they must detect the mistakes of a
	// naive implementation.
	DescribeTable("detect a faulty model", func(fault func(*reference), firstWords ...string) {
		found := map[string]int{} // sessions by the first word of their error
		for seed := range uint64(sessionCount) {
			w := newSession(seed, func(spec Spec) eventHandler {
				r := newReference(spec, referenceOptions)
				fault(r)
				return r
			})
			if err := w.run(); err != nil {
				found[strings.Fields(err.Error())[0]]++
			}
		}
		GinkgoWriter.Println(found)
		for _, word := range firstWords {
			Expect(found).To(HaveKey(word))
		}
	},
		Entry("that treats sent groups as delivered", func(r *reference) { r.treatsSentAsDelivered = true }, "missing:", "group"),
		Entry("that checks staleness only when the text is generated", func(r *reference) { r.skipsLaterStalenessChecks = true }, "stale:"),
	)
})

// checkInvariants compares the step's sets and counters with a full scan of its slots.
func (s *Step) checkInvariants() error {
	bytes, probes := 0, 0
	var counts [stateCount]int
	for i := range s.slots {
		sl := &s.slots[i]
		counts[sl.state]++
		if !s.index.sets[sl.state].Contains(uint32(i)) {
			return fmt.Errorf("slot %d isn't in the set for its state", i)
		}
		if (sl.completion != nil) != sl.state.hasCompletion() || (sl.runningAttempt != 0) != (sl.state == generating) {
			return fmt.Errorf("slot %d: %+v", i, *sl)
		}
		if s.isProbe(i) {
			probes++
		}
		if sl.completion != nil {
			bytes += len(sl.completion.text)
		}
	}
	if s.breaker.open && probes != s.breaker.probes {
		return fmt.Errorf("%d probes are running, but the breaker counts %d", probes, s.breaker.probes)
	}
	if counts != s.index.counts || bytes != s.bufferedBytes {
		return fmt.Errorf("the slots have counts %v and %d bytes, but the step has %v and %d", counts, bytes, s.index.counts, s.bufferedBytes)
	}
	return nil
}
