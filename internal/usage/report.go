package usage

import "time"

// Timing defines the windows and when they are reported.
type Timing struct {
	Windows Windows
	// Due is the longest allowed time from a window's end until its report arrives.
	Due time.Duration
}

const (
	// settleFraction of Due is the wait after a window's end until all daemons have appended
	// their counts: a call ends within a second, and its count is in the log after at most
	// MinAppendInterval and the duration of an append, some hundred ms with a slow store.
	settleFraction = 0.3
	// forceFraction of Due is the age at which a window is decided even if counts may be
	// missing, such as those that daemons couldn't append during an outage of the store. The
	// rest of Due is for sending the report and for replacing a holder that has failed.
	forceFraction = 0.7
	// A daemon of rank n > 0 acts on a window that isn't reported yet at an age of
	// takeoverFraction + n*rankFraction of Due.
	takeoverFraction = 0.6
	rankFraction     = 0.03
	// giveUpFactor times Due is the age at which a window is no longer reported: its report
	// would be of no use.
	giveUpFactor = 3
	// outageSettleTime is the wait from the end of an outage of the store until a window is
	// decided. Daemons append the counts of the outage in this time, at most
	// MaxAppendInterval after their last failed append.
	outageSettleTime = MaxAppendInterval + 600*time.Millisecond
)

// Conditions are the inputs of NextAction that aren't in the log.
type Conditions struct {
	Now time.Time
	// UpToDate says that the log has just been read to its end.
	UpToDate bool
	// ContactDuration is the time for which the store has answered without an interruption.
	ContactDuration time.Duration
	// Rank is the daemon's position among the candidates for the duty. Rank 0 performs it, a
	// higher rank does so if all lower ones have failed to.
	Rank int
}

// Action is the next thing to do: a Decide, a Send or a Wait.
type Action interface{ action() }

// Decide says to append a Decided record with this report.
type Decide struct{ Report WindowCounts }

// Send says to send this report, and to append a Sent record if the platform accepts it.
type Send struct{ Report WindowCounts }

// Wait says that there is nothing to do now.
type Wait struct{}

func (Decide) action() {}
func (Send) action()   {}
func (Wait) action()   {}

// NextAction returns what to do about the oldest window that isn't reported yet.
func (s *State) NextAction(t Timing, c Conditions) Action {
	if !s.started || !c.UpToDate {
		return Wait{}
	}
	oldest := max(s.first, t.Windows.IndexAt(c.Now.Add(-t.dueFraction(giveUpFactor)))-1)
	for k := oldest; !t.Windows.End(k).After(c.Now); k++ {
		age := c.Now.Sub(t.Windows.End(k))
		if s.IsSent(k) || age > t.dueFraction(giveUpFactor) {
			continue
		}
		if age < t.minAge(c.Rank) {
			return Wait{} // all later windows are younger still
		}
		if report, ok := s.Report(k); ok {
			return Send{WindowCounts{Window: k, Counts: report}}
		}
		if t.countsSettled(age, c.ContactDuration) {
			return Decide{WindowCounts{Window: k, Counts: s.Counts(k)}}
		}
		return Wait{}
	}
	return Wait{}
}

// dueFraction returns a fraction, or multiple, of Due.
func (t Timing) dueFraction(f float64) time.Duration { return time.Duration(f * float64(t.Due)) }

// minAge returns the age of an unreported window from which a daemon of a rank acts.
func (t Timing) minAge(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return t.dueFraction(takeoverFraction + rankFraction*float64(rank))
}

// countsSettled reports whether the counts of a window of this age are in the log, or are no
// longer waited for.
func (t Timing) countsSettled(age, contactDuration time.Duration) bool {
	if age >= t.dueFraction(forceFraction) {
		return true
	}
	return age >= t.dueFraction(settleFraction) && contactDuration >= outageSettleTime
}

// Retention returns the age up to which windows are kept. It is above the age at which they
// are no longer reported.
func (t Timing) Retention() time.Duration { return t.dueFraction(giveUpFactor) + 2*t.Windows.Length }
