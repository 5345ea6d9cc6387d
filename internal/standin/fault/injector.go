package fault

import (
	"sync"
	"time"
)

// Injector holds the faults in force of one stand-in. It is safe for
// concurrent use; the zero value isn't usable, see New.
type Injector struct {
	mu       sync.Mutex
	active   []*armed
	conns    map[*conn]struct{}
	thawed   chan struct{} // closed when the freeze ends; nil: not frozen
	onCrash  func()
	crashes  int
	crossing chan exchange
}

// armed is a fault in force.
type armed struct {
	Spec
	until time.Time // zero: until deleted
	left  int       // requests still to hit, when Count > 0
}

// New returns an Injector without faults.
func New() *Injector {
	return &Injector{conns: map[*conn]struct{}{}, crossing: make(chan exchange)}
}

// OnCrash sets what a crash does: a process exits, a test closes its server.
func (in *Injector) OnCrash(f func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.onCrash = f
}

// Crashes returns how often a crash was brought about.
func (in *Injector) Crashes() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.crashes
}

// Set puts a fault in force. Silence and Freeze act at once.
func (in *Injector) Set(s Spec) error { return in.set(s, nil) }

func (in *Injector) set(s Spec, spare *conn) error {
	if err := s.Validate(); err != nil {
		return err
	}
	switch s.Kind {
	case Silence:
		in.silence(spare)
	case Freeze:
		in.freeze(time.Duration(s.DurationMillis) * time.Millisecond)
	default:
		in.arm(s)
	}
	return nil
}

func (in *Injector) arm(s Spec) {
	in.mu.Lock()
	defer in.mu.Unlock()
	a := &armed{Spec: s, left: s.Count}
	if s.DurationMillis > 0 {
		a.until = time.Now().Add(time.Duration(s.DurationMillis) * time.Millisecond)
	}
	in.active = append(in.active, a)
}

// Clear ends every fault except a silence, which is for good.
func (in *Injector) Clear() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.active = nil
	in.thaw()
}

// Active lists the faults in force.
func (in *Injector) Active() []Spec {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.expire()
	out := make([]Spec, 0, len(in.active))
	for _, a := range in.active {
		out = append(out, a.Spec)
	}
	return out
}

// Take returns the oldest fault of a kind that matches one of the texts, and
// counts it as having hit once.
func (in *Injector) Take(kind Kind, texts ...string) (Spec, bool) {
	return in.find(kind, texts, true)
}

// Peek is Take without the counting.
func (in *Injector) Peek(kind Kind, texts ...string) (Spec, bool) {
	return in.find(kind, texts, false)
}

func (in *Injector) find(kind Kind, texts []string, use bool) (Spec, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.expire()
	for _, a := range in.active {
		if a.Kind != kind || !a.matches(texts) {
			continue
		}
		if use && a.Count > 0 {
			a.left--
		}
		return a.Spec, true
	}
	return Spec{}, false
}

// expire forgets the faults whose time or count is over. Called under the lock.
func (in *Injector) expire() {
	if len(in.active) == 0 {
		return
	}
	now := time.Now()
	kept := in.active[:0]
	for _, a := range in.active {
		over := !a.until.IsZero() && !now.Before(a.until)
		usedUp := a.Count > 0 && a.left <= 0
		if !over && !usedUp {
			kept = append(kept, a)
		}
	}
	in.active = kept
}

func (in *Injector) crash() {
	in.mu.Lock()
	in.crashes++
	f := in.onCrash
	in.mu.Unlock()
	if f != nil {
		f()
	}
}

func (in *Injector) freeze(d time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.thaw()
	thawed := make(chan struct{})
	in.thawed = thawed
	time.AfterFunc(d, func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		if in.thawed == thawed {
			in.thaw()
		}
	})
}

// thaw ends a freeze. Called under the lock.
func (in *Injector) thaw() {
	if in.thawed != nil {
		close(in.thawed)
		in.thawed = nil
	}
}

// Frozen returns a channel that is closed when the present freeze ends, nil
// when there is none.
func (in *Injector) Frozen() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.thawed == nil {
		return nil
	}
	return in.thawed
}

// waitThawed blocks during a freeze, until stop is closed.
func (in *Injector) waitThawed(stop <-chan struct{}) {
	thawed := in.Frozen()
	if thawed == nil {
		return
	}
	select {
	case <-thawed:
	case <-stop:
	}
}
