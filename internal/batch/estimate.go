package batch

import "time"

const (
	// priorTokenTime and priorEventTime are assumed until samples have been observed. On the
	// engines in use a token takes 0.6 to 1 ms, and an event holds some 40 tokens.
	priorTokenTime = 800 * time.Microsecond
	priorEventTime = 40 * time.Millisecond
	// priorSamples is the weight of these assumptions, as a number of observed samples.
	priorSamples = 4
	// estimateDecay is the factor by which each observation reduces the weight of the earlier
	// ones. Effectively the last fifty samples count, as many as one or two steps have.
	estimateDecay = 0.98
	// overrunFactor is the expected further run time of a sample that has exceeded its
	// estimate, relative to its run time so far. The distribution of lengths has a heavy tail,
	// so a sample that has run for long will probably run for long.
	overrunFactor = 0.5
)

// Estimator estimates run times of samples from their callers' token estimates, whose median
// is right and which are often far off. It does no I/O and has no clock. Not safe for
// concurrent use.
type Estimator struct {
	// All are sums over the observed samples, with less weight for older ones. tokens are
	// estimated tokens.
	tokens, events float64
	tokenSeconds   float64 // run time of the samples with a token estimate
	eventSeconds   float64 // run time of all samples
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	const tokens, events = 1000, 25
	return &Estimator{
		tokens: priorSamples * tokens, tokenSeconds: priorSamples * tokens * priorTokenTime.Seconds(),
		events: priorSamples * events, eventSeconds: priorSamples * events * priorEventTime.Seconds(),
	}
}

// Observe adds a sample that ran on one engine from its first event to its last.
// expectedTokens is its caller's estimate, 0 if there was none. events is the number of its
// events.
func (e *Estimator) Observe(expectedTokens, events int, runTime time.Duration) {
	if events == 0 {
		return
	}
	e.events = e.events*estimateDecay + float64(events)
	e.eventSeconds = e.eventSeconds*estimateDecay + runTime.Seconds()
	if expectedTokens > 0 {
		e.tokens = e.tokens*estimateDecay + float64(expectedTokens)
		e.tokenSeconds = e.tokenSeconds*estimateDecay + runTime.Seconds()
	}
}

// Remaining estimates how much longer a sample will run. expectedTokens is its caller's
// estimate, 0 if there is none. events is the number of its events so far.
func (e *Estimator) Remaining(expectedTokens, events int) time.Duration {
	spent := seconds(float64(events) * e.eventSeconds / e.events)
	left := seconds(float64(expectedTokens)*e.tokenSeconds/e.tokens) - spent
	return max(left, time.Duration(overrunFactor*float64(spent)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
