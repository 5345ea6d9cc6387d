package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// requestRun is the state of one request over all of its attempts. It is used by one
// goroutine only.
type requestRun struct {
	dispatcher     *Dispatcher
	shard          *shard
	id             ident.RequestID
	fingerprint    poison.Fingerprint
	placement      placementRequest
	deadline       time.Time
	idempotent     bool
	resumable      bool
	isHedge        bool            // second attempt of a straggler: fails instead of running in quarantine
	sends          retry.Sends     // counts the attempts
	earlierOutcome outcome.Outcome // combined outcome of the attempts so far
	lastErr        error
	upstreamDied   bool          // the upstream process of the last attempt died
	resumedTokens  int           // tokens of the answer that the last attempt started with
	copySender     poison.Sender // identifies this copy of the request; zero until placeCopy needs it
	uncoordinated  bool          // the run no longer shares an upstream with other copies of the request
}

// outcome returns the combined outcome of all attempts, NotRun if none started.
func (r *requestRun) outcome() outcome.Outcome {
	if r.sends.Total == 0 {
		return outcome.NotRun
	}
	return r.earlierOutcome
}

// acquireSlot waits for a slot for the next attempt, in quarantine if the request is a
// suspect.
func (r *requestRun) acquireSlot(ctx context.Context) (*slot, *Error) {
	for {
		sl, err := r.tryAcquireSlot(ctx)
		if sl != nil || err != nil {
			return sl, r.withEarlierOutcome(err)
		}
	}
}

// tryAcquireSlot makes one try to get a slot. It returns neither a slot nor an error if
// the request has to be judged again, since the verdict on it may have changed.
func (r *requestRun) tryAcquireSlot(ctx context.Context) (*slot, *Error) {
	if r.dispatcher.options.Policy == PolicyNaive {
		return r.shard.acquire(ctx, r.placement, 0)
	}
	if r.placement.route.Class == routing.ClassRollout {
		r.dispatcher.setDurable(r.fingerprint)
	}
	decision := r.dispatcher.poisonDecision(r.fingerprint)
	switch {
	case decision.Verdict == poison.Busy && r.mayWaitForPeerTrial():
		return nil, r.waitForPeerTrial(ctx)
	case decision.Verdict == poison.Convicted, decision.Verdict == poison.Busy:
		return nil, poisonError(r.outcome(), decision)
	case decision.Verdict == poison.Suspect && r.isHedge:
		return nil, poisonError(r.outcome(), decision)
	case decision.Verdict == poison.Suspect:
		return r.acquireQuarantined(ctx)
	}
	sl, err := r.shard.acquire(ctx, r.placement, r.fingerprint)
	if err != nil {
		return nil, err
	}
	if r.dispatcher.poisonDecision(r.fingerprint).Verdict == poison.Clean {
		return r.coordinateSlot(ctx, sl)
	}
	r.shard.releaseSlot(sl, false) // the request became a suspect while it was queued
	return nil, nil
}

// withEarlierOutcome replaces the outcome of a placement error by that of the earlier
// attempts, which may have run.
func (r *requestRun) withEarlierOutcome(err *Error) *Error {
	if err == nil || r.sends.Total == 0 {
		return err
	}
	err.Outcome = r.outcome()
	if err.Err == nil {
		err.Err = r.lastErr
	}
	return err
}

// runAttempts makes attempts until one succeeds or no further attempt is allowed.
// hasPartialAnswer reports whether a part of the answer has already been received.
func (r *requestRun) runAttempts(ctx context.Context, attemptFunc func(context.Context, *slot) error, hasPartialAnswer func() bool) *Error {
	var unavailableSince time.Time
	for {
		sl, placementErr := r.acquireSlot(ctx)
		if placementErr != nil {
			if r.mayWaitForUpstream(placementErr, &unavailableSince) {
				waitUpTo(ctx, nil, 2*tickInterval)
				continue
			}
			return placementErr
		}
		unavailableSince = time.Time{}
		err := r.runAttempt(ctx, sl, attemptFunc)
		if err == nil {
			return nil
		}
		if errors.Is(err, errAttemptStopped) {
			continue
		}
		if finalErr := r.prepareRetry(ctx, sl, err, hasPartialAnswer()); finalErr != nil {
			return finalErr
		}
	}
}

