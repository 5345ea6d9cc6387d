// Package retry decides what happens after a failed attempt at a request, and
// how much of the traffic may be attempts beyond the first. It is pure: the
// caller passes the time in. Not safe for concurrent use.
//
// Invariants:
//   - what isn't idempotent is repeated only after outcome.NotRun;
//   - nothing is repeated without a token of the budget, save after NotRun,
//     where an overload of upstreams can't be made worse by work that didn't run,
//     and after a proved death of the upstream;
//   - nothing is repeated at or after the deadline, or past MaxAttempts runs
//     (MaxNotRun sends: a refusal costs an upstream nothing).
package retry

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Action is what to do after a failed attempt.
type Action int

// The actions.
const (
	// Fail gives the failure to the caller.
	Fail Action = iota
	// Retry starts again from nothing on another upstream.
	Retry
	// Resume goes on from the chunks that were already had.
	Resume
)

// String names the action.
func (a Action) String() string {
	switch a {
	case Retry:
		return "retry"
	case Resume:
		return "resume"
	default:
		return "fail"
	}
}

// Cause says why an Action is Fail.
type Cause int

// The causes.
const (
	None       Cause = iota
	NotSafe          // it may have run and isn't idempotent
	Answered         // an upstream's answer is final
	Exhausted        // MaxAttempts
	OverBudget       // too many retries in the traffic of late
	PastDue          // the deadline
	NotResumed       // bytes went to the caller and the request can't be resumed
)

// String names the cause.
func (c Cause) String() string {
	return [...]string{"none", "not safe", "answered", "exhausted", "over budget", "past due", "not resumable"}[c]
}

// Attempt describes a request after one of its attempts failed.
type Attempt struct {
	Outcome    outcome.Outcome
	Idempotent bool
	// Resumable requests (generations) may go on behind chunks already had.
	Resumable bool
	// Transient says that an outcome of Ran was a passing failure of the
	// upstream (a 5xx answer), not an answer to the request.
	Transient bool
	// Died says that the upstream's process was seen to end. Such repetitions
	// need no token: a death hits all requests in flight at once, and a request
	// that kills is stopped by its second death.
	Died bool
	// Sends counts those made so far, this one included.
	Sends Sends
	// Sent says that a part of the answer went to the caller already.
	Sent     bool
	Deadline time.Time // zero: none
}

// Options of the decision.
type Options struct {
	MaxAttempts int // that ran the request or may have; default 4
	// MaxNotRun bounds all attempts, those included that certainly didn't run; refusals
	// come in rows while a group restarts. Default three times MaxAttempts.
	MaxNotRun  int
	Backoff    time.Duration // before the third attempt, doubling; default 20 ms
	MaxBackoff time.Duration // default 500 ms
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = 4
	}
	if o.MaxNotRun <= 0 {
		o.MaxNotRun = 3 * o.MaxAttempts
	}
	if o.Backoff <= 0 {
		o.Backoff = 20 * time.Millisecond
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = 500 * time.Millisecond
	}
	return o
}

// Decision is the answer of Decide. After is the wait before the next attempt.
type Decision struct {
	Action Action
	Cause  Cause
	After  time.Duration
}

// Decide says what follows a failed attempt. It takes a token from budget only
// when it allows a repetition that needs one.
func Decide(a Attempt, budget *Budget, o Options, now time.Time) Decision {
	o = o.withDefaults()
	if cause := forbidden(a, o, now); cause != None {
		return Decision{Action: Fail, Cause: cause}
	}
	if a.Outcome != outcome.NotRun && !a.Died && !budget.Take(now) {
		return Decision{Action: Fail, Cause: OverBudget}
	}
	after := backoff(a.Sends.Made, o)
	if a.Sent {
		return Decision{Action: Resume, After: after}
	}
	return Decision{Action: Retry, After: after}
}

// forbidden returns the first rule that forbids a repetition.
func forbidden(a Attempt, o Options, now time.Time) Cause {
	rule := Rule{Repeatable: a.Idempotent, MaxRuns: o.MaxAttempts, MaxSends: o.MaxNotRun}
	cause := rule.Forbids(a.Sends)
	switch {
	case a.Outcome == outcome.Ran && !(a.Transient && a.Idempotent):
		return Answered
	case cause == NotSafe:
		return NotSafe
	case a.Sent && !a.Resumable:
		return NotResumed
	case cause != None:
		return cause
	case !a.Deadline.IsZero() && !now.Before(a.Deadline):
		return PastDue
	}
	return None
}

// backoff lets the first repetition go at once: it goes to another upstream.
func backoff(attempts int, o Options) time.Duration {
	if attempts <= 1 {
		return 0
	}
	wait := o.Backoff
	for i := 2; i < attempts && wait < o.MaxBackoff; i++ {
		wait *= 2
	}
	return min(wait, o.MaxBackoff)
}
