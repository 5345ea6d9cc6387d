package config

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// snapshotShare: a snapshot is due when the oldest record that a new daemon
// needs has used up one part in so many of the log's retention. The rest is for
// outages and for writers that die.
const snapshotShare = 3

// Retention says how long the log keeps a record. 0 is without bound.
type Retention struct {
	Records int64
	Age     time.Duration
}

// keptFrom tracks the oldest record that a daemon without a state needs: the
// newest snapshot, or what it doesn't cover. The zero value is unknown.
type keptFrom struct {
	offset ident.Offset
	at     time.Time
}

func (k *keptFrom) set(off ident.Offset, at time.Time) { k.offset, k.at = off, at }

func (k *keptFrom) forget() { *k = keptFrom{} }

// observe notes a record that was folded in. For a snapshot it takes the time
// of the record itself: what the snapshot doesn't cover is older by the moment
// that its writer took to append it.
func (k *keptFrom) observe(raw RawRecord, record Record) {
	if r := record.Restore; r != nil && r.Offset == raw.Offset {
		if r.Check() == nil {
			k.set(raw.Offset, raw.Time)
		}
		return
	}
	snap := record.Snapshot
	if snap == nil || snap.Covers >= raw.Offset || snap.Covers+1 < k.offset {
		if k.offset == 0 && raw.Offset == 1 {
			k.set(raw.Offset, raw.Time)
		}
		return
	}
	if _, err := FromSnapshot(*snap); err == nil {
		k.set(snap.Covers+1, raw.Time)
	}
}

// answersAsk says that daemons in a gap have a state behind the record.
func (r Record) answersAsk(off ident.Offset) bool {
	return r.Snapshot != nil || r.Restore != nil && r.Restore.Offset == off
}

// SnapshotDue says whether somebody should append a snapshot. A state taken
// from a peer says nothing of the log's snapshots, so then one is due.
func (r *Reader) SnapshotDue(now time.Time, keep Retention) bool {
	if !r.CaughtUp() || r.state.through == 0 {
		return false
	}
	if r.asked && r.state.version > 0 {
		return true
	}
	if r.oldest.offset == 0 {
		return keep.Records > 0 || keep.Age > 0
	}
	records := int64(r.next - r.oldest.offset)
	if keep.Records > 0 && records*snapshotShare >= keep.Records {
		return true
	}
	return keep.Age > 0 && now.Sub(r.oldest.at)*snapshotShare >= keep.Age
}
