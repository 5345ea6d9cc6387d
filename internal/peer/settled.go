package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
)

// settleWithin is the longest that a daemon waits to meet its peers: the list may
// name daemons that are dead, or be out of reach itself.
const settleWithin = 3 * time.Second

// meeting is whether a daemon that just started has met its peers. Until then it
// would take itself for the owner of every key, and start steps that another one
// is already making.
type meeting struct {
	mu      sync.Mutex
	began   time.Time
	named   bool       // a list of VMs was read that names this daemon
	listed  []ident.VM // its daemons that aren't leaving
	settled bool       // stays so
}

// list takes in the list of VMs. It lags: one that doesn't name this daemon yet
// may lack the others too. After the start of a whole fleet an empty list would
// otherwise make each daemon settled, and owner of every key, at once.
func (m *meeting) list(self ident.VM, entries []membership.ListEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = nil
	for _, e := range entries {
		m.named = m.named || e.VM == self
		if !e.Leaving {
			m.listed = append(m.listed, e.VM)
		}
	}
}

// done says whether each listed daemon is live, or enough time has passed. The
// live ones don't count this daemon itself.
func (m *meeting) done(self ident.VM, live []ident.VM, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.settled {
		return true
	}
	missing := slices.ContainsFunc(m.listed, func(vm ident.VM) bool {
		return vm != self && !slices.Contains(live, vm)
	})
	m.settled = m.named && !missing || now.Sub(m.began) >= settleWithin
	return m.settled
}

// Settled says whether this daemon has met the peers that the list of VMs names,
// or has waited 3 s for them. Once true it stays so.
func (s *Service) Settled() bool {
	s.mu.Lock()
	live := s.members.Live()
	s.mu.Unlock()
	return s.meeting.done(s.options.Self, live, time.Now())
}
