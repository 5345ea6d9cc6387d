package batchrun

import "time"

const (
	// paceWeight is the part of a new gap in an engine's mean gap between events.
	// With a dozen samples running it follows a slow-down within half a second.
	paceWeight = 0.05
	// paceLife is how long a pace counts without a new event.
	paceLife = 2 * time.Second
	// speedLife is the same for the engine's speed, which is a matter of its hardware or
	// of a disturbance of several seconds.
	speedLife = 10 * time.Second
)

// pace is the mean gap between the events of an engine's samples.
type pace struct {
	gap time.Duration
	at  time.Duration
	n   int
}

// observe takes the next gap. What was observed longer than life ago is forgotten.
func (p *pace) observe(gap, now, life time.Duration) {
	if now-p.at > life {
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

// known returns the mean gap, 0 if too little was observed within life.
func (p *pace) known(now, life time.Duration) time.Duration {
	if p.n < minPaceEvents || now-p.at > life {
		return 0
	}
	return p.gap
}
