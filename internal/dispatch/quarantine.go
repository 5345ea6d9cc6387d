package dispatch

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// lanePart is the part of a group's live upstreams that may run suspects at
// once, each alone on its own. A crash with many requests in flight makes as many
// suspects; one lane would keep the innocent among them waiting for each other.
// It costs no more upstreams: a request runs on one lane at a time.
const lanePart = 3

// laneTable holds which suspects run where, under the shard's lock.
type laneTable struct {
	held    map[ident.Upstream]poison.Fingerprint
	running map[poison.Fingerprint]int // all attempts in flight, in lanes or not
	wake    chan struct{}              // closed when a lane or an upstream gets free
	waiters int
}

func newLaneTable() laneTable {
	return laneTable{
		held:    map[ident.Upstream]poison.Fingerprint{},
		running: map[poison.Fingerprint]int{},
		wake:    make(chan struct{}),
	}
}

// changed wakes those who wait for a lane.
func (t *laneTable) changed() {
	if t.waiters == 0 {
		return
	}
	close(t.wake)
	t.wake = make(chan struct{})
}

// runs counts an attempt of a fingerprint; it is known only to poison, so 0
// isn't counted.
func (t *laneTable) runs(fp poison.Fingerprint, delta int) {
	if fp == 0 {
		return
	}
	t.running[fp] += delta
	if t.running[fp] <= 0 {
		delete(t.running, fp)
	}
}

// placeAlone waits for a lane and for its upstream to be free of other work.
func (r *run) placeAlone(ctx context.Context) (*slot, *Error) {
	s := r.s
	if wait := r.d.stagger(r.fp); wait > 0 {
		waitFor(ctx, nil, wait)
		if r.d.judge(r.fp).Verdict != poison.Suspect {
			return nil, nil
		}
	}
	m, err := r.awaitLane(ctx)
	if err != nil {
		return nil, err
	}
	// Said before the wait, so that peers keep clear of the upstream from now on.
	if !r.d.try(r.fp, m.target.Name, r.d.o.Now()) {
		s.closeLane(m)
		return nil, nil // judged anew
	}
	s.awaitIdle(ctx, m)
	now := r.d.o.Now()
	if ctx.Err() != nil {
		r.d.tried(r.fp, false)
		s.closeLane(m)
		return nil, contextError(ctx, r.outcome())
	}
	if !r.d.try(r.fp, m.target.Name, now) {
		s.closeLane(m)
		return nil, nil
	}
	r.d.record("quarantine", r.id, r.want.team, m.target.Name, "")
	s.mu.Lock()
	defer s.mu.Unlock()
	sl := s.take(m, r.fp, now)
	sl.lane = true
	return sl, nil
}

// Several daemons may see one request kill at one moment and would all try it
// alone at once, each at the cost of an upstream. Each waits for a time of its
// own, so that the first one's word reaches the others before their turn. What
// is left: two whose times differ by less than that word takes.
const (
	staggerLeast = 30 * time.Millisecond
	staggerRange = 300 // in ms
)

// stagger is this daemon's wait before it tries a suspect; none without peers.
func (d *Dispatcher) stagger(fp poison.Fingerprint) time.Duration {
	d.peers.mu.Lock()
	alone := len(d.peers.heard) == 0
	d.peers.mu.Unlock()
	if alone {
		return 0
	}
	hash := xxhash.Sum64String(string(d.o.Self) + "\x00" + strconv.FormatUint(uint64(fp), 16))
	return staggerLeast + time.Duration(hash%staggerRange)*time.Millisecond
}

// awaitLane waits until a lane opens, or fails if no upstream is live for long.
func (r *run) awaitLane(ctx context.Context) (*member, *Error) {
	s := r.s
	since := r.d.o.Now()
	for {
		s.mu.Lock()
		now := r.d.o.Now()
		if s.anyEligible() {
			since = now
		}
		m := s.openLane(r.fp, &r.want)
		wake := s.lanes.wake
		if m == nil {
			s.lanes.waiters++
		}
		s.mu.Unlock()
		if m != nil {
			return m, nil
		}
		if now.Sub(since) >= r.d.o.NoUpstreamWait {
			s.leaveLanes()
			return nil, &Error{Outcome: r.outcome(), Reason: NoUpstream, RetryAfter: retryNoUpstream}
		}
		waitFor(ctx, wake, tick)
		s.leaveLanes()
		if ctx.Err() != nil {
			return nil, contextError(ctx, r.outcome())
		}
	}
}

func (s *shard) leaveLanes() {
	s.mu.Lock()
	s.lanes.waiters--
	s.mu.Unlock()
}

// openLane takes an upstream off other work, nil while none may be taken. The
// lock is held. Suspects of one fingerprint run one by one.
func (s *shard) openLane(fp poison.Fingerprint, w *want) *member {
	live, usable := 0, 0
	for _, m := range s.order {
		if m.eligible {
			live++
		}
		if m.usable() {
			usable++
		}
	}
	if len(s.lanes.held) >= max(1, live/lanePart) || s.lanes.running[fp] > 0 {
		return nil
	}
	for _, taken := range s.lanes.held {
		if taken == fp {
			return nil
		}
	}
	m := s.chooseLane(w)
	if m == nil {
		return nil
	}
	s.lanes.held[m.target.Name] = fp
	m.held = usable > 1 // the last one goes on with other work
	s.refresh(m)
	return m
}

// chooseLane prefers upstreams that weren't tried and that no other daemon uses
// for a suspect; among equals, rendezvous hashing by this daemon's name gives
// each daemon another one.
func (s *shard) chooseLane(w *want) *member {
	var best *member
	var bestRank int
	var bestHash uint64
	for _, m := range s.order {
		if _, taken := s.lanes.held[m.target.Name]; taken || !m.eligible || !m.fits(w) {
			continue
		}
		rank := 0
		if slices.Contains(w.route.Exclude, m.target.Name) {
			rank += 2
		}
		if m.peerHeld {
			rank++
		}
		hash := xxhash.Sum64String(string(s.d.o.Self) + "\x00" + string(m.target.Name))
		if best == nil || rank < bestRank || rank == bestRank && hash > bestHash {
			best, bestRank, bestHash = m, rank, hash
		}
	}
	return best
}

// awaitIdle gives other work on the upstream, ours and peers', some time to end.
func (s *shard) awaitIdle(ctx context.Context, m *member) {
	until := s.d.o.Now().Add(s.d.o.QuarantineWait)
	for {
		s.mu.Lock()
		u, _ := s.table.Member(m.target.Name)
		idle := m.inFlight == 0 && u.Peers == 0
		wake := s.lanes.wake
		s.lanes.waiters++
		s.mu.Unlock()
		left := until.Sub(s.d.o.Now())
		if !idle && left > 0 {
			waitFor(ctx, wake, left)
		}
		s.leaveLanes()
		if idle || left <= 0 || ctx.Err() != nil {
			return
		}
	}
}

// closeLane gives the upstream back to other work.
func (s *shard) closeLane(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lanes.held, m.target.Name)
	m.held = false
	s.refresh(m)
	s.lanes.changed()
	s.pump(s.d.o.Now())
}

// renewLanes holds on to the suspects that run, for peers.
func (s *shard) renewLanes(now time.Time) {
	for name, fp := range s.lanes.held {
		if s.lanes.running[fp] > 0 {
			s.d.renew(fp, name, now)
		}
	}
}

// waitFor waits for a wake, the end of ctx or of the time.
func waitFor(ctx context.Context, wake <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-wake:
	case <-ctx.Done():
	case <-timer.C:
	}
}
