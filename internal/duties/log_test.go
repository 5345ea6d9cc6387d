package duties

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

var samples = []entry{
	{Usage: &usage.Record{Counted: &usage.Counted{Writer: "w", Number: 1, Windows: []usage.WindowCounts{{Window: 100, Counts: map[string]int{"a": 1}}}}}},
	{Usage: &usage.Record{Decided: &usage.Decided{Report: usage.WindowCounts{Window: 100, Counts: map[string]int{"a": 1}}}}},
	{Usage: &usage.Record{Sent: &usage.Sent{Window: 100}}},
	{Ordered: &ordered{Service: "s", Order: scaling.Order{Key: scaling.Key{DataCentre: "a", Spot: true}, Count: 3}}},
}

func TestEntriesComeBackAsWritten(t *testing.T) {
	g := NewWithT(t)
	for _, e := range samples {
		data, err := cbor.Marshal(e)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decodeEntry(data)).To(Equal(e))
	}
	_, err := decodeEntry([]byte("no record"))
	g.Expect(err).To(MatchError(errMalformed))
}

// Another writer's bytes stand in the log, or a record was damaged. Every daemon skips it
// and goes on.
func FuzzRecord(f *testing.F) {
	for _, e := range samples {
		data, err := cbor.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	timing := usage.Timing{Windows: usage.Windows{Length: 5 * time.Second}, Due: 10 * time.Second}
	f.Fuzz(func(_ *testing.T, data []byte) {
		v := newView(Options{Now: func() time.Duration { return time.Second }, Logger: zerolog.Nop()})
		v.Record(0, data)
		v.usage.Next(timing, usage.Situation{Now: timing.Windows.End(102), Current: true, InContact: time.Minute})
	})
}
