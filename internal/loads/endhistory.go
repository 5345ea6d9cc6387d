package loads

import "time"

// EndHistory records where the claims log ended at times in the past. A daemon that doesn't follow
// the log records its end from time to time. When it starts to follow the log, it then knows
// the minimum age of the records, and which of them it needs. Without that, each claim that
// it reads would block its subject as if it had just been appended, and a daemon that takes
// over a partition couldn't send any order while a claim blocks.
//
// Invariant: ends is in order of time, and the offsets in it don't decrease.
type EndHistory struct {
	keep time.Duration // records older than this aren't needed
	ends []logEnd
}

// logEnd says that all records before offset were in the log at a point in time.
type logEnd struct {
	at     time.Duration
	offset int64
}

// NewEndHistory returns an empty history. keep is the age above which records aren't needed.
func NewEndHistory(keep time.Duration) *EndHistory { return &EndHistory{keep: keep} }

// Add adds the end of the log, as read in an answer that has just arrived.
func (t *EndHistory) Add(end int64, now time.Duration) {
	if n := len(t.ends); n > 0 && (end < t.ends[n-1].offset || now < t.ends[n-1].at) {
		return // an older answer that arrived late
	}
	t.ends = append(t.ends, logEnd{now, end})
	for len(t.ends) > 1 && t.ends[1].at <= now-t.keep {
		t.ends = t.ends[1:]
	}
}

// Last returns the newest end added, 0 if there is none.
func (t *EndHistory) Last() int64 {
	if len(t.ends) == 0 {
		return 0
	}
	return t.ends[len(t.ends)-1].offset
}

// StartOffset returns the offset of the first record that may still be needed, 0 if that isn't
// known.
func (t *EndHistory) StartOffset(now time.Duration) int64 {
	if len(t.ends) == 0 || t.ends[0].at > now-t.keep {
		return 0
	}
	offset := t.ends[0].offset
	for _, end := range t.ends {
		if end.at <= now-t.keep {
			offset = end.offset
		}
	}
	return offset
}

// WrittenBy returns a time by which the record at an offset was in the log, which is now if
// no earlier time is known.
func (t *EndHistory) WrittenBy(offset int64, now time.Duration) time.Duration {
	for _, end := range t.ends {
		if end.offset > offset {
			return end.at
		}
	}
	return now
}
