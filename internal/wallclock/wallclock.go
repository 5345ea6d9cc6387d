// Package wallclock returns the wall clock time on a VM whose wall clock may jump and jump
// back.
//
// Requests are counted in windows of true time. A VM whose wall clock jumps by seconds would
// count its requests in the wrong window. If it is the one that reports, it would also close a
// window in which others still count. So the time is kept by a monotonic clock, which doesn't
// jump, and a jump of the wall clock is accepted only once it has lasted for a while.
package wallclock

import (
	"sync"
	"time"
)

const (
	// maxDrift is how far the wall clock and the monotonic clock may drift apart between two
	// readings. A larger difference is a jump. The wall clocks of VMs are within some ms of
	// true time.
	maxDrift = 200 * time.Millisecond
	// jumpConfirmTime is how long a jump must last until it is accepted. That is longer than it
	// takes to detect and correct a wrong wall clock, and shorter than a process that started
	// with a wrong wall clock may keep the wrong time.
	jumpConfirmTime = 60 * time.Second
)

// JumpFilter keeps the offset between the wall clock and the monotonic clock, and ignores jumps
// of the wall clock that don't last. It reads no clock itself. Not safe for concurrent use.
type JumpFilter struct {
	initialized bool          // offset is set
	offset      time.Duration // Unix time at the zero of the monotonic clock
	jumpPending bool          // the wall clock has jumped and the jump isn't accepted yet
	jumpStart   time.Duration // monotonic time of the first reading after the jump
}

// Time returns the time, given the readings of the wall clock and of the monotonic clock.
func (f *JumpFilter) Time(wall time.Time, monotonic time.Duration) time.Time {
	offset := time.Duration(wall.UnixNano()) - monotonic
	switch {
	case !f.initialized || within(offset, f.offset):
		f.initialized, f.offset, f.jumpPending = true, offset, false
	case !f.jumpPending:
		f.jumpPending, f.jumpStart = true, monotonic
	case monotonic-f.jumpStart >= jumpConfirmTime:
		f.offset, f.jumpPending = offset, false
	}
	return time.Unix(0, int64(f.offset+monotonic))
}

// within reports whether the difference of two offsets is below maxDrift.
func within(a, b time.Duration) bool { return a-b < maxDrift && b-a < maxDrift }

// Clock is a wall clock without short jumps. It is safe for concurrent use.
type Clock struct {
	monotonic func() time.Duration

	mu     sync.Mutex
	filter JumpFilter
}

// New returns a clock. monotonic returns the time of a monotonic clock that goes on while the
// VM is suspended.
func New(monotonic func() time.Duration) *Clock { return &Clock{monotonic: monotonic} }

// Now returns the current time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.filter.Time(time.Now(), c.monotonic())
}
