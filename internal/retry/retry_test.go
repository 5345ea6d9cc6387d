package retry_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

// sendsWithOutcome returns the count of n sends that all had the same outcome.
func sendsWithOutcome(n int, o outcome.Outcome) retry.Sends {
	var s retry.Sends
	for range n {
		s.Begin()
		if o == outcome.NotRun {
			s.MarkNotRun()
		}
	}
	return s
}

// forEachAttempt calls check with each combination of the inputs of a decision.
func forEachAttempt(check func(retry.FailedAttempt)) {
	bools := []bool{false, true}
	for _, o := range []outcome.Outcome{outcome.Unknown, outcome.NotRun, outcome.Ran} {
		for _, idempotent := range bools {
			for _, resumable := range bools {
				for _, sent := range bools {
					for _, attempts := range []int{1, 3, 4, 12} {
						a := retry.FailedAttempt{Outcome: o, Idempotent: idempotent, Resumable: resumable, AnswerStarted: sent, Sends: sendsWithOutcome(attempts, o)}
						check(a)
						a.Transient, a.UpstreamDied = true, true
						check(a)
					}
				}
			}
		}
	}
}

// expectedAction is the rule of the package in short: a request that may have run is
// repeated only if it may run twice, and one whose answer the caller has a part of only if
// it can be resumed. tokens is the budget.
func expectedAction(a retry.FailedAttempt, tokens int) retry.Action {
	maxSends := map[outcome.Outcome]int{outcome.NotRun: 12, outcome.Unknown: 4, outcome.Ran: 4}[a.Outcome]
	mayRepeat := a.Outcome == outcome.NotRun || a.Idempotent && (a.Outcome == outcome.Unknown || a.Transient)
	covered := a.Outcome == outcome.NotRun || a.UpstreamDied || tokens > 0
	if !mayRepeat || !covered || a.Sends.Total >= maxSends || a.AnswerStarted && !a.Resumable {
		return retry.Fail
	}
	if a.AnswerStarted {
		return retry.Resume
	}
	return retry.Retry
}

// keepsPromise reports whether an action keeps the promise that a request which may have run
// and isn't idempotent doesn't run again.
func keepsPromise(a retry.FailedAttempt, action retry.Action) bool {
	return action == retry.Fail || a.Idempotent || a.Outcome == outcome.NotRun
}

// decideWithFullBudget decides with the default options and a full budget.
func decideWithFullBudget(a retry.FailedAttempt) retry.Decision {
	return retry.Decide(a, retry.NewBudget(retry.BudgetOptions{}, epoch), retry.Options{}, epoch)
}

var _ = Describe("Decide", func() {
	It("agrees with the short rule, with and without a token left", func() {
		forEachAttempt(func(a retry.FailedAttempt) {
			for _, tokens := range []int{0, 1} {
				budget := retry.NewBudget(retry.BudgetOptions{Capacity: 1}, epoch)
				if tokens == 0 {
					budget.Take(epoch)
				}
				got := retry.Decide(a, budget, retry.Options{}, epoch)
				Expect(got.Action).To(Equal(expectedAction(a, tokens)), "%+v, %d tokens", a, tokens)
				Expect(keepsPromise(a, got.Action)).To(BeTrue(), "%+v", a)
			}
		})
	})

	It("negative control: retrying every failure breaks the promise", func() {
		violations := 0
		forEachAttempt(func(a retry.FailedAttempt) {
			if !keepsPromise(a, retry.Retry) {
				violations++
			}
		})
		Expect(violations).To(BeNumerically(">", 0))
	})

	It("repeats nothing at the deadline", func() {
		a := retry.FailedAttempt{Outcome: outcome.NotRun, Sends: sendsWithOutcome(1, outcome.NotRun), Deadline: epoch}
		Expect(retry.Decide(a, retry.NewBudget(retry.BudgetOptions{}, epoch), retry.Options{}, epoch).Cause).To(Equal(retry.DeadlinePassed))
	})

	// A group restarts. Its upstreams refuse the request, one after the other, until the
	// first one that is back takes it and dies. Refusals counted as attempts, so the caller
	// got an error although only that one upstream may have run the request.
	It("counts runs and refused sends separately", func() {
		sends := sendsWithOutcome(11, outcome.NotRun)
		sends.Begin()
		a := retry.FailedAttempt{Outcome: outcome.Unknown, Idempotent: true, Sends: sends}
		Expect(decideWithFullBudget(a).Cause).To(Equal(retry.Exhausted), "twelve sends are the maximum")
		a.Sends.Total = 11
		Expect(decideWithFullBudget(a).Action).To(Equal(retry.Retry))
		a.Outcome, a.Idempotent = outcome.NotRun, false
		Expect(decideWithFullBudget(a).Cause).To(Equal(retry.NotSafe), "an earlier send may have run the request")
	})

	It("decides as in the golden file", func() {
		var b strings.Builder
		budget := retry.NewBudget(retry.BudgetOptions{Capacity: 10}, epoch)
		now := epoch
		forEachAttempt(func(a retry.FailedAttempt) {
			now = now.Add(50 * time.Millisecond)
			d := retry.Decide(a, budget, retry.Options{}, now)
			fmt.Fprintf(&b, "%v idempotent=%v resumable=%v sent=%v attempts=%d died=%v -> %v (%v) after %v, %.2f tokens\n",
				a.Outcome, a.Idempotent, a.Resumable, a.AnswerStarted, a.Sends.Total, a.UpstreamDied, d.Action, d.Cause, d.Delay, budget.Tokens(now))
		})
		golden.Expect("session.golden", b.String())
	})
})

var _ = Describe("Budget", func() {
	// The reference bucket is filled in steps of 1 ms.
	It("agrees with a reference bucket and limits repetitions to a share of the traffic", func() {
		random := rand.New(rand.NewPCG(4, 2))
		o := retry.BudgetOptions{PerSuccess: 0.1, PerSecond: 2, Capacity: 20}
		budget := retry.NewBudget(o, epoch)
		now, tokens := epoch, o.Capacity
		successes, taken := 0, 0
		for range 20000 {
			for range random.IntN(10) {
				now = now.Add(time.Millisecond)
				tokens = min(o.Capacity, tokens+o.PerSecond/1000)
			}
			if random.IntN(2) == 0 {
				successes++
				budget.Succeeded(now)
				tokens = min(o.Capacity, tokens+o.PerSuccess)
				continue
			}
			if budget.Take(now) {
				taken++
				tokens--
			}
			Expect(budget.Tokens(now)).To(BeNumerically("~", tokens, 1e-6))
		}
		maxTaken := o.Capacity + o.PerSuccess*float64(successes) + o.PerSecond*now.Sub(epoch).Seconds()
		Expect(float64(taken)).To(BeNumerically("<=", maxTaken))
	})
})
