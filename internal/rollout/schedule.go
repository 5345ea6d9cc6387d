package rollout

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// startWork starts attempts and scoring, in slot order, up to the configured
// concurrency.
func (s *Step) startWork(now time.Duration) {
	for s.canGenerate(now) {
		i, ok := s.index.first(waiting)
		if !ok {
			break
		}
		s.startGenerate(now, i)
	}
	for s.index.counts[scoring] < s.options.MaxScoring {
		i, ok := s.index.first(scoreWaiting)
		if !ok {
			return
		}
		s.setState(i, scoring)
		completion := s.slots[i].completion
		s.emit(Score{ID: s.sampleID(i), Attempt: completion.attempt, Completion: completion.text})
	}
}

// canGenerate reports whether another attempt may start, given the limits on
// concurrency and memory and the circuit breaker. The memory limits apply only
// while a pull could free memory. Otherwise incomplete groups could fill the memory
// and no group would ever be completed.
func (s *Step) canGenerate(now time.Duration) bool {
	if s.index.counts[generating] >= s.options.MaxGenerating || !s.breaker.allows(now, s.options.MaxProbeInterval) {
		return false
	}
	full := s.memoryFull || s.bufferedBytes >= s.options.MaxBufferedBytes
	return !full || s.DeliverableGroups() == 0
}

func (s *Step) startGenerate(now time.Duration, i int) {
	sl := &s.slots[i]
	straggler := s.onlyStragglersLeft()
	s.setState(i, generating)
	sl.lastAttempt++
	sl.runningAttempt = sl.lastAttempt
	sl.firstVersion = 0
	s.probeStarted(now, i)
	s.tally.Attempts++
	id := s.sampleID(i)
	s.emit(Generate{
		ID:             id,
		Attempt:        sl.runningAttempt,
		MinVersion:     s.minVersion(),
		ExpectedTokens: s.spec.Prompts[id.Group].ExpectedTokens,
		Straggler:      straggler,
		Prefer:         s.preferredVersion(),
	})
}

// oldestAllowed returns the oldest version whose tokens may be delivered now. It
// may be negative.
func (s *Step) oldestAllowed() ident.Version {
	return s.newestVersion - ident.Version(s.stalenessBound)
}

// minVersion returns the oldest version that may generate a new attempt. It is
// exactly what the staleness bound requires. With a margin added, the minimum could
// be newer than every version that the engines serve, and the step would stall
// although samples generated now would be fresh enough on delivery.
func (s *Step) minVersion() ident.Version { return max(0, s.oldestAllowed()) }

// preferredVersion returns the oldest version that new attempts should prefer. A
// sample right at the staleness bound is discarded if one more version is published
// before its pull. The preferred version is therefore newer than the minimum by the
// team's staleness weight times the bound, but by at most the bound minus one: while
// engines switch versions, the version before the newest must still be acceptable.
func (s *Step) preferredVersion() ident.Version {
	margin := int64(math.Round(s.spec.StalenessWeight * float64(s.stalenessBound)))
	margin = max(0, min(margin, s.stalenessBound-1))
	return max(0, s.oldestAllowed()+ident.Version(margin))
}

// unfinished returns the number of samples that are still to be generated or scored.
func (s *Step) unfinished() int {
	return len(s.slots) - s.index.counts[ready] - s.index.counts[closed]
}

// onlyStragglersLeft reports whether so few samples are unfinished that each one
// started now is a straggler.
func (s *Step) onlyStragglersLeft() bool {
	if s.options.StragglerShare < 0 {
		return false
	}
	return s.unfinished() <= max(minStragglers, int(s.options.StragglerShare*float64(len(s.slots))))
}

// minStragglers is how many of the last samples of a small step are stragglers.
const minStragglers = 2

// endBackoffs makes the slots whose backoff has expired eligible to start again.
func (s *Step) endBackoffs(now time.Duration) {
	s.endBackoff(now, delayed, waiting)
	s.endBackoff(now, scoreDelayed, scoreWaiting)
}

// endBackoff moves the slots whose backoff has expired from one state to another.
func (s *Step) endBackoff(now time.Duration, from, to state) {
	if s.index.counts[from] == 0 {
		return
	}
	for _, i := range s.index.list(from) {
		if s.slots[i].notBefore <= now {
			s.setState(int(i), to)
		}
	}
}
