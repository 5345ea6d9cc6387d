package batch

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var keptBatches = flag.Int("kept-batches", 8, "number of batches that TestKeptBatchesStayWithinTheMemory has accepted")

// Guards against accepted batches, each as large as an append allows, whose items take more memory than
// a small VM has for as long as their results must be readable.
func TestKeptBatchesStayWithinTheMemory(t *testing.T) {
	const callBytes, itemBytes, limit = 2 << 20, 256, 82 << 20
	g := NewWithT(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := NewFold()
	for n := range *keptBatches {
		items := make([]Item, callBytes/itemBytes)
		for i := range items {
			items[i] = Item{ID: fmt.Sprintf("%d-%d-%s", n, i, strings.Repeat("x", itemBytes-32))}
		}
		f.Apply(Accepted{Batch: fmt.Sprint(n), Parts: 1, Header: &Header{Model: "m"}, Items: items}, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	g.Expect(f.All()).To(HaveLen(*keptBatches))
	g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<=", limit))
}
