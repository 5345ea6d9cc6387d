package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// peerTable holds the last digest of each peer.
type peerTable struct {
	mu    sync.Mutex
	heard map[ident.VM]heard
}

type heard struct {
	at     time.Time
	digest Digest
}

func newPeerTable() peerTable {
	return peerTable{heard: map[ident.VM]heard{}}
}

// Digest says what peers should know. Leaving and Down are first-hand only: news
// that came from a peer isn't passed on, else daemons would keep each other in a
// belief that none of them can check.
func (d *Dispatcher) Digest() Digest {
	now := d.o.Now()
	digest := Digest{
		InFlight: map[ident.Upstream]int{},
		Serving:  map[ident.Upstream]map[ident.Model]ident.Version{},
	}
	// Who reads in the marks that this daemon knows of a lane reads in the requests
	// in flight what runs there after it began to keep clear.
	d.poisonMu.Lock()
	digest.Poison = d.keeper.Marks(now)
	taken := d.keeper.Taken(now)
	d.poisonMu.Unlock()
	for _, s := range d.allShards() {
		s.digest(&digest, taken)
	}
	return digest
}

func (s *shard) digest(to *Digest, taken []ident.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepClear(taken)
	for _, m := range s.polled() {
		name := m.target.Name
		view, _ := s.health.View(name)
		if m.inFlight > 0 {
			to.InFlight[name] += m.inFlight
		}
		if view.Leaving && view.FirstHand {
			to.Leaving = append(to.Leaving, name)
		}
		if view.State == health.Down {
			to.Down = append(to.Down, name)
		}
		if len(m.serving) > 0 {
			to.Serving[name] = m.serving
		}
	}
}

// Merge takes a peer's digest in.
func (d *Dispatcher) Merge(from ident.VM, digest Digest) {
	now := d.o.Now()
	d.peers.mu.Lock()
	d.peers.heard[from] = heard{now, digest}
	d.tellFlights()
	d.peers.mu.Unlock()

	d.poisonMu.Lock()
	news := d.keeper.Merge(from, digest.Poison, now)
	d.poisonMu.Unlock()
	for _, fp := range news {
		d.noteSuspect(fp, "heard of a suspect", func(e *zerolog.Event) { e.Str("peer", string(from)) })
		d.stopCopies(fp)
		if d.triedBy(fp, from) {
			d.tellUrgent() // it waits for this daemon's word
		}
	}
	taken := d.taken(now)
	for _, s := range d.allShards() {
		s.merge(digest, taken, now)
	}
}

func (s *shard) merge(digest Digest, taken []ident.Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepClear(taken)
	for _, name := range digest.Leaving {
		s.step(health.SaidLeaving{Upstream: name, Source: health.FromPeer}, now)
	}
	for _, name := range digest.Down {
		m := s.members[name]
		if m == nil || !m.eligible || now.Sub(m.reported) < s.d.o.BusyPoll {
			continue // known to be down, or known better
		}
		s.step(health.Doubted{Upstream: name}, now)
	}
	for name, serving := range digest.Serving {
		if m := s.members[name]; m != nil && m.reported.IsZero() {
			m.serving = maps.Clone(serving)
			s.refresh(m)
		}
	}
	s.pump(now)
}

// Forget drops what a peer said that is gone.
func (d *Dispatcher) Forget(vm ident.VM) {
	d.peers.mu.Lock()
	delete(d.peers.heard, vm)
	d.tellFlights()
	d.peers.mu.Unlock()
	d.poisonMu.Lock()
	d.keeper.Forget(vm)
	d.poisonMu.Unlock()
}

// expirePeers drops digests that nothing renewed.
func (d *Dispatcher) expirePeers(now time.Time) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	expired := false
	for vm, h := range d.peers.heard {
		if now.Sub(h.at) > d.o.PeerLife {
			delete(d.peers.heard, vm)
			expired = true
		}
	}
	if expired || len(d.peers.heard) > 0 {
		d.tellFlights()
	}
}

// A peer sends what changed within wordLag, and nothing for wordSilence at most
// while nothing changed: until then its last word still holds.
const (
	wordLag     = 400 * time.Millisecond
	wordSilence = 1200 * time.Millisecond
)

// tellFlights brings the sums of the peers' requests in flight to the shards.
// The peers' lock is held.
func (d *Dispatcher) tellFlights() {
	sums := map[ident.Upstream]int{}
	now := d.o.Now()
	made := now.Add(-wordLag) // of the oldest word
	for _, h := range d.peers.heard {
		if h.at.Before(made) && now.Sub(h.at) > wordSilence {
			made = h.at
		}
		for name, n := range h.digest.InFlight {
			sums[name] += max(0, n)
		}
	}
	daemons := len(d.peers.heard) + 1
	for _, s := range d.allShards() {
		s.heardFlights(sums, daemons, made)
	}
}

// heardFlights starts a new round of sharing limits between daemons.
func (s *shard) heardFlights(sums map[ident.Upstream]int, daemons int, made time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sharers > 0 {
		daemons = s.sharers
	}
	s.need.daemons = daemons
	s.table.SetDaemons(daemons)
	for _, m := range s.order {
		peers := sums[m.target.Name]
		if s.sharers > 0 {
			// Of the few that use it too, not all are linked with this daemon; the
			// upstream's own report counts their requests.
			peers = max(peers, m.others)
		}
		s.table.SetPeers(m.target.Name, peers)
		m.share.HeardAt(m.concurrency(), peers, daemons, made)
	}
	s.gate.stale = true
}
