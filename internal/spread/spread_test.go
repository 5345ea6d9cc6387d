package spread

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against short, similar names that hash to a narrow part of the range, and against a
// hash that differs between versions of the daemon.
func TestHash(t *testing.T) {
	g := NewWithT(t)
	const names, buckets = 10_000, 10
	var counts [buckets]int
	for i := range names {
		counts[Hash(fmt.Sprint("e", i))>>32%buckets]++
	}
	for _, n := range counts {
		g.Expect(n).To(BeNumerically("~", names/buckets, names/buckets/8))
	}
	g.Expect(Hash("ab", "c")).NotTo(Equal(Hash("a", "bc")))
	g.Expect(Hash("engine-1", "m0")).To(Equal(uint64(929272856528754649)))
}
