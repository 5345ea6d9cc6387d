package dispatch

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Recheck has an upstream's load report asked for at the next tick: an order changed
// what it serves or holds, and an idle engine's next report would come much later.
func (d *Dispatcher) Recheck(group string, name ident.Upstream) {
	s := d.shardOf(group)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[name]; ok {
		m.nextProbe = time.Time{}
	}
}
