package limits

import "time"

const (
	// maxTimeLimits bounds the distinct time limits that are counted.
	maxTimeLimits = 64
	// usualFraction of all calls must have exactly the same time limit for it to be a usual
	// one. What a returning caller has left is spread over hundreds of milliseconds, so that
	// no single value reaches it.
	usualFraction = 0.05
	// minUsualCalls is the number of calls with a limit below which it is not usual. Without it,
	// a single returning caller among the first 20 calls reaches usualFraction.
	minUsualCalls = 3
	// minTimeLimitCalls is the number of calls below which no limit is considered usual.
	minTimeLimitCalls = 20
	// halveCountsAt is the number of calls after which all counts are halved, so that a
	// changed time limit is learnt.
	halveCountsAt = 1000
)

// TimeLimits learns the time limits with which callers of a route begin, and estimates from
// the time that a caller has left how long it has been waiting already. Callers begin with
// one of a few exact values; one that was refused and comes back has an arbitrary rest of it.
// It is not safe for concurrent use.
type TimeLimits struct {
	counts map[time.Duration]int
	total  int
}

// NewTimeLimits returns a TimeLimits that has seen no call.
func NewTimeLimits() *TimeLimits { return &TimeLimits{counts: map[time.Duration]int{}} }

// Observe records a call whose caller waits for limit, and returns for how long that caller
// has been waiting since its first attempt: 0 for a usual limit, or while that is unknown.
func (t *TimeLimits) Observe(limit time.Duration) time.Duration {
	t.count(limit)
	return t.waited(limit)
}

func (t *TimeLimits) count(limit time.Duration) {
	t.total++
	if _, known := t.counts[limit]; known || len(t.counts) < maxTimeLimits {
		t.counts[limit]++
	} else {
		t.evictOne()
	}
	if t.total >= halveCountsAt {
		t.halve()
	}
}

// evictOne lowers all counts by one and drops those at zero (the Misra-Gries algorithm): a
// value that more than one in maxTimeLimits calls have is never dropped for good.
func (t *TimeLimits) evictOne() {
	for limit := range t.counts {
		t.counts[limit]--
		if t.counts[limit] <= 0 {
			delete(t.counts, limit)
		}
	}
}

func (t *TimeLimits) halve() {
	t.total /= 2
	for limit := range t.counts {
		t.counts[limit] /= 2
		if t.counts[limit] == 0 {
			delete(t.counts, limit)
		}
	}
}

// waited returns the difference to the next usual limit above, 0 if there is none.
func (t *TimeLimits) waited(limit time.Duration) time.Duration {
	if t.total < minTimeLimitCalls {
		return 0
	}
	next, minCount := time.Duration(0), max(minUsualCalls, usualFraction*float64(t.total))
	for usual, count := range t.counts {
		if usual >= limit && float64(count) >= minCount && (next == 0 || usual < next) {
			next = usual
		}
	}
	return max(0, next-limit)
}
