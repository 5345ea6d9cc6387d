package claims

import (
	"errors"
	"time"
)

// AppendResult is the outcome of an append to the log.
type AppendResult int

// The results of an append.
const (
	Appended      AppendResult = iota // the records are in the log
	NotAppended                       // the records are certainly not in the log
	AppendUnknown                     // no answer: the records may be in the log, or still get there
)

// ErrFull is returned when the queue of claims is full.
var ErrFull = errors.New("claims: queue of claims is full")

// BatcherOptions are the limits of a Batcher. All fields are required.
type BatcherOptions struct {
	BatchDelay       time.Duration // how long the first queued record waits for others to share its batch
	AppendsPerSecond float64       // appends per second, of all daemons together
	Burst            time.Duration // an idle daemon may save up its share of the appends for this long
	MaxClaims        int           // most claims queued
	MaxOutcomes      int           // most releases and done records queued
}

// Batcher queues records, decides when a batch of them is appended, and handles the
// append's result. Releases and done records are called outcomes. It is not safe for
// concurrent use.
//
// Invariants: one append is in flight at a time. A claim that was refused or removed is
// never sent again. Outcomes are sent until the log has them, or until too many are
// queued and some are dropped; a release that is lost leaves its key held, which is safe.
type Batcher struct {
	opts                BatcherOptions
	claims              []Record        // queued
	outcomes            []Record        // queued
	batchDelayStart     time.Time       // start of the batch delay
	tokens              float64         // appends that may be sent now
	refilledAt          time.Time       // when tokens was last refilled
	inFlight            []Record        // the batch being appended
	removedInFlight     map[string]bool // nonces of claims removed while in flight
	consecutiveFailures int             // appends in a row that certainly didn't reach the log
	outcomesRetryAt     time.Time       // earliest append of a batch without claims
}

// NewBatcher returns an empty batcher. It starts with the appends of all daemons for one
// second, which is reduced to the burst of this daemon before the first batch.
func NewBatcher(opts BatcherOptions, now time.Time) *Batcher {
	return &Batcher{opts: opts, tokens: opts.AppendsPerSecond, refilledAt: now, removedInFlight: map[string]bool{}}
}

// AddClaim queues a claim. It returns ErrFull if too many are queued.
func (b *Batcher) AddClaim(r Record, now time.Time) error {
	if len(b.claims) >= b.opts.MaxClaims {
		return ErrFull
	}
	b.startBatchDelay(now)
	b.claims = append(b.claims, r)
	return nil
}

// AddOutcome queues a release or done record and reports whether a record was dropped. If
// too many are queued, the oldest done record is dropped (its key stays held), or the
// oldest release if there is no done record.
func (b *Batcher) AddOutcome(r Record, now time.Time) (dropped bool) {
	b.startBatchDelay(now)
	b.outcomes = append(b.outcomes, r)
	return b.dropExcessOutcomes()
}

// dropExcessOutcomes enforces the limit on queued outcomes and reports whether it dropped
// any.
func (b *Batcher) dropExcessOutcomes() bool {
	dropped := false
	for len(b.outcomes) > b.opts.MaxOutcomes {
		index := 0
		for i := range b.outcomes {
			if b.outcomes[i].Kind == KindDone {
				index = i
				break
			}
		}
		b.outcomes = append(b.outcomes[:index:index], b.outcomes[index+1:]...)
		dropped = true
	}
	return dropped
}

// RemoveClaim cancels a claim that its caller no longer waits for. It isn't sent again. If it
// is in flight, it may still reach the log; this daemon releases it when it reads it.
func (b *Batcher) RemoveClaim(nonce string) {
	for i := range b.claims {
		if b.claims[i].Nonce == nonce {
			b.claims = append(b.claims[:i:i], b.claims[i+1:]...)
			return
		}
	}
	for i := range b.inFlight {
		if b.inFlight[i].Kind == KindClaim && b.inFlight[i].Nonce == nonce {
			b.removedInFlight[nonce] = true
		}
	}
}

