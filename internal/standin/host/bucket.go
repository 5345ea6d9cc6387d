package host

import (
	"sync"
	"time"
)

// Bucket is a token bucket. Safe for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	rate   float64 // tokens a second; 0 means no limit
	burst  float64
	tokens float64
	filled time.Time
}

// NewBucket returns a full bucket; a rate of 0 means no limit.
func NewBucket(perSecond, burst float64) *Bucket {
	return &Bucket{rate: perSecond, burst: burst, tokens: burst, filled: time.Now()}
}

// Take takes n tokens, or returns how long to wait for them.
func (b *Bucket) Take(n int) (wait time.Duration, ok bool) {
	if b.rate <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	b.filled = now
	// More than the burst at once goes through on a full bucket and leaves a debt.
	need := min(float64(n), b.burst)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / b.rate * float64(time.Second)), false
	}
	b.tokens -= float64(n)
	return 0, true
}
