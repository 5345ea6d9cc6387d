package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// peerTable holds the last digest of each live peer.
type peerTable struct {
	mu      sync.Mutex
	digests map[ident.VM]peerDigest
}

// peerDigest is the last digest received from a peer.
type peerDigest struct {
	receivedAt time.Time
	digest     Digest
}

func newPeerTable() peerTable {
	return peerTable{digests: map[ident.VM]peerDigest{}}
}

// Digest returns this daemon's state for its peers. Leaving and Down are first-hand only:
// if reports from peers were passed on, daemons could keep confirming to each other a state
// that none of them can verify.
func (d *Dispatcher) Digest() Digest {
	now := d.options.Now()
	digest := Digest{
		InFlight: map[ident.Upstream]int{},
		Serving:  map[ident.Upstream]map[ident.Model]ident.Version{},
	}
	// The marks are read before the requests in flight are counted. So if a peer finds its
	// trial in the marks, the counts are from after this daemon stopped sending work to
	// that upstream.
	d.poisonMu.Lock()
	digest.Poison = d.suspectMarks.Marks(now)
	peerTrials := d.suspectMarks.PeerTrialUpstreams(now)
	d.poisonMu.Unlock()
	for _, s := range d.allShards() {
		s.addToDigest(&digest, peerTrials)
	}
	return digest
}

func (s *shard) addToDigest(digest *Digest, peerTrials []ident.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantineForPeers(peerTrials)
	for _, m := range s.polledMembers() {
		name := m.target.Name
		view, _ := s.health.View(name)
		if m.inFlight > 0 {
			digest.InFlight[name] += m.inFlight
		}
		if view.Leaving && view.LeavingFirstHand {
			digest.Leaving = append(digest.Leaving, name)
		}
		if view.State == health.Down {
			digest.Down = append(digest.Down, name)
		}
		if len(m.serving) > 0 {
			digest.Serving[name] = m.serving
		}
	}
}

// Merge takes over the digest of a peer.
func (d *Dispatcher) Merge(from ident.VM, digest Digest) {
	now := d.options.Now()
	d.peers.mu.Lock()
	d.peers.digests[from] = peerDigest{now, digest}
	d.updatePeerLoad()
	d.peers.mu.Unlock()

	d.poisonMu.Lock()
	changed := d.suspectMarks.Merge(from, digest.Poison, now)
	d.poisonMu.Unlock()
	for _, fp := range changed {
		d.logSuspect(fp, "peer reported a suspect request", func(e *zerolog.Event) { e.Str("peer", string(from)) })
		d.stopCopies(fp)
		if d.isTrialHeldBy(fp, from) {
			d.signalUrgentDigest() // the peer waits for an acknowledgement of its trial
		}
	}
	peerTrials := d.peerTrials(now)
	for _, s := range d.allShards() {
		s.mergeDigest(digest, peerTrials, now)
	}
}

func (s *shard) mergeDigest(digest Digest, peerTrials []ident.Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantineForPeers(peerTrials)
	for _, name := range digest.Leaving {
		s.applyHealthEvent(health.SaidLeaving{Upstream: name, Source: health.FromPeer}, now)
	}
	for _, name := range digest.Down {
		m := s.members[name]
		if m == nil || !m.eligible || now.Sub(m.reportedAt) < s.dispatcher.options.BusyPoll {
			continue // already down, or this daemon has a more recent report
		}
		s.applyHealthEvent(health.Doubted{Upstream: name}, now)
	}
	for name, serving := range digest.Serving {
		if m := s.members[name]; m != nil && m.reportedAt.IsZero() {
			m.serving = maps.Clone(serving)
			s.updateRouting(m)
		}
	}
	s.admitWaiting(now)
}

// Forget drops the state of a peer that has left.
func (d *Dispatcher) Forget(vm ident.VM) {
	d.peers.mu.Lock()
	delete(d.peers.digests, vm)
	d.updatePeerLoad()
	d.peers.mu.Unlock()
	d.poisonMu.Lock()
	d.suspectMarks.EndTrialsOf(vm)
	d.poisonMu.Unlock()
}

// expirePeers drops digests older than DigestTTL.
func (d *Dispatcher) expirePeers(now time.Time) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	expired := false
	for vm, peer := range d.peers.digests {
		if now.Sub(peer.receivedAt) > d.options.DigestTTL {
			delete(d.peers.digests, vm)
			expired = true
		}
	}
	if expired || len(d.peers.digests) > 0 {
		d.updatePeerLoad()
	}
}

// A peer sends a change within digestLag. While nothing changes it sends nothing for up to
// maxDigestGap, during which its last digest stays valid.
const (
	digestLag    = 400 * time.Millisecond
	maxDigestGap = 1200 * time.Millisecond
)

// updatePeerLoad passes the sums of the peers' requests in flight to the shards. The lock of
// peers is held.
func (d *Dispatcher) updatePeerLoad() {
	sums := map[ident.Upstream]int{}
	now := d.options.Now()
	asOf := now.Add(-digestLag) // time of the oldest digest
	for _, peer := range d.peers.digests {
		if peer.receivedAt.Before(asOf) && now.Sub(peer.receivedAt) > maxDigestGap {
			asOf = peer.receivedAt
		}
		for name, n := range peer.digest.InFlight {
			sums[name] += max(0, n)
		}
	}
	daemons := len(d.peers.digests) + 1
	for _, s := range d.allShards() {
		s.setPeerLoad(sums, daemons, asOf)
	}
}

// setPeerLoad updates this daemon's shares of the upstreams' limits by the peers' requests in
// flight as of the given time.
func (s *shard) setPeerLoad(sums map[ident.Upstream]int, daemons int, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemonsPerUpstream > 0 {
		daemons = s.daemonsPerUpstream
	}
	s.reserveDemand.daemons = daemons
	s.routingTable.SetDaemonCount(daemons)
	for _, m := range s.used {
		peers := sums[m.target.Name]
		if s.daemonsPerUpstream > 0 {
			// Not all daemons that use the upstream are connected to this one. The
			// upstream's load report counts their requests as well.
			peers = max(peers, m.othersInFlight)
		}
		s.routingTable.SetPeersInFlight(m.target.Name, peers)
		m.limitShare.UpdatePeersAt(m.concurrencyLimit(), peers, daemons, asOf)
	}
	s.admission.capacityStale = true
}
