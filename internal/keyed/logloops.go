package keyed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	readLimit = 256 // log records per read
	// readTimeoutMargin is how much longer than PollWait a read may take before its connection
	// is taken for dead.
	readTimeoutMargin = time.Second
	readBackoffMin    = 50 * time.Millisecond // first delay after a failed read
	readBackoffMax    = 2 * time.Second       // longest delay after a failed read
)

// isUnavailable reports whether an append certainly had no effect.
func isUnavailable(err error) bool { return errors.Is(err, infra.ErrUnavailable) }

// appendLoop appends batches of records, one batch at a time, until the context ends.
func (s *Service) appendLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		batch, wait := s.batcher.NextBatch(time.Now(), s.opts.Daemons())
		s.mu.Unlock()
		if batch != nil {
			s.appendBatch(ctx, batch)
			continue
		}
		s.waitForRecords(ctx, wait)
	}
	return nil
}

// waitForRecords waits until a record is queued, for at most wait unless that is 0.
func (s *Service) waitForRecords(ctx context.Context, wait time.Duration) {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-s.wake:
	case <-timeout:
	case <-ctx.Done():
	}
}

// appendBatch appends a batch and refuses the claims that are given up because it failed.
func (s *Service) appendBatch(ctx context.Context, batch []claims.Record) {
	result, err := s.appendRecords(ctx, batch)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, nonce := range s.batcher.FinishAppend(result, time.Now()) {
		s.refuseLocked(nonce, notRun(LogUnavailable, retryAfterLog, err))
	}
	close(s.appendDone)
	s.appendDone = make(chan struct{})
}

// appendRecords appends a batch as one log record.
func (s *Service) appendRecords(ctx context.Context, batch []claims.Record) (claims.AppendResult, error) {
	data, err := claims.EncodeBatch(batch)
	if err != nil {
		return claims.NotAppended, err // certainly not in the log
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.AppendTimeout)
	defer cancel()
	_, err = s.opts.Log.Append(ctx, infra.StreamClaims, [][]byte{data})
	if err != nil {
		metrics.Counter("keyed_append_failures").Add(1)
	}
	return appendResult(err), err
}

// refuseLocked ends the wait of a caller with an error.
func (s *Service) refuseLocked(nonce string, refusal *Error) {
	w, ok := s.waiting[nonce]
	if !ok {
		return
	}
	delete(s.waiting, nonce)
	w.result <- decision{refusal: refusal}
}

// followLoop reads the claims stream from its oldest kept record on, until the context ends.
func (s *Service) followLoop(ctx context.Context) error {
	if s.opts.StartJitter > 0 {
		pause.For(ctx, rand.N(s.opts.StartJitter))
	}
	backoff := readBackoffMin
	down := false
	for ctx.Err() == nil {
		err := s.readPage(ctx)
		if err == nil {
			s.logAvailability(&down, false, nil)
			backoff = readBackoffMin
			continue
		}
		s.logAvailability(&down, true, err)
		pause.For(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, readBackoffMax)
	}
	return nil
}

// logAvailability logs when the claims stream becomes unreadable or readable again. loggedDown
// points to the state that was logged last.
func (s *Service) logAvailability(loggedDown *bool, down bool, err error) {
	if *loggedDown == down {
		return
	}
	*loggedDown = down
	if down {
		s.opts.Logger.Warn().Err(err).Msg("claims stream can't be read; requests with an idempotency key are refused")
		return
	}
	s.opts.Logger.Info().Msg("claims stream can be read again")
}

// readPage reads the next records of the claims stream and applies them.
func (s *Service) readPage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.PollWait+readTimeoutMargin)
	defer cancel()
	page, err := s.opts.Log.Read(ctx, infra.StreamClaims, s.next, readLimit, s.opts.PollWait)
	if errors.Is(err, infra.ErrExpired) && page.First > s.next {
		s.skipExpired(page)
		return nil
	}
	if err != nil {
		return err
	}
	s.applyPage(page)
	return nil
}

// skipExpired continues at the oldest record that the log keeps. The records before it
// concern keys that are no longer protected. Every claim that still counts, and the releases
// and done records after it, are read from there on.
func (s *Service) skipExpired(page infra.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = page.First
	s.fold.Trim(page.First)
}

// applyPage applies the records of a page. Trim must come first, see claims.Table.Apply.
func (s *Service) applyPage(page infra.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fold.Trim(page.First)
	for _, rec := range page.Records {
		if rec.Offset < s.next {
			continue
		}
		s.next = rec.Offset + 1
		records, err := claims.DecodeBatch(rec.Data)
		if err != nil {
			metrics.Counter("keyed_batches_skipped").Add(1)
			continue
		}
		for _, v := range s.fold.Apply(rec.Offset, records) {
			s.deliverVerdictLocked(v)
		}
	}
	metrics.Gauge("keyed_keys").Set(int64(s.fold.Len()))
}

// deliverVerdictLocked passes the verdict on a claim to the caller that waits for it. A claim
// of this process that lost, or that no caller waits for, is released, because its request will
// never be dispatched.
func (s *Service) deliverVerdictLocked(v claims.Verdict) {
	if !s.isOwn(v.Nonce) {
		return
	}
	w, isWaiting := s.waiting[v.Nonce]
	if isWaiting {
		delete(s.waiting, v.Nonce)
		s.batcher.RemoveClaim(v.Nonce)
		w.result <- decision{verdict: v}
	}
	if !isWaiting || !v.Won {
		s.queueReportLocked(claims.Record{Kind: claims.KindRelease, Scope: v.Scope, Key: v.Key, Nonce: v.Nonce, VM: s.opts.VM})
	}
}
