package dispatch

import (
	"maps"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Upstreams returns the state of every upstream, sorted by group and name.
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
	for _, m := range s.polledMembers() {
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
			Limit:      m.concurrencyLimit(),
			Queued:     s.admission.waitingCount(),
			Serving:    maps.Clone(m.serving),
			BootID:     m.bootID,
		})
	}
	return list
}

// Newest returns the newest weight version of a model that any engine serves, as far as
// this daemon and its peers know, or 0 if none is known.
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
	for _, peer := range d.peers.digests {
		for _, serving := range peer.digest.Serving {
			newest = max(newest, serving[model])
		}
	}
	return newest
}

// maxLeavingUnconfigured bounds the notices kept for upstreams that may never be
// configured.
const maxLeavingUnconfigured = 4096

// SetLeaving marks an upstream as leaving on behalf of an external source such as the VM
// list. The notice is kept if the upstream isn't configured yet or isn't in this daemon's
// subset: a daemon that starts may read the list before the configuration, and the list
// names each upstream only once.
func (d *Dispatcher) SetLeaving(name ident.Upstream, source string) {
	d.leavingMu.Lock()
	defer d.leavingMu.Unlock()
	known := false
	for _, s := range d.allShards() {
		s.mu.Lock()
		if m := s.members[name]; m != nil {
			s.applyHealthEvent(health.SaidLeaving{Upstream: name, Source: health.Source(source)}, s.dispatcher.options.Now())
			known = true
		}
		s.mu.Unlock()
	}
	if known {
		return
	}
	if len(d.leavingUnconfigured) >= maxLeavingUnconfigured {
		for evicted := range d.leavingUnconfigured {
			delete(d.leavingUnconfigured, evicted)
			break
		}
	}
	d.leavingUnconfigured[name] = source
}

// keepDroppedLeaving keeps the notices of upstreams that were leaving when they were
// dropped from this daemon's subset.
func (d *Dispatcher) keepDroppedLeaving() {
	for _, s := range d.allShards() {
		for _, name := range s.takeDroppedLeaving() {
			d.SetLeaving(name, string(health.FromVMList))
		}
	}
}

// applyKeptLeaving applies the notices that were kept, now that their upstreams may have
// been configured.
func (d *Dispatcher) applyKeptLeaving() {
	d.leavingMu.Lock()
	pending := d.leavingUnconfigured
	d.leavingUnconfigured = map[ident.Upstream]string{}
	d.leavingMu.Unlock()
	for name, source := range pending {
		d.SetLeaving(name, source)
	}
}
