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

// Guards against records and blobs that can be written and not be read: one byte that isn't UTF-8, or
// more events than a decoder takes by default, made all results of a batch unreadable.
func TestWhatIsWrittenCanBeRead(t *testing.T) {
	g := NewWithT(t)
	const invalid = "a\xff\x80b"
	for _, events := range [][]Event{{{Data: invalid}}, make([]Event, 200_000)} {
		blob, err := PackText(events)
		g.Expect(err).NotTo(HaveOccurred())
		texts, err := UnpackText(blob)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(texts).To(HaveLen(len(events)))
		g.Expect(texts[0]).To(Equal(events[0].Data))
	}
	for _, record := range []any{
		Accepted{Batch: invalid, Parts: 1, Header: &Header{Host: invalid, Model: invalid}, Items: make([]Item, 200_000)},
		Result{Batch: invalid, Score: invalid, Position: TextPosition{Writer: invalid}},
		Failed{Batch: invalid, AttemptID: invalid},
		Ended{Batch: invalid},
		Loaded{Engine: invalid, Model: invalid},
		Retracted{Batch: invalid},
	} {
		data, err := Encode(record)
		g.Expect(err).NotTo(HaveOccurred())
		read, err := Decode(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read).To(Equal(record))
	}
	requests := []Request{{Path: invalid, Header: map[string]string{invalid: invalid}, Body: []byte(invalid)}}
	blobs, _, err := PackRequests(requests, 4096)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(UnpackRequests(blobs[0])).To(Equal(requests))
}
