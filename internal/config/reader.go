package config

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxPendingBytes bounds the records that wait for a snapshot.
const maxPendingBytes = 16 << 20

// RawRecord is one record of the log.
type RawRecord struct {
	Offset ident.Offset
	Time   time.Time // the log's wall clock
	Data   []byte
}

// Page is what one read of the log returned.
type Page struct {
	First   ident.Offset // oldest offset still kept
	Next    ident.Offset // offset that the next append will get
	Records []RawRecord
}

// Reader turns pages of the log into states.
//
// Behind a gap, records that retention took before they were read, no change
// can be judged. The reader keeps what it reads there until a snapshot, or a
// peer's state, covers the gap; until then its state stays what it was.
//
// Invariant: the state's Through never falls.
type Reader struct {
	state *State
	next  ident.Offset // where to read from
	end   ident.Offset // the log's next offset, as last seen

	gap     bool
	start   ident.Offset // behind the gap: offset from which on all is pending
	pending []RawRecord
	bytes   int // of pending

	oldest keptFrom
	asked  bool // for a snapshot, since the last one
}

// NewReader returns a reader that goes on from a state.
func NewReader(s *State) *Reader { return &Reader{state: s, next: s.through + 1} }

// State returns the newest state.
func (r *Reader) State() *State { return r.state }

// Next returns the offset to read from.
func (r *Reader) Next() ident.Offset { return r.next }

// InGap says that records were lost that no snapshot or peer has made up for.
func (r *Reader) InGap() bool { return r.gap }

// CaughtUp says that the state held every record when the log was last read.
func (r *Reader) CaughtUp() bool { return !r.gap && r.end > 0 && r.next >= r.end }

// Step takes a page that was read from Next, or from an earlier offset. After
// an offset past retention it is a page without records.
func (r *Reader) Step(page Page) {
	if page.First > r.next {
		r.openGap(page.First)
	}
	for _, record := range page.Records {
		if record.Offset >= r.next {
			r.next = record.Offset + 1
			r.take(record)
		}
	}
	r.end = max(r.end, page.Next)
}

func (r *Reader) openGap(first ident.Offset) {
	r.gap = true
	r.start, r.next = first, first
	r.pending, r.bytes = nil, 0
}

func (r *Reader) take(raw RawRecord) {
	record, err := DecodeRecord(raw.Data)
	if r.gap {
		r.hold(raw)
		r.tryFill(raw, record)
		return
	}
	r.state, _ = r.state.fold(raw.Offset, record, err)
	r.oldest.observe(raw, record)
	r.asked = record.Ask != nil || r.asked && !record.answersAsk(raw.Offset)
}

// hold keeps a record behind the gap. When they are too many the gap grows.
func (r *Reader) hold(raw RawRecord) {
	r.pending = append(r.pending, raw)
	r.bytes += len(raw.Data)
	for r.bytes > maxPendingBytes {
		r.bytes -= len(r.pending[0].Data)
		r.start = r.pending[0].Offset + 1
		r.pending = r.pending[1:]
	}
}

// tryFill fills the gap when the record is a snapshot that covers it, or a
// restore in force.
func (r *Reader) tryFill(raw RawRecord, record Record) {
	if record.Restore != nil {
		if s, err := record.Restore.state(raw.Offset); err == nil {
			r.oldest.set(raw.Offset, raw.Time)
			r.adopt(s)
		}
		return
	}
	snap := record.Snapshot
	if snap == nil || snap.Covers < r.start-1 || snap.Covers >= raw.Offset {
		return
	}
	s, err := FromSnapshot(*snap)
	if err != nil {
		return
	}
	r.oldest.set(snap.Covers+1, raw.Time)
	r.adopt(s)
}

// Adopt takes a peer's state if it is newer. One that doesn't reach over the
// gap is taken too, but leaves the gap open.
func (r *Reader) Adopt(s *State) bool {
	if s.through <= r.state.through {
		return false
	}
	r.oldest.forget()
	r.adopt(s)
	return true
}

// adopt moves to a newer state and replays what is pending behind it.
func (r *Reader) adopt(s *State) {
	r.state = s
	if r.gap && s.through < r.start-1 {
		return
	}
	pending := r.pending
	r.gap, r.pending, r.bytes = false, nil, 0
	for _, raw := range pending {
		r.state, _ = r.state.Fold(raw.Offset, raw.Data)
	}
	r.next = max(r.next, r.state.through+1)
}
