package usage

import (
	"maps"
	"slices"
	"time"
)

// Counter holds what one daemon counted and hasn't written down yet. Not safe for
// concurrent use.
type Counter struct {
	windows Windows
	pending map[int64]map[string]int // by window and customer
}

// NewCounter returns a counter without counts.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, pending: map[int64]map[string]int{}}
}

// Began counts a request of a customer that began to run at a time.
func (c *Counter) Began(customer string, at time.Time) {
	k := c.windows.Of(at)
	if c.pending[k] == nil {
		c.pending[k] = map[string]int{}
	}
	c.pending[k][customer]++
}

// Empty reports whether there is nothing to write down.
func (c *Counter) Empty() bool { return len(c.pending) == 0 }

// Forget drops the counts of windows before k and returns how many windows had some.
func (c *Counter) Forget(k int64) (dropped int) {
	for window := range c.pending {
		if window < k {
			delete(c.pending, window)
			dropped++
		}
	}
	return dropped
}

// Take returns what is to be written down, by window, and forgets it.
func (c *Counter) Take() []WindowCounts {
	var out []WindowCounts
	for _, k := range slices.Sorted(maps.Keys(c.pending)) {
		out = append(out, WindowCounts{Window: k, Counts: c.pending[k]})
	}
	c.pending = map[int64]map[string]int{}
	return out
}

// Pace spreads a daemon's appends of counts. The first count after a pause is written at
// once: most daemons of a large fleet count less than one request a second, and each of
// them then has everything in the log when it is killed. A busy daemon waits between two
// appends, and the longer the more often the store refuses: what it loses when it is
// killed is a small part of a window then. The zero Pace has written nothing.
type Pace struct {
	last time.Duration // of the last append's begin
	gap  time.Duration // 0: FirstGap
}

const (
	// FirstGap between the appends of a busy daemon: when all daemons are killed at
	// once, a window of 5 s lacks half of it, 2.5 in 100.
	FirstGap = 250 * time.Millisecond
	// MaxGap bounds what refusals make of it. 690 daemons then take 345 appends a second.
	MaxGap = 2 * time.Second
	// gapRecovery is what an append that was taken leaves of the gap: from MaxGap back to
	// FirstGap in some twenty appends.
	gapRecovery = 0.9
)

// Next is when the next append may begin.
func (p *Pace) Next() time.Duration {
	if p.last == 0 {
		return 0
	}
	return p.last + max(p.gap, FirstGap)
}

// Appended notes an append and whether the store took it.
func (p *Pace) Appended(began time.Duration, taken bool) {
	p.last = began
	if taken {
		p.gap = time.Duration(gapRecovery * float64(p.gap))
		return
	}
	p.gap = min(MaxGap, 2*max(p.gap, FirstGap))
}
