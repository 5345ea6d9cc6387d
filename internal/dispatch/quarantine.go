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

// checkProbation ends a suspect's quarantine once its answer has got past the point where
// its upstream died. A crash makes suspects of all requests that ran on the upstream. If
// each ran alone to its end, a training step would wait long for the harmless ones; and a
// request that kills at a fixed point of its answer has done so by then. The request
// continues, and the next suspect runs beside it.
func (r *requestRun) checkProbation(sl *slot) {
	if !sl.quarantined || sl.passedProbation || !r.dispatcher.passProbation(r.fingerprint, r.resumedTokens+sl.tokens) {
		return
	}
	s := r.shard
	s.mu.Lock()
	sl.passedProbation = true
	s.quarantine.pastProbation[sl.member.target.Name]++
	s.mu.Unlock()
	r.dispatcher.recordEvent("cleared", r.id, r.placement.team, sl.member.target.Name, "")
	s.closeQuarantine(sl.member)
}

// acquireQuarantined waits for a quarantine and for other work on its upstream to end. It
// returns neither a slot nor an error if the request has to be judged again.
func (r *requestRun) acquireQuarantined(ctx context.Context) (*slot, *Error) {
	s := r.shard
	if wait := r.dispatcher.trialDelay(r.fingerprint); wait > 0 {
		waitUpTo(ctx, nil, wait)
		if r.dispatcher.poisonDecision(r.fingerprint).Verdict != poison.Suspect {
			return nil, nil
		}
	}
	m, drained, err := r.waitForQuarantine(ctx)
	if m == nil {
		return nil, err
	}
	// The trial is announced before the wait, so that peers send no more work there.
	if !r.dispatcher.claimTrial(r.fingerprint, m.target.Name, r.dispatcher.options.Now()) {
		s.closeQuarantine(m)
		return nil, nil // the verdict has changed
	}
	ready := s.waitUntilIdle(ctx, m, r.fingerprint, drained) && s.refreshBootID(ctx, m)
	if ctx.Err() != nil {
		r.dispatcher.finishTrial(r.fingerprint, false)
		s.closeQuarantine(m)
		return nil, contextError(ctx, r.outcome())
	}
	now := r.dispatcher.options.Now()
	if !ready || !r.dispatcher.startTrial(r.fingerprint, m.target.Name, now) {
		r.dispatcher.finishTrial(r.fingerprint, false)
		s.closeQuarantine(m)
		return nil, nil
	}
	r.dispatcher.recordEvent("quarantine", r.id, r.placement.team, m.target.Name, "")
	s.mu.Lock()
	sl := s.bookSlot(m, r.fingerprint, now)
	sl.quarantined, sl.outsideQueue = true, true
	s.mu.Unlock()
	r.dispatcher.logSuspect(r.fingerprint, "running suspect request in quarantine", func(e *zerolog.Event) {
		e.Str("request", string(r.id)).Str("upstream", string(m.target.Name)).Str("boot", sl.bootID).
			Int("beside", sl.upstreamInFlight-1)
	})
	return sl, nil
}

// mayWaitForPeerTrial reports whether the request waits for the end of another daemon's
// trial of it. A request that has begun does, since its caller may have seen a part of the
// answer, and so does a sample of a training step, since a refusal would fail its whole
// group of samples. Most requests that were running when an upstream died are harmless,
// and the trial shows that within seconds.
func (r *requestRun) mayWaitForPeerTrial() bool {
	return !r.isHedge && (r.sends.Total > 0 || r.placement.route.Class == routing.ClassRollout)
}

// waitForPeerTrial waits for one polling interval while another daemon's trial is running.
func (r *requestRun) waitForPeerTrial(ctx context.Context) *Error {
	waitUpTo(ctx, nil, peerPollInterval)
	if ctx.Err() != nil {
		return contextError(ctx, r.outcome())
	}
	return nil
}

// refreshBootID gets a member's current boot ID by a load report, false if there is none.
// The last report may be from a process that has died since. If the suspect then killed
// the new process, that death would be recorded under the old boot ID, and not count, as
// it would be taken for the one already known.
func (s *shard) refreshBootID(ctx context.Context, m *member) bool {
	return s.probe(ctx, m, s.dispatcher.options.Now()).err == nil
}

// Several daemons may see a request kill an upstream at the same time. If each started a
// trial at once, each would lose an upstream. So each waits for a different time first, for
// the announcement of the first trial to reach the others. If two daemons' delays differ by
// less than the announcement takes, the daemon with the lower name goes first, see
// poison.Mark.
const (
	minTrialDelay         = 30 * time.Millisecond
	trialDelayRangeMillis = 300
)

// trialDelay returns how long this daemon waits before it starts a trial, 0 without peers.
func (d *Dispatcher) trialDelay(fp poison.Fingerprint) time.Duration {
	d.peers.mu.Lock()
	noPeers := len(d.peers.digests) == 0
	d.peers.mu.Unlock()
	if noPeers {
		return 0
	}
	hash := xxhash.Sum64String(string(d.options.Self) + "\x00" + strconv.FormatUint(uint64(fp), 16))
	return minTrialDelay + time.Duration(hash%trialDelayRangeMillis)*time.Millisecond
}

