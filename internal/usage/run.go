package usage

import "time"

// Outcome is what the end of a transmission to an upstream says about its run.
type Outcome int

const (
	// NotRun: the upstream states that it did not run the request, or nothing was sent.
	NotRun Outcome = iota
	// Answered: the upstream answered and does not state that it did not run the request.
	Answered
	// Unanswered: the transmission ended without an answer that tells whether a run began, such
	// as a cancelled hedge, a caller that left, a time limit or a broken connection.
	Unanswered
)

// Transmission is one request as sent to one upstream, and how that ended. Times are readings of
// one monotonic clock.
type Transmission struct {
	SentAt time.Duration
	// ExpectedWait is the time that the request was expected, when it was sent, to wait in the
	// upstream's queue.
	ExpectedWait time.Duration
	WaitKnown    bool // false: ExpectedWait is not known
	EndedAt      time.Duration
	Outcome      Outcome
}

// RunStart decides whether the transmission counts as a run and returns when that run began.
//
// An unanswered transmission counts if it lasted for at least the expected wait. Counting all of
// them overcounts under load, since requests are cancelled in an upstream's queue; counting none
// misses the runs that began and were cancelled or lost (TestCountingMethods compares the
// methods). If the expected wait is not known it is taken as 0: upstreams that report no load,
// or have reported none lately, are mostly those without a queue.
func (t Transmission) RunStart() (at time.Duration, counts bool) {
	expected := t.SentAt
	if t.WaitKnown {
		expected += max(0, t.ExpectedWait)
	}
	switch t.Outcome {
	case Answered:
		// An answer earlier than expected shows that the wait was shorter.
		return max(t.SentAt, min(expected, t.EndedAt)), true
	case Unanswered:
		return expected, t.EndedAt >= expected
	default:
		return 0, false
	}
}
