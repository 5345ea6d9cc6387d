// Package membership decides which daemons are live, which of them to connect to,
// and which one owns a key. It does no I/O and reads no clock: Step takes events and
// the time, and returns actions.
//
// Daemons don't agree on the membership by consensus. Two of them may see different
// live sets and name different owners of a key; this costs duplicate work, never
// safety.
package membership

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Config describes this daemon and its limits. Numbers that are zero or less mean the
// defaults.
type Config struct {
	Self                 ident.VM
	DataCentre           ident.DataCentre
	Address              string        // this daemon's own peer address, never dialled
	Seeds                []string      // peer addresses from the settings
	Timeout              time.Duration // how long a VM stays live without a heartbeat
	FullMeshMax          int           // most other daemons that this one connects to without picking
	LocalPeers           int           // in a larger fleet: peers picked in the own data centre
	RemotePeersPerCentre int           // peers picked in each other data centre
	MaxRemotePeers       int           // peers picked in all other data centres together
}

// Defaults of Config.
const (
	DefaultTimeout              = 3 * time.Second
	DefaultFullMeshMax          = 16
	DefaultLocalPeers           = 6 // about as many pick this daemon: among 30, each is two hops from nearly all
	DefaultRemotePeersPerCentre = 2
	DefaultMaxRemotePeers       = 3
)

// Contact says where a daemon can be reached. VM is empty for a seed that no known
// daemon has answered for yet.
type Contact struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Address    string
}

// Event is one of the types below that have the method event.
type Event interface{ event() }

type (
	// Listed is the platform's list of the fleet's VMs. It lags, so it only tells
	// which daemons to dial and which are leaving.
	Listed struct{ Entries []ListEntry }
	// ListEntry is one VM of the list.
	ListEntry struct {
		Contact
		Leaving bool // the platform marks the VM as leaving
	}
	// Heard is a heartbeat. Incarnation is the start time of the sender's process
	// and Seq counts that process's heartbeats; one that isn't newer than the last
	// accepted one is ignored.
	Heard struct {
		Contact
		Incarnation int64
		Seq         uint64
		Draining    bool // the sender takes no new work
	}
	// Vouched names all daemons whose heartbeats a peer receives directly. Like
	// Listed it tells which daemons to dial. In a partial mesh, a daemon that this one
	// isn't to connect to is live while a directly live peer vouches for it.
	Vouched struct {
		By       ident.VM
		Contacts []Contact
	}
	// StreamFailed says that the connection of an incarnation ended. The VM isn't
	// directly live until its next heartbeat.
	StreamFailed struct {
		VM          ident.VM
		Incarnation int64
	}
	// Unreachable says that dialling a VM failed. For failureCooldown another one is
	// picked instead, if there is one.
	Unreachable struct{ VM ident.VM }
	// DrainStarted says that this daemon itself takes no new work.
	DrainStarted struct{}
	// Tick says that time has passed.
	Tick struct{}
)

func (Listed) event()       {}
func (Heard) event()        {}
func (Vouched) event()      {}
func (StreamFailed) event() {}
func (Unreachable) event()  {}
func (DrainStarted) event() {}
func (Tick) event()         {}

// Action is one of Dial, Close, Joined, Left.
type Action interface{ action() }

type (
	// Dial asks for a connection that is kept up, redialled where necessary, until Close.
	Dial struct{ Contact }
	// Close withdraws a Dial: the connection isn't needed any more.
	Close struct{ Contact }
	// Joined says that a VM is live now.
	Joined struct{ VM ident.VM }
	// Left says that a VM isn't live any more.
	Left struct {
		VM     ident.VM
		Reason Reason
	}
)

func (Dial) action()   {}
func (Close) action()  {}
func (Joined) action() {}
func (Left) action()   {}

// Reason says why a VM isn't live.
type Reason int

// The reasons.
const (
	Silent    Reason = iota + 1 // no heartbeat within Timeout: frozen, partitioned or dead
	Failed                      // its connection ended
	Draining                    // its last heartbeat says so
	Leaving                     // the platform's list says so
	Unvouched                   // not connected to, and no directly live peer vouches for it
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
