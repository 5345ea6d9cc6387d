package membership

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// removeAfter is how long a daemon stays known, and is still dialled, after it
// was last mentioned by a heartbeat, the VM list or a peer. It covers a network
// partition of minutes during which the list is stale.
const removeAfter = 30 * time.Minute

// failureCooldown is how long a daemon that couldn't be reached ranks behind all
// others when peers are picked.
const failureCooldown = time.Minute

// Members is one daemon's view of the others. It is not safe for concurrent use.
//
// Invariants after every Step:
//   - a member is directly live if its last heartbeat is within Timeout, its
//     stream hasn't failed since, and it is neither draining nor leaving;
//   - the live set is the directly live members and, in a partial mesh, also
//     those that aren't connection targets, aren't leaving, had no recent failure
//     and are vouched for by a directly live member;
//   - Joined and Left alternate for each VM, Joined first;
//   - the connections dialled and not closed are those that Targets returned at
//     the last Tick or change.
type Members struct {
	config         Config
	members        map[ident.VM]*member
	currentTargets []Contact // sorted; dialled and not closed since
	partialMesh    bool      // the fleet is too large to connect to every daemon
	selfDraining   bool      // this daemon takes no new work

	// targetsStale says that Targets may differ from currentTargets.
	targetsStale bool
	// noTimeoutBefore is a time before which no directly live member times out. It
	// lets Step skip the check of all members for a heartbeat of a live member, by far
	// the most frequent event.
	noTimeoutBefore time.Time
}

// member is what is known of one other daemon.
type member struct {
	Contact
	incarnation   int64      // of the last accepted heartbeat
	seq           uint64     // of the last accepted heartbeat
	lastHeartbeat time.Time  // zero: never
	lastMentioned time.Time  // last heartbeat, list or peer report that named it
	streamFailed  bool       // its stream ended since the last heartbeat
	lastFailure   time.Time  // of a dial or its stream; zero: none since the last heartbeat
	draining      bool       // according to its last heartbeat
	listed        bool       // in the platform's VM list
	leaving       bool       // according to that list
	vouchedBy     []ident.VM // peers that receive its heartbeats directly, sorted
	live          bool       // as last announced by Joined or Left
}

// New returns a view that knows only its seeds. The first Step returns a Dial for each.
func New(config Config) *Members {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	setDefault(&config.FullMeshMax, DefaultFullMeshMax)
	setDefault(&config.LocalPeers, DefaultLocalPeers)
	setDefault(&config.RemotePeersPerCentre, DefaultRemotePeersPerCentre)
	setDefault(&config.MaxRemotePeers, DefaultMaxRemotePeers)
	return &Members{config: config, members: map[ident.VM]*member{}, targetsStale: true}
}

func setDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

// Step applies one event and returns the resulting actions in a fixed order: Left
// and Joined by VM, then Close by VM and address, then Dial likewise.
func (m *Members) Step(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Listed:
		m.applyList(e.Entries, now)
	case Heard:
		if m.applyHeartbeat(e, now) && now.Before(m.noTimeoutBefore) && !m.targetsStale {
			return nil
		}
	case Vouched:
		m.applyVouched(e, now)
	case StreamFailed:
		if p := m.members[e.VM]; p != nil && p.incarnation == e.Incarnation {
			p.streamFailed, p.lastFailure, m.targetsStale = true, now, true
		}
	case Unreachable:
		if p := m.members[e.VM]; p != nil && !p.live {
			p.lastFailure, m.targetsStale = now, true
		}
	case DrainStarted:
		m.selfDraining = true
	case Tick:
		m.removeUnseen(now)
		m.targetsStale = true // the failure cooldown of a daemon may have ended
	}
	actions := m.updateLive(now)
	if m.targetsStale {
		actions = append(actions, m.updateTargets(now)...)
		m.targetsStale = false
	}
	return actions
}

// applyList replaces the previous VM list.
func (m *Members) applyList(entries []ListEntry, now time.Time) {
	for _, p := range m.members {
		p.listed, p.leaving = false, false
	}
	for _, e := range entries {
		p := m.recordContact(e.Contact, now)
		if p == nil {
			continue
		}
		p.listed, p.leaving = true, e.Leaving
	}
}

// applyVouched replaces the previous report of the same peer.
func (m *Members) applyVouched(e Vouched, now time.Time) {
	for _, p := range m.members {
		p.vouchedBy = slices.DeleteFunc(p.vouchedBy, func(vm ident.VM) bool { return vm == e.By })
	}
	for _, c := range e.Contacts {
		p := m.recordContact(c, now)
		if p == nil || c.VM == e.By {
			continue
		}
		if i, found := slices.BinarySearch(p.vouchedBy, e.By); !found {
			p.vouchedBy = slices.Insert(p.vouchedBy, i, e.By)
		}
	}
}

