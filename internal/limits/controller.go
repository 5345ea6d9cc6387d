package limits

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// Default values of a Controller's Options.
const (
	DefaultInitial     = 24
	DefaultMin         = 1
	DefaultMax         = 1024
	DefaultTolerance   = 2.0
	DefaultWindow      = 500 * time.Millisecond
	DefaultBaselineTTL = 60 * time.Second

	DefaultRolloutTolerance = 4.0
)

const (
	// minWindowObservations is the minimum number of token times in a window.
	minWindowObservations = 4
	// minShrinkFactor is the lowest factor applied to the limit at the end of a window.
	minShrinkFactor = 0.5
	// overloadShrinkFactor is applied to the limit when the upstream refuses a request.
	overloadShrinkFactor = 0.7
	// maxBaselineGrowth is the maximum factor by which the baseline grows in BaselineTTL.
	maxBaselineGrowth = 1.05
	// maxUnloadedInFlight is the maximum number of requests in flight, including the
	// observed one, at which a token time counts as unloaded. Options.Min is used
	// instead if it is higher.
	maxUnloadedInFlight = 2
	// unloadedWeight is the weight of an unloaded token time in the baseline.
	unloadedWeight = 0.2
	// outlierRatio is the ratio to the baseline above which an unloaded token time has
	// only outlierWeight. Requests of other daemons, which this one learns of with a
	// delay, may have been running at the same time.
	outlierRatio  = 1.25
	outlierWeight = 0.02
	// fastGrowthGradient is the gradient (tolerance x baseline / mean token time) from
	// which on the limit grows by fastGrowthFactor.
	fastGrowthGradient = 1.6
	fastGrowthFactor   = 1.5
)

// Controller adapts the concurrency limit of one upstream.
//
// At the end of each window it compares the mean token time with the unloaded one, the
// baseline. While the ratio is within the tolerance of the classes that ran, the limit
// grows by its square root or, far below the tolerance, by half. Above the tolerance it
// shrinks in proportion (a latency gradient). A refusal by the upstream shrinks it at
// once, like the multiplicative decrease of AIMD. The limit grows only if at least half
// of it was in use, because token times at low load do not predict those at high load.
//
// Invariant: Min <= Limit() <= Max.
type Controller struct {
	options Options
	limit   float64 // requests

	// baseline is the unloaded token time in ns, 0 while unknown. baselineCandidate is the
	// lowest window mean since baselineSince in ns, 0 if there is none.
	baseline, baselineCandidate float64
	baselineSince               time.Time // time of the last update of the baseline

	windowStart               time.Time
	tokenTimeSum              float64 // ns, over the window
	scaledSum                 float64 // ns, token times divided by the tolerance of their class
	observations, maxInFlight int     // in the window
	overloadedAt              time.Time
	wasOverloaded             bool // overloadedAt is set
}

// NewController returns a controller whose limit is Options.Initial.
func NewController(o Options) *Controller {
	o = o.withControllerDefaults()
	return &Controller{options: o, limit: float64(o.Initial)}
}

// Limit returns the number of requests that may be in flight at the upstream over all
// daemons.
func (c *Controller) Limit() int { return int(c.limit) }

// Observe records the mean time per token of a production request. inFlight is the
// number of requests that were in flight at the upstream over all daemons. Times of 0 or
// less are ignored.
func (c *Controller) Observe(tokenTime time.Duration, inFlight int, now time.Time) {
	c.ObserveClass(routing.ClassProduction, tokenTime, inFlight, now)
}

// ObserveClass is Observe for a request of any class.
func (c *Controller) ObserveClass(class routing.Class, tokenTime time.Duration, inFlight int, now time.Time) {
	if tokenTime <= 0 {
		return
	}
	if c.observations == 0 {
		c.windowStart = now
	}
	tolerance := c.options.Tolerance
	if class == routing.ClassRollout {
		tolerance = c.options.RolloutTolerance
	}
	if inFlight <= max(maxUnloadedInFlight, c.options.Min) {
		c.observeUnloaded(float64(tokenTime), now)
	}
	c.tokenTimeSum += float64(tokenTime)
	c.scaledSum += float64(tokenTime) / tolerance
	c.observations++
	c.maxInFlight = max(c.maxInFlight, inFlight)
	if c.observations >= minWindowObservations && now.Sub(c.windowStart) >= c.options.Window {
		c.closeWindow(now)
	}
}

