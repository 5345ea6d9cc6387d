package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// fakeLog is a log in memory that has expired the records before offset first.
type fakeLog struct {
	first   ident.Offset
	records [][]byte // from offset 1 on; those of expired records may be nil
}

func (l *fakeLog) append(records ...config.Record) {
	for _, r := range records {
		l.records = append(l.records, encode(r))
	}
}

func (l *fakeLog) page(from ident.Offset, limit int) config.Page {
	page := config.Page{First: l.first, Next: ident.Offset(len(l.records) + 1)}
	for off := max(from, l.first); off < page.Next && len(page.Records) < limit; off++ {
		page.Records = append(page.Records, config.RawRecord{Offset: off, Time: epoch, Data: l.records[off-1]})
	}
	return page
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// logWithExpiredRecords returns a log whose records 1 and 2 have expired and whose
// snapshot, at offset 4, includes the records up to 2. The state is that of the whole
// log.
func logWithExpiredRecords() (*fakeLog, *config.State) {
	s := baseState()
	snap := s.Snapshot()
	a, b := newChange("a", "teams/coop", 2, "staleness_weight", "0.1"), newChange("b", "teams/coop", 3, "staleness_weight", "0.2")
	l := &fakeLog{first: 3, records: make([][]byte, 2)}
	l.append(config.Record{Change: &a}, config.Record{Snapshot: &snap}, config.Record{Change: &b})
	s, _ = applyChanges(s, a)
	s, _ = s.Apply(4, l.records[3])
	s, _ = applyChanges(s, b)
	return l, s
}

var _ = Describe("Reader", func() {
	// All daemons are replaced after the first records have expired. A change that is
	// before the snapshot in the log, but not included in it, must not be lost.
	It("starts from a log with expired records and applies those that the snapshot doesn't include", func() {
		l, want := logWithExpiredRecords()
		for _, limit := range []int{1, 2, 10} {
			r := config.NewReader(config.Empty())
			for !r.CaughtUp() {
				r.ApplyPage(l.page(r.Next(), limit))
			}
			Expect(marshal(r.State())).To(Equal(marshal(want)))
		}
	})

	// A daemon was frozen for longer than the retention, and its next offset has
	// expired. It must not apply later records to its old state.
	It("keeps its state in a gap until a snapshot or a peer's state closes it", func() {
		l, want := logWithExpiredRecords()
		frozen, _ := applyChanges(config.Empty(), newChange("fleet-1", "fleet", 0, "", fleetValue))
		r := config.NewReader(frozen)
		r.ApplyPage(config.Page{First: 3, Next: 6})
		Expect(r.InGap()).To(BeTrue())
		r.ApplyPage(l.page(3, 1))
		Expect(r.State()).To(BeIdenticalTo(frozen))
		Expect(r.UpdateIfNewer(baseState())).To(BeTrue())
		Expect(r.InGap()).To(BeFalse())
		Expect(r.State().AppliedOffset()).To(BeEquivalentTo(3))
		r.ApplyPage(l.page(r.Next(), 10))
		Expect(marshal(r.State())).To(Equal(marshal(want)))
	})

	// The only snapshot in the log is older than the daemon's own state. Using it would
	// revert the daemon to an older state.
	It("ignores a snapshot that doesn't include the missing records", func() {
		old := config.Empty().Snapshot()
		l, _ := logWithExpiredRecords()
		l.first, l.records[3] = 4, encode(config.Record{Snapshot: &old})
		frozen, _ := applyChanges(config.Empty(), newChange("fleet-1", "fleet", 0, "", fleetValue))
		r := config.NewReader(frozen)
		r.ApplyPage(l.page(r.Next(), 10))
		Expect(r.InGap()).To(BeTrue())
		Expect(r.State()).To(BeIdenticalTo(frozen))
	})

	It("never returns to an older state", func() {
		_, newest := logWithExpiredRecords()
		r := config.NewReader(newest)
		Expect(r.UpdateIfNewer(baseState())).To(BeFalse())
		Expect(r.UpdateIfNewer(newest)).To(BeFalse())
		r.ApplyPage(config.Page{First: 1, Next: 1})
		Expect(r.State()).To(BeIdenticalTo(newest))
	})

	It("reports that a snapshot is due at a third of the retention", func() {
		l := &fakeLog{first: 1}
		for _, id := range []string{"a", "b"} {
			c := newChange(id, "fleet", 0, "", fleetValue)
			l.append(config.Record{Change: &c})
		}
		r := config.NewReader(config.Empty())
		r.ApplyPage(l.page(1, 10))
		retention := config.Retention{Records: 9, Age: 3 * time.Hour}
		Expect(r.SnapshotDue(epoch, retention)).To(BeFalse())
		Expect(r.SnapshotDue(epoch.Add(time.Hour), retention)).To(BeTrue())
		Expect(r.SnapshotDue(epoch, config.Retention{Records: 6})).To(BeTrue())
		snap := r.State().Snapshot()
		l.append(config.Record{Snapshot: &snap})
		r.ApplyPage(l.page(r.Next(), 10))
		Expect(r.SnapshotDue(epoch, config.Retention{Records: 6})).To(BeFalse())
	})
})
