package timeline

import (
	"sync"
	"time"
)

// logicalBits is how many low bits of a Stamp count events of one millisecond.
const logicalBits = 16

// maxAhead bounds how far a peer's stamp may push a clock past its own wall
// clock. Without it one VM with a wrong date would drag every daemon's stamps
// along for good; with it that VM's events merely sort late.
const maxAhead = time.Minute

// Stamp is a reading of a hybrid logical clock (Kulkarni et al., 2014): Unix
// milliseconds in the high 48 bits, a counter in the low 16. An event that
// happened after another, on the same VM or by way of a digest, has a larger one.
type Stamp uint64

// StampOf returns the smallest stamp of that moment.
func StampOf(t time.Time) Stamp {
	ms := t.UnixMilli()
	if ms < 0 {
		return 0
	}
	return Stamp(ms) << logicalBits
}

// Time returns the stamp's wall clock part.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)).UTC() }

// Clock hands out stamps that only rise. Safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock over a wall clock, usually time.Now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp larger than any returned or merged before.
func (c *Clock) Now() Stamp {
	wall := StampOf(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(wall, c.last+1)
	return c.last
}

// Merge takes in a stamp from a peer, so that later ones of ours are larger.
// A stamp more than a minute ahead of the wall clock is not followed.
func (c *Clock) Merge(theirs Stamp) {
	limit := StampOf(c.now().Add(maxAhead))
	c.mu.Lock()
	defer c.mu.Unlock()
	if theirs > c.last && theirs <= limit {
		c.last = theirs
	}
}
