// Package health decides which upstreams of one group may get work, and how much. It does
// no I/O and reads no clock: events and the time go in, actions come out, and the same
// events give the same actions.
//
// The states of an upstream change as follows:
//   - Up to Suspect: an attempt was reset or silent, several answers in a row were
//     malformed, or a probe got no answer. If the same process answers a probe, the upstream
//     is Up again. If another process answers, the previous one has died.
//   - Up or Suspect to Down, on hard evidence: a connection was refused, or a suspect didn't
//     answer a probe.
//   - Down to SlowStart to Up: a probe was answered. The weight rises step by step.
//
// Leaving is independent of these states: an upstream that is leaving gets no new work until
// another process of the same name reports that it isn't leaving.
package health

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// State is the state of an upstream as far as is known.
type State int

// The states.
const (
	Up State = iota
	Suspect
	Down
	SlowStart
)

// String returns the name of the state in logs and on the timeline.
func (s State) String() string {
	return [...]string{"up", "suspect", "down", "slow start"}[s]
}

// Event is one of the types below.
type Event interface{ event() }

type (
	// Added: the group's settings have a new upstream.
	Added struct{ Upstream ident.Upstream }
	// Removed: the group's settings no longer have the upstream. All that is known of it
	// is dropped.
	Removed struct{ Upstream ident.Upstream }
	// Succeeded: an attempt got a complete answer.
	Succeeded struct{ Upstream ident.Upstream }
	// Faulted: an attempt failed.
	Faulted struct {
		Upstream ident.Upstream
		Kind     FaultKind
	}
	// Reported: a probe was answered with a load report.
	Reported struct {
		Upstream ident.Upstream
		BootID   string
		Leaving  bool
	}
	// ProbeFailed: a probe got no answer. Refused says that nothing listens there.
	ProbeFailed struct {
		Upstream ident.Upstream
		Refused  bool
	}
	// SaidLeaving: the VM list, an answer or a peer says that the upstream is leaving.
	SaidLeaving struct {
		Upstream ident.Upstream
		Source   Source
	}
	// Doubted: a peer can't reach the upstream. This is only a reason to probe it.
	Doubted struct{ Upstream ident.Upstream }
	// Tick: time has passed. Weights rise and slow starts end.
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

// FaultKind classifies failed attempts by what they show about the upstream.
type FaultKind int

// The kinds of fault.
const (
	// Refused: nothing listens there. Hard evidence that the upstream is down.
	Refused FaultKind = iota
	// Reset: the connection ended before the answer was complete. Makes a suspect.
	Reset
	// Silent: no progress for the progress timeout. Makes a suspect.
	Silent
	// Malformed: a malformed answer. Several in a row make a suspect.
	Malformed
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
	// SetEligible sets whether new work may start on the upstream.
	SetEligible struct {
		Upstream ident.Upstream
		Eligible bool
	}
	// SetWeight sets the share (0 to 1) of its usual load that the upstream may get.
	SetWeight struct {
		Upstream ident.Upstream
		Weight   float64
	}
	// ProbeAt asks for a probe at a time, in place of the one that was asked for before.
	ProbeAt struct {
		Upstream ident.Upstream
		At       time.Time
	}
	// Died says that the upstream's process with this boot ID has ended.
	Died struct {
		Upstream ident.Upstream
		BootID   string
	}
	// Changed tells the log and the timeline of a change of state or leaving.
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
