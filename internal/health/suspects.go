package health

import (
	"sync"
	"time"
)

const (
	// MinSuspicion is how long an incarnation gets no new work after its first failure. To
	// try one that crashed is cheap, since it refuses connections at once. To try one that
	// doesn't answer costs a timeout of some hundred ms.
	MinSuspicion = 300 * time.Millisecond
	// MaxSuspicion bounds this time, which doubles with each further failure: upstreams
	// are back some seconds after a crash.
	MaxSuspicion = 4 * time.Second
	// suspectTTL is how long after the end of its suspicion an incarnation is remembered
	// that hasn't been used since.
	suspectTTL = time.Minute
)

// Suspects tells which upstreams get no new work because they failed recently. Callers'
// calls, reward calls and the streams of samples share it, since a failure that one of them
// sees concerns the others as well. Its keys are incarnations, so that an upstream that has
// restarted is trusted at once. It is safe for concurrent use. The caller passes the time
// in, from a clock that goes on while the VM is suspended.
//
// Invariant: an incarnation is trusted again, without a probe, at most MaxSuspicion after
// its last failure.
type Suspects struct {
	mu            sync.Mutex
	byIncarnation map[string]*suspicion
}

// suspicion holds the failures of one incarnation.
type suspicion struct {
	failures int           // in a row
	until    time.Duration // it gets no new work before
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects { return &Suspects{byIncarnation: map[string]*suspicion{}} }

// Failed records that an incarnation didn't answer in time, couldn't be reached or ended a
// connection early.
func (s *Suspects) Failed(incarnation string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byIncarnation[incarnation]
	if entry == nil {
		entry = &suspicion{}
		s.byIncarnation[incarnation] = entry
	}
	entry.until = now + suspicionTime(entry.failures)
	entry.failures++
}

// suspicionTime returns how long a failure counts that follows this many others in a row.
func suspicionTime(failures int) time.Duration {
	d := MinSuspicion
	for range failures {
		if d >= MaxSuspicion {
			break
		}
		d *= 2
	}
	return min(d, MaxSuspicion)
}

// Succeeded records a success of an incarnation, which ends its suspicion.
func (s *Suspects) Succeeded(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byIncarnation, incarnation)
}

// IsSuspect reports whether an incarnation gets no new work now.
func (s *Suspects) IsSuspect(incarnation string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byIncarnation[incarnation]
	return entry != nil && now < entry.until
}

// DropExpired drops incarnations whose suspicion ended long ago.
func (s *Suspects) DropExpired(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, entry := range s.byIncarnation {
		if now-entry.until > suspectTTL {
			delete(s.byIncarnation, id)
		}
	}
}
