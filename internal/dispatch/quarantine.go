package dispatch

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// probation ends the suspect's time alone once it got past the point where its
// upstream died. A crash makes suspects of all that ran there; to run each alone
// to its end would make a step wait for the innocent, and a request that kills at
// one point does so before this. It runs on, and the next suspect runs beside it.
func (r *run) probation(sl *slot) {
	if !sl.lane || sl.passed || !r.d.passed(r.fp, r.resumed+sl.tokens) {
		return
	}
	s := r.s
	s.mu.Lock()
	sl.passed = true
	s.lanes.passed[sl.m.target.Name]++
	s.mu.Unlock()
	r.d.record("cleared", r.id, r.want.team, sl.m.target.Name, "")
	s.closeLane(sl.m)
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
	m, cleared, err := r.awaitLane(ctx)
	if m == nil {
		return nil, err
	}
	// Said before the wait, so that peers keep clear of the upstream from now on.
	if !r.d.try(r.fp, m.target.Name, r.d.o.Now()) {
		s.closeLane(m)
		return nil, nil // judged anew
	}
	ready := s.awaitIdle(ctx, m, r.fp, cleared) && s.newBoot(ctx, m)
	if ctx.Err() != nil {
		r.d.tried(r.fp, false)
		s.closeLane(m)
		return nil, contextError(ctx, r.outcome())
	}
	now := r.d.o.Now()
	if !ready || !r.d.begin(r.fp, m.target.Name, now) {
		r.d.tried(r.fp, false)
		s.closeLane(m)
		return nil, nil
	}
	r.d.record("quarantine", r.id, r.want.team, m.target.Name, "")
	s.mu.Lock()
	sl := s.take(m, r.fp, now)
	sl.lane, sl.unqueued = true, true
	s.mu.Unlock()
	r.d.noteSuspect(r.fp, "suspect runs alone", func(e *zerolog.Event) {
		e.Str("request", string(r.id)).Str("upstream", string(m.target.Name)).Str("boot", sl.bootID).
			Int("beside", sl.beside-1)
	})
	return sl, nil
}

// mayAwait says whether a request waits for another daemon's trial of it. One that has
// begun may have a caller who saw a part of its answer, and a step's sample takes its
// whole group along when it is refused. Most that were beside a death are innocent, which
// the trial shows within seconds.
func (r *run) mayAwait() bool {
	return !r.hedge && (r.sends.Made > 0 || r.want.route.Class == routing.ClassRollout)
}

// awaitVerdict waits a moment for the end of another daemon's trial.
func (r *run) awaitVerdict(ctx context.Context) *Error {
	waitFor(ctx, nil, peerLook)
	if ctx.Err() != nil {
		return contextError(ctx, r.outcome())
	}
	return nil
}

// newBoot asks an upstream which process it is, false if it doesn't say. Its last report
// may be of a process that ended since: a death under the suspect would bear that one's
// boot ID, pass for the death known already, and not count.
func (s *shard) newBoot(ctx context.Context, m *member) bool {
	return s.probe(ctx, m, s.d.o.Now()).err == nil
}

// Several daemons may see one request kill at one moment and would all try it
// alone at once, each at the cost of an upstream. Each waits for a time of its
// own, so that the first one's word reaches the others before their turn. Of two whose
// times differ by less than that word takes the lower name goes first, see poison.Mark.
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
// Cleared says that other work on it has ended. It returns nothing once the
// request isn't a suspect any more: one that was convicted or cleared elsewhere
// must not wait for a lane to learn it.
func (r *run) awaitLane(ctx context.Context) (m *member, cleared bool, err *Error) {
	s := r.s
	s.seek(1)
	defer s.seek(-1)
	since := r.d.o.Now()
	for {
		if r.d.judge(r.fp).Verdict != poison.Suspect {
			return nil, false, nil
		}
		s.mu.Lock()
		now := r.d.o.Now()
		if s.anyEligible() {
			since = now
		}
		m, cleared := s.openLane(r.fp, &r.want)
		wake := s.lanes.wake
		if m == nil {
			s.lanes.waiters++
		}
		s.mu.Unlock()
		if m != nil {
			return m, cleared, nil
		}
		if now.Sub(since) >= r.d.o.NoUpstreamWait {
			s.leaveLanes()
			return nil, false, &Error{Outcome: r.outcome(), Reason: NoUpstream, RetryAfter: retryNoUpstream}
		}
		waitFor(ctx, wake, tick)
		s.leaveLanes()
		if ctx.Err() != nil {
			return nil, false, contextError(ctx, r.outcome())
		}
	}
}

// seek counts who waits for a lane. With the last one, spare lanes go back to
// other work.
func (s *shard) seek(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lanes.seekers += delta
	if s.lanes.seekers > 0 || len(s.lanes.spare) == 0 {
		return
	}
	for _, m := range s.order {
		if s.lanes.spare[m.target.Name] {
			s.release(m)
		}
	}
	clear(s.lanes.spare)
	s.pump(s.d.o.Now())
}

// release opens an upstream to other work.
func (s *shard) release(m *member) {
	delete(s.lanes.spare, m.target.Name)
	m.held = false
	s.refresh(m)
}

func (s *shard) leaveLanes() {
	s.mu.Lock()
	s.lanes.waiters--
	s.mu.Unlock()
}

// openLane takes an upstream off other work, nil while none may be taken. The
// lock is held. Suspects of one fingerprint run one by one. A spare lane comes
// first: it is cleared already.
func (s *shard) openLane(fp poison.Fingerprint, w *want) (m *member, cleared bool) {
	live, usable := 0, 0
	for _, m := range s.order {
		if m.eligible {
			live++
		}
		if m.usable() {
			usable++
		}
	}
	if s.lanes.running[fp] > 0 {
		return nil, false
	}
	for _, taken := range s.lanes.held {
		if taken == fp {
			return nil, false
		}
	}
	if m := s.takeSpare(w); m != nil {
		s.lanes.held[m.target.Name] = fp
		return m, true
	}
	if len(s.lanes.held)+len(s.lanes.spare) >= max(1, live/lanePart) {
		return nil, false
	}
	m = s.chooseLane(w)
	if m == nil {
		return nil, false
	}
	s.lanes.held[m.target.Name] = fp
	m.held = usable > 1 // the last one goes on with other work
	s.refresh(m)
	return m, false
}

// takeSpare returns a spare lane that fits, nil if there is none, and gives up
// those whose upstream isn't live any more.
func (s *shard) takeSpare(w *want) *member {
	for _, m := range s.order {
		name := m.target.Name
		switch {
		case !s.lanes.spare[name]:
		case !m.eligible:
			s.release(m)
		case m.fits(w):
			delete(s.lanes.spare, name)
			return m
		}
	}
	return nil
}

// chooseLane prefers upstreams that weren't tried and that no other daemon uses
// for a suspect; among equals, rendezvous hashing by this daemon's name gives
// each daemon another one.
func (s *shard) chooseLane(w *want) *member {
	var best *member
	var bestRank int
	var bestHash uint64
	for _, m := range s.order {
		_, taken := s.lanes.held[m.target.Name]
		if taken || s.lanes.spare[m.target.Name] || !m.eligible || !m.fits(w) {
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

// closeLane gives the upstream to the next suspect, or back to other work.
func (s *shard) closeLane(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := m.target.Name
	delete(s.lanes.held, name)
	if m.held && m.eligible && s.lanes.seekers > 0 && s.members[name] == m && m.used {
		s.lanes.spare[name] = true
	} else {
		s.release(m)
	}
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
