package retry

// Sends counts the sends of one request to upstreams.
type Sends struct {
	Made int // those under way included
	Runs int // of them, those that ran the request or may have
}

// Begin counts a send before it leaves: from then on it may run.
func (s *Sends) Begin() {
	s.Made++
	s.Runs++
}

// NotRun takes a send back of which it is certain that it didn't run the request.
func (s *Sends) NotRun() { s.Runs-- }

// Rule bounds the sends of one request. A refusal costs an upstream next to nothing, so
// sends and runs have bounds of their own.
type Rule struct {
	// Repeatable: the request may run more than once, as an idempotent call may, or a
	// stream that goes on behind the last event had.
	Repeatable bool
	MaxRuns    int
	MaxSends   int // those that didn't run included
}

// Forbids returns why no further send may follow, None if one may. It holds for a repetition
// after a failure and for a second copy beside a send under way.
func (r Rule) Forbids(s Sends) Cause {
	switch {
	case s.Runs > 0 && !r.Repeatable:
		return NotSafe
	case s.Runs > 0 && s.Runs >= r.MaxRuns, s.Made >= r.MaxSends:
		return Exhausted
	}
	return None
}
