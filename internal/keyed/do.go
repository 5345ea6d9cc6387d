package keyed

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// What clients are told to wait.
const (
	retryAfterInProgress = time.Second
	retryAfterLog        = 2 * time.Second
	retryAfterOverload   = 5 * time.Second
	retryAfterStop       = time.Second
)

// RunFunc dispatches the request once.
type RunFunc func(ctx context.Context) (*upstream.ServiceResponse, error)

// Do runs the request of an idempotency key unless some attempt within the log's
// retention may have run it. scope names the team and the route, bodyHash the
// request's content. replayed says that the answer is an earlier attempt's.
// Errors: *Error, or run's own.
func (s *Service) Do(ctx context.Context, scope, key string, bodyHash uint64, run RunFunc) (answer *upstream.ServiceResponse, replayed bool, err error) {
	if err := claims.CheckKey(scope, key); err != nil {
		return nil, false, notRun(InvalidKey, 0, err)
	}
	if ctx.Err() != nil {
		return nil, false, notRun(Cancelled, 0, context.Cause(ctx))
	}
	w, status, refused := s.begin(scope, key, bodyHash)
	if refused != nil {
		return nil, false, refused
	}
	if w == nil {
		return settle(status, bodyHash)
	}
	d := s.await(ctx, w)
	if d.refused != nil {
		return nil, false, d.refused
	}
	if !d.verdict.Won {
		return settle(d.verdict.Status, bodyHash)
	}
	answer, err = s.dispatch(ctx, w, run)
	return answer, false, err
}

// begin queues a claim, unless the key's known state already decides.
func (s *Service) begin(scope, key string, bodyHash uint64) (*waiter, claims.Status, *Error) {
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
	w := &waiter{record: s.newClaim(scope, key, bodyHash), since: now, result: make(chan decision, 1)}
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

// await waits for the claim's decision, the caller's end or the claim's age.
func (s *Service) await(ctx context.Context, w *waiter) decision {
	timer := time.NewTimer(s.opts.MaxClaimAge)
	defer timer.Stop()
	select {
	case d := <-w.result:
		return d
	case <-ctx.Done():
		return s.abandon(w, notRun(Cancelled, retryAfterLog, context.Cause(ctx)))
	case <-timer.C:
		return s.abandon(w, notRun(LogUnavailable, retryAfterLog, nil))
	}
}

// abandon gives the claim up. If a copy of it shows up in the log later, the
// follower finds no waiter and releases it.
func (s *Service) abandon(w *waiter, refused *Error) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, undecided := s.waiting[w.record.Nonce]; undecided {
		delete(s.waiting, w.record.Nonce)
		s.batcher.Remove(w.record.Nonce)
		return decision{refused: refused}
	}
	d := <-w.result // decided at the same moment
	if d.refused == nil && d.verdict.Won {
		s.report(releaseOf(w.record))
		d.refused = refused
	}
	return d
}

// dispatch runs a request whose claim was read back as the first of its key.
func (s *Service) dispatch(ctx context.Context, w *waiter, run RunFunc) (*upstream.ServiceResponse, error) {
	// The process may have been frozen since the append (SIGSTOP, a paused VM). Its
	// caller has gone by then and the log may soon forget the claim, after which
	// another daemon may run the request. The age on the monotonic clock shows it.
	if age := time.Since(w.since); age > s.opts.MaxClaimAge {
		metrics.Counter("keyed_claims_too_old").Add(1)
		s.settleClaim(releaseOf(w.record))
		return nil, notRun(ClaimTooOld, retryAfterInProgress, nil)
	}
	if ctx.Err() != nil {
		s.settleClaim(releaseOf(w.record))
		return nil, notRun(Cancelled, retryAfterInProgress, context.Cause(ctx))
	}
	answer, err := run(ctx)
	switch {
	case err == nil:
		s.settleClaim(doneOf(w.record, answer))
		return answer, nil
	case s.opts.OutcomeOf(err) == outcome.NotRun:
		s.settleClaim(releaseOf(w.record))
	case s.opts.OutcomeOf(err) == outcome.Ran:
		s.settleClaim(doneOf(w.record, nil))
	default:
		metrics.Counter("keyed_outcome_unknown").Add(1) // the key stays held
	}
	return nil, err
}

func (s *Service) settleClaim(r claims.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report(r)
}

// settle answers a caller from the state that another attempt left.
func settle(status claims.Status, bodyHash uint64) (*upstream.ServiceResponse, bool, error) {
	if status.BodyHash != bodyHash {
		return nil, false, notRun(Conflict, 0, nil)
	}
	if status.State == claims.Held {
		return nil, false, &Error{Outcome: outcome.Unknown, Reason: InProgress, RetryAfter: retryAfterInProgress}
	}
	if status.Answer == nil {
		return nil, false, &Error{Outcome: outcome.Ran, Reason: AnswerNotKept}
	}
	metrics.Counter("keyed_replays").Add(1)
	return responseOf(status.Answer), true, nil
}
