package loads

import "time"

// Tail remembers where the claims' log ended at past moments. A daemon that doesn't follow
// the log notes its end now and then; when it begins to follow, it knows how old the records
// are at least, and which of them it needs. Without that every claim that it reads would bar
// it as if it had been written just now, and an owner that takes a partition over would
// order nothing for the time that a claim bars.
//
// Invariant: marks are in the order of time, and their ends don't fall.
type Tail struct {
	keep  time.Duration
	marks []mark
}

// mark says that the log ended here at a moment, or had ended here before.
type mark struct {
	at  time.Duration
	end int64
}

// NewTail returns a Tail that has noted nothing. Records older than keep aren't asked for.
func NewTail(keep time.Duration) *Tail { return &Tail{keep: keep} }

// Note takes the log's end, as an answer told it that came at this moment.
func (t *Tail) Note(end int64, now time.Duration) {
	if n := len(t.marks); n > 0 && (end < t.marks[n-1].end || now < t.marks[n-1].at) {
		return // an answer overtook this one
	}
	t.marks = append(t.marks, mark{now, end})
	for len(t.marks) > 1 && t.marks[1].at <= now-t.keep {
		t.marks = t.marks[1:]
	}
}

// Last is the newest end noted, 0 for none.
func (t *Tail) Last() int64 {
	if len(t.marks) == 0 {
		return 0
	}
	return t.marks[len(t.marks)-1].end
}

// From is the offset of the first record that may be younger than keep; 0 if that isn't
// known.
func (t *Tail) From(now time.Duration) int64 {
	if len(t.marks) == 0 || t.marks[0].at > now-t.keep {
		return 0
	}
	from := t.marks[0].end
	for _, m := range t.marks {
		if m.at <= now-t.keep {
			from = m.end
		}
	}
	return from
}

// WrittenBy is a moment by which the record at an offset was in the log; now, if nothing
// earlier is known.
func (t *Tail) WrittenBy(offset int64, now time.Duration) time.Duration {
	for _, m := range t.marks {
		if m.end > offset {
			return m.at
		}
	}
	return now
}
