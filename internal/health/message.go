// Package health decides which upstreams of one group may get work, and how
// much. It is pure: events and the time in, actions out; the same events give
// the same actions. Not safe for concurrent use.
//
// Up -> Suspect: a reset or silence. A probe that finds the same process clears
// it, one that finds another process or nothing makes it a death.
// Up, Suspect -> Down: refused, or a probe failed: hard evidence.
// Down -> SlowStart -> Up: a probe answered; the weight climbs from StartWeight.
// Leaving lies over all of these: no new work, until another process of the
// same name says that it isn't leaving.
package health

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// State is what is believed about an upstream.
type State int

// The states.
const (
	Up State = iota
	Suspect
	Down
	SlowStart
)

// String names the state.
func (s State) String() string {
	return [...]string{"up", "suspect", "down", "slow start"}[s]
}

// Event is one of the types below.
type Event interface{ event() }

type (
	// Added and Removed follow the group's settings.
	Added struct{ Upstream ident.Upstream }
	// Removed ends all that is known of the upstream.
	Removed struct{ Upstream ident.Upstream }
	// Succeeded is a whole answer.
	Succeeded struct{ Upstream ident.Upstream }
	// Faulted is a failed attempt.
	Faulted struct {
		Upstream ident.Upstream
		Kind     FaultKind
	}
	// Reported is an answered probe (a load report).
	Reported struct {
		Upstream ident.Upstream
		BootID   string
		Leaving  bool
	}
	// ProbeFailed is a probe without an answer; Refused if nothing listens.
	ProbeFailed struct {
		Upstream ident.Upstream
		Refused  bool
	}
	// SaidLeaving comes from the VM list, an answer or a peer.
	SaidLeaving struct {
		Upstream ident.Upstream
		Source   Source
	}
	// Doubted: a peer can't reach the upstream. Only a reason to look.
	Doubted struct{ Upstream ident.Upstream }
	// Tick lets weights climb.
	Tick struct{}
)

func (Added) event()       {}
func (Removed) event()     {}
func (Succeeded) event()   {}
func (Faulted) event()     {}
func (Reported) event()    {}
func (ProbeFailed) event() {}
func (SaidLeaving) event() {}
func (Doubted) event()     {}
func (Tick) event()        {}

// FaultKind sorts failed attempts by what they say about the upstream.
type FaultKind int

// The kinds of fault.
const (
	// Refused: nothing listens there. Hard evidence.
	Refused FaultKind = iota
	// Reset: a connection ended before its answer was whole. Suspicion.
	Reset
	// Silent: no progress for the progress time-out. Suspicion.
	Silent
	// Garbled: an answer that makes no sense. Suspicion after several.
	Garbled
)

// Source is who said that an upstream is leaving.
type Source string

// The sources.
const (
	FromVMList Source = "vm list"
	FromReport Source = "load report"
	FromAnswer Source = "answer"
	FromPeer   Source = "peer"
)

// Action is one of the types below.
type Action interface{ action() }

type (
	// SetEligible says whether new work may start there.
	SetEligible struct {
		Upstream ident.Upstream
		Eligible bool
	}
	// SetWeight is the share (0..1) of its usual load that it may get.
	SetWeight struct {
		Upstream ident.Upstream
		Weight   float64
	}
	// ProbeAt asks for a probe; a later one for the upstream replaces it.
	ProbeAt struct {
		Upstream ident.Upstream
		At       time.Time
	}
	// Died says that the process of that boot ended.
	Died struct {
		Upstream ident.Upstream
		BootID   string
	}
	// Changed is a change of state, for the log and the timeline.
	Changed struct {
		Upstream ident.Upstream
		State    State
		Leaving  bool
		Cause    string
	}
)

func (SetEligible) action() {}
func (SetWeight) action()   {}
func (ProbeAt) action()     {}
func (Died) action()        {}
func (Changed) action()     {}
