package loads

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTail(t *testing.T) {
	const s = time.Second
	g := NewWithT(t)
	tail := NewTail(4 * s)
	g.Expect(tail.From(100*s)).To(BeZero(), "nothing noted: from the oldest record")
	g.Expect(tail.WrittenBy(7, 100*s)).To(Equal(100 * s))
	tail.Note(10, 100*s)
	g.Expect(tail.From(103*s)).To(BeZero(), "a record before the first mark may be young")
	tail.Note(20, 101*s)
	tail.Note(15, 102*s) // an older answer
	tail.Note(30, 103*s)
	g.Expect(tail.Last()).To(Equal(int64(30)))
	for _, c := range []struct {
		now  time.Duration
		from int64
	}{{103 * s, 0}, {104 * s, 10}, {105 * s, 20}, {106 * s, 20}, {107 * s, 30}} {
		g.Expect(tail.From(c.now)).To(Equal(c.from), "%v", c.now)
	}
	for _, c := range []struct {
		offset int64
		by     time.Duration
	}{{9, 100 * s}, {10, 101 * s}, {19, 101 * s}, {20, 103 * s}, {29, 103 * s}, {30, 109 * s}} {
		g.Expect(tail.WrittenBy(c.offset, 109*s)).To(Equal(c.by), "%d", c.offset)
	}
	for n := range 100 {
		tail.Note(int64(100+n), time.Duration(200+n)*s)
	}
	g.Expect(len(tail.marks)).To(BeNumerically("<=", 6), "only what is younger than keep, and one mark before")
}