// recordContact records that a daemon exists and returns its member, nil for this
// daemon itself and for an empty VM name. The address in a heartbeat takes
// precedence over that of a list, which lags when a VM comes back at another address.
func (m *Members) recordContact(c Contact, now time.Time) *member {
	if c.VM == "" || c.VM == m.config.Self {
		return nil
	}
	p := m.members[c.VM]
	if p == nil {
		p = &member{Contact: c}
		m.members[c.VM] = p
		m.targetsStale = true
	}
	p.lastMentioned = now
	if !p.live && c.Address != "" && p.Contact != c {
		p.Contact, m.targetsStale = c, true
	}
	return p
}

// applyHeartbeat reports whether the heartbeat changed nothing but its time and
// sequence number, or was ignored.
func (m *Members) applyHeartbeat(e Heard, now time.Time) (unchanged bool) {
	p := m.recordContact(e.Contact, now)
	if p == nil || e.outdatedFor(p, m.presumedDead(p, now)) {
		return true
	}
	unchanged = p.live && p.Contact == e.Contact && !p.streamFailed && p.lastFailure.IsZero() && p.draining == e.Draining &&
		m.directDownReason(p, now) == 0
	m.targetsStale = m.targetsStale || p.Contact != e.Contact || !p.lastFailure.IsZero()
	p.Contact = e.Contact
	p.incarnation, p.seq = e.Incarnation, e.Seq
	p.lastHeartbeat = now
	p.streamFailed, p.lastFailure = false, time.Time{}
	p.draining = e.Draining
	return unchanged
}

// outdatedFor reports whether the heartbeat is to be ignored: it is from a previous
// process of the VM, or a newer one arrived first over a second connection. dead
// says that the known process is presumed dead: then an incarnation that looks
// older is accepted, since the VM's wall clock may have been set back.
func (e Heard) outdatedFor(p *member, dead bool) bool {
	if e.Incarnation != p.incarnation {
		return e.Incarnation < p.incarnation && !dead
	}
	return e.Seq <= p.seq
}

// presumedDead reports whether the process that sent the last heartbeat has timed
// out or lost its stream.
func (m *Members) presumedDead(p *member, now time.Time) bool {
	return p.streamFailed || now.Sub(p.lastHeartbeat) > m.config.Timeout
}

// removeUnseen deletes members that nothing has mentioned for removeAfter.
func (m *Members) removeUnseen(now time.Time) {
	for vm, p := range m.members {
		if !p.live && !p.listed && now.Sub(p.lastMentioned) > removeAfter {
			delete(m.members, vm)
		}
	}
}

// updateLive recomputes which members are live and returns Joined and Left for the
// changes.
func (m *Members) updateLive(now time.Time) []Action {
	var actions []Action
	m.noTimeoutBefore = now.Add(m.config.Timeout)
	for _, vm := range m.sortedVMs() {
		p := m.members[vm]
		if expiry := p.lastHeartbeat.Add(m.config.Timeout); !expiry.Before(now) && expiry.Before(m.noTimeoutBefore) {
			m.noTimeoutBefore = expiry
		}
		reason := m.downReason(p, now)
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

// downReason returns why a member isn't live, 0 for a live one.
func (m *Members) downReason(p *member, now time.Time) Reason {
	reason := m.directDownReason(p, now)
	if !m.canBeVouchedFor(p, reason, now) {
		return reason
	}
	for _, vm := range p.vouchedBy {
		if voucher := m.members[vm]; voucher != nil && m.directDownReason(voucher, now) == 0 {
			return 0
		}
	}
	return Unvouched
}

// canBeVouchedFor reports whether peers' reports may make a member live. They may
// not for a member whose failure this daemon itself observed: peers may take seconds
// longer to notice it.
func (m *Members) canBeVouchedFor(p *member, reason Reason, now time.Time) bool {
	if reason != Silent && reason != Failed {
		return false
	}
	return m.partialMesh && !p.leaving && !m.isTarget(p.VM) && m.recentFailure(p.VM, now) == 0
}

// isTarget reports whether this daemon is to be connected to a VM.
func (m *Members) isTarget(vm ident.VM) bool {
	return slices.ContainsFunc(m.currentTargets, func(c Contact) bool { return c.VM == vm })
}

// directDownReason returns why a member isn't directly live, 0 if it is.
func (m *Members) directDownReason(p *member, now time.Time) Reason {
	switch {
	case p.lastHeartbeat.IsZero() || now.Sub(p.lastHeartbeat) > m.config.Timeout:
		return Silent
	case p.streamFailed:
		return Failed
	case p.draining:
		return Draining
	case p.leaving:
		return Leaving
	}
	return 0
}

func (m *Members) sortedVMs() []ident.VM {
	vms := make([]ident.VM, 0, len(m.members))
	for vm := range m.members {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}
