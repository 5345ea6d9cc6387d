package membership

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Live returns the live VMs other than this one, sorted.
func (m *Members) Live() []ident.VM {
	return slices.DeleteFunc(m.sortedVMs(), func(vm ident.VM) bool { return !m.members[vm].live })
}

// DirectlyLive returns the directly live VMs, sorted: those that this daemon vouches for.
// VMs that are live only because a peer vouches for them are left out; otherwise two
// daemons could keep a dead one live by vouching for it to each other.
func (m *Members) DirectlyLive(now time.Time) []Contact {
	var contacts []Contact
	for _, vm := range m.sortedVMs() {
		if p := m.members[vm]; m.directDownReason(p, now) == 0 {
			contacts = append(contacts, p.Contact)
		}
	}
	return contacts
}

// Status is the state of one other daemon as this one sees it.
type Status struct {
	Contact
	Live     bool
	Reason   Reason    // why it isn't live, 0 if it is
	LastSeen time.Time // its last heartbeat, zero if there was none
}

// Status returns the state of all known VMs, sorted.
func (m *Members) Status(now time.Time) []Status {
	var statuses []Status
	for _, vm := range m.sortedVMs() {
		p := m.members[vm]
		statuses = append(statuses, Status{p.Contact, p.live, m.downReason(p, now), p.lastHeartbeat})
	}
	return statuses
}

// AddressOf returns the peer address of a VM's daemon, false if it isn't known.
func (m *Members) AddressOf(vm ident.VM) (string, bool) {
	p := m.members[vm]
	if p == nil || p.Address == "" {
		return "", false
	}
	return p.Address, true
}
