package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// awaitIdle gives other work on the upstream, ours and peers', some time to end.
// On one that is cleared already, nothing but what got past probation runs; still each
// peer must have heard that this daemon tries the suspect, or it tries it as well. It returns
// false if the upstream is to be left to another daemon's suspect: two that opened lanes
// there before they heard of each other would run both beside each other, and if one
// kills, the other is convicted of it. The lower name stays.
func (s *shard) awaitIdle(ctx context.Context, m *member, fp poison.Fingerprint, cleared bool) bool {
	name := m.target.Name
	until := s.d.o.Now().Add(s.d.o.QuarantineWait)
	for {
		rival := s.d.rival(name)
		if rival != "" && rival < s.d.o.Self {
			return false
		}
		said := rival == "" && s.d.saidClear(fp, name, cleared)
		s.mu.Lock()
		u, _ := s.table.Member(name)
		idle := said && m.inFlight <= s.lanes.passed[name] && u.Peers == 0
		wake := s.lanes.wake
		s.lanes.waiters++
		s.mu.Unlock()
		left := until.Sub(s.d.o.Now())
		if !idle && left > 0 {
			waitFor(ctx, wake, min(left, peerLook))
		}
		s.leaveLanes()
		moot := s.d.judge(fp).Verdict != poison.Suspect
		if idle || moot || left <= 0 || ctx.Err() != nil {
			return true
		}
	}
}

// peerLook is how often awaitIdle looks at what peers said.
const peerLook = 10 * time.Millisecond

// saidClear says whether each live peer's last word was made after it had heard
// of the lane, and none of its requests runs there, unless that is known. A word that
// repeats the mark with this daemon's trial shows both, see Digest. An older word may say
// that nothing runs there while a request is just being placed.
func (d *Dispatcher) saidClear(fp poison.Fingerprint, on ident.Upstream, cleared bool) bool {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	for _, h := range d.peers.heard {
		if !d.echoed(h.digest.Poison, fp, on) || !cleared && h.digest.InFlight[on] > 0 {
			return false
		}
	}
	return true
}

// echoed finds this daemon's trial in a peer's marks.
func (d *Dispatcher) echoed(marks []poison.Mark, fp poison.Fingerprint, on ident.Upstream) bool {
	return slices.ContainsFunc(marks, func(m poison.Mark) bool {
		return m.Fingerprint == fp && m.Trying == d.o.Self && m.TryingOn == on
	})
}
