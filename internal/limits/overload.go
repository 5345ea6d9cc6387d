package limits

import (
	"math"
	"time"
)

const (
	// DefaultQueueTarget is the target of an Overload before the first estimate: a quarter
	// of a latency target of 150 ms.
	DefaultQueueTarget = 37500 * time.Microsecond
	// DefaultMinAdmitted is the lowest admitted fraction. It is above zero so that every
	// daemon keeps sending calls that show when the upstreams have room again.
	DefaultMinAdmitted = 0.02
)

const (
	// maxEstimateAge is the time after the last estimate or refusal from which on the
	// fraction grows back to 1, in regrowTime.
	maxEstimateAge = 500 * time.Millisecond
	regrowTime     = time.Second
	// contendedTime is how long a service counts as contended after its fraction returned
	// to 1.
	contendedTime = time.Second

	// proportionalGain is the change of the logarithm of the fraction for each second of
	// deviation of the queue time. It is also the crossover frequency of the loop in
	// rad/s, because the queue time of a saturated service changes by the logarithm of
	// load times fraction each second. The data is some 0.15 s old (its age, and the time
	// until the next estimate): 4 rad/s leave a phase margin of 50 degrees.
	proportionalGain = 4.0
	// integralGain is the rate at which the integral follows the deviation, per second
	// and second. A quarter of the square of the crossover frequency keeps the loop
	// damped.
	integralGain = proportionalGain * proportionalGain / 4
	// maxDeviation bounds the deviation, in targets. Queue times far above the target are
	// those of slow upstreams and would lower the fraction by orders of magnitude.
	maxDeviation = 2.0
	// maxTargetGain bounds the target in the gains, so that a service with a large
	// latency target does not swing by more than the data allows.
	maxTargetGain = 100 * time.Millisecond

	// refusedDeviation is the deviation that a refusal stands for, in targets.
	refusedDeviation = 1.0
	// refusedRate is the rate per second at which refusals lower the logarithm of the
	// fraction. A full queue hides how high the load is, so the linear gains are too slow
	// there; refusals end without delay once the load is below the capacity.
	refusedRate = 3.5
	// refusedCredit is the time for which one refusal lowers the fraction, so that a single
	// refusal, for example by one uneven upstream, has little effect. It grows with each
	// refusal that follows without a low estimate between them, up to maxRefusedCredit, so
	// that daemons with few calls follow a steep overload too.
	refusedCredit    = 60 * time.Millisecond
	maxRefusedCredit = 120 * time.Millisecond
	// estimateCredit is the longest time for which one estimate lowers the fraction.
	estimateCredit = 200 * time.Millisecond

	// maxPredicted bounds the change of the queue time that is expected of decisions that no
	// estimate shows yet, in targets. A full queue doesn't show by how much calls exceed the
	// capacity, so that it empties later than expected.
	maxPredicted = 0.5
	// historyLength is the number of past levels that are kept. Estimates come some ten times
	// a second and are at most maxEstimateAge old.
	historyLength = 16
	// meanLevelTime is the time constant of the mean level. It is above the period of a swing
	// and below the time for which a level of load lasts.
	meanLevelTime = time.Second

	// consensusPart is the part of the difference to the fleet's fraction that a daemon with
	// data of its own adopts with each table. Without it the integrals of daemons that see
	// different estimates drift apart, and callers' chances depend on the daemon they reach.
	consensusPart = 0.25

	// emptyPart is the part of the target below which the queues count as empty.
	emptyPart = 0.125
	// emptyRate and emptyAcceleration are the growth of the logarithm of the fraction
	// while the queues are empty: rate per second, and its increase per second. A short
	// gap thus does not cause the next overload, and the end of a peak at six times the
	// capacity is followed within a second.
	emptyRate         = 1.0
	emptyAcceleration = 12.0
)

// OverloadOptions configures an Overload.
type OverloadOptions struct {
	// Target is the target queue time before the first estimate; 0 selects
	// DefaultQueueTarget.
	Target time.Duration
	// MinAdmitted is the lowest admitted fraction; 0 selects DefaultMinAdmitted.
	MinAdmitted float64
}

