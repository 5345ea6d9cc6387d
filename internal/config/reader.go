package config

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxPendingBytes bounds the data of the records that wait for a gap to be closed.
const maxPendingBytes = 16 << 20

// RawRecord is one record of the log, not decoded yet.
type RawRecord struct {
	Offset ident.Offset
	Time   time.Time // when the log appended it, by the log's wall clock
	Data   []byte
}

// Page is the result of one read of the log.
type Page struct {
	First   ident.Offset // oldest offset in the log
	Next    ident.Offset // offset of the next append
	Records []RawRecord
}

// Reader builds states from pages of the log.
//
// If records expire from the log before they were read, the reader is in a gap: it
// can't decide about later changes. It buffers the records that it reads until a
// snapshot, a restore or a peer's state replaces the missing ones, and keeps its
// old state until then.
//
// Invariant: the state's applied offset never decreases.
type Reader struct {
	state      *State       // newest state
	nextOffset ident.Offset // to read from
	logEnd     ident.Offset // the log's next offset, as of the last read

	inGap        bool
	pendingFrom  ident.Offset // in a gap: every record read from this offset on is in pending
	pending      []RawRecord
	pendingBytes int // sum of the data in pending

	replayStart       replayStart
	snapshotRequested bool // by a record since the last snapshot
}

// NewReader returns a reader that continues after a state.
func NewReader(s *State) *Reader { return &Reader{state: s, nextOffset: s.appliedOffset + 1} }

func (r *Reader) State() *State { return r.state }

// Next returns the offset to read from.
func (r *Reader) Next() ident.Offset { return r.nextOffset }

// InGap reports whether records expired before they were read and nothing has
// replaced them yet.
func (r *Reader) InGap() bool { return r.inGap }

// CaughtUp reports whether the state includes every record that the log had at the
// last read.
func (r *Reader) CaughtUp() bool { return !r.inGap && r.logEnd > 0 && r.nextOffset >= r.logEnd }

// ApplyPage processes a page that was read from Next or from an earlier offset. If
// that offset has expired, the page has no records and First is the oldest offset
// left.
func (r *Reader) ApplyPage(page Page) {
	if page.First > r.nextOffset {
		r.enterGap(page.First)
	}
	for _, record := range page.Records {
		if record.Offset >= r.nextOffset {
			r.nextOffset = record.Offset + 1
			r.applyRecord(record)
		}
	}
	r.logEnd = max(r.logEnd, page.Next)
}

func (r *Reader) enterGap(first ident.Offset) {
	r.inGap = true
	r.pendingFrom, r.nextOffset = first, first
	r.pending, r.pendingBytes = nil, 0
}

func (r *Reader) applyRecord(raw RawRecord) {
	record, err := DecodeRecord(raw.Data)
	if r.inGap {
		r.bufferPending(raw)
		r.tryCloseGap(raw, record)
		return
	}
	r.state, _ = r.state.applyRecord(raw.Offset, record, err)
	r.replayStart.update(raw, record)
	r.snapshotRequested = record.SnapshotRequest != nil || r.snapshotRequested && !record.answersSnapshotRequest(raw.Offset)
}

// bufferPending keeps a record until the gap is closed. Above maxPendingBytes it
// drops the oldest records, which widens the gap.
func (r *Reader) bufferPending(raw RawRecord) {
	r.pending = append(r.pending, raw)
	r.pendingBytes += len(raw.Data)
	for r.pendingBytes > maxPendingBytes {
		r.pendingBytes -= len(r.pending[0].Data)
		r.pendingFrom = r.pending[0].Offset + 1
		r.pending = r.pending[1:]
	}
}

// tryCloseGap closes the gap if the record is a snapshot that includes the missing
// records, or a restore that takes effect.
func (r *Reader) tryCloseGap(raw RawRecord, record Record) {
	if record.Restore != nil {
		if s, err := record.Restore.newState(raw.Offset); err == nil {
			r.replayStart.set(raw.Offset, raw.Time)
			r.advanceTo(s)
		}
		return
	}
	snap := record.Snapshot
	if snap == nil || snap.LastOffset < r.pendingFrom-1 || snap.LastOffset >= raw.Offset {
		return
	}
	s, err := FromSnapshot(*snap)
	if err != nil {
		return
	}
	r.replayStart.set(snap.LastOffset+1, raw.Time)
	r.advanceTo(s)
}

// UpdateIfNewer replaces the state by a peer's state if that has a larger applied
// offset, and reports whether it did. A newer state that doesn't include all missing
// records is used too, but leaves the gap open.
func (r *Reader) UpdateIfNewer(s *State) bool {
	if s.appliedOffset <= r.state.appliedOffset {
		return false
	}
	r.replayStart.reset()
	r.advanceTo(s)
	return true
}

// advanceTo sets a newer state. If it closes the gap, the pending records are
// applied to it.
func (r *Reader) advanceTo(s *State) {
	r.state = s
	if r.inGap && s.appliedOffset < r.pendingFrom-1 {
		return
	}
	pending := r.pending
	r.inGap, r.pending, r.pendingBytes = false, nil, 0
	for _, raw := range pending {
		r.state, _ = r.state.Apply(raw.Offset, raw.Data)
	}
	r.nextOffset = max(r.nextOffset, r.state.appliedOffset+1)
}