// NextBatch returns the batch to append now, or else how long to wait before the next call. It
// returns neither if nothing is queued or an append is in flight. daemons is the number
// of daemons that append claims; each may use an equal share of the appends per second.
func (b *Batcher) NextBatch(now time.Time, daemons int) (batch []Record, wait time.Duration) {
	if b.inFlight != nil || b.queued() == 0 {
		return nil, 0
	}
	if remaining := b.outcomesRetryAt.Sub(now); remaining > 0 && len(b.claims) == 0 {
		return nil, remaining
	}
	b.refillTokens(now, daemons)
	if remaining := b.opts.BatchDelay - now.Sub(b.batchDelayStart); remaining > 0 && b.queued() < MaxBatchRecords {
		return nil, remaining
	}
	if b.tokens < 1 {
		return nil, b.timeToNextToken(daemons)
	}
	b.tokens--
	b.inFlight = b.dequeueBatch()
	b.batchDelayStart = now
	return b.inFlight, 0
}

// FinishAppend takes the result of the append in flight and returns the nonces of the claims
// to refuse as not run.
//
// If the records certainly aren't in the log, claims are refused at once and their callers
// retry later. If that is unknown, all records are sent again: a duplicate changes no
// key's state, and only the claims read back decide who may run a request.
func (b *Batcher) FinishAppend(result AppendResult, now time.Time) (refused []string) {
	batch := b.inFlight
	b.inFlight = nil
	if result != Appended {
		refused = b.requeue(batch, result)
		b.batchDelayStart = now
	}
	b.removedInFlight = map[string]bool{}
	b.updateBackoff(result, now)
	return refused
}

// Outcomes are retried with a backoff while the log is unavailable. Claims are tried at
// once, since their callers wait for the refusal.
const (
	minOutcomeBackoff   = 100 * time.Millisecond
	maxBackoffDoublings = 6
)

func (b *Batcher) updateBackoff(result AppendResult, now time.Time) {
	if result != NotAppended {
		b.consecutiveFailures = 0
		b.outcomesRetryAt = time.Time{}
		return
	}
	b.outcomesRetryAt = now.Add(minOutcomeBackoff << b.consecutiveFailures)
	b.consecutiveFailures = min(b.consecutiveFailures+1, maxBackoffDoublings)
}

// Pending returns the number of records that the log hasn't confirmed.
func (b *Batcher) Pending() int { return b.queued() + len(b.inFlight) }

// requeue puts the records of a failed append back at the front of their queues, except
// for the claims that were removed or are refused. It returns the nonces of the latter.
func (b *Batcher) requeue(batch []Record, result AppendResult) (refused []string) {
	var claims, outcomes []Record
	for _, r := range batch {
		switch {
		case r.Kind != KindClaim:
			outcomes = append(outcomes, r)
		case b.removedInFlight[r.Nonce]:
		case result == NotAppended:
			refused = append(refused, r.Nonce)
		default:
			claims = append(claims, r)
		}
	}
	b.claims = append(claims, b.claims...)
	b.outcomes = append(outcomes, b.outcomes...)
	b.dropExcessOutcomes()
	return refused
}

func (b *Batcher) queued() int { return len(b.claims) + len(b.outcomes) }

// startBatchDelay is called before a record is queued. The first record of an empty queue
// starts the batch delay.
func (b *Batcher) startBatchDelay(now time.Time) {
	if b.queued() == 0 {
		b.batchDelayStart = now
	}
}

// dequeueBatch removes the next batch from the queues. Claims come first, since callers
// wait for them.
func (b *Batcher) dequeueBatch() []Record {
	claims := min(len(b.claims), MaxBatchRecords)
	batch := append([]Record(nil), b.claims[:claims]...)
	b.claims = b.claims[claims:]
	outcomes := min(len(b.outcomes), MaxBatchRecords-claims)
	batch = append(batch, b.outcomes[:outcomes]...)
	b.outcomes = b.outcomes[outcomes:]
	return batch
}

// tokenRate returns this daemon's share of the append rate, in appends per second.
func (b *Batcher) tokenRate(daemons int) float64 {
	return b.opts.AppendsPerSecond / float64(max(daemons, 1))
}

func (b *Batcher) refillTokens(now time.Time, daemons int) {
	b.tokens += now.Sub(b.refilledAt).Seconds() * b.tokenRate(daemons)
	b.tokens = min(b.tokens, max(b.tokenRate(daemons)*b.opts.Burst.Seconds(), 1))
	b.refilledAt = now
}

// timeToNextToken returns how long it takes until the next append is allowed.
func (b *Batcher) timeToNextToken(daemons int) time.Duration {
	seconds := (1 - b.tokens) / b.tokenRate(daemons)
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}
