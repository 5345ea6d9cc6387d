// Package retry decides what happens after a failed attempt at a request, and how much of
// the traffic may be attempts beyond the first. It does no I/O and reads no clock: the
// caller passes the time in. It is not safe for concurrent use.
//
// A send is one attempt to have an upstream run a request. A run is a send that ran the
// request or may have.
//
// Invariants:
//   - a request that isn't idempotent is repeated only while its sends certainly didn't run
//     it (outcome.NotRun);
//   - each repetition takes a token of the budget, except after outcome.NotRun, since work
//     that didn't run can't make an overload of upstreams worse, and after a proven death
//     of the upstream;
//   - nothing is repeated at or after the deadline, nor beyond the maximum number of runs
//     or of sends. The latter is higher, since a refusal costs an upstream nothing.
package retry

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Action is what to do after a failed attempt.
type Action int

// The actions.
const (
	// Fail returns the failure to the caller.
	Fail Action = iota
	// Retry starts the request from scratch on another upstream.
	Retry
	// Resume continues after the chunks that were already received.
	Resume
)

// String returns the name of the action on the timeline.
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
	None           Cause = iota
	NotSafe              // a send may have run the request, which isn't idempotent
	Answered             // the upstream's answer is final
	Exhausted            // the maximum number of runs or of sends
	OverBudget           // too many repetitions in recent traffic
	DeadlinePassed       // the deadline has passed
	NotResumable         // the caller has a part of the answer and the request can't be resumed
)

// String describes the cause.
func (c Cause) String() string {
	return [...]string{"none", "not safe", "answered", "exhausted", "over budget", "deadline passed", "not resumable"}[c]
}

// FailedAttempt describes a request after one of its attempts failed.
type FailedAttempt struct {
	Outcome    outcome.Outcome // of the failed attempt
	Idempotent bool            // the request may run more than once
	// Resumable: the request, a generation, may continue after the chunks that were
	// already received.
	Resumable bool
	// Transient: the outcome Ran was a temporary failure of the upstream (a 5xx answer),
	// not an answer to the request.
	Transient bool
	// UpstreamDied: the upstream's process is known to have ended. A repetition after that needs no
	// token: a death concerns all requests in flight at once, and a request that crashes
	// its upstreams is stopped after the second death.
	UpstreamDied bool
	// Sends counts the sends of the request so far, this one included.
	Sends Sends
	// AnswerStarted: the caller already has a part of the answer.
	AnswerStarted bool
	Deadline      time.Time // zero: none
}

// Options limit the repetitions of a request.
type Options struct {
	MaxRuns int // maximum number of runs; default 4
	// MaxSends is the maximum number of sends, which include those that certainly didn't
	// run the request: many in a row are refused while a group restarts. Default three
	// times the maximum number of runs.
	MaxSends       int
	InitialBackoff time.Duration // delay before the third send, doubles with each further one; default 20 ms
	MaxBackoff     time.Duration // upper bound of the delay; default 500 ms
}

func (o Options) withDefaults() Options {
	if o.MaxRuns <= 0 {
		o.MaxRuns = 4
	}
	if o.MaxSends <= 0 {
		o.MaxSends = 3 * o.MaxRuns
	}
	if o.InitialBackoff <= 0 {
		o.InitialBackoff = 20 * time.Millisecond
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = 500 * time.Millisecond
	}
	return o
}

// Decision is what follows a failed attempt.
type Decision struct {
	Action Action
	Cause  Cause         // why Action is Fail, else None
	Delay  time.Duration // delay before the next attempt
}

// Decide returns what follows a failed attempt. It takes a token from the budget only if it
// allows a repetition that needs one.
func Decide(a FailedAttempt, budget *Budget, o Options, now time.Time) Decision {
	o = o.withDefaults()
	if cause := failCause(a, o, now); cause != None {
		return Decision{Action: Fail, Cause: cause}
	}
	if a.Outcome != outcome.NotRun && !a.UpstreamDied && !budget.Take(now) {
		return Decision{Action: Fail, Cause: OverBudget}
	}
	delay := backoffBefore(a.Sends.Total, o)
	if a.AnswerStarted {
		return Decision{Action: Resume, Delay: delay}
	}
	return Decision{Action: Retry, Delay: delay}
}

// failCause returns the cause by which the first matching rule forbids a repetition, None if
// no rule does.
func failCause(a FailedAttempt, o Options, now time.Time) Cause {
	limits := Limits{Repeatable: a.Idempotent, MaxRuns: o.MaxRuns, MaxSends: o.MaxSends}
	cause := limits.StopCause(a.Sends)
	switch {
	case a.Outcome == outcome.Ran && !(a.Transient && a.Idempotent):
		return Answered
	case cause == NotSafe:
		return NotSafe
	case a.AnswerStarted && !a.Resumable:
		return NotResumable
	case cause != None:
		return cause
	case !a.Deadline.IsZero() && !now.Before(a.Deadline):
		return DeadlinePassed
	}
	return None
}

// backoffBefore returns the delay before the next send, after this many. The second send
// isn't delayed, since it goes to another upstream.
func backoffBefore(sends int, o Options) time.Duration {
	if sends <= 1 {
		return 0
	}
	delay := o.InitialBackoff
	for i := 2; i < sends && delay < o.MaxBackoff; i++ {
		delay *= 2
	}
	return min(delay, o.MaxBackoff)
}
