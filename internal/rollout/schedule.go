package rollout

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// startWork fills the windows, in slot order.
func (s *Step) startWork(now time.Duration) {
	for s.mayGenerate() {
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
func (s *Step) mayGenerate() bool {
	if s.index.counts[generating]+s.hedgesRunning >= s.options.Window {
		return false
	}
	return s.bytes < s.options.MaxBytes || s.Deliverable() == 0
}

func (s *Step) startAttempt(now time.Duration, i int) {
	sl := &s.slots[i]
	straggler := s.stragglersOnly()
	s.setState(i, generating)
	sl.last++
	sl.running = sl.last
	sl.began = 0
	sl.started = now
	s.emitGenerate(i, sl.running, straggler, false)
}

func (s *Step) emitGenerate(i int, attempt uint32, straggler, hedge bool) {
	id := s.idOf(i)
	s.tally.Attempts++
	s.emit(Generate{
		ID:             id,
		Attempt:        attempt,
		MinVersion:     s.minVersion(),
		ExpectedTokens: s.spec.Prompts[id.Group].ExpectedTokens,
		Straggler:      straggler,
		Hedge:          hedge,
	})
}

// oldestAllowed is the oldest version that may be delivered now.
func (s *Step) oldestAllowed() ident.Version { return s.newest - ident.Version(s.bound) }

// minVersion is the oldest version worth starting on. A sample at the edge of
// the bound is thrown away if one more version comes before its pull, so the
// team's weight of staleness moves the edge up, by the whole bound at most less
// one: while engines switch, the version before the newest must still do.
func (s *Step) minVersion() ident.Version {
	margin := int64(math.Round(s.spec.StalenessWeight * float64(s.bound)))
	margin = max(0, min(margin, s.bound-1))
	return max(0, s.oldestAllowed()+ident.Version(margin))
}

// open counts the samples that aren't finished.
func (s *Step) open() int {
	return len(s.slots) - s.index.counts[ready] - s.index.counts[idle]
}

// stragglersOnly says that only the last few samples are outstanding.
func (s *Step) stragglersOnly() bool { return s.open() <= s.hedgeBudget() }

func (s *Step) hedgeBudget() int {
	if s.options.HedgeShare < 0 {
		return 0
	}
	return max(minHedges, int(s.options.HedgeShare*float64(len(s.slots))))
}

// minHedges is the hedge budget of a small step.
const minHedges = 2

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

// hedgeSlow starts a second attempt at the last samples that take much longer
// than their length explains: their upstream is slow, and the step's end hangs
// on them. Each sample is hedged once at a time, all together HedgeShare at most.
func (s *Step) hedgeSlow(now time.Duration) {
	if !s.stragglersOnly() || s.pace.tokens == 0 {
		return
	}
	for _, i := range s.index.list(generating) {
		sl := &s.slots[i]
		if s.hedgesStarted >= s.hedgeBudget() {
			return
		}
		expected := s.pace.expect(s.spec.Prompts[s.idOf(int(i)).Group].ExpectedTokens)
		limit := time.Duration(s.options.HedgeFactor * float64(expected))
		if sl.hedge != 0 || now-sl.started <= limit {
			continue
		}
		sl.last++
		sl.hedge = sl.last
		s.hedgesStarted++
		s.hedgesRunning++
		s.emitGenerate(int(i), sl.hedge, true, true)
	}
}

// pace is the mean speed of the attempts that ended whole.
type pace struct {
	tokens  int
	samples int
	time    time.Duration
}

func (p *pace) add(tokens int, took time.Duration) {
	p.tokens += tokens
	p.samples++
	p.time += took
}

// expect returns how long so many tokens take on average, the mean sample's if 0.
func (p *pace) expect(tokens int) time.Duration {
	if tokens == 0 {
		tokens = p.tokens / p.samples
	}
	return time.Duration(float64(p.time) / float64(p.tokens) * float64(tokens))
}
