package fault

import (
	"sync"
	"time"
)

// Injector holds the active faults of one stand-in. Create it with New. It is safe for
// concurrent use.
type Injector struct {
	mu         sync.Mutex
	active     []*activeFault // oldest first
	openConns  map[*faultyConn]struct{}
	unfreeze   chan struct{} // closed when the current freeze ends; nil if not frozen
	onCrash    func()        // executes a crash; nil: nothing to do
	crashCount int
	swaps      chan pendingSwap // hands over the first response of a Crossed pair
}

// activeFault is a fault with what remains of its time and count.
type activeFault struct {
	Spec
	expiresAt     time.Time // zero: active until cleared
	remainingHits int       // requests still to be affected; used if Count > 0
}

// New returns an Injector without faults.
func New() *Injector {
	return &Injector{openConns: map[*faultyConn]struct{}{}, swaps: make(chan pendingSwap)}
}

// OnCrash sets the function that executes a Crash fault: a process exits, a test closes
// its server.
func (in *Injector) OnCrash(f func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.onCrash = f
}

// CrashCount returns the number of crashes that were injected.
func (in *Injector) CrashCount() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.crashCount
}

// Add adds a fault. Silence and Freeze take effect immediately.
func (in *Injector) Add(s Spec) error { return in.applyExcept(s, nil) }

// applyExcept adds a fault. Silence doesn't affect the exempt connection, if there is one.
func (in *Injector) applyExcept(s Spec, exempt *faultyConn) error {
	if err := s.Validate(); err != nil {
		return err
	}
	switch s.Kind {
	case Silence:
		in.silenceConns(exempt)
	case Freeze:
		in.freeze(time.Duration(s.DurationMillis) * time.Millisecond)
	default:
		in.add(s)
	}
	return nil
}

func (in *Injector) add(s Spec) {
	in.mu.Lock()
	defer in.mu.Unlock()
	f := &activeFault{Spec: s, remainingHits: s.Count}
	if s.DurationMillis > 0 {
		f.expiresAt = time.Now().Add(time.Duration(s.DurationMillis) * time.Millisecond)
	}
	in.active = append(in.active, f)
}

// Clear ends all faults except Silence, which is permanent.
func (in *Injector) Clear() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.active = nil
	in.unfreezeLocked()
}

// Active returns the active faults. Silence and Freeze aren't among them.
func (in *Injector) Active() []Spec {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.removeExpiredLocked()
	specs := make([]Spec, 0, len(in.active))
	for _, f := range in.active {
		specs = append(specs, f.Spec)
	}
	return specs
}

// Consume returns the oldest active fault of a kind that matches one of a request's texts,
// and counts the request against the fault's Count.
func (in *Injector) Consume(kind Kind, texts ...string) (Spec, bool) {
	return in.find(kind, texts, true)
}

// Peek returns the oldest active fault of a kind that matches one of a request's texts,
// without counting the request.
func (in *Injector) Peek(kind Kind, texts ...string) (Spec, bool) {
	return in.find(kind, texts, false)
}

func (in *Injector) find(kind Kind, texts []string, countHit bool) (Spec, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.removeExpiredLocked()
	for _, f := range in.active {
		if f.Kind != kind || !f.matches(texts) {
			continue
		}
		if countHit && f.Count > 0 {
			f.remainingHits--
		}
		return f.Spec, true
	}
	return Spec{}, false
}

// removeExpiredLocked removes the faults whose time or count is used up. The caller
// holds the lock.
func (in *Injector) removeExpiredLocked() {
	if len(in.active) == 0 {
		return
	}
	now := time.Now()
	kept := in.active[:0]
	for _, f := range in.active {
		expired := !f.expiresAt.IsZero() && !now.Before(f.expiresAt)
		exhausted := f.Count > 0 && f.remainingHits <= 0
		if !expired && !exhausted {
			kept = append(kept, f)
		}
	}
	in.active = kept
}

func (in *Injector) crash() {
	in.mu.Lock()
	in.crashCount++
	f := in.onCrash
	in.mu.Unlock()
	if f != nil {
		f()
	}
}

// freeze replaces the current freeze, if any, by one of duration d.
func (in *Injector) freeze(d time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.unfreezeLocked()
	unfreeze := make(chan struct{})
	in.unfreeze = unfreeze
	time.AfterFunc(d, func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		if in.unfreeze == unfreeze {
			in.unfreezeLocked()
		}
	})
}

// unfreezeLocked ends the current freeze, if any. The caller holds the lock.
func (in *Injector) unfreezeLocked() {
	if in.unfreeze != nil {
		close(in.unfreeze)
		in.unfreeze = nil
	}
}

// FreezeDone returns a channel that is closed when the current freeze ends, or nil if there
// is no freeze.
func (in *Injector) FreezeDone() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.unfreeze == nil {
		return nil
	}
	return in.unfreeze
}

// waitWhileFrozen blocks until the current freeze ends or stop is closed.
func (in *Injector) waitWhileFrozen(stop <-chan struct{}) {
	unfrozen := in.FreezeDone()
	if unfrozen == nil {
		return
	}
	select {
	case <-unfrozen:
	case <-stop:
	}
}
