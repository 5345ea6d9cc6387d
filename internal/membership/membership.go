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
//   - a member is heard if its last heartbeat is within Timeout, its stream
//     hasn't failed since, and it is neither draining nor leaving;
//   - the live set is the heard members, and those that aren't dialled, aren't
//     leaving, didn't fail lately and are vouched for by a heard one;
//   - Joined and Left alternate for each VM, Joined first;
//   - what is dialled and not closed is Targets as of the last Tick or change.
type Members struct {
	config  Config
	members map[ident.VM]*member
	dialled []Contact // sorted; what Dial asked for and Close hasn't ended
	bounded bool      // the fleet is too large to be connected with everyone
	drained bool

	// moved says that the targets may differ from what is dialled.
	moved bool
	// quietUntil: before it no heard member times out. It lets a heartbeat of a
	// live member, by far the most frequent event, pass without a look at all.
	quietUntil time.Time
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
	vouchers    []ident.VM // who says that it hears this one, sorted
	live        bool
}

// New returns a view that knows only its seeds. The first Step asks to dial them.
func New(config Config) *Members {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	setDefault(&config.Everyone, DefaultEveryone)
	setDefault(&config.NearPicks, DefaultNearPicks)
	setDefault(&config.FarPicks, DefaultFarPicks)
	setDefault(&config.FarCap, DefaultFarCap)
	return &Members{config: config, members: map[ident.VM]*member{}, moved: true}
}

func setDefault(value *int, standard int) {
	if *value <= 0 {
		*value = standard
	}
}

// Step takes in one event. The actions are in a fixed order: Left and Joined by
// VM, then Close and Dial by VM and address.
func (m *Members) Step(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Listed:
		m.list(e.Entries, now)
	case Heard:
		if m.hear(e, now) && now.Before(m.quietUntil) && !m.moved {
			return nil
		}
	case Vouched:
		m.vouch(e, now)
	case StreamFailed:
		if p := m.members[e.VM]; p != nil && p.incarnation == e.Incarnation {
			p.failed, p.failedAt, m.moved = true, now, true
		}
	case Unreachable:
		if p := m.members[e.VM]; p != nil && !p.live {
			p.failedAt, m.moved = now, true
		}
	case Drained:
		m.drained = true
	case Tick:
		m.forget(now)
		m.moved = true // a daemon that was passed over may have its turn again
	}
	actions := m.settleLive(now)
	if m.moved {
		actions = append(actions, m.settleDialled(now)...)
		m.moved = false
	}
	return actions
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

// vouch replaces what one peer vouched for before.
func (m *Members) vouch(e Vouched, now time.Time) {
	for _, p := range m.members {
		p.vouchers = slices.DeleteFunc(p.vouchers, func(vm ident.VM) bool { return vm == e.By })
	}
	for _, c := range e.Contacts {
		p := m.learn(c, now)
		if p == nil || c.VM == e.By {
			continue
		}
		if i, found := slices.BinarySearch(p.vouchers, e.By); !found {
			p.vouchers = slices.Insert(p.vouchers, i, e.By)
		}
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
		m.moved = true
	}
	p.known = now
	if !p.live && c.Address != "" && p.Contact != c {
		p.Contact, m.moved = c, true
	}
	return p
}

// hear reports whether the heartbeat changed nothing but the time.
func (m *Members) hear(e Heard, now time.Time) (same bool) {
	p := m.learn(e.Contact, now)
	if p == nil || e.olderThan(p, m.gone(p, now)) {
		return true
	}
	same = p.live && p.Contact == e.Contact && !p.failed && p.failedAt.IsZero() && p.draining == e.Draining &&
		m.whyUnheard(p, now) == 0
	m.moved = m.moved || p.Contact != e.Contact || !p.failedAt.IsZero()
	p.Contact = e.Contact
	p.incarnation, p.seq = e.Incarnation, e.Seq
	p.heard = now
	p.failed, p.failedAt = false, time.Time{}
	p.draining = e.Draining
	return same
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
	m.quietUntil = now.Add(m.config.Timeout)
	for _, vm := range m.sorted() {
		p := m.members[vm]
		if end := p.heard.Add(m.config.Timeout); !end.Before(now) && end.Before(m.quietUntil) {
			m.quietUntil = end
		}
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
	reason := m.whyUnheard(p, now)
	if !m.vouchable(p, reason, now) {
		return reason
	}
	for _, vm := range p.vouchers {
		if voucher := m.members[vm]; voucher != nil && m.whyUnheard(voucher, now) == 0 {
			return 0
		}
	}
	return Unvouched
}

// vouchable keeps hearsay from bringing back what this daemon itself saw go:
// others may take seconds longer to see the same.
func (m *Members) vouchable(p *member, reason Reason, now time.Time) bool {
	if reason != Silent && reason != Failed {
		return false
	}
	return m.bounded && !p.leaving && !m.wanted(p.VM) && m.avoided(p.VM, now) == 0
}

func (m *Members) wanted(vm ident.VM) bool {
	return slices.ContainsFunc(m.dialled, func(c Contact) bool { return c.VM == vm })
}

// whyUnheard returns 0 for a member that is heard itself.
func (m *Members) whyUnheard(p *member, now time.Time) Reason {
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
