package loads

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLogEndHistory(t *testing.T) {
	const s = time.Second
	g := NewWithT(t)
	history := NewEndHistory(4 * s)
	g.Expect(history.StartOffset(100*s)).To(BeZero(), "empty history: from the oldest record")
	g.Expect(history.WrittenBy(7, 100*s)).To(Equal(100 * s))
	history.Add(10, 100*s)
	g.Expect(history.StartOffset(103*s)).To(BeZero(), "records before the first known end may be new")
	history.Add(20, 101*s)
	history.Add(15, 102*s) // an older answer that arrives late
	history.Add(30, 103*s)
	g.Expect(history.Last()).To(Equal(int64(30)))
	for _, c := range []struct {
		now  time.Duration
		from int64
	}{{103 * s, 0}, {104 * s, 10}, {105 * s, 20}, {106 * s, 20}, {107 * s, 30}} {
		g.Expect(history.StartOffset(c.now)).To(Equal(c.from), "%v", c.now)
	}
	for _, c := range []struct {
		offset int64
		by     time.Duration
	}{{9, 100 * s}, {10, 101 * s}, {19, 101 * s}, {20, 103 * s}, {29, 103 * s}, {30, 109 * s}} {
		g.Expect(history.WrittenBy(c.offset, 109*s)).To(Equal(c.by), "%d", c.offset)
	}
	for n := range 100 {
		history.Add(int64(100+n), time.Duration(200+n)*s)
	}
	g.Expect(len(history.ends)).To(BeNumerically("<=", 6), "only ends younger than keep, and the one before")
}
