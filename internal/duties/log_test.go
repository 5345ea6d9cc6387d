package duties

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

var testRecords = []logRecord{
	{Usage: &usage.Record{Counted: &usage.Counted{Writer: "w", Sequence: 1, Windows: []usage.WindowCounts{{Window: 100, Counts: map[string]int{"a": 1}}}}}},
	{Usage: &usage.Record{Decided: &usage.Decided{Report: usage.WindowCounts{Window: 100, Counts: map[string]int{"a": 1}}}}},
	{Usage: &usage.Record{Sent: &usage.Sent{Window: 100}}},
	{Ordered: &orderRecord{Service: "s", Order: scaling.Order{Pool: scaling.Pool{DataCentre: "a", Spot: true}, Count: 3}}},
}

func TestRecordsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	for _, r := range testRecords {
		data, err := r.encode(time.UnixMilli(1234))
		g.Expect(err).NotTo(HaveOccurred())
		r.AtMS = 1234
		g.Expect(decodeRecord(data)).To(Equal(r))
	}
	_, err := decodeRecord([]byte("no record"))
	g.Expect(err).To(MatchError(errMalformed))
}

// The log contains a damaged record, or bytes of another writer. A daemon must skip it and
// continue.
func FuzzRecord(f *testing.F) {
	for _, r := range testRecords {
		data, err := r.encode(time.UnixMilli(1234))
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

// The store loses the log's records after a window was reported, and the holder dies. All that
// the log contains of the window afterwards is a late count. The next holder must not report
// the window again with this count only, or the platform would have two different reports.
func TestWindowIsNotReportedAgainAfterAGap(t *testing.T) {
	timing := usage.Timing{Windows: usage.Windows{Length: 5 * time.Second}, Due: 10 * time.Second}
	end := timing.Windows.End(100)
	late := func(at time.Time) []byte {
		data, err := logRecord{Usage: &usage.Record{Counted: &usage.Counted{Writer: "w", Sequence: 9, Windows: []usage.WindowCounts{{Window: 100, Counts: map[string]int{"a": 1}}}}}}.encode(at)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for _, c := range []struct {
		name string
		gap  bool
		kept time.Time // time of the first record after the gap
		want usage.Action
	}{
		{"no gap", false, end.Add(4 * time.Second), usage.Decide{Report: usage.WindowCounts{Window: 100, Counts: map[string]int{"a": 1}}}},
		{"the gap may include the window's report", true, end.Add(4 * time.Second), usage.Wait{}},
		{"the gap ends before the window could be reported", true, end.Add(-10 * time.Second), usage.Decide{Report: usage.WindowCounts{Window: 100, Counts: map[string]int{"a": 1}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			v := newView(Options{Usage: &timing, Now: func() time.Duration { return time.Hour }, Logger: zerolog.Nop()})
			if c.gap {
				v.Gap(7)
			}
			v.Record(7, late(c.kept))
			action := v.usage.NextAction(timing, usage.Conditions{Now: end.Add(4900 * time.Millisecond), UpToDate: true, ContactDuration: time.Minute})
			g.Expect(action).To(Equal(c.want))
		})
	}
}
