package retry

import "time"

// Backoff computes the delays between attempts to call a service that all daemons share.
// Each delay is random between zero and a bound that doubles ("full jitter"), so that
// daemons whose calls failed at the same time, as in an outage, repeat them spread over the
// bound. With equal delays they would repeat them at the same time, and the service would
// fail again.
type Backoff struct {
	Initial time.Duration // bound of the delay after the first failure
	Max     time.Duration // largest bound
}

// Delay returns the delay after this many failures in a row. random is a number from the
// uniform distribution over [0, 1).
func (b Backoff) Delay(failures int, random float64) time.Duration {
	bound := b.Initial
	for n := 1; n < failures && bound < b.Max; n++ {
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, b.Max)))
}
