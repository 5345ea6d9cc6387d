package batchrun

import "time"

const (
	// gapWeight is the weight of a new gap in an engine's moving average. With a dozen
	// samples running, the average follows a slowdown within half a second.
	gapWeight = 0.05
	// gapMaxAge is how long an average is valid without a new event.
	gapMaxAge = 2 * time.Second
	// unloadedGapMaxAge is the same for the average at equal load, which changes only with the
	// engine's hardware or during a disturbance of several seconds.
	unloadedGapMaxAge = 10 * time.Second
)

// gapAverage is a moving average of the time between two events of a sample on an engine.
type gapAverage struct {
	average    time.Duration
	observedAt time.Duration // when the last gap was observed
	count      int           // of gaps observed
}

// observe adds a gap. The average starts again if the last gap is older than maxAge.
func (g *gapAverage) observe(gap, now, maxAge time.Duration) {
	if now-g.observedAt > maxAge {
		g.average, g.count = 0, 0
	}
	g.observedAt = now
	g.count++
	if g.count == 1 {
		g.average = gap
		return
	}
	g.average += time.Duration(gapWeight * float64(gap-g.average))
}

// mean returns the average, 0 if there are too few gaps or the last is older than maxAge.
func (g *gapAverage) mean(now, maxAge time.Duration) time.Duration {
	if g.count < minGaps || now-g.observedAt > maxAge {
		return 0
	}
	return g.average
}
