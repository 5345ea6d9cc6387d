package duties

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

var samples = []entry{
	{Usage: &usage.Record{Counted: &usage.Counted{Writer: "w", Sequence: 1, Windows: []usage.WindowCounts{{Window: 100, Counts: map[string]int{"a": 1}}}}}},
	{Usage: &usage.Record{Decided: &usage.Decided{Report: usage.WindowCounts{Window: 100, Counts: map[string]int{"a": 1}}}}},
	{Usage: &usage.Record{Sent: &usage.Sent{Window: 100}}},
	{Ordered: &ordered{Service: "s", Order: scaling.Order{Key: scaling.Key{DataCentre: "a", Spot: true}, Count: 3}}},
}

func TestEntriesComeBackAsWritten(t *testing.T) {
	g := NewWithT(t)
	for _, e := range samples {
		data, err := e.encode(time.UnixMilli(1234))
		g.Expect(err).NotTo(HaveOccurred())
		e.AtMS = 1234
		g.Expect(decodeEntry(data)).To(Equal(e))
	}
	_, err := decodeEntry([]byte("no record"))
	g.Expect(err).To(MatchError(errMalformed))
}

// Another writer's bytes stand in the log, or a record was damaged. Every daemon skips it
// and goes on.
func FuzzRecord(f *testing.F) {
	for _, e := range samples {
		data, err := e.encode(time.UnixMilli(1234))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	timing := usage.Timing{Windows: usage.Windows{Length: 5 * time.Second}, Due: 10 * time.Second}
	f.Fuzz(func(_ *testing.T, data []byte) {
		v := newView(Options{Now: func() time.Duration { return time.Second }, Logger: zerolog.Nop()})
		v.Record(0, data)
		v.usage.NextAction(timing, usage.Conditions{Now: timing.Windows.End(102), UpToDate: true, ContactDuration: time.Minute})
	})
}

// The store forgets its history after a window was reported, and its holder dies. A count of
// that window that comes late stands alone in the log that is left. The next holder must not
// report the window again by it: the platform would have two reports with other counts.
func TestWindowIsNotReportedAgainAfterAGap(t *testing.T) {
	timing := usage.Timing{Windows: usage.Windows{Length: 5 * time.Second}, Due: 10 * time.Second}
	end := timing.Windows.End(100)
	late := func(at time.Time) []byte {
		data, err := entry{Usage: &usage.Record{Counted: &usage.Counted{Writer: "w", Sequence: 9, Windows: []usage.WindowCounts{{Window: 100, Counts: map[string]int{"a": 1}}}}}}.encode(at)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for _, c := range []struct {
		name string
		gap  bool
		kept time.Time // when the first record that is kept was written
		want usage.Action
	}{
		{"no gap", false, end.Add(4 * time.Second), usage.Decide{Report: usage.WindowCounts{Window: 100, Counts: map[string]int{"a": 1}}}},
		{"the window's report may be lost", true, end.Add(4 * time.Second), usage.Wait{}},
		{"the records kept begin before any report of it", true, end.Add(-10 * time.Second), usage.Decide{Report: usage.WindowCounts{Window: 100, Counts: map[string]int{"a": 1}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			v := newView(Options{Usage: &timing, Now: func() time.Duration { return time.Hour }, Logger: zerolog.Nop()})
			if c.gap {
				v.Gap(7)
			}
			v.Record(7, late(c.kept))
			step := v.usage.NextAction(timing, usage.Conditions{Now: end.Add(4900 * time.Millisecond), UpToDate: true, ContactDuration: time.Minute})
			g.Expect(step).To(Equal(c.want))
		})
	}
}
