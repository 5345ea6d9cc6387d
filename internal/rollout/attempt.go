package rollout

import "time"

func (s *Step) began(now time.Duration, e Began) {
	i, ok := s.slotOf(e.ID)
	if !ok || !s.slots[i].live(e.Attempt) || e.Version <= 0 {
		return
	}
	if e.Version < s.oldestAllowed() {
		s.emit(CancelAttempt{ID: e.ID, Attempt: e.Attempt})
		s.staleAttempt(now, i)
		return
	}
	s.slots[i].began = e.Version
	s.probeBegan(i)
}

// endAttempt takes the live attempt off its slot, which waits again.
func (s *Step) endAttempt(i int) {
	s.endProbe(i)
	s.slots[i].running = 0
	s.slots[i].began = 0
	s.setState(i, waiting)
}

// stopAttempts gives up whatever runs for a slot and forgets what it made.
func (s *Step) stopAttempts(i int) {
	sl := &s.slots[i]
	id := s.idOf(i)
	if sl.running != 0 {
		s.emit(CancelAttempt{ID: id, Attempt: sl.running})
	}
	if sl.state == scoring {
		s.emit(CancelAttempt{ID: id, Attempt: sl.made.attempt})
	}
	if sl.made != nil {
		s.bytes -= len(sl.made.text)
	}
	s.endProbe(i)
	sl.running = 0
	sl.began = 0
	sl.made = nil
}

func (s *Step) generated(now time.Duration, e Generated) {
	i, ok := s.slotOf(e.ID)
	if !ok || !s.slots[i].live(e.Attempt) {
		return
	}
	// An engine may leave a token unlabelled. Its version can't be guessed, so
	// the whole text is dropped.
	if err := checkLabels(e.Segments, e.Tokens); err != nil {
		s.tally.Unlabelled++
		s.retryLater(now, i, Failure{Reason: err.Error()})
		return
	}
	if oldestVersion(e.Segments) < s.oldestAllowed() {
		s.staleAttempt(now, i)
		return
	}
	s.probeBegan(i)
	s.endAttempt(i)
	s.keep(i, e)
}

func (s *Step) keep(i int, e Generated) {
	sl := &s.slots[i]
	sl.failures = 0
	sl.made = &completion{
		attempt:  e.Attempt,
		text:     e.Text,
		segments: mergeSegments(e.Segments),
		oldest:   oldestVersion(e.Segments),
	}
	s.bytes += len(e.Text)
	if s.spec.Scorer == "" {
		s.setState(i, ready)
		return
	}
	s.setState(i, scoreWaiting)
}

func (s *Step) generateFailed(now time.Duration, e GenerateFailed) {
	i, ok := s.slotOf(e.ID)
	if !ok || !s.slots[i].live(e.Attempt) {
		return
	}
	if e.Failure.final() {
		s.endAttempt(i)
		s.failGroup(i/s.spec.GroupSize, e.Failure)
		return
	}
	if e.Failure.Kind == NotRun {
		s.notRun(now, i, e.Failure)
		return
	}
	s.retryLater(now, i, e.Failure)
}

// notRun ends an attempt that was refused. The step as a whole waits, see hold;
// the slot has no backoff of its own, beyond what the refusal asks for.
func (s *Step) notRun(now time.Duration, i int, f Failure) {
	s.tally.Failures++
	s.holdAfter(now, i)
	s.endAttempt(i)
	if f.RetryAfter > 0 {
		s.slots[i].notBefore = now + f.RetryAfter
		s.setState(i, delayed)
	}
}

// retryLater ends the attempt; the slot waits its backoff out.
func (s *Step) retryLater(now time.Duration, i int, f Failure) {
	s.tally.Failures++
	s.holdLonger(now, i)
	s.endAttempt(i)
	s.delay(now, i, delayed, f)
}

// staleAttempt ends an attempt that an old version generated. The slot backs
// off: an engine that reports a version before it serves it would be asked
// again at once, and again.
func (s *Step) staleAttempt(now time.Duration, i int) {
	s.tally.Stale++
	s.holdLonger(now, i)
	s.endAttempt(i)
	s.delay(now, i, delayed, Failure{})
}

func (s *Step) delay(now time.Duration, i int, to state, f Failure) {
	sl := &s.slots[i]
	sl.notBefore = now + max(s.backoff(sl.failures), f.RetryAfter)
	if sl.failures < maxFailures {
		sl.failures++
	}
	s.setState(i, to)
}

// maxFailures keeps the shift in backoff small.
const maxFailures = 20

func (s *Step) backoff(failures uint8) time.Duration {
	return min(s.options.BackoffBase<<failures, s.options.BackoffMax)
}

// final says that no other attempt can end better.
func (f Failure) final() bool { return f.Kind == Permanent || f.Kind == Poison }

// failGroup gives a group up for good. A group without one of its samples is
// of no use, and waiting for it would hold the step to the trainer's deadline.
func (s *Step) failGroup(rank int, f Failure) {
	s.stopGroup(rank)
	s.failed.Add(uint32(rank))
	s.reasons[rank] = f.Reason
	s.tally.FailedGroups++
}

// stopGroup ends all work for a group and frees what was made.
func (s *Step) stopGroup(rank int) {
	first := rank * s.spec.GroupSize
	for i := first; i < first+s.spec.GroupSize; i++ {
		s.stopAttempts(i)
		s.setState(i, idle)
	}
}

// scoringSlot finds the slot of a scorer's answer; ok is false for a late one.
func (s *Step) scoringSlot(id SampleID, attempt uint32) (i int, ok bool) {
	i, ok = s.slotOf(id)
	if !ok || s.slots[i].state != scoring || s.slots[i].made.attempt != attempt {
		return 0, false
	}
	return i, true
}

func (s *Step) scored(e Scored) {
	i, ok := s.scoringSlot(e.ID, e.Attempt)
	if !ok {
		return
	}
	s.slots[i].failures = 0
	s.slots[i].made.reward = e.Reward
	s.setState(i, ready)
}

func (s *Step) scoreFailed(now time.Duration, e ScoreFailed) {
	i, ok := s.scoringSlot(e.ID, e.Attempt)
	if !ok {
		return
	}
	s.setState(i, scoreWaiting) // nothing runs that would have to be cancelled
	if e.Failure.final() {
		s.failGroup(i/s.spec.GroupSize, e.Failure)
		return
	}
	s.tally.Failures++
	s.delay(now, i, scoreDelayed, e.Failure)
}
