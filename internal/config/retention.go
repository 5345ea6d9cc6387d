package config

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// snapshotRetentionDivisor sets when a snapshot is due: when the oldest record that
// a new daemon needs is older than the log's retention divided by this. The remaining
// time is a reserve for outages and for snapshot writers that crash.
const snapshotRetentionDivisor = 3

// Retention is how long the log keeps a record, as a number of records and as an
// age. 0 is unlimited.
type Retention struct {
	Records int64
	Age     time.Duration
}

// replayStart is the oldest record that a daemon without a state has to read: the
// first one that the newest snapshot doesn't include (at the latest the snapshot
// itself), a restore, or the first record of the log. The zero value is unknown.
type replayStart struct {
	offset     ident.Offset
	appendedAt time.Time
}

func (k *replayStart) set(off ident.Offset, at time.Time) { k.offset, k.appendedAt = off, at }

func (k *replayStart) reset() { *k = replayStart{} }

// update processes a record that was applied. For a snapshot it uses the time of
// the snapshot's own record: the records that it doesn't include are older than that
// only by the time its writer took to append it.
func (k *replayStart) update(raw RawRecord, record Record) {
	if r := record.Restore; r != nil && r.Offset == raw.Offset {
		if r.Check() == nil {
			k.set(raw.Offset, raw.Time)
		}
		return
	}
	snap := record.Snapshot
	if snap == nil || snap.LastOffset >= raw.Offset || snap.LastOffset+1 < k.offset {
		if k.offset == 0 && raw.Offset == 1 {
			k.set(raw.Offset, raw.Time)
		}
		return
	}
	if _, err := FromSnapshot(*snap); err == nil {
		k.set(snap.LastOffset+1, raw.Time)
	}
}

// answersSnapshotRequest reports whether a record at offset off gives daemons in a
// gap a state, so that an earlier snapshot request is settled.
func (r Record) answersSnapshotRequest(off ident.Offset) bool {
	return r.Snapshot != nil || r.Restore != nil && r.Restore.Offset == off
}

// SnapshotDue reports whether a snapshot should be appended to the log. After a state
// came from a peer it is unknown which snapshots the log has, so one is due.
func (r *Reader) SnapshotDue(now time.Time, retention Retention) bool {
	if !r.CaughtUp() || r.state.appliedOffset == 0 {
		return false
	}
	if r.snapshotRequested && r.state.version > 0 {
		return true
	}
	if r.replayStart.offset == 0 {
		return retention.Records > 0 || retention.Age > 0
	}
	records := int64(r.nextOffset - r.replayStart.offset)
	if retention.Records > 0 && records*snapshotRetentionDivisor >= retention.Records {
		return true
	}
	return retention.Age > 0 && now.Sub(r.replayStart.appendedAt)*snapshotRetentionDivisor >= retention.Age
}
