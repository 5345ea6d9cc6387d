package wallclock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var day = time.Unix(1_767_225_600, 0)

// The wall clock of a VM jumps three seconds ahead and back after eight seconds. Requests that
// are counted meanwhile belong to the windows of true time, so the jump must be ignored. A jump
// that lasts must be accepted in the end, or a VM that started with a wrong time would count in
// wrong windows for good.
func TestShortJumpIsIgnored(t *testing.T) {
	g := NewWithT(t)
	var filter JumpFilter
	errorAt := func(monotonic, jump time.Duration) time.Duration {
		return filter.Time(day.Add(monotonic+jump), monotonic).Sub(day) - monotonic
	}
	g.Expect(errorAt(0, 0)).To(BeZero())
	g.Expect(errorAt(time.Second, 3*time.Second)).To(BeZero())
	g.Expect(errorAt(9*time.Second, 3*time.Second)).To(BeZero())
	g.Expect(errorAt(10*time.Second, 0)).To(BeZero())
	g.Expect(errorAt(20*time.Second, -2*time.Second)).To(BeZero())
	g.Expect(errorAt(20*time.Second+jumpConfirmTime-1, -2*time.Second)).To(BeZero())
	g.Expect(errorAt(20*time.Second+jumpConfirmTime, -2*time.Second)).To(Equal(-2 * time.Second))
	g.Expect(errorAt(200*time.Second, -2*time.Second)).To(Equal(-2 * time.Second))
}

// A wall clock that is corrected in small steps must be followed.
func TestDriftIsFollowed(t *testing.T) {
	g := NewWithT(t)
	var filter JumpFilter
	drift := time.Duration(0)
	for monotonic := time.Duration(0); monotonic < 100*time.Second; monotonic += time.Second {
		drift += 50 * time.Millisecond
		g.Expect(filter.Time(day.Add(monotonic+drift), monotonic)).To(Equal(day.Add(monotonic + drift)))
	}
}

func TestClockNow(t *testing.T) {
	start := time.Now()
	c := New(func() time.Duration { return time.Since(start) })
	NewWithT(t).Expect(c.Now()).To(BeTemporally("~", time.Now(), time.Second))
}
