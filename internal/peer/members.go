package peer

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

var liveMembers = metrics.Gauge("peer_live_members")

// MemberStatus is one daemon as this one sees it.
type MemberStatus struct {
	VM         ident.VM         `json:"vm"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Address    string           `json:"address"`
	Self       bool             `json:"self,omitempty"`
	Live       bool             `json:"live"`
	Reason     string           `json:"reason,omitempty"` // why it isn't live
	Connected  bool             `json:"connected"`
	Draining   bool             `json:"draining,omitempty"`
	Config     ConfigPoint      `json:"config"`
	LastSeen   time.Time        `json:"last_seen,omitzero"`
}

// Owner returns the VM that a key belongs to, and whether that is this one.
func (s *Service) Owner(key string) (vm ident.VM, self bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Owner(key)
}

// Fleet returns the live daemons as membership sees them.
func (s *Service) Fleet() membership.Fleet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Fleet()
}

// Members returns this daemon and all it knows of, itself first.
func (s *Service) Members() []MemberStatus {
	self := s.snapshotSelf()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []MemberStatus{self}
	for _, m := range s.members.Status(time.Now()) {
		status := MemberStatus{
			VM: m.VM, DataCentre: m.DataCentre, Address: m.Address,
			Live: m.Live, LastSeen: m.LastSeen,
			Connected: s.links[m.VM] != nil,
			Config:    s.heardOf[m.VM].config,
			Draining:  s.heardOf[m.VM].draining,
		}
		if !m.Live {
			status.Reason = m.Reason.String()
		}
		all = append(all, status)
	}
	return all
}

func (s *Service) snapshotSelf() MemberStatus {
	state := s.options.Config.Current()
	return MemberStatus{
		VM: s.options.Self, DataCentre: s.options.DataCentre, Address: s.Address(),
		Self: true, Live: true, Draining: s.draining.Load(),
		Config: ConfigPoint{Through: state.AppliedOffset(), Version: state.Version()},
	}
}

// step gives membership one event and does what it asks for.
func (s *Service) step(event membership.Event) {
	s.order.Lock()
	defer s.order.Unlock()
	s.stepLocked(event)
}

// stepLocked wants order held.
func (s *Service) stepLocked(event membership.Event) {
	s.mu.Lock()
	actions := s.members.Step(event, time.Now())
	live := len(s.members.Live())
	s.mu.Unlock()
	liveMembers.Set(int64(live))
	for _, action := range actions {
		s.perform(action)
	}
	for _, action := range actions {
		if a, ok := action.(membership.Close); ok {
			s.dropUnwanted(a.VM)
		}
	}
}

func (s *Service) perform(action membership.Action) {
	switch a := action.(type) {
	case membership.Dial:
		s.startDial(a.Contact)
	case membership.Close:
		s.stopDial(a.Contact)
	case membership.Joined:
		s.options.Log.Info().Str("vm", string(a.VM)).Msg("peer joined")
		s.copies.warm(a.VM)
		s.record("peer_joined", a.VM, "")
	case membership.Left:
		s.options.Log.Info().Str("vm", string(a.VM)).Stringer("reason", a.Reason).Msg("peer left")
		s.record("peer_left", a.VM, a.Reason.String())
		s.copies.forget(a.VM)
		// One that drains or is leaving still has requests in flight.
		if a.Reason == membership.Silent || a.Reason == membership.Failed {
			s.options.Digests.Forget(a.VM)
		}
	}
}

func (s *Service) record(kind string, vm ident.VM, reason string) {
	if s.options.Timeline == nil {
		return
	}
	detail := string(vm)
	if reason != "" {
		detail += ": " + reason
	}
	s.options.Timeline.Add(timeline.Event{Kind: kind, Detail: detail})
}

// vouched takes in whom a peer hears.
func (s *Service) vouched(l *link, known []membership.Contact) {
	s.step(membership.Vouched{By: l.contact.VM, Contacts: known})
}

// heard takes in one digest of a link.
func (s *Service) heard(l *link, seq uint64, said Snapshot) {
	l.mergeClock(said.HLC)
	s.order.Lock()
	defer s.order.Unlock()
	s.mu.Lock()
	current := s.links[l.contact.VM] == l
	if current {
		s.heardOf[l.contact.VM] = report{said.Config, said.Draining}
	}
	s.mu.Unlock()
	if !current {
		return // replaced meanwhile; the newer link says what counts
	}
	s.stepLocked(membership.Heard{
		Contact: l.contact, Incarnation: l.incarnation, Seq: seq, Draining: said.Draining,
	})
	s.options.Digests.Merge(l.contact.VM, said.Dispatch)
	if v := s.options.Versions; v != nil {
		for model, version := range said.Published {
			v.Learn(model, version)
		}
	}
}

// register makes a link the one with its VM, or refuses it. When both sides
// dialled, both keep the connection of the lower VM name; of two from the same
// side the newer one is kept, since that side gave up the other.
func (s *Service) register(l *link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.links[l.contact.VM]
	if old != nil && !s.replaces(l, old) {
		return errDuplicate
	}
	s.links[l.contact.VM] = l
	if old != nil {
		go old.close()
	}
	return nil
}

func (s *Service) replaces(l, old *link) bool {
	if l.incarnation != old.incarnation {
		return l.incarnation > old.incarnation
	}
	if l.dialled == old.dialled {
		return true
	}
	selfLower := s.options.Self < l.contact.VM
	return l.dialled == selfLower
}

func (s *Service) unregister(l *link) {
	s.mu.Lock()
	current := s.links[l.contact.VM] == l
	if current {
		delete(s.links, l.contact.VM)
	}
	s.mu.Unlock()
	if current {
		s.step(membership.StreamFailed{VM: l.contact.VM, Incarnation: l.incarnation})
	}
}

// linked reports whether there is an exchange with a VM.
func (s *Service) linked(vm ident.VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[vm] != nil
}

func (s *Service) startDial(c membership.Contact) {
	ctx, cancel := context.WithCancel(s.running)
	s.mu.Lock()
	s.dials[c] = cancel
	s.mu.Unlock()
	s.work.Go(func() { s.keepDialled(ctx, c) })
}

// stopDial ends the redialling. A connection that stands is left to
// dropUnwanted: a seed's is the one wanted once its VM is known, and a closed
// and reopened one would look as if the VM had failed.
func (s *Service) stopDial(c membership.Contact) {
	s.mu.Lock()
	cancel := s.dials[c]
	delete(s.dials, c)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// dropUnwanted closes the connection that this side dialled with a VM which is
// no target any more.
func (s *Service) dropUnwanted(vm ident.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.dials {
		if c.VM == vm {
			return
		}
	}
	if l := s.links[vm]; l != nil && l.dialled {
		go l.close()
	}
}