// RecordOverload records that the upstream refused a request because of its load. Refusals
// within one window count once, because an overload causes many.
func (c *Controller) RecordOverload(now time.Time) {
	if c.wasOverloaded && now.Sub(c.overloadedAt) < c.options.Window {
		return
	}
	c.wasOverloaded, c.overloadedAt = true, now
	c.setLimit(c.limit * overloadShrinkFactor)
	c.resetWindow()
}

// closeWindow adapts the baseline and the limit to the observations of the window and
// starts a new one.
func (c *Controller) closeWindow(now time.Time) {
	mean, scaledMean, maxInFlight := c.tokenTimeSum/float64(c.observations), c.scaledSum/float64(c.observations), c.maxInFlight
	c.resetWindow()
	c.updateBaseline(mean, maxInFlight, now)
	gradient := c.baseline / scaledMean
	switch {
	case gradient < 1:
		c.setLimit(c.limit * max(minShrinkFactor, gradient))
	case 2*maxInFlight < c.Limit(): // less than half in use: no change
	case gradient >= fastGrowthGradient:
		c.setLimit(c.limit * fastGrowthFactor)
	default:
		c.setLimit(c.limit + math.Sqrt(c.limit))
	}
}

// resetWindow drops the observations of the current window.
func (c *Controller) resetWindow() {
	c.tokenTimeSum, c.scaledSum, c.observations, c.maxInFlight = 0, 0, 0, 0
}

// updateBaseline updates the baseline with the mean token time of a window. The baseline
// is the lowest mean seen, with two exceptions:
//
//   - A window at almost no load raises it quickly. Otherwise an upstream that became
//     permanently slower would be considered overloaded for hours, at the minimum
//     limit. At that limit its windows are almost unloaded, so they show the new time.
//   - Other windows raise it slowly. Under lasting load no window shows the unloaded
//     time, and a baseline that followed the observed times would let the limit grow
//     without bound.
func (c *Controller) updateBaseline(mean float64, maxInFlight int, now time.Time) {
	if c.baseline == 0 || mean <= c.baseline {
		c.baseline, c.baselineCandidate, c.baselineSince = mean, 0, now
		return
	}
	if maxInFlight <= max(maxUnloadedInFlight, c.options.Min) {
		// Raise it in steps: when an overload begins, all daemons consider the
		// engines almost unloaded, because they learn of each other's requests with
		// a delay.
		c.baseline, c.baselineCandidate, c.baselineSince = min(mean, c.baseline*outlierRatio), 0, now
		return
	}
	if c.baselineCandidate == 0 || mean < c.baselineCandidate {
		c.baselineCandidate = mean
	}
	if now.Sub(c.baselineSince) >= c.options.BaselineTTL {
		c.baseline = min(c.baselineCandidate, c.baseline*maxBaselineGrowth)
		c.baselineCandidate, c.baselineSince = 0, now
	}
}

// observeUnloaded updates the baseline with a token time observed at almost no load. It
// does not wait for the end of a window, so that a daemon with little traffic knows the
// baseline before a burst arrives.
func (c *Controller) observeUnloaded(tokenTime float64, now time.Time) {
	if c.baseline == 0 {
		c.baseline, c.baselineSince = tokenTime, now
		return
	}
	weight := unloadedWeight
	if tokenTime > outlierRatio*c.baseline {
		weight = outlierWeight
	}
	c.baseline += weight * (tokenTime - c.baseline)
	c.baselineCandidate, c.baselineSince = 0, now
}

// SuggestBaseline sets the baseline, typically from the unloaded token time of other upstreams of
// the same kind, if none is known yet. Otherwise a controller that first observes its
// upstream during an overload would use the loaded token time as the baseline and let the
// limit grow.
func (c *Controller) SuggestBaseline(baseline time.Duration, now time.Time) {
	if c.baseline == 0 && baseline > 0 {
		c.baseline, c.baselineSince = float64(baseline), now
	}
}

// setLimit sets the limit, clamped to Min and Max.
func (c *Controller) setLimit(limit float64) {
	c.limit = min(float64(c.options.Max), max(float64(c.options.Min), limit))
}
