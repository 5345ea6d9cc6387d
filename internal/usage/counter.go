package usage

import (
	"maps"
	"slices"
	"time"
)

// Counter holds the counts of one daemon that aren't in the log yet. It is not safe for
// concurrent use.
type Counter struct {
	windows Windows
	pending map[int64]map[string]int // by window and customer
}

// NewCounter returns a counter without counts.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, pending: map[int64]map[string]int{}}
}

// Add counts a request of a customer that started to run at a time.
func (c *Counter) Add(customer string, at time.Time) {
	k := c.windows.IndexAt(at)
	if c.pending[k] == nil {
		c.pending[k] = map[string]int{}
	}
	c.pending[k][customer]++
}

// Empty reports whether there are no counts.
func (c *Counter) Empty() bool { return len(c.pending) == 0 }

// DropBefore drops the counts of windows before k and returns how many windows had some.
func (c *Counter) DropBefore(k int64) (dropped int) {
	for window := range c.pending {
		if window < k {
			delete(c.pending, window)
			dropped++
		}
	}
	return dropped
}

// Take removes all counts and returns them, ordered by window.
func (c *Counter) Take() []WindowCounts {
	var out []WindowCounts
	for _, k := range slices.Sorted(maps.Keys(c.pending)) {
		out = append(out, WindowCounts{Window: k, Counts: c.pending[k]})
	}
	c.pending = map[int64]map[string]int{}
	return out
}

// AppendPacer limits the rate at which a daemon appends counts. The first count after a
// quiet period is appended at once: most daemons of a large fleet count less than one
// request a second, so they have all of their counts in the log when they are killed. A busy
// daemon waits between two appends, and longer the more often the store refuses them. The
// counts that it loses when it is killed are then a small part of a window. The zero value
// is a pacer before the first append.
type AppendPacer struct {
	lastStart time.Duration // start of the last append
	interval  time.Duration // minimum time between the starts of two appends, 0: MinAppendInterval
}

const (
	// MinAppendInterval is the time between the appends of a busy daemon. If all daemons are
	// killed at once, a window of 5 s lacks the counts of half this time, 2.5 in 100.
	MinAppendInterval = 250 * time.Millisecond
	// MaxAppendInterval is the longest interval after refused appends. 690 daemons then make
	// 345 appends a second.
	MaxAppendInterval = 2 * time.Second
	// intervalDecay is the factor that a successful append applies to the interval. It takes
	// some twenty appends from MaxAppendInterval back to MinAppendInterval.
	intervalDecay = 0.9
)

// NextStart returns the earliest time at which the next append may start.
func (p *AppendPacer) NextStart() time.Duration {
	if p.lastStart == 0 {
		return 0
	}
	return p.lastStart + max(p.interval, MinAppendInterval)
}

// RecordAppend records when an append started and whether it succeeded.
func (p *AppendPacer) RecordAppend(started time.Duration, ok bool) {
	p.lastStart = started
	if ok {
		p.interval = time.Duration(intervalDecay * float64(p.interval))
		return
	}
	p.interval = min(MaxAppendInterval, 2*max(p.interval, MinAppendInterval))
}