// Overload decides which fraction of a service's calls is admitted, such that the wait in
// the upstreams' queues stays at a target.
//
// It is a proportional-integral controller like PIE (RFC 8033). PIE changes the drop
// probability; Overload changes the logarithm of the admitted fraction, so that the loop
// has the same gain at every load. It differs from PIE in the two ranges in which the
// queue time says nothing about the load: refusals lower the integral at a fixed rate,
// and empty queues raise it at an increasing one.
//
// The integral changes continuously between observations, at the rate that the last one
// gave, so its movement does not depend on the number of estimates. Not safe for
// concurrent use.
//
// Invariant: MinAdmitted <= Admitted() <= 1.
type Overload struct {
	options  OverloadOptions
	minLevel float64 // logarithm of MinAdmitted

	integral   float64 // logarithm of the fraction without the proportional part, at most 0
	deviation  float64 // last deviation in targets
	target     time.Duration
	observed   bool // there was an observation
	observedAt time.Duration
	// refusals is the number of refusals since the last estimate below refusedDeviation.
	// They lower the fraction until refusedUntil.
	refusals     int
	refusedUntil time.Duration
	firstAt      time.Duration // first observation since the data was last outdated
	empty        bool
	emptySince   time.Duration
	below        bool // the fraction was below 1 at belowAt
	belowAt      time.Duration

	past                [historyLength]pastLevel // ring buffer
	pastNext, pastCount int
	meanLevel           float64 // moving average of the level
}

// NewOverload returns a controller that admits all calls.
func NewOverload(o OverloadOptions) *Overload {
	if o.Target <= 0 {
		o.Target = DefaultQueueTarget
	}
	if !(o.MinAdmitted > 0) {
		o.MinAdmitted = DefaultMinAdmitted
	}
	o.MinAdmitted = min(1, o.MinAdmitted)
	return &Overload{options: o, minLevel: math.Log(o.MinAdmitted), target: o.Target}
}

// Update is called with each new estimate of the wait in the upstreams' queues, age old.
// Estimates older than 500 ms are ignored.
func (o *Overload) Update(queueTime, age, target time.Duration, now time.Duration) {
	if age > maxEstimateAge {
		return
	}
	now = o.settle(now)
	if target > 0 {
		o.target = target
	}
	deviation := float64(max(0, queueTime))/float64(o.target) - 1
	if deviation >= emptyPart-1 {
		// Empty queues must not be taken for others because of what was admitted since.
		change := o.changeSince(now-age, now) / o.target.Seconds()
		deviation = max(emptyPart-1, deviation+min(maxPredicted, max(-maxPredicted, change)))
	}
	if deviation < refusedDeviation {
		o.refusals, o.refusedUntil = 0, now
	}
	o.observe(min(maxDeviation, deviation), now)
}

// Refused is called when an upstream refused a call because its queue was full. It is
// evidence of a queue time of at least twice the target.
func (o *Overload) Refused(now time.Duration) {
	now = o.settle(now)
	o.refusals++
	o.refusedUntil = now + min(maxRefusedCredit, time.Duration(o.refusals)*refusedCredit)
	o.observe(max(refusedDeviation, o.deviation), now)
}

// changeSince returns the change of the queue time, in seconds, that this controller expects of
// its own decisions since a time (a Smith predictor). The queue time of a saturated service
// changes by the load times the fraction, less 1, each second, and that is about the difference
// of the fraction's logarithm to its mean, at which the queue time neither grows nor shrinks.
// Without it the fraction follows queues that its last changes have already emptied or filled,
// and swings with a period of a few times the age of the data.
func (o *Overload) changeSince(since, now time.Duration) float64 {
	change, until := 0.0, now
	for i := range o.pastCount {
		past := o.past[(o.pastNext-1-i+historyLength)%historyLength]
		from := max(past.at, since)
		if until > from {
			change += (past.level - o.meanLevel) * (until - from).Seconds()
			until = from
		}
		if past.at <= since {
			break
		}
	}
	return change
}

// remember adds the current level to the history and to its mean.
func (o *Overload) remember(level float64, now time.Duration) {
	if o.pastCount > 0 {
		last := o.past[(o.pastNext-1+historyLength)%historyLength]
		weight := 1 - math.Exp(-(now-last.at).Seconds()/meanLevelTime.Seconds())
		o.meanLevel += weight * (last.level - o.meanLevel)
	} else {
		o.meanLevel = level
	}
	o.past[o.pastNext] = pastLevel{now, level}
	o.pastNext = (o.pastNext + 1) % historyLength
	o.pastCount = min(historyLength, o.pastCount+1)
}

// pastLevel is the logarithm of the admitted fraction from a time on.
type pastLevel struct {
	at    time.Duration
	level float64
}

