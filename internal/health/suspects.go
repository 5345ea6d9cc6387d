package health

import (
	"sync"
	"time"
)

const (
	// FirstSuspicion is how long an incarnation gets no new work after its first failure.
	// One that crashed refuses connections at once, so trying it is cheap; a silent one
	// costs whoever tries it a timeout of some hundred ms.
	FirstSuspicion = 300 * time.Millisecond
	// MaxSuspicion bounds the doubling: upstreams are back some seconds after a crash.
	MaxSuspicion = 4 * time.Second
	// suspectLife is how long an incarnation that isn't met any more is remembered.
	suspectLife = time.Minute
)

// Suspects tells which upstreams get no new work because they failed. Everything that
// is sent shares it, callers' calls, reward calls and samples' streams: what one of them
// met is true for the others. Its keys are incarnations, so that an upstream that
// started again is trusted at once. Safe for concurrent use; time is passed in, on a
// clock that goes on while the VM is suspended.
//
// Invariant: an incarnation under suspicion is trusted again, without a probe, at most
// MaxSuspicion after its last failure.
type Suspects struct {
	mu            sync.Mutex
	byIncarnation map[string]*suspicion
}

// suspicion is what is held against one incarnation.
type suspicion struct {
	failures int // in a row
	until    time.Duration
}

// NewSuspects returns a set without suspects.
func NewSuspects() *Suspects { return &Suspects{byIncarnation: map[string]*suspicion{}} }

// Failed notes that an incarnation was silent, unreachable or broke off.
func (s *Suspects) Failed(incarnation string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byIncarnation[incarnation]
	if x == nil {
		x = &suspicion{}
		s.byIncarnation[incarnation] = x
	}
	x.until = now + suspicionAfter(x.failures)
	x.failures++
}

// suspicionAfter is how long a failure counts that so many others precede.
func suspicionAfter(failures int) time.Duration {
	d := FirstSuspicion
	for range failures {
		if d >= MaxSuspicion {
			break
		}
		d *= 2
	}
	return min(d, MaxSuspicion)
}

// Worked notes that an incarnation did what it was asked.
func (s *Suspects) Worked(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byIncarnation, incarnation)
}

// Holds reports whether an incarnation is under suspicion.
func (s *Suspects) Holds(incarnation string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byIncarnation[incarnation]
	return x != nil && now < x.until
}

// Trim forgets incarnations that failed long ago and weren't tried since.
func (s *Suspects) Trim(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.byIncarnation {
		if now-x.until > suspectLife {
			delete(s.byIncarnation, id)
		}
	}
}
