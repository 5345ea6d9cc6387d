package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// waitUntilIdle waits up to QuarantineWait for other work on a quarantined upstream to end,
// this daemon's and its peers'. If the upstream is drained, only requests past their
// probation run there; but each peer must still have heard of the trial, or it may start
// one itself. It returns false if the upstream has to be left to another daemon's trial: if
// two daemons quarantine it before they hear of each other, the suspects would run beside
// each other, and if one kills the upstream, the other is convicted as well. The daemon with
// the lower name keeps it.
func (s *shard) waitUntilIdle(ctx context.Context, m *member, fp poison.Fingerprint, drained bool) bool {
	name := m.target.Name
	giveUpAt := s.dispatcher.options.Now().Add(s.dispatcher.options.QuarantineWait)
	for {
		competitor := s.dispatcher.competingTrial(name)
		if competitor != "" && competitor < s.dispatcher.options.Self {
			return false
		}
		peersClear := competitor == "" && s.dispatcher.peersReportClear(fp, name, drained)
		s.mu.Lock()
		entry, _ := s.routingTable.Member(name)
		idle := peersClear && m.inFlight <= s.quarantine.pastProbation[name] && entry.PeersInFlight == 0
		wake := s.quarantine.wake
		s.quarantine.wakeWaiters++
		s.mu.Unlock()
		remaining := giveUpAt.Sub(s.dispatcher.options.Now())
		if !idle && remaining > 0 {
			waitUpTo(ctx, wake, min(remaining, peerPollInterval))
		}
		s.removeWakeWaiter()
		decided := s.dispatcher.poisonDecision(fp).Verdict != poison.Suspect
		if idle || decided || remaining <= 0 || ctx.Err() != nil {
			return true
		}
	}
}

// peerPollInterval is the interval between checks of what peers have reported.
const peerPollInterval = 10 * time.Millisecond

// peersReportClear reports whether the last digest of each live peer shows that the peer
// knows of this daemon's trial and, unless the upstream is drained, that it has no requests
// there. A digest that repeats the mark of the trial shows both, see Digest. An older digest
// may report no requests while the peer is just placing one.
func (d *Dispatcher) peersReportClear(fp poison.Fingerprint, upstreamName ident.Upstream, drained bool) bool {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	for _, peer := range d.peers.digests {
		if !d.acknowledgesTrial(peer.digest.Poison, fp, upstreamName) || !drained && peer.digest.InFlight[upstreamName] > 0 {
			return false
		}
	}
	return true
}

// acknowledgesTrial reports whether a peer's marks contain this daemon's trial.
func (d *Dispatcher) acknowledgesTrial(marks []poison.Mark, fp poison.Fingerprint, upstreamName ident.Upstream) bool {
	return slices.ContainsFunc(marks, func(m poison.Mark) bool {
		return m.Fingerprint == fp && m.TrialVM == d.options.Self && m.TrialUpstream == upstreamName
	})
}
