package retry

// Sends counts the sends of one request to upstreams.
type Sends struct {
	Total int // all, those in flight included
	Runs  int // those of them that ran the request or may have
}

// Begin counts a send that is about to leave. From then on it may run the request.
func (s *Sends) Begin() {
	s.Total++
	s.Runs++
}

// MarkNotRun records that one of the sends certainly didn't run the request.
func (s *Sends) MarkNotRun() { s.Runs-- }

// Limits limits the sends of one request. A refusal costs an upstream next to nothing, so
// runs and sends have separate limits.
type Limits struct {
	// Repeatable: the request may run more than once. That is so for an idempotent call, and
	// for a stream that continues after the last event received.
	Repeatable bool
	MaxRuns    int
	MaxSends   int // includes those that didn't run the request
}

// StopCause returns why no further send may follow, None if one may. It applies both to a
// repetition after a failure and to a second copy beside a send in flight.
func (r Limits) StopCause(s Sends) Cause {
	switch {
	case s.Runs > 0 && !r.Repeatable:
		return NotSafe
	case s.Runs > 0 && s.Runs >= r.MaxRuns, s.Total >= r.MaxSends:
		return Exhausted
	}
	return None
}
