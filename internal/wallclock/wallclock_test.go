package wallclock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var day = time.Unix(1_767_225_600, 0)

// A VM's time of day jumps three seconds ahead and back after eight. Requests counted
// meanwhile belong to the windows of true time. A jump that stays is believed in the end,
// or a VM that started with a wrong time would count wrongly for good.
func TestJumps(t *testing.T) {
	g := NewWithT(t)
	var o Offset
	at := func(steady, jump time.Duration) time.Duration {
		return o.Time(day.Add(steady+jump), steady).Sub(day) - steady
	}
	g.Expect(at(0, 0)).To(BeZero())
	g.Expect(at(time.Second, 3*time.Second)).To(BeZero())
	g.Expect(at(9*time.Second, 3*time.Second)).To(BeZero())
	g.Expect(at(10*time.Second, 0)).To(BeZero())
	g.Expect(at(20*time.Second, -2*time.Second)).To(BeZero())
	g.Expect(at(20*time.Second+patience-1, -2*time.Second)).To(BeZero())
	g.Expect(at(20*time.Second+patience, -2*time.Second)).To(Equal(-2 * time.Second))
	g.Expect(at(200*time.Second, -2*time.Second)).To(Equal(-2 * time.Second))
}

// A clock that is corrected little by little is followed.
func TestDriftIsFollowed(t *testing.T) {
	g := NewWithT(t)
	var o Offset
	drift := time.Duration(0)
	for steady := time.Duration(0); steady < 100*time.Second; steady += time.Second {
		drift += 50 * time.Millisecond
		g.Expect(o.Time(day.Add(steady+drift), steady)).To(Equal(day.Add(steady + drift)))
	}
}

func TestClockTellsTheTime(t *testing.T) {
	start := time.Now()
	c := New(func() time.Duration { return time.Since(start) })
	NewWithT(t).Expect(c.Now()).To(BeTemporally("~", time.Now(), time.Second))
}
