package timeline

import (
	"sync"
	"time"
)

// logicalBits is the number of low bits of a Stamp that count the events of one millisecond.
const logicalBits = 16

// maxClockSkew is how far ahead of the wall clock a peer's stamp may set the clock. Without
// the limit, one VM with a wrong date would put the stamps of all daemons ahead for good. With
// it, only that VM's events sort too late.
const maxClockSkew = time.Minute

// Stamp is a timestamp of a hybrid logical clock (Kulkarni et al., 2014): Unix
// milliseconds in the high 48 bits, a counter in the low 16. If an event happened
// before another one on the same VM, or on another VM whose clock was merged in between, its
// stamp is smaller.
type Stamp uint64

// StampOf returns the smallest stamp with the time t.
func StampOf(t time.Time) Stamp {
	ms := t.UnixMilli()
	if ms < 0 {
		return 0
	}
	return Stamp(ms) << logicalBits
}

// Time returns the wall clock time of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)).UTC() }

// Clock is a hybrid logical clock. Safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp            // largest stamp that was returned or merged
	now  func() time.Time // the wall clock
}

// NewClock returns a clock that uses the given wall clock, usually time.Now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp that is larger than all that were returned or merged before.
func (c *Clock) Now() Stamp {
	wall := StampOf(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(wall, c.last+1)
	return c.last
}

// Merge merges a stamp of a peer, so that later stamps of this clock are larger. A stamp that
// is more than a minute ahead of the wall clock is ignored.
func (c *Clock) Merge(peerStamp Stamp) {
	limit := StampOf(c.now().Add(maxClockSkew))
	c.mu.Lock()
	defer c.mu.Unlock()
	if peerStamp > c.last && peerStamp <= limit {
		c.last = peerStamp
	}
}
