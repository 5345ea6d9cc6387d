package limits

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// Defaults of a Controller.
const (
	DefaultInitial   = 24
	DefaultMin       = 1
	DefaultMax       = 1024
	DefaultTolerance = 2.0
	DefaultWindow    = 500 * time.Millisecond
	DefaultBaseLife  = 60 * time.Second

	DefaultRolloutTolerance = 4.0
)

const (
	windowSamples = 4    // observations a window needs at least
	shrinkFloor   = 0.5  // a window's gradient shrinks the limit to this at most
	refusedShrink = 0.7  // what a refusal by the upstream leaves of the limit
	baseGrowth    = 1.05 // most that the base grows in one BaseLife
	unloaded      = 2    // up to so many in flight, a token time is the unloaded one
	unloadedRate  = 0.2  // weight of such a time in the base
	oddRatio      = 1.25 // one so much above the base may have had unseen company,
	oddRate       = 0.02 // since news of other daemons is late, and counts little
	farBelow      = 1.6  // a gradient from which on the limit grows by farGrowth
	farGrowth     = 1.5
)

// Controller is the adaptive concurrency limit of one upstream.
//
// Once a window it compares the mean token time with the unloaded one (the base):
// while that is within the tolerance of the classes that ran the limit grows, by
// its square root or, far from the tolerance, by half; beyond it shrinks in
// proportion (a latency gradient). A refusal by the upstream shrinks
// it at once (AIMD's decrease). It grows only if at least half of it was in use:
// token times at low load say nothing on high load.
//
// Invariant: Min <= Limit() <= Max.
type Controller struct {
	options Options
	limit   float64

	base, candidate float64 // least window means: in use, and of this BaseLife
	baseSince       time.Time

	windowStart time.Time
	sum         float64 // of token times
	tolerated   float64 // of token times over their class's tolerance
	count, most int
	shrunkAt    time.Time
	shrunk      bool
}

// NewController starts at Options.Initial.
func NewController(o Options) *Controller {
	o = o.forController()
	return &Controller{options: o, limit: float64(o.Initial)}
}

// Limit returns how many requests may be in flight at the upstream, over all
// daemons.
func (c *Controller) Limit() int { return int(c.limit) }

// Observe learns one production request's mean token time, and what was in flight
// at the upstream then, over all daemons. Times of 0 or less are ignored.
func (c *Controller) Observe(tokenTime time.Duration, inFlight int, now time.Time) {
	c.ObserveClass(routing.ClassProduction, tokenTime, inFlight, now)
}

// ObserveClass is Observe for a request of any class.
func (c *Controller) ObserveClass(class routing.Class, tokenTime time.Duration, inFlight int, now time.Time) {
	if tokenTime <= 0 {
		return
	}
	if c.count == 0 {
		c.windowStart = now
	}
	tolerance := c.options.Tolerance
	if class == routing.ClassRollout {
		tolerance = c.options.RolloutTolerance
	}
	if inFlight <= max(unloaded, c.options.Min) {
		c.learnUnloaded(float64(tokenTime), now)
	}
	c.sum += float64(tokenTime)
	c.tolerated += float64(tokenTime) / tolerance
	c.count++
	c.most = max(c.most, inFlight)
	if c.count >= windowSamples && now.Sub(c.windowStart) >= c.options.Window {
		c.closeWindow(now)
	}
}

// Overloaded tells that the upstream refused a request for load. Refusals within
// one window count once, since one overload refuses many.
func (c *Controller) Overloaded(now time.Time) {
	if c.shrunk && now.Sub(c.shrunkAt) < c.options.Window {
		return
	}
	c.shrunk, c.shrunkAt = true, now
	c.set(c.limit * refusedShrink)
	c.forget()
}

func (c *Controller) closeWindow(now time.Time) {
	mean, tolerated, most := c.sum/float64(c.count), c.tolerated/float64(c.count), c.most
	c.forget()
	c.learnBase(mean, most, now)
	gradient := c.base / tolerated
	switch {
	case gradient < 1:
		c.set(c.limit * max(shrinkFloor, gradient))
	case 2*most < c.Limit():
	case gradient >= farBelow:
		c.set(c.limit * farGrowth)
	default:
		c.set(c.limit + math.Sqrt(c.limit))
	}
}

func (c *Controller) forget() { c.sum, c.tolerated, c.count, c.most = 0, 0, 0, 0 }

// learnBase keeps the least window mean, and soon believes windows that ran all
// but empty. An upstream that got slower for good would else pass for
// overloaded for hours, at the least limit: there its windows run empty, and show
// it. Otherwise the base gives way slowly: under lasting load no window shows the
// unloaded time, and a base that followed would let the limit run away.
func (c *Controller) learnBase(mean float64, most int, now time.Time) {
	if c.base == 0 || mean <= c.base {
		c.base, c.candidate, c.baseSince = mean, 0, now
		return
	}
	if most <= max(unloaded, c.options.Min) {
		// By steps: as an overload begins, all daemons see the engines all but
		// empty, since news of the others is late.
		c.base, c.candidate, c.baseSince = min(mean, c.base*oddRatio), 0, now
		return
	}
	if c.candidate == 0 || mean < c.candidate {
		c.candidate = mean
	}
	if now.Sub(c.baseSince) >= c.options.BaseLife {
		c.base = min(c.candidate, c.base*baseGrowth)
		c.candidate, c.baseSince = 0, now
	}
}

// learnUnloaded takes a token time seen nearly alone: it needs no window, so that
// a daemon with little traffic knows the base before a burst comes.
func (c *Controller) learnUnloaded(tokenTime float64, now time.Time) {
	if c.base == 0 {
		c.base, c.baseSince = tokenTime, now
		return
	}
	rate := unloadedRate
	if tokenTime > oddRatio*c.base {
		rate = oddRate
	}
	c.base += rate * (tokenTime - c.base)
	c.candidate, c.baseSince = 0, now
}

// Suggest gives a base to a controller that has none yet: an unloaded token time
// of other upstreams of the kind. Without it, one that first sees its upstream in
// an overload takes the crowded time for the unloaded one, and lets the limit grow.
func (c *Controller) Suggest(base time.Duration, now time.Time) {
	if c.base == 0 && base > 0 {
		c.base, c.baseSince = float64(base), now
	}
}

func (c *Controller) set(limit float64) {
	c.limit = min(float64(c.options.Max), max(float64(c.options.Min), limit))
}
