package dispatch

import (
	"maps"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// EngineStatus is the state of an engine, for the code that gives it orders.
type EngineStatus struct {
	Name    ident.Upstream
	Address string
	Serving map[ident.Model]ident.Version
	Loaded  map[ident.Model][]ident.Version
	Up      bool // a report has arrived, and the engine isn't down
	Leaving bool
}

// Engines returns the engines of a group, sorted by name: those that this daemon sends
// requests to and those that it gives orders to.
func (d *Dispatcher) Engines(group string) []EngineStatus {
	s := d.shardOf(group)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]EngineStatus, 0, len(s.members))
	for _, m := range s.polledMembers() {
		view, _ := s.health.View(m.target.Name)
		list = append(list, EngineStatus{
			Name: m.target.Name, Address: m.target.Address,
			Serving: maps.Clone(m.serving), Loaded: maps.Clone(m.loaded),
			Up:      view.State != health.Down && !m.reportedAt.IsZero(),
			Leaving: view.Leaving,
		})
	}
	return list
}
