package batchrun

import "time"

const (
	// paceWeight is the part of a new gap in an engine's mean gap between events.
	// With a dozen samples running it follows a slow-down within half a second.
	paceWeight = 0.05
	// paceLife is how long a pace counts without a new event.
	paceLife = 2 * time.Second
)

// pace is the mean gap between the events of an engine's samples.
type pace struct {
	gap time.Duration
	at  time.Duration
	n   int
}

func (p *pace) observe(gap, now time.Duration) {
	if now-p.at > paceLife {
		p.gap, p.n = 0, 0
	}
	p.at = now
	p.n++
	if p.n == 1 {
		p.gap = gap
		return
	}
	p.gap += time.Duration(paceWeight * float64(gap-p.gap))
}
