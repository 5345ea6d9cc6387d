package callers

import (
	"net/http"
	"strconv"
	"time"
)

// refused is one answer of a daemon that isn't a success.
type refused struct {
	status     int
	took       time.Duration
	retryAfter bool
}

// wantsRetryAfter says whether the status promises a Retry-After.
func (r refused) wantsRetryAfter() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// Refusals counts the refusals of one status, over all attempts.
type Refusals struct {
	Count int `json:"count"`
	// MaxMillis is the longest that one took to come.
	MaxMillis int64 `json:"max_ms"`
	// NoRetryAfter counts those that should have said when to come back, but didn't.
	NoRetryAfter int `json:"no_retry_after"`
}

func (r *recorder) refused(one refused) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := strconv.Itoa(one.status)
	sum := r.done.Refusals[name]
	sum.Count++
	sum.MaxMillis = max(sum.MaxMillis, one.took.Milliseconds())
	if one.wantsRetryAfter() && !one.retryAfter {
		sum.NoRetryAfter++
	}
	r.done.Refusals[name] = sum
}
