// Package keyed runs requests that carry an idempotency key at most once across
// all daemons. Package claims decides which daemon may run a request. This package
// appends claims to the log, reads the log and calls the function that runs the request.
//
// Guarantees, and why they hold:
//
//   - A request is dispatched only after its own claim was read back as the first
//     one of its key. The response to an append decides nothing, so a lost response is
//     harmless: the claim is appended again, and the duplicate is ignored.
//   - A process that has read its own claim back has read everything that the log
//     kept before it, even right after a start.
//   - A claim is released only by the process that wrote it, and only if the
//     request certainly didn't run. If the outcome is unknown, the key stays
//     held until the log's retention ends, and a retry is told so.
//   - A process that was suspended finds by the monotonic clock that its claim is older than
//     MaxClaimAge, and releases the claim instead of dispatching the request.
//
// One case remains: a process is suspended between that last check and the first byte that
// it sends, for longer than the log's retention, and the key is sent again meanwhile. As long
// as the log keeps the claim, even that can't run the request twice.
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
	// appendBurst is the time for which a daemon may save up its share of the append budget
	// and then use it at once.
	appendBurst = time.Second
	// maxReports limits the release and done records that wait to be appended.
	maxReports = 10_000
)

// Service runs requests with idempotency keys. Do succeeds only while Run is running.
type Service struct {
	opts        Options
	noncePrefix string // begins every nonce of this process, and of no other

	mu         sync.Mutex
	fold       *claims.Table
	batcher    *claims.Batcher
	waiting    map[string]*waiter // callers whose claim isn't decided, by its nonce
	lastSerial uint64             // serial number in the newest nonce
	stopped    bool               // Run has returned
	next       ident.Offset       // next offset to read
	appendDone chan struct{}      // closed and replaced when an append has finished

	wake chan struct{} // wakes the append loop
}

// waiter is a caller whose claim isn't decided yet.
type waiter struct {
	record   claims.Record // the claim
	queuedAt time.Time     // when the claim was queued for its first append, monotonic
	result   chan decision // receives one decision
}

// decision is the decision on a claim: a verdict, or an error if the claim was given up.
type decision struct {
	verdict claims.Verdict
	refusal *Error // nil: verdict is set
}

// New returns a service; the caller starts Run.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	return &Service{
		opts:        opts,
		noncePrefix: newNoncePrefix(),
		fold:        claims.NewTable(opts.MaxResponseBytes),
		batcher:     claims.NewBatcher(batcherOptions(opts), time.Now()),
		waiting:     map[string]*waiter{},
		next:        1,
		appendDone:  make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
}

func batcherOptions(opts Options) claims.BatcherOptions {
	return claims.BatcherOptions{
		BatchDelay:       opts.BatchInterval,
		AppendsPerSecond: opts.AppendBudget,
		Burst:            appendBurst,
		MaxClaims:        opts.MaxPending,
		MaxOutcomes:      maxReports,
	}
}

// newNoncePrefix returns a random prefix, so that a restarted daemon never takes the claims of
// the process before for its own: their requests may have been dispatched.
func newNoncePrefix() string {
	var b [12]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:]) + "-"
}

// Run appends to the log and reads it until ctx ends. Callers that wait then get an
// error that says that their request didn't run.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.appendLoop(ctx) })
	g.Go(func() error { return s.followLoop(ctx) })
	err := g.Wait()
	s.stop()
	return err
}

// Flush waits until every record has been appended, for a graceful shutdown.
// It returns the context's error if the context ends first.
func (s *Service) Flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		pending, appendDone := s.batcher.Pending(), s.appendDone
		s.mu.Unlock()
		if pending == 0 {
			return nil
		}
		select {
		case <-appendDone:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// KeyCount returns the number of idempotency keys in memory.
func (s *Service) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Len()
}

// stop refuses the callers that wait and all later ones.
func (s *Service) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for nonce, w := range s.waiting {
		delete(s.waiting, nonce)
		w.result <- decision{refusal: notRun(Stopped, retryAfterStop, nil)}
	}
}

func (s *Service) newNonce() string {
	s.lastSerial++
	return s.noncePrefix + strconv.FormatUint(s.lastSerial, 36)
}

// isOwn reports whether the nonce is one of this process.
func (s *Service) isOwn(nonce string) bool { return strings.HasPrefix(nonce, s.noncePrefix) }

// queueReportLocked queues a release or done record to be appended.
func (s *Service) queueReportLocked(r claims.Record) {
	if s.batcher.AddOutcome(r, time.Now()) {
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

// appendResult converts the error of an append to a claims.AppendResult.
func appendResult(err error) claims.AppendResult {
	switch {
	case err == nil:
		return claims.Appended
	case isUnavailable(err):
		return claims.NotAppended
	default:
		return claims.AppendUnknown
	}
}
