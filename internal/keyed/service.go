// Package keyed runs requests that carry an idempotency key at most once over
// all daemons. The rule is in package claims; this package appends claims to
// the log, follows the log and calls the run function.
//
// What holds, and why:
//
//   - A request is dispatched only after its own claim was read back as the first
//     of its key. An append's answer alone decides nothing, so a lost answer is
//     harmless: the claim is sent again, and the fold ignores the copy.
//   - Reading back one's own claim implies having read everything that the log
//     kept before it, also right after a start.
//   - A claim is released only by the process that wrote it, and only when the
//     request certainly didn't run. When the outcome is unknown, the key stays
//     held until the log's retention ends, and a resend is told so.
//   - A process that was frozen finds its claim older than MaxClaimAge (monotonic
//     clock) and releases it instead of dispatching.
//
// Window left: a process frozen between that last check and the first byte for
// longer than the log's retention, whose key was sent again meanwhile. As long as
// the log keeps the claim, even that can't run the request twice.
package keyed

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

const (
	// burst: a daemon's share of the append budget of so long may be used at once.
	burst = time.Second
	// maxReports bounds the releases and done records that wait for the log.
	maxReports = 10_000
)

// Service runs keyed requests. Run must be running for Do to succeed.
type Service struct {
	opts     Options
	instance string // prefix of this process's nonces

	mu       sync.Mutex
	fold     *claims.Fold
	batcher  *claims.Batcher
	waiting  map[string]*waiter // by nonce; undecided claims
	serial   uint64
	stopped  bool
	next     ident.Offset  // next offset to read
	progress chan struct{} // closed and replaced when an append has finished

	wake chan struct{}
}

// waiter is a caller whose claim isn't decided yet.
type waiter struct {
	record claims.Record
	since  time.Time // before the first append, monotonic
	result chan decision
}

// decision ends a waiter's wait: a verdict of the log, or a refusal.
type decision struct {
	verdict claims.Verdict
	refused *Error
}

// New returns a service; the caller starts Run.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	return &Service{
		opts:     opts,
		instance: newInstance(),
		fold:     claims.NewFold(opts.MaxAnswerBytes),
		batcher:  claims.NewBatcher(batcherOptions(opts), time.Now()),
		waiting:  map[string]*waiter{},
		next:     1,
		progress: make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
}

func batcherOptions(opts Options) claims.BatcherOptions {
	return claims.BatcherOptions{
		Gather:     opts.BatchInterval,
		Budget:     opts.AppendBudget,
		Burst:      burst,
		MaxClaims:  opts.MaxPending,
		MaxReports: maxReports,
	}
}

// newInstance is random, so that a restarted daemon never takes the claims of its
// predecessor for its own: those may have been dispatched.
func newInstance() string {
	var b [12]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:]) + "-"
}

// Run appends and follows the log until ctx ends. Waiting callers are then
// refused as not run.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.appendLoop(ctx) })
	g.Go(func() error { return s.followLoop(ctx) })
	err := g.Wait()
	s.stop()
	return err
}

// Flush waits until the log has confirmed every record, for a graceful stop.
// It returns the context's error when that ends first.
func (s *Service) Flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		pending, progress := s.batcher.Pending(), s.progress
		s.mu.Unlock()
		if pending == 0 {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Keys returns the number of keys in memory.
func (s *Service) Keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Len()
}

func (s *Service) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for nonce, w := range s.waiting {
		delete(s.waiting, nonce)
		w.result <- decision{refused: notRun(Stopped, retryAfterStop, nil)}
	}
}

func (s *Service) newNonce() string {
	s.serial++
	return s.instance + strconv.FormatUint(s.serial, 36)
}

// isOwn reports whether this process made the nonce.
func (s *Service) isOwn(nonce string) bool { return strings.HasPrefix(nonce, s.instance) }

// report queues a release or done record. Callers hold s.mu.
func (s *Service) report(r claims.Record) {
	if s.batcher.AddReport(r, time.Now()) {
		metrics.Counter("keyed_reports_dropped").Add(1)
	}
	s.wakeAppender()
}

func (s *Service) wakeAppender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// appendResult turns an error of the log into what it means for the batch.
func appendResult(err error) claims.AppendResult {
	switch {
	case err == nil:
		return claims.Appended
	case isUnavailable(err):
		return claims.Unavailable
	default:
		return claims.Lost
	}
}
