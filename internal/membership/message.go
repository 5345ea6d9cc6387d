// Package membership decides which daemons are alive, which of them to stay
// connected with, and which one owns a key. It is pure: events and the time go
// in through Step, actions come out, and nothing is read from outside.
//
// Nothing here is agreed on between daemons. Two of them may see different
// sets and name different owners; that costs work, never safety.
package membership

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Config is what a daemon knows of itself. Zero numbers mean the defaults.
type Config struct {
	Self       ident.VM
	DataCentre ident.DataCentre
	Address    string        // own peer address, never dialled
	Seeds      []string      // peer addresses known from the settings
	Timeout    time.Duration // a VM silent for longer isn't alive
	Everyone   int           // a fleet with no more others than this is all connected
	NearPicks  int           // in a larger one: picks in the own data centre
	FarPicks   int           // picks in each other data centre
	FarCap     int           // picks in all other data centres together
}

// Defaults of Config.
const (
	DefaultTimeout   = 3 * time.Second
	DefaultEveryone  = 16
	DefaultNearPicks = 6 // and as many pick us: of 30, each is two steps from nearly all
	DefaultFarPicks  = 2
	DefaultFarCap    = 3
)

// Contact says where a daemon can be reached. VM is empty for a seed that
// hasn't been spoken with yet.
type Contact struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Address    string
}

// Event is one of Listed, Heard, Vouched, StreamFailed, Unreachable, Drained, Tick.
type Event interface{ event() }

type (
	// Listed is the platform's list of our daemons. It lags, so it only says
	// whom to try, and who is leaving.
	Listed struct{ Entries []ListEntry }
	// ListEntry is one line of it.
	ListEntry struct {
		Contact
		Leaving bool
	}
	// Heard is a heartbeat. Incarnation is the start of the sender's process
	// and Seq its count of heartbeats; older ones than the newest are ignored.
	Heard struct {
		Contact
		Incarnation int64
		Seq         uint64
		Draining    bool
	}
	// Vouched names all daemons that a peer itself hears. Like Listed it says
	// whom to try. Those that this daemon isn't to connect with count as live
	// while a live peer vouches for them.
	Vouched struct {
		By       ident.VM
		Contacts []Contact
	}
	// StreamFailed says that the connection of an incarnation ended. The VM is
	// out until it is heard again.
	StreamFailed struct {
		VM          ident.VM
		Incarnation int64
	}
	// Unreachable says that dialling a VM failed. Another one is picked in its
	// place for a while, where there is a choice.
	Unreachable struct{ VM ident.VM }
	// Drained says that this daemon itself takes no new work.
	Drained struct{}
	// Tick lets time pass.
	Tick struct{}
)

func (Listed) event()       {}
func (Heard) event()        {}
func (Vouched) event()      {}
func (StreamFailed) event() {}
func (Unreachable) event()  {}
func (Drained) event()      {}
func (Tick) event()         {}

// Action is one of Dial, Close, Joined, Left.
type Action interface{ action() }

type (
	// Dial asks for a connection that is kept up until Close.
	Dial struct{ Contact }
	// Close ends what Dial began; the address isn't wanted any more.
	Close struct{ Contact }
	// Joined says that a VM is alive now.
	Joined struct{ VM ident.VM }
	// Left says that a VM isn't alive any more.
	Left struct {
		VM     ident.VM
		Reason Reason
	}
)

func (Dial) action()   {}
func (Close) action()  {}
func (Joined) action() {}
func (Left) action()   {}

// Reason says why a VM left.
type Reason int

// The reasons.
const (
	Silent    Reason = iota + 1 // no heartbeat in time: frozen, parted or dead
	Failed                      // its connection ended
	Draining                    // it said so itself
	Leaving                     // the platform's list says so
	Unvouched                   // not connected with, and no peer hears it any more
)

// String names the reason for logs.
func (r Reason) String() string {
	switch r {
	case Silent:
		return "silent"
	case Failed:
		return "connection failed"
	case Draining:
		return "draining"
	case Leaving:
		return "leaving"
	case Unvouched:
		return "unvouched"
	default:
		return "unknown"
	}
}
