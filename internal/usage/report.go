package usage

import "time"

// Timing says when windows are reported.
type Timing struct {
	Windows Windows
	// Due is how long after its end a window's report is wanted at the latest.
	Due time.Duration
}

const (
	// settleShare of Due is waited after a window's end for the counts that are on their
	// way: a call ends within a second, and its count is in the log within FirstGap and an
	// append's time after that, some hundred ms where the store is slow.
	settleShare = 0.3
	// lastShare of Due is when a window is decided although counts may still be missing,
	// as those that daemons couldn't append in an outage. What is left is for the report
	// and for a holder's loss.
	lastShare = 0.7
	// standInShare of Due is when another daemon than the holder begins to act; rankShare
	// is between one such daemon and the next.
	standInShare = 0.6
	rankShare    = 0.03
	// giveUpShare: a report so late is of no use to anybody.
	giveUpShare = 3
	// settleAfterOutage passes from the store's return until a window is decided: every
	// daemon's counts come then, MaxGap after its last try at the latest.
	settleAfterOutage = MaxGap + 600*time.Millisecond
)

// Situation is what a daemon knows besides the log when it looks what to do.
type Situation struct {
	Now time.Time
	// Current: the log was read to its end just now.
	Current bool
	// InContact is for how long the store has answered without an interruption.
	InContact time.Duration
	// Rank is the daemon's turn: 0 does the duty, higher ones stand in for the ones before.
	Rank int
}

// Step is what to do next.
type Step interface{ step() }

// Decide: append a Decided record with these counts.
type Decide struct{ Report WindowCounts }

// Send this report, and append Sent if it is taken.
type Send struct{ Report WindowCounts }

// Wait: nothing is to be done now.
type Wait struct{}

func (Decide) step() {}
func (Send) step()   {}
func (Wait) step()   {}

// Next returns what a daemon does about the oldest window that isn't reported.
func (f *Fold) Next(t Timing, s Situation) Step {
	if !f.known || !s.Current {
		return Wait{}
	}
	oldest := max(f.first, t.Windows.Of(s.Now.Add(-t.share(giveUpShare)))-1)
	for k := oldest; !t.Windows.End(k).After(s.Now); k++ {
		age := s.Now.Sub(t.Windows.End(k))
		if f.Sent(k) || age > t.share(giveUpShare) {
			continue
		}
		if age < t.turn(s.Rank) {
			return Wait{} // and so for every younger one
		}
		if report, ok := f.Report(k); ok {
			return Send{WindowCounts{Window: k, Counts: report}}
		}
		if t.settled(age, s.InContact) {
			return Decide{WindowCounts{Window: k, Counts: f.Counts(k)}}
		}
		return Wait{}
	}
	return Wait{}
}

func (t Timing) share(of float64) time.Duration { return time.Duration(of * float64(t.Due)) }

// turn is the age of a window from which a daemon of a rank acts.
func (t Timing) turn(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return t.share(standInShare + rankShare*float64(rank))
}

// settled reports whether a window's counts are in the log, as far as is worth waiting.
func (t Timing) settled(age, inContact time.Duration) bool {
	if age >= t.share(lastShare) {
		return true
	}
	return age >= t.share(settleShare) && inContact >= settleAfterOutage
}

// Keep is how long windows are kept: until their reports are given up.
func (t Timing) Keep() time.Duration { return t.share(giveUpShare) + 2*t.Windows.Length }
