package membership

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Live returns the live VMs, without this one, sorted.
func (m *Members) Live() []ident.VM {
	return slices.DeleteFunc(m.sorted(), func(vm ident.VM) bool { return !m.members[vm].live })
}

// Heard returns the VMs that are heard themselves, sorted: whom this daemon
// vouches for. Passing on what others vouch for would let two daemons keep a
// dead one alive between them.
func (m *Members) Heard(now time.Time) []Contact {
	var heard []Contact
	for _, vm := range m.sorted() {
		if p := m.members[vm]; m.whyUnheard(p, now) == 0 {
			heard = append(heard, p.Contact)
		}
	}
	return heard
}

// Status is one other daemon as this one sees it.
type Status struct {
	Contact
	Live     bool
	Reason   Reason // why it isn't live
	LastSeen time.Time
}

// Status returns all known VMs, sorted.
func (m *Members) Status(now time.Time) []Status {
	var all []Status
	for _, vm := range m.sorted() {
		p := m.members[vm]
		all = append(all, Status{p.Contact, p.live, m.whyNot(p, now), p.heard})
	}
	return all
}

// AddressOf returns where a known daemon is reached, false if that isn't known.
func (m *Members) AddressOf(vm ident.VM) (string, bool) {
	p := m.members[vm]
	if p == nil || p.Address == "" {
		return "", false
	}
	return p.Address, true
}
