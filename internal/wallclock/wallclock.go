// Package wallclock tells the time of day on a VM whose own clock may jump and jump back.
//
// Requests are counted by windows of true time. A VM whose time of day jumps by seconds
// would count its requests in the wrong window and, if it reports, decide a window that
// others still count in. The steady clock goes on through a jump, so the time of day is
// kept by it, and a jump is believed only when it has lasted for a while.
package wallclock

import (
	"sync"
	"time"
)

const (
	// tolerance: what the time of day and the steady clock may drift apart between two
	// looks without being a jump. VMs' clocks are within some ms of true time.
	tolerance = 200 * time.Millisecond
	// patience is how long a jump has to last: above what a wrong time is noticed and
	// put right in, and below what a process that started with a wrong time may go on.
	patience = 60 * time.Second
)

// Offset keeps how far the time of day is ahead of the steady clock. It is pure: both
// times are passed in. Not safe for concurrent use.
type Offset struct {
	known  bool
	offset time.Duration // from the steady clock's zero to the time of day, in Unix time
	jumped bool
	since  time.Duration // steady time of the jump
}

// Time returns the time of day, by what the VM says it is and by the steady clock.
func (o *Offset) Time(says time.Time, steady time.Duration) time.Time {
	offset := time.Duration(says.UnixNano()) - steady
	switch {
	case !o.known || within(offset, o.offset):
		o.known, o.offset, o.jumped = true, offset, false
	case !o.jumped:
		o.jumped, o.since = true, steady
	case steady-o.since >= patience:
		o.offset, o.jumped = offset, false
	}
	return time.Unix(0, int64(o.offset+steady))
}

func within(a, b time.Duration) bool { return a-b < tolerance && b-a < tolerance }

// Clock is an Offset that reads the VM's clocks. It is safe for concurrent use.
type Clock struct {
	steady func() time.Duration

	mu     sync.Mutex
	offset Offset
}

// New returns a clock. steady is a clock that goes on while the VM is suspended.
func New(steady func() time.Duration) *Clock { return &Clock{steady: steady} }

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset.Time(time.Now(), c.steady())
}
