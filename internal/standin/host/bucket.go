package host

import (
	"sync"
	"time"
)

// TokenBucket is a token-bucket rate limiter. It is safe for concurrent use.
type TokenBucket struct {
	mu              sync.Mutex
	tokensPerSecond float64 // refill rate; 0: no limit
	burst           float64 // capacity, in tokens
	tokens          float64 // available at refilledAt; negative after a request for more than burst
	refilledAt      time.Time
}

// NewTokenBucket returns a full bucket. A rate of 0 tokens per second means no limit.
func NewTokenBucket(perSecond, burst float64) *TokenBucket {
	return &TokenBucket{tokensPerSecond: perSecond, burst: burst, tokens: burst, refilledAt: time.Now()}
}

// Take takes n tokens. If there aren't enough, it takes none and returns how long to wait
// for them.
func (b *TokenBucket) Take(n int) (wait time.Duration, ok bool) {
	if b.tokensPerSecond <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.tokensPerSecond)
	b.refilledAt = now
	// A request for more than the burst is admitted once the bucket is full, and leaves a
	// negative balance.
	need := min(float64(n), b.burst)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / b.tokensPerSecond * float64(time.Second)), false
	}
	b.tokens -= float64(n)
	return 0, true
}