// waitForQuarantine waits until it can open a quarantine. It fails if the group has no live
// upstream for NoUpstreamWait. drained means that other work on the upstream has already
// ended. It returns no member and no error once the request is no longer a suspect: a
// request that was convicted or cleared elsewhere must not wait for a quarantine to find
// that out.
func (r *requestRun) waitForQuarantine(ctx context.Context) (m *member, drained bool, err *Error) {
	s := r.shard
	s.addWaitingSuspects(1)
	defer s.addWaitingSuspects(-1)
	lastEligibleAt := r.dispatcher.options.Now()
	for {
		if r.dispatcher.poisonDecision(r.fingerprint).Verdict != poison.Suspect {
			return nil, false, nil
		}
		s.mu.Lock()
		now := r.dispatcher.options.Now()
		if s.anyEligible() {
			lastEligibleAt = now
		}
		m, drained := s.openQuarantine(r.fingerprint, &r.placement)
		wake := s.quarantine.wake
		if m == nil {
			s.quarantine.wakeWaiters++
		}
		s.mu.Unlock()
		if m != nil {
			return m, drained, nil
		}
		if now.Sub(lastEligibleAt) >= r.dispatcher.options.NoUpstreamWait {
			s.removeWakeWaiter()
			return nil, false, &Error{Outcome: r.outcome(), Reason: ReasonNoUpstream, RetryAfter: retryAfterNoUpstream}
		}
		waitUpTo(ctx, wake, tickInterval)
		s.removeWakeWaiter()
		if ctx.Err() != nil {
			return nil, false, contextError(ctx, r.outcome())
		}
	}
}

// addWaitingSuspects changes the number of suspects that wait for a quarantine. When the
// last one stops waiting, the standby upstreams are returned to other work.
func (s *shard) addWaitingSuspects(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.waitingSuspects += delta
	if s.quarantine.waitingSuspects > 0 || len(s.quarantine.standby) == 0 {
		return
	}
	for _, m := range s.used {
		if s.quarantine.standby[m.target.Name] {
			s.endQuarantine(m)
		}
	}
	clear(s.quarantine.standby)
	s.admitWaiting(s.dispatcher.options.Now())
}

// endQuarantine returns an upstream to other work.
func (s *shard) endQuarantine(m *member) {
	delete(s.quarantine.standby, m.target.Name)
	m.quarantined = false
	s.updateRouting(m)
}

func (s *shard) removeWakeWaiter() {
	s.mu.Lock()
	s.quarantine.wakeWaiters--
	s.mu.Unlock()
}

// openQuarantine quarantines an upstream for a suspect. It returns nil if none is available,
// or if the suspect is already running: copies of it run one at a time. A standby upstream
// is taken first, since other work there has already ended. The shard's lock is held.
func (s *shard) openQuarantine(fp poison.Fingerprint, req *placementRequest) (m *member, drained bool) {
	live, usable := 0, 0
	for _, m := range s.used {
		if m.eligible {
			live++
		}
		if m.usable() {
			usable++
		}
	}
	if s.quarantine.attempts[fp] > 0 {
		return nil, false
	}
	for _, active := range s.quarantine.active {
		if active == fp {
			return nil, false
		}
	}
	if m := s.takeStandby(req); m != nil {
		s.quarantine.active[m.target.Name] = fp
		return m, true
	}
	if len(s.quarantine.active)+len(s.quarantine.standby) >= max(1, live/quarantineDivisor) {
		return nil, false
	}
	m = s.chooseQuarantine(req)
	if m == nil {
		return nil, false
	}
	s.quarantine.active[m.target.Name] = fp
	m.quarantined = usable > 1 // the last usable upstream continues with other work
	s.updateRouting(m)
	return m, false
}

// takeStandby returns a standby upstream that can serve the request, nil if there is none.
// Standby upstreams that have become ineligible are returned to other work.
func (s *shard) takeStandby(req *placementRequest) *member {
	for _, m := range s.used {
		name := m.target.Name
		switch {
		case !s.quarantine.standby[name]:
		case !m.eligible:
			s.endQuarantine(m)
		case m.canServe(req):
			delete(s.quarantine.standby, name)
			return m
		}
	}
	return nil
}

// chooseQuarantine prefers upstreams that the request wasn't tried on and that aren't in
// quarantine for a peer. Among equals, rendezvous hashing by this daemon's name makes
// different daemons choose different upstreams.
func (s *shard) chooseQuarantine(req *placementRequest) *member {
	var best *member
	var bestRank int
	var bestHash uint64
	for _, m := range s.used {
		_, inUse := s.quarantine.active[m.target.Name]
		if inUse || s.quarantine.standby[m.target.Name] || !m.eligible || !m.canServe(req) {
			continue
		}
		rank := 0
		if slices.Contains(req.route.Exclude, m.target.Name) {
			rank += 2
		}
		if m.quarantinedForPeer {
			rank++
		}
		hash := xxhash.Sum64String(string(s.dispatcher.options.Self) + "\x00" + string(m.target.Name))
		if best == nil || rank < bestRank || rank == bestRank && hash > bestHash {
			best, bestRank, bestHash = m, rank, hash
		}
	}
	return best
}

// closeQuarantine passes the upstream on to the next suspect or returns it to other work.
func (s *shard) closeQuarantine(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := m.target.Name
	delete(s.quarantine.active, name)
	if m.quarantined && m.eligible && s.quarantine.waitingSuspects > 0 && s.members[name] == m && m.used {
		s.quarantine.standby[name] = true
	} else {
		s.endQuarantine(m)
	}
	s.quarantine.notifyChanged()
	s.admitWaiting(s.dispatcher.options.Now())
}

// renewTrials extends the announced trials of the suspects that are running.
func (s *shard) renewTrials(now time.Time) {
	for name, fp := range s.quarantine.active {
		if s.quarantine.attempts[fp] > 0 {
			s.dispatcher.renewTrial(fp, name, now)
		}
	}
}

// waitUpTo waits until wake is closed, ctx is done or the limit has passed.
func waitUpTo(ctx context.Context, wake <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-wake:
	case <-ctx.Done():
	case <-timer.C:
	}
}