// observe records an observation. The caller has settled the integral.
func (o *Overload) observe(deviation float64, now time.Duration) {
	if !o.observed || now-o.observedAt > maxEstimateAge {
		o.firstAt, o.empty = now, false
	}
	empty := deviation < emptyPart-1
	if empty && !o.empty {
		o.emptySince = now
	}
	o.deviation, o.empty = deviation, empty
	o.observed, o.observedAt = true, now
	level := o.level(now)
	o.remember(level, now)
	if level < 0 {
		o.below, o.belowAt = true, now
	}
}

// settle brings the integral up to date and returns now, or the time of the last
// observation if now is before it.
func (o *Overload) settle(now time.Duration) time.Duration {
	if !o.observed {
		return now
	}
	now = max(now, o.observedAt)
	if until, below := o.contendedUntil(); below {
		o.below, o.belowAt = true, min(now, until)
	}
	if now-o.observedAt > maxEstimateAge {
		o.integral, o.deviation, o.refusals = o.level(now), 0, 0
		return now
	}
	o.integral = o.integralAt(now)
	return now
}

// integralAt returns the integral at a time within maxEstimateAge of the last observation.
func (o *Overload) integralAt(now time.Duration) float64 {
	elapsed := now - o.observedAt
	var change float64
	switch {
	case o.empty:
		from, to := (o.observedAt - o.emptySince).Seconds(), (now - o.emptySince).Seconds()
		change = emptyRate*(to-from) + emptyAcceleration/2*(to*to-from*from)
	case o.refusedUntil > o.observedAt:
		change = -refusedRate * min(elapsed, o.refusedUntil-o.observedAt).Seconds()
	default:
		change = -integralGain * o.gainTarget() * o.deviation * min(elapsed, estimateCredit).Seconds()
	}
	return min(0, max(o.minLevel, o.integral+change))
}

// gainTarget is the target in seconds as it enters the gains.
func (o *Overload) gainTarget() float64 { return min(o.target, maxTargetGain).Seconds() }

// level returns the logarithm of the admitted fraction.
func (o *Overload) level(now time.Duration) float64 {
	if !o.observed {
		return 0
	}
	now = max(now, o.observedAt)
	outdated := now - o.observedAt - maxEstimateAge
	level := o.integralAt(min(now, o.observedAt+maxEstimateAge)) - proportionalGain*o.gainTarget()*o.deviation
	level = min(0, max(o.minLevel, level))
	if outdated > 0 {
		level *= max(0, 1-outdated.Seconds()/regrowTime.Seconds())
	}
	return level
}

// Admitted returns the fraction of calls to admit; 1 means no contention.
func (o *Overload) Admitted(now time.Duration) float64 {
	return max(o.options.MinAdmitted, math.Exp(o.level(now)))
}

// Contended reports whether the fraction is below 1 or was so within the last second.
func (o *Overload) Contended(now time.Duration) bool {
	if o.level(now) < 0 {
		return true
	}
	until, below := o.contendedUntil()
	if o.below {
		until, below = max(until, o.belowAt), true
	}
	return below && now-until <= contendedTime
}

// contendedUntil returns the time until which the fraction is below 1 if there is no
// further observation, or false if it is 1 already.
func (o *Overload) contendedUntil() (time.Duration, bool) {
	if o.level(o.observedAt) >= 0 {
		return 0, false
	}
	until := o.observedAt + maxEstimateAge
	if o.level(until) < 0 {
		return until + regrowTime, true
	}
	low := o.observedAt
	for until-low > time.Millisecond {
		if middle := (low + until) / 2; o.level(middle) < 0 {
			low = middle
		} else {
			until = middle
		}
	}
	return until, true
}

// Adopt sets the fraction to that of the fleet if this daemon has none of its own, for
// example after a restart. Without fresh observations the fraction is taken as it is. In the
// first 500 ms of observations it is only taken if it is lower and the queues are not
// empty: the fleet's fraction is several hundred milliseconds old and must not slow down
// the reaction to a new overload.
func (o *Overload) Adopt(fraction float64, now time.Duration) {
	if !(fraction > 0) {
		return
	}
	now = o.settle(now)
	level := min(0, max(o.minLevel, math.Log(fraction)))
	if o.observed && now-o.observedAt <= maxEstimateAge {
		if o.empty {
			return
		}
		if now-o.firstAt > maxEstimateAge {
			level = o.integral + consensusPart*(level-o.level(now))
		} else {
			level = min(level, o.integral)
		}
	} else {
		o.observed, o.observedAt, o.firstAt = true, now, now
		o.deviation, o.empty = 0, false
		o.refusals, o.refusedUntil = 0, now
	}
	o.integral = level
	if level < 0 {
		o.below, o.belowAt = true, now
	}
}
