package confsync

import (
	"time"
)

// backoff computes exponential pauses with jitter between failed attempts.
type backoff struct {
	base, max time.Duration
	random    func() float64
	failures  int
}

// next returns the next pause: half of the exponential step plus a random part of up
// to the other half.
func (b *backoff) next() time.Duration {
	step := b.base
	for range b.failures {
		step = min(2*step, b.max)
	}
	b.failures++
	return step/2 + time.Duration(b.random()*float64(step/2))
}

func (b *backoff) reset() { b.failures = 0 }
