package dispatch

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// PollNow requests an upstream's load report at the next tick. It is called after an order
// has changed what an engine serves or has loaded: an idle engine's next regular report
// would come much later.
func (d *Dispatcher) PollNow(group string, name ident.Upstream) {
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
