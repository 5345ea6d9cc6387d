package membership

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// forgetAfter is how long a daemon that is neither heard nor listed is still
// dialled. It covers a region parted for minutes while the list is stale.
const forgetAfter = 30 * time.Minute

// avoidFor is how long a daemon that couldn't be reached is passed over.
const avoidFor = time.Minute

// Members is one daemon's view of the others. Not safe for concurrent use.
//
// Invariants after every Step:
//   - the live set is exactly the members heard within Timeout whose stream
//     hasn't failed since and that aren't draining or leaving;
//   - Joined and Left alternate for each VM, Joined first;
//   - the addresses dialled and not closed are those of Targets.
type Members struct {
	config  Config
	members map[ident.VM]*member
	dialled []Contact // sorted; what Dial asked for and Close hasn't ended
	drained bool
}

type member struct {
	Contact
	incarnation int64
	seq         uint64
	heard       time.Time // zero: never
	known       time.Time // last time anything named it
	failed      bool      // stream ended since the last heartbeat
	failedAt    time.Time // last time it couldn't be reached, or its stream ended
	draining    bool
	listed      bool
	leaving     bool
	live        bool
}

// New returns a view that knows only its seeds. The first Step asks to dial them.
func New(config Config) *Members {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.NearCap <= 0 {
		config.NearCap = DefaultNearCap
	}
	if config.FarPicks <= 0 {
		config.FarPicks = DefaultFarPicks
	}
	return &Members{config: config, members: map[ident.VM]*member{}}
}

// Step takes in one event. The actions are in a fixed order: Left and Joined by
// VM, then Close and Dial by VM and address.
func (m *Members) Step(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Listed:
		m.list(e.Entries, now)
	case Heard:
		m.hear(e, now)
	case Met:
		for _, c := range e.Contacts {
			m.learn(c, now)
		}
	case StreamFailed:
		if p := m.members[e.VM]; p != nil && p.incarnation == e.Incarnation {
			p.failed, p.failedAt = true, now
		}
	case Unreachable:
		if p := m.members[e.VM]; p != nil && !p.live {
			p.failedAt = now
		}
	case Drained:
		m.drained = true
	case Tick:
		m.forget(now)
	}
	actions := m.settleLive(now)
	return append(actions, m.settleDialled(now)...)
}

func (m *Members) list(entries []ListEntry, now time.Time) {
	for _, p := range m.members {
		p.listed, p.leaving = false, false
	}
	for _, e := range entries {
		p := m.learn(e.Contact, now)
		if p == nil {
			continue
		}
		p.listed, p.leaving = true, e.Leaving
	}
}

// learn notes that a daemon exists. A heartbeat's own address is trusted over
// that of a list, which may lag behind a VM that came back elsewhere.
func (m *Members) learn(c Contact, now time.Time) *member {
	if c.VM == "" || c.VM == m.config.Self {
		return nil
	}
	p := m.members[c.VM]
	if p == nil {
		p = &member{Contact: c}
		m.members[c.VM] = p
	}
	p.known = now
	if !p.live && c.Address != "" {
		p.Contact = c
	}
	return p
}

func (m *Members) hear(e Heard, now time.Time) {
	p := m.learn(e.Contact, now)
	if p == nil || e.olderThan(p, m.gone(p, now)) {
		return
	}
	p.Contact = e.Contact
	p.incarnation, p.seq = e.Incarnation, e.Seq
	p.heard = now
	p.failed, p.failedAt = false, time.Time{}
	p.draining = e.Draining
}

// olderThan keeps a heartbeat of a former process, or one that was overtaken
// on a second connection, from speaking for a VM. A start that looks older is
// believed once the known process is gone: the VM's wall clock went back.
func (e Heard) olderThan(p *member, gone bool) bool {
	if e.Incarnation != p.incarnation {
		return e.Incarnation < p.incarnation && !gone
	}
	return e.Seq <= p.seq
}

// gone reports whether nothing is left of the process heard last.
func (m *Members) gone(p *member, now time.Time) bool {
	return p.failed || now.Sub(p.heard) > m.config.Timeout
}

func (m *Members) forget(now time.Time) {
	for vm, p := range m.members {
		if !p.live && !p.listed && now.Sub(p.known) > forgetAfter {
			delete(m.members, vm)
		}
	}
}

func (m *Members) settleLive(now time.Time) []Action {
	var actions []Action
	for _, vm := range m.sorted() {
		p := m.members[vm]
		reason := m.whyNot(p, now)
		live := reason == 0
		switch {
		case live && !p.live:
			actions = append(actions, Joined{vm})
		case !live && p.live:
			actions = append(actions, Left{vm, reason})
		}
		p.live = live
	}
	return actions
}

// whyNot returns 0 for a live member.
func (m *Members) whyNot(p *member, now time.Time) Reason {
	switch {
	case p.heard.IsZero() || now.Sub(p.heard) > m.config.Timeout:
		return Silent
	case p.failed:
		return Failed
	case p.draining:
		return Draining
	case p.leaving:
		return Leaving
	}
	return 0
}

func (m *Members) sorted() []ident.VM {
	names := make([]ident.VM, 0, len(m.members))
	for vm := range m.members {
		names = append(names, vm)
	}
	slices.Sort(names)
	return names
}

// Live returns the live VMs, without this one, sorted.
func (m *Members) Live() []ident.VM {
	return slices.DeleteFunc(m.sorted(), func(vm ident.VM) bool { return !m.members[vm].live })
}

// Known returns where the live VMs are, sorted by VM; a newcomer is told of them.
func (m *Members) Known() []Contact {
	var known []Contact
	for _, vm := range m.Live() {
		known = append(known, m.members[vm].Contact)
	}
	return known
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
