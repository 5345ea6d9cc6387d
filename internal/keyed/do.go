package keyed

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// How long clients are told to wait before a retry.
const (
	retryAfterInProgress = time.Second
	retryAfterLog        = 2 * time.Second
	retryAfterOverload   = 5 * time.Second
	retryAfterStop       = time.Second
)

// RunFunc runs the request once.
type RunFunc func(ctx context.Context) (*upstream.ServiceResponse, error)

// Do runs the request of an idempotency key unless an attempt within the log's
// retention may have run it. scope identifies the team and the route, bodyHash the
// request's content. replayed says that the response is that of an earlier attempt.
// The error is an *Error or one of run.
func (s *Service) Do(ctx context.Context, scope, key string, bodyHash uint64, run RunFunc) (response *upstream.ServiceResponse, replayed bool, err error) {
	if err := claims.CheckKey(scope, key); err != nil {
		return nil, false, notRun(InvalidKey, 0, err)
	}
	if ctx.Err() != nil {
		return nil, false, notRun(Cancelled, 0, context.Cause(ctx))
	}
	w, status, refusal := s.queueClaim(scope, key, bodyHash)
	if refusal != nil {
		return nil, false, refusal
	}
	if w == nil {
		return replayOrRefuse(status, bodyHash)
	}
	d := s.awaitDecision(ctx, w)
	if d.refusal != nil {
		return nil, false, d.refusal
	}
	if !d.verdict.Won {
		return replayOrRefuse(d.verdict.Status, bodyHash)
	}
	response, err = s.dispatch(ctx, w, run)
	return response, false, err
}

// queueClaim queues a claim and returns its waiter. It returns no waiter if the key isn't free,
// but the key's status, or a refusal.
func (s *Service) queueClaim(scope, key string, bodyHash uint64) (*waiter, claims.Status, *Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.fold.Status(scope, key); status.State != claims.Free {
		return nil, status, nil
	}
	if s.stopped {
		return nil, claims.Status{}, notRun(Stopped, retryAfterStop, nil)
	}
	if s.fold.Len()+len(s.waiting) >= s.opts.MaxKeys {
		return nil, claims.Status{}, notRun(Overloaded, retryAfterOverload, nil)
	}
	now := time.Now()
	w := &waiter{record: s.newClaim(scope, key, bodyHash), queuedAt: now, result: make(chan decision, 1)}
	if err := s.batcher.AddClaim(w.record, now); err != nil {
		return nil, claims.Status{}, notRun(Overloaded, retryAfterOverload, err)
	}
	s.waiting[w.record.Nonce] = w
	s.wakeAppender()
	return w, claims.Status{}, nil
}

func (s *Service) newClaim(scope, key string, bodyHash uint64) claims.Record {
	return claims.Record{
		Kind: claims.KindClaim, Scope: scope, Key: key,
		Nonce: s.newNonce(), VM: s.opts.VM, BodyHash: bodyHash,
	}
}

// awaitDecision waits until the claim is decided. It withdraws the claim when the caller's
// context ends or the claim reaches its maximum age.
func (s *Service) awaitDecision(ctx context.Context, w *waiter) decision {
	timer := time.NewTimer(s.opts.MaxClaimAge)
	defer timer.Stop()
	select {
	case d := <-w.result:
		return d
	case <-ctx.Done():
		return s.withdraw(w, notRun(Cancelled, retryAfterLog, context.Cause(ctx)))
	case <-timer.C:
		return s.withdraw(w, notRun(LogUnavailable, retryAfterLog, nil))
	}
}

// withdraw gives the claim up. If the claim is read from the log later, there is no waiter for
// it and it is released.
func (s *Service) withdraw(w *waiter, refusal *Error) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, undecided := s.waiting[w.record.Nonce]; undecided {
		delete(s.waiting, w.record.Nonce)
		s.batcher.RemoveClaim(w.record.Nonce)
		return decision{refusal: refusal}
	}
	d := <-w.result // decided just now
	if d.refusal == nil && d.verdict.Won {
		s.queueReportLocked(releaseRecord(w.record))
		d.refusal = refusal
	}
	return d
}

// dispatch runs a request whose claim was read back as the first one of its key.
func (s *Service) dispatch(ctx context.Context, w *waiter, run RunFunc) (*upstream.ServiceResponse, error) {
	// The process may have been suspended since the append (SIGSTOP, a paused VM). By now its
	// caller is gone, and the log may soon drop the claim, after which another daemon may run
	// the request. The claim's age on the monotonic clock shows this.
	if age := time.Since(w.queuedAt); age > s.opts.MaxClaimAge {
		metrics.Counter("keyed_claims_too_old").Add(1)
		s.queueReport(releaseRecord(w.record))
		return nil, notRun(ClaimTooOld, retryAfterInProgress, nil)
	}
	if ctx.Err() != nil {
		s.queueReport(releaseRecord(w.record))
		return nil, notRun(Cancelled, retryAfterInProgress, context.Cause(ctx))
	}
	response, err := run(ctx)
	switch {
	case err == nil:
		s.queueReport(doneRecord(w.record, response))
		return response, nil
	case s.opts.OutcomeOf(err) == outcome.NotRun:
		s.queueReport(releaseRecord(w.record))
	case s.opts.OutcomeOf(err) == outcome.Ran:
		s.queueReport(doneRecord(w.record, nil))
	default:
		metrics.Counter("keyed_outcome_unknown").Add(1) // the claim isn't released
	}
	return nil, err
}

// queueReport queues a release or done record to be appended.
func (s *Service) queueReport(r claims.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueReportLocked(r)
}

// replayOrRefuse returns the result of a request whose key isn't free: the response of an
// earlier attempt, or an error.
func replayOrRefuse(status claims.Status, bodyHash uint64) (*upstream.ServiceResponse, bool, error) {
	if status.BodyHash != bodyHash {
		return nil, false, notRun(Conflict, 0, nil)
	}
	if status.State == claims.Held {
		return nil, false, &Error{Outcome: outcome.Unknown, Reason: InProgress, RetryAfter: retryAfterInProgress}
	}
	if status.Answer == nil {
		return nil, false, &Error{Outcome: outcome.Ran, Reason: ResponseNotKept}
	}
	metrics.Counter("keyed_replays").Add(1)
	return responseOf(status.Answer), true, nil
}
