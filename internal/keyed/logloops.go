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
	readLimit = 256 // log records a read
	// readSlack is what a read may take beyond PollWait before its connection is
	// taken for silent.
	readSlack      = time.Second
	readBackoffMin = 50 * time.Millisecond
	readBackoffMax = 2 * time.Second
)

func isUnavailable(err error) bool { return errors.Is(err, infra.ErrUnavailable) }

// appendLoop writes batches, one at a time.
func (s *Service) appendLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		batch, wait := s.batcher.Next(time.Now(), s.opts.Daemons())
		s.mu.Unlock()
		if batch != nil {
			s.appendBatch(ctx, batch)
			continue
		}
		s.sleepOrWake(ctx, wait)
	}
	return nil
}

// sleepOrWake waits for new records, and no longer than wait if that isn't 0.
func (s *Service) sleepOrWake(ctx context.Context, wait time.Duration) {
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

func (s *Service) appendBatch(ctx context.Context, batch []claims.Record) {
	result, err := s.write(ctx, batch)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, nonce := range s.batcher.Finished(result, time.Now()) {
		s.refuse(nonce, notRun(LogUnavailable, retryAfterLog, err))
	}
	close(s.progress)
	s.progress = make(chan struct{})
}

func (s *Service) write(ctx context.Context, batch []claims.Record) (claims.AppendResult, error) {
	data, err := claims.EncodeBatch(batch)
	if err != nil {
		return claims.Unavailable, err // certainly not in the log
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.AppendTimeout)
	defer cancel()
	_, err = s.opts.Log.Append(ctx, infra.StreamClaims, [][]byte{data})
	if err != nil {
		metrics.Counter("keyed_append_failures").Add(1)
	}
	return appendResult(err), err
}

func (s *Service) refuse(nonce string, refused *Error) {
	w, ok := s.waiting[nonce]
	if !ok {
		return
	}
	delete(s.waiting, nonce)
	w.result <- decision{refused: refused}
}

// followLoop reads the claims stream from its oldest kept record on.
func (s *Service) followLoop(ctx context.Context) error {
	if s.opts.StartSpread > 0 {
		pause.For(ctx, rand.N(s.opts.StartSpread))
	}
	backoff := readBackoffMin
	down := false
	for ctx.Err() == nil {
		err := s.readPage(ctx)
		if err == nil {
			s.logChange(&down, false, nil)
			backoff = readBackoffMin
			continue
		}
		s.logChange(&down, true, err)
		pause.For(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, readBackoffMax)
	}
	return nil
}

func (s *Service) logChange(down *bool, now bool, err error) {
	if *down == now {
		return
	}
	*down = now
	if now {
		s.opts.Logger.Warn().Err(err).Msg("claims stream unreadable, keyed requests are refused")
		return
	}
	s.opts.Logger.Info().Msg("claims stream readable again")
}

func (s *Service) readPage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.PollWait+readSlack)
	defer cancel()
	page, err := s.opts.Log.Read(ctx, infra.StreamClaims, s.next, readLimit, s.opts.PollWait)
	if errors.Is(err, infra.ErrExpired) && page.First > s.next {
		s.skipTo(page)
		return nil
	}
	if err != nil {
		return err
	}
	s.foldPage(page)
	return nil
}

// skipTo jumps over records that the log no longer keeps. What they said
// concerned keys whose protection has ended with them, so nothing is lost that
// still counts: claims, and the releases and done records behind those claims
// that are kept are all read from First on.
func (s *Service) skipTo(page infra.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = page.First
	s.fold.Trim(page.First)
}

// foldPage folds a page in. Trim comes first, see claims.Fold.Apply.
func (s *Service) foldPage(page infra.Page) {
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
			s.decide(v)
		}
	}
	metrics.Gauge("keyed_keys").Set(int64(s.fold.Len()))
}

// decide hands a verdict to the caller that waits for it. A claim of ours that
// nobody waits for, or that lost, will never be dispatched: it is released.
func (s *Service) decide(v claims.Verdict) {
	if !s.isOwn(v.Nonce) {
		return
	}
	w, waits := s.waiting[v.Nonce]
	if waits {
		delete(s.waiting, v.Nonce)
		s.batcher.Remove(v.Nonce)
		w.result <- decision{verdict: v}
	}
	if !waits || !v.Won {
		s.report(claims.Record{Kind: claims.KindRelease, Scope: v.Scope, Key: v.Key, Nonce: v.Nonce, VM: s.opts.VM})
	}
}