// mayWaitForUpstream reports whether a request that may already have run waits for an
// upstream to come back while its whole group is down, rather than lose its partial
// answer. A request that hasn't run fails at once.
func (r *requestRun) mayWaitForUpstream(placementErr *Error, unavailableSince *time.Time) bool {
	if placementErr.Reason != ReasonNoUpstream || r.outcome() == outcome.NotRun || r.dispatcher.options.Policy == PolicyNaive {
		return false
	}
	now := r.dispatcher.options.Now()
	if unavailableSince.IsZero() {
		*unavailableSince = now
	}
	return now.Sub(*unavailableSince) < r.dispatcher.options.NoUpstreamWait
}

// runAttempt runs one attempt and releases its slot.
func (r *requestRun) runAttempt(ctx context.Context, sl *slot, attemptFunc func(context.Context, *slot) error) error {
	r.sends.Begin()
	attemptsMade.Add(1)
	name := sl.member.target.Name
	r.placement.route.Exclude = append(r.placement.route.Exclude, name)
	r.placement.prioritized = true // the next attempt, if any, doesn't queue a second time
	r.dispatcher.recordEvent("dispatch", r.id, r.placement.team, name, r.placement.route.Class.String())
	err := r.runStoppable(ctx, sl, attemptFunc)
	r.upstreamDied = false
	if err == nil {
		r.finishSucceeded(sl)
		return nil
	}
	if errors.Is(err, errAttemptStopped) {
		r.releaseStopped(sl)
		return err
	}
	attemptsFailed.Add(1)
	r.finishFailed(ctx, sl, err)
	return err
}

// finishSucceeded reports a successful attempt to poison, retry and health, and releases its
// slot.
func (r *requestRun) finishSucceeded(sl *slot) {
	if r.placement.route.Class == routing.ClassProduction {
		r.dispatcher.recordAnswered(r.fingerprint)
	}
	inTrial := sl.quarantined && !sl.passedProbation
	if inTrial {
		r.dispatcher.finishTrial(r.fingerprint, true)
	}
	s := r.shard
	s.mu.Lock()
	s.quarantine.endAttempt(sl)
	now := r.dispatcher.options.Now()
	s.retryBudget.Succeeded(now)
	s.hedgeBudget.Succeeded(now)
	if name := sl.member.target.Name; !s.health.CanSkipSuccess(name) {
		s.applyHealthEvent(health.Succeeded{Upstream: name}, now)
	}
	s.releaseSlotLocked(sl, true)
	s.admitWaiting(now)
	s.mu.Unlock()
	if inTrial {
		s.closeQuarantine(sl.member)
	}
}

// finishFailed reports a failed attempt to health, poison and limits. It releases the
// slot only after it is known whether the upstream process died: otherwise a suspect
// that waits for a quarantine could start beside a request that is about to be
// convicted.
func (r *requestRun) finishFailed(ctx context.Context, sl *slot, err error) {
	fault := classifyError(err)
	r.reportFault(sl, fault)
	if fault.suggestsDeath() && r.dispatcher.options.Policy != PolicyNaive {
		if death, died := r.shard.confirmDeath(sl); died {
			r.upstreamDied = true
			r.recordSuspectDeath(sl, death)
		}
	}
	inTrial := sl.quarantined && !sl.passedProbation
	if inTrial {
		r.dispatcher.finishTrial(r.fingerprint, false)
	}
	r.shard.mu.Lock()
	r.shard.quarantine.endAttempt(sl)
	r.shard.releaseSlotLocked(sl, false)
	r.shard.admitWaiting(r.dispatcher.options.Now())
	r.shard.mu.Unlock()
	if inTrial {
		r.shard.closeQuarantine(sl.member)
	}
}

