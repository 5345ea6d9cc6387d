package rollout

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// startWork fills the windows, in slot order.
func (s *Step) startWork(now time.Duration) {
	for s.mayGenerate(now) {
		i, ok := s.index.first(waiting)
		if !ok {
			break
		}
		s.startAttempt(now, i)
	}
	for s.index.counts[scoring] < s.options.ScoreWindow {
		i, ok := s.index.first(scoreWaiting)
		if !ok {
			return
		}
		s.setState(i, scoring)
		made := s.slots[i].made
		s.emit(Score{ID: s.idOf(i), Attempt: made.attempt, Completion: made.text})
	}
}

// mayGenerate bounds what runs and what is kept. Memory holds a step back only
// while the trainer can free some by a pull: else parts of many groups could
// fill it and none would ever be whole.
func (s *Step) mayGenerate(now time.Duration) bool {
	if s.index.counts[generating] >= s.options.Window || !s.hold.allows(now, s.options.HoldMax) {
		return false
	}
	full := s.pressed || s.bytes >= s.options.MaxBytes
	return !full || s.Deliverable() == 0
}

func (s *Step) startAttempt(now time.Duration, i int) {
	sl := &s.slots[i]
	straggler := s.stragglersOnly()
	s.setState(i, generating)
	sl.last++
	sl.running = sl.last
	sl.began = 0
	s.startProbe(now, i)
	s.tally.Attempts++
	id := s.idOf(i)
	s.emit(Generate{
		ID:             id,
		Attempt:        sl.running,
		MinVersion:     s.minVersion(),
		ExpectedTokens: s.spec.Prompts[id.Group].ExpectedTokens,
		Straggler:      straggler,
		Prefer:         s.preferred(),
	})
}

// oldestAllowed is the oldest version that may be delivered now.
func (s *Step) oldestAllowed() ident.Version { return s.newest - ident.Version(s.bound) }

// minVersion is the oldest version that an attempt may start on: what the bound
// demands and no more. Any margin may be newer than all that engines serve, and
// the step would stand still while samples made now were fresh on arrival.
func (s *Step) minVersion() ident.Version { return max(0, s.oldestAllowed()) }

// preferred is the oldest version worth preferring. A sample at the edge of the
// bound is thrown away if one more version comes before its pull, so the team's
// weight of staleness moves the edge up, by the whole bound at most less one:
// while engines switch, the version before the newest must still do.
func (s *Step) preferred() ident.Version {
	margin := int64(math.Round(s.spec.StalenessWeight * float64(s.bound)))
	margin = max(0, min(margin, s.bound-1))
	return max(0, s.oldestAllowed()+ident.Version(margin))
}

// open counts the samples that aren't finished.
func (s *Step) open() int {
	return len(s.slots) - s.index.counts[ready] - s.index.counts[idle]
}

// stragglersOnly says that only the last few samples are outstanding.
func (s *Step) stragglersOnly() bool {
	if s.options.StragglerShare < 0 {
		return false
	}
	return s.open() <= max(minStragglers, int(s.options.StragglerShare*float64(len(s.slots))))
}

// minStragglers is how many stragglers a small step has.
const minStragglers = 2

// wakeDelayed lets slots whose backoff is over start again.
func (s *Step) wakeDelayed(now time.Duration) {
	s.wake(now, delayed, waiting)
	s.wake(now, scoreDelayed, scoreWaiting)
}

func (s *Step) wake(now time.Duration, from, to state) {
	if s.index.counts[from] == 0 {
		return
	}
	for _, i := range s.index.list(from) {
		if s.slots[i].notBefore <= now {
			s.setState(int(i), to)
		}
	}
}
