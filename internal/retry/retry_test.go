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

// alike is a number of sends that all had the same outcome.
func alike(n int, o outcome.Outcome) retry.Sends {
	var s retry.Sends
	for range n {
		s.Begin()
		if o == outcome.NotRun {
			s.NotRun()
		}
	}
	return s
}

// every calls with each combination of what matters to a decision.
func every(with func(retry.Attempt)) {
	bools := []bool{false, true}
	for _, o := range []outcome.Outcome{outcome.Unknown, outcome.NotRun, outcome.Ran} {
		for _, idempotent := range bools {
			for _, resumable := range bools {
				for _, sent := range bools {
					for _, attempts := range []int{1, 3, 4, 12} {
						a := retry.Attempt{Outcome: o, Idempotent: idempotent, Resumable: resumable, Sent: sent, Sends: alike(attempts, o)}
						with(a)
						a.Transient, a.Died = true, true
						with(a)
					}
				}
			}
		}
	}
}

// naive is the rule in one sentence: what may have run is repeated only if that
// does no harm, and what the caller has seen only if it can go on.
func naive(a retry.Attempt, tokens int) retry.Action {
	most := map[outcome.Outcome]int{outcome.NotRun: 12, outcome.Unknown: 4, outcome.Ran: 4}[a.Outcome]
	harmless := a.Outcome == outcome.NotRun || a.Idempotent && (a.Outcome == outcome.Unknown || a.Transient)
	paid := a.Outcome == outcome.NotRun || a.Died || tokens > 0
	if !harmless || !paid || a.Sends.Made >= most || a.Sent && !a.Resumable {
		return retry.Fail
	}
	if a.Sent {
		return retry.Resume
	}
	return retry.Retry
}

// safe is the promise: nothing that may have run, and isn't idempotent, runs again.
func safe(a retry.Attempt, action retry.Action) bool {
	return action == retry.Fail || a.Idempotent || a.Outcome == outcome.NotRun
}

// forever decides with the usual options and a full budget.
func forever(a retry.Attempt) retry.Decision {
	return retry.Decide(a, retry.NewBudget(retry.BudgetOptions{}, epoch), retry.Options{}, epoch)
}

var _ = Describe("Decide", func() {
	It("agrees with the naive rule, with and without a budget", func() {
		every(func(a retry.Attempt) {
			for _, tokens := range []int{0, 1} {
				budget := retry.NewBudget(retry.BudgetOptions{Max: 1}, epoch)
				if tokens == 0 {
					budget.Take(epoch)
				}
				got := retry.Decide(a, budget, retry.Options{}, epoch)
				Expect(got.Action).To(Equal(naive(a, tokens)), "%+v, %d tokens", a, tokens)
				Expect(safe(a, got.Action)).To(BeTrue(), "%+v", a)
			}
		})
	})

	It("red alive: a policy that retries whatever failed breaks the promise", func() {
		broken := 0
		every(func(a retry.Attempt) {
			if !safe(a, retry.Retry) {
				broken++
			}
		})
		Expect(broken).To(BeNumerically(">", 0))
	})

	It("repeats nothing at its deadline", func() {
		a := retry.Attempt{Outcome: outcome.NotRun, Sends: alike(1, outcome.NotRun), Deadline: epoch}
		Expect(retry.Decide(a, retry.NewBudget(retry.BudgetOptions{}, epoch), retry.Options{}, epoch).Cause).To(Equal(retry.PastDue))
	})

	// A group restarts: its upstreams refuse, one after the other, until the first that
	// is back takes the request and dies. The caller got an error, though no upstream but
	// that one had run its request: refusals had been counted as attempts.
	It("counts what may have run apart from what was refused", func() {
		sends := alike(11, outcome.NotRun)
		sends.Begin()
		a := retry.Attempt{Outcome: outcome.Unknown, Idempotent: true, Sends: sends}
		Expect(forever(a).Cause).To(Equal(retry.Exhausted), "twelve sends are enough")
		a.Sends.Made = 11
		Expect(forever(a).Action).To(Equal(retry.Retry))
		a.Outcome, a.Idempotent = outcome.NotRun, false
		Expect(forever(a).Cause).To(Equal(retry.NotSafe), "an earlier send may have run it")
	})

	It("decides as in the golden session", func() {
		var b strings.Builder
		budget := retry.NewBudget(retry.BudgetOptions{Max: 10}, epoch)
		now := epoch
		every(func(a retry.Attempt) {
			now = now.Add(50 * time.Millisecond)
			d := retry.Decide(a, budget, retry.Options{}, now)
			fmt.Fprintf(&b, "%v idempotent=%v resumable=%v sent=%v attempts=%d died=%v -> %v (%v) after %v, %.2f tokens\n",
				a.Outcome, a.Idempotent, a.Resumable, a.Sent, a.Sends.Made, a.Died, d.Action, d.Cause, d.After, budget.Tokens(now))
		})
		golden.Expect("session.golden", b.String())
	})
})

var _ = Describe("Budget", func() {
	// The naive bucket walks through time in steps of 1 ms.
	It("agrees with a naive bucket, and keeps repetitions a share of traffic", func() {
		random := rand.New(rand.NewPCG(4, 2))
		o := retry.BudgetOptions{Share: 0.1, PerSecond: 2, Max: 20}
		budget := retry.NewBudget(o, epoch)
		now, tokens := epoch, o.Max
		successes, taken := 0, 0
		for range 20000 {
			for range random.IntN(10) {
				now = now.Add(time.Millisecond)
				tokens = min(o.Max, tokens+o.PerSecond/1000)
			}
			if random.IntN(2) == 0 {
				successes++
				budget.Succeeded(now)
				tokens = min(o.Max, tokens+o.Share)
				continue
			}
			if budget.Take(now) {
				taken++
				tokens--
			}
			Expect(budget.Tokens(now)).To(BeNumerically("~", tokens, 1e-6))
		}
		most := o.Max + o.Share*float64(successes) + o.PerSecond*now.Sub(epoch).Seconds()
		Expect(float64(taken)).To(BeNumerically("<=", most))
	})
})
