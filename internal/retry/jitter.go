package retry

import "time"

// Backoff is the pause between tries of a call to something that all daemons share.
// Each pause is drawn from zero to a bound that doubles ("full jitter"): daemons that
// failed at one moment, as in an outage, come back spread over the bound. With equal
// pauses they come back together, and what they share fails again.
type Backoff struct {
	First time.Duration // bound after the first failure
	Max   time.Duration // bound that is never exceeded
}

// Pause is the wait after so many failures in a row. random is drawn evenly from [0, 1).
func (b Backoff) Pause(failures int, random float64) time.Duration {
	bound := b.First
	for n := 1; n < failures && bound < b.Max; n++ {
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, b.Max)))
}
