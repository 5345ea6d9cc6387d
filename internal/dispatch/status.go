package dispatch

import (
	"maps"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Upstreams returns the state of every upstream, by group and name.
func (d *Dispatcher) Upstreams() []Status {
	var list []Status
	for _, s := range d.allShards() {
		list = append(list, s.status()...)
	}
	return list
}

func (s *shard) status() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Status, 0, len(s.members))
	for _, m := range s.polled() {
		view, _ := s.health.View(m.target.Name)
		list = append(list, Status{
			Name:       m.target.Name,
			Group:      s.name,
			DataCentre: m.dataCentre,
			Address:    m.target.Address,
			Health:     view.State.String(),
			Leaving:    view.Leaving,
			Weight:     m.weight,
			InFlight:   m.inFlight,
			Limit:      m.concurrency(),
			Queued:     s.gate.queued(),
			Serving:    maps.Clone(m.serving),
			BootID:     m.bootID,
		})
	}
	return list
}

// Newest returns the newest version of a model that any engine serves, as far as
// this daemon and its peers know; 0 if none is known.
func (d *Dispatcher) Newest(model ident.Model) ident.Version {
	var newest ident.Version
	for _, s := range d.allShards() {
		s.mu.Lock()
		for _, m := range s.members {
			newest = max(newest, m.serving[model])
		}
		s.mu.Unlock()
	}
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	for _, h := range d.peers.heard {
		for _, serving := range h.digest.Serving {
			newest = max(newest, serving[model])
		}
	}
	return newest
}

// maxLeavingUnknown bounds what is kept of upstreams that may never be configured.
const maxLeavingUnknown = 4096

// SetLeaving takes the word of a source outside, as the VM list. Of an upstream
// that isn't configured yet, or not in this daemon's subset, it is kept: a daemon that starts may read the list,
// which says it once, before the configuration.
func (d *Dispatcher) SetLeaving(name ident.Upstream, source string) {
	d.leavingMu.Lock()
	defer d.leavingMu.Unlock()
	known := false
	for _, s := range d.allShards() {
		s.mu.Lock()
		if m := s.members[name]; m != nil {
			s.step(health.SaidLeaving{Upstream: name, Source: health.Source(source)}, s.d.o.Now())
			known = true
		}
		s.mu.Unlock()
	}
	if known {
		return
	}
	if len(d.leavingUnknown) >= maxLeavingUnknown {
		for any := range d.leavingUnknown {
			delete(d.leavingUnknown, any)
			break
		}
	}
	d.leavingUnknown[name] = source
}

// keepGone notes which upstreams were leaving when they left this daemon's subset.
func (d *Dispatcher) keepGone() {
	for _, s := range d.allShards() {
		for _, name := range s.takeGone() {
			d.SetLeaving(name, string(health.FromVMList))
		}
	}
}

// leaveKept brings what was said of upstreams before they were configured.
func (d *Dispatcher) leaveKept() {
	d.leavingMu.Lock()
	kept := d.leavingUnknown
	d.leavingUnknown = map[ident.Upstream]string{}
	d.leavingMu.Unlock()
	for name, source := range kept {
		d.SetLeaving(name, source)
	}
}
