package batch

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a text that outgrows a record of the store, or what a decoder of blobs takes,
// between two checkpoints: such a blob can't be stored or read, and its sample has no result.
func TestSplitTextFitsIntoRecords(t *testing.T) {
	const recordBytes = 4096
	for _, c := range []struct {
		name   string
		events int
		data   string
	}{
		{"empty events", 5 * maxBlobEvents / 2, ""},
		{"short events", 20_000, "x"},
		{"events of half a record", 9, strings.Repeat("x", recordBytes/2)},
		{"one event", 1, "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			events := make([]Event, c.events)
			for i := range events {
				events[i] = Event{Data: c.data, Version: 1}
			}
			read := 0
			for _, n := range SplitText(events, recordBytes) {
				blob, err := PackText(events[read : read+n])
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(blob)).To(BeNumerically("<=", recordBytes))
				texts, err := UnpackText(blob)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(texts).To(HaveLen(n))
				read += n
			}
			g.Expect(read).To(Equal(c.events))
		})
	}
}