// recordSuspectDeath marks the request as one that may have killed its upstream, however
// much of the answer it had generated.
func (r *requestRun) recordSuspectDeath(sl *slot, death poison.Death) {
	death.SeenLocally = true
	death.Tokens = r.resumedTokens + sl.tokens
	inTrial := sl.quarantined && !sl.passedProbation
	unrelated := !inTrial && r.dispatcher.isUnrelatedDeath(r.fingerprint, death)
	if !unrelated {
		r.dispatcher.recordDeath(r.fingerprint, death)
		r.dispatcher.recordEvent("suspect", r.id, r.placement.team, sl.member.target.Name, death.BootID)
	}
	r.dispatcher.logSuspect(r.fingerprint, "upstream process died while running a request", func(e *zerolog.Event) {
		e.Str("request", string(r.id)).Str("upstream", string(death.Upstream)).Str("boot", death.BootID).
			Int("tokens", death.Tokens).Bool("alone", inTrial).Bool("unrelated", unrelated).
			Dur("ran_ms", r.dispatcher.options.Now().Sub(sl.started))
	})
}

// reportFault passes a fault to health, and an upstream's rejection to its limit.
func (r *requestRun) reportFault(sl *slot, fault fault) {
	s := r.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.dispatcher.options.Now()
	name := sl.member.target.Name
	if kind, known := fault.healthKind(); known {
		s.applyHealthEvent(health.Faulted{Upstream: name, Kind: kind}, now)
	}
	if fault.leaving {
		s.applyHealthEvent(health.SaidLeaving{Upstream: name, Source: health.FromAnswer}, now)
	}
	if fault.kind == upstream.Rejected && !fault.leaving {
		sl.member.controller.RecordOverload(now)
		s.updateRouting(sl.member)
	}
}

// prepareRetry returns the final error, or nil after the delay before the next attempt.
func (r *requestRun) prepareRetry(ctx context.Context, sl *slot, err error, hasPartialAnswer bool) *Error {
	fault := classifyError(err)
	r.addOutcome(fault.outcome)
	r.lastErr = err
	r.dispatcher.recordEvent("fault", r.id, r.placement.team, sl.member.target.Name, fault.kind.String())
	if ctx.Err() != nil {
		return contextError(ctx, r.outcome())
	}
	if fault.callerFailed {
		return &Error{Outcome: outcome.Unknown, Reason: ReasonCancelled, Err: err}
	}
	decision := r.decideRetry(fault, hasPartialAnswer)
	if decision.Action == retry.Fail {
		return r.finalError(fault, decision.Cause)
	}
	if decision.Action == retry.Resume {
		resumesMade.Add(1)
	}
	retriesMade.Add(1)
	r.dispatcher.recordEvent(decision.Action.String(), r.id, r.placement.team, "", "")
	if decision.Delay > 0 {
		waitUpTo(ctx, nil, decision.Delay)
	}
	return nil
}

// addOutcome merges an attempt's outcome into the combined outcome of the request.
func (r *requestRun) addOutcome(o outcome.Outcome) {
	if o == outcome.NotRun {
		r.sends.MarkNotRun()
	}
	switch {
	case r.sends.Total <= 1:
		r.earlierOutcome = o
	case o == outcome.Ran:
		r.earlierOutcome = outcome.Ran
	case o == outcome.Unknown && r.earlierOutcome == outcome.NotRun:
		r.earlierOutcome = outcome.Unknown
	}
}

func (r *requestRun) decideRetry(f fault, hasPartialAnswer bool) retry.Decision {
	s := r.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := retry.FailedAttempt{
		Outcome:       f.outcome,
		Idempotent:    r.idempotent,
		Resumable:     r.resumable,
		Transient:     f.transient,
		UpstreamDied:  r.upstreamDied,
		Sends:         r.sends,
		AnswerStarted: hasPartialAnswer,
		Deadline:      r.deadline,
	}
	options := r.dispatcher.options.Retry
	if r.dispatcher.options.Policy == PolicyNaive {
		options.MaxRuns, options.MaxSends = 2, 2
	}
	return retry.Decide(attempt, s.retryBudget, options, r.dispatcher.options.Now())
}

func (r *requestRun) finalError(f fault, cause retry.Cause) *Error {
	reason := ReasonUpstreamFailed
	if cause == retry.DeadlinePassed {
		reason = ReasonDeadline
	}
	retryAfter := f.retryAfter
	if retryAfter <= 0 && cause != retry.Answered {
		retryAfter = retryAfterNoUpstream
	}
	return &Error{Outcome: r.outcome(), Reason: reason, RetryAfter: retryAfter, Err: f.err}
}

// errCallerFailed marks an error that the caller's onChunk returned.
var errCallerFailed = errors.New("dispatch: the caller's chunk handler failed")
