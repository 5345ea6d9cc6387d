package claims

import (
	"errors"
	"time"
)

// AppendResult is what became of an append.
type AppendResult int

// The results of an append.
const (
	Appended    AppendResult = iota // in the log
	Unavailable                     // certainly not in the log
	Lost                            // answer lost: may be in the log, or get there yet
)

// ErrFull says that too many records wait for the log.
var ErrFull = errors.New("claims: too many records wait for the log")

// BatcherOptions bounds a Batcher. All fields are required.
type BatcherOptions struct {
	Gather     time.Duration // wait for neighbours, from the first waiting record on
	Budget     float64       // appends a second of all daemons together
	Burst      time.Duration // a daemon that paused may use its share of that time at once
	MaxClaims  int           // claims that may wait
	MaxReports int           // releases and done records that may wait
}

// Batcher decides when the waiting records are appended and what an append's
// result means for them. Not safe for concurrent use.
//
// Invariants: one append at a time; a claim that was refused or removed is
// never sent again; releases and done records are sent until the log has them
// or MaxReports is reached (a lost release leaves its key held, which is safe).
type Batcher struct {
	opts     BatcherOptions
	claims   []Record
	reports  []Record
	since    time.Time // when the oldest waiting record came
	tokens   float64
	refilled time.Time
	flight   []Record // the batch being appended
	gone     map[string]bool
	failures int       // appends in a row that found the log unavailable
	retryAt  time.Time // before it, reports alone aren't worth an append
}

// NewBatcher returns an empty batcher with a full burst, which Next cuts to the
// daemon's share.
func NewBatcher(opts BatcherOptions, now time.Time) *Batcher {
	return &Batcher{opts: opts, tokens: opts.Budget, refilled: now, gone: map[string]bool{}}
}

// AddClaim queues a claim. Error: ErrFull.
func (b *Batcher) AddClaim(r Record, now time.Time) error {
	if len(b.claims) >= b.opts.MaxClaims {
		return ErrFull
	}
	b.touch(now)
	b.claims = append(b.claims, r)
	return nil
}

// AddReport queues a release or done record. When too many wait, the oldest done
// record goes first (its key stays held), then the oldest release.
// It reports whether a record was dropped.
func (b *Batcher) AddReport(r Record, now time.Time) (dropped bool) {
	b.touch(now)
	b.reports = append(b.reports, r)
	return b.boundReports()
}

func (b *Batcher) boundReports() bool {
	dropped := false
	for len(b.reports) > b.opts.MaxReports {
		victim := 0
		for i := range b.reports {
			if b.reports[i].Kind == KindDone {
				victim = i
				break
			}
		}
		b.reports = append(b.reports[:victim:victim], b.reports[victim+1:]...)
		dropped = true
	}
	return dropped
}

// Remove takes back a claim that its caller no longer waits for. It isn't sent
// again; a copy that is under way may still reach the log, and its writer
// releases it when it reads it.
func (b *Batcher) Remove(nonce string) {
	for i := range b.claims {
		if b.claims[i].Nonce == nonce {
			b.claims = append(b.claims[:i:i], b.claims[i+1:]...)
			return
		}
	}
	for i := range b.flight {
		if b.flight[i].Kind == KindClaim && b.flight[i].Nonce == nonce {
			b.gone[nonce] = true
		}
	}
}

// Next returns the batch to append now, or how long to wait before asking again.
// With nothing to do it returns neither. daemons is the number of daemons that
// append claims; together they stay within Budget, whatever their number.
func (b *Batcher) Next(now time.Time, daemons int) (batch []Record, wait time.Duration) {
	if b.flight != nil || b.waiting() == 0 {
		return nil, 0
	}
	if left := b.retryAt.Sub(now); left > 0 && len(b.claims) == 0 {
		return nil, left
	}
	b.refill(now, daemons)
	if left := b.opts.Gather - now.Sub(b.since); left > 0 && b.waiting() < MaxBatchRecords {
		return nil, left
	}
	if b.tokens < 1 {
		return nil, b.untilToken(daemons)
	}
	b.tokens--
	b.flight = b.take()
	b.since = now
	return b.flight, 0
}

// Finished takes the result of the batch that Next returned. It returns the
// nonces of claims to refuse as not run.
//
// Unavailable: claims are refused at once, their callers come back later.
// Lost: everything is sent again. The fold ignores the second copy of a record,
// and reading back decides alone who may run.
func (b *Batcher) Finished(result AppendResult, now time.Time) (refused []string) {
	flight := b.flight
	b.flight = nil
	if result != Appended {
		refused = b.putBack(flight, result)
		b.since = now
	}
	b.gone = map[string]bool{}
	b.backOff(result, now)
	return refused
}

// Backoff of reports while the log is unavailable. Claims are tried at once:
// their callers wait for the refusal.
const (
	backoffBase     = 100 * time.Millisecond
	backoffDoubling = 6
)

func (b *Batcher) backOff(result AppendResult, now time.Time) {
	if result != Unavailable {
		b.failures = 0
		b.retryAt = time.Time{}
		return
	}
	b.retryAt = now.Add(backoffBase << b.failures)
	b.failures = min(b.failures+1, backoffDoubling)
}

// Pending returns the number of records that the log hasn't confirmed.
func (b *Batcher) Pending() int { return b.waiting() + len(b.flight) }

func (b *Batcher) putBack(flight []Record, result AppendResult) (refused []string) {
	var claims, reports []Record
	for _, r := range flight {
		switch {
		case r.Kind != KindClaim:
			reports = append(reports, r)
		case b.gone[r.Nonce]:
		case result == Unavailable:
			refused = append(refused, r.Nonce)
		default:
			claims = append(claims, r)
		}
	}
	b.claims = append(claims, b.claims...)
	b.reports = append(reports, b.reports...)
	b.boundReports()
	return refused
}

func (b *Batcher) waiting() int { return len(b.claims) + len(b.reports) }

// touch starts the gathering time with the first waiting record.
func (b *Batcher) touch(now time.Time) {
	if b.waiting() == 0 {
		b.since = now
	}
}

// take cuts the next batch, claims first: callers wait for them.
func (b *Batcher) take() []Record {
	n := min(len(b.claims), MaxBatchRecords)
	batch := append([]Record(nil), b.claims[:n]...)
	b.claims = b.claims[n:]
	m := min(len(b.reports), MaxBatchRecords-n)
	batch = append(batch, b.reports[:m]...)
	b.reports = b.reports[m:]
	return batch
}

func (b *Batcher) rate(daemons int) float64 { return b.opts.Budget / float64(max(daemons, 1)) }

func (b *Batcher) refill(now time.Time, daemons int) {
	b.tokens += now.Sub(b.refilled).Seconds() * b.rate(daemons)
	b.tokens = min(b.tokens, max(b.rate(daemons)*b.opts.Burst.Seconds(), 1))
	b.refilled = now
}

func (b *Batcher) untilToken(daemons int) time.Duration {
	seconds := (1 - b.tokens) / b.rate(daemons)
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}
