package log

import (
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// stream is one append-only sequence of records.
type stream struct {
	keepRecords int           // maximum number of retained records; 0: no limit
	keepFor     time.Duration // maximum age of a retained record; 0: no limit

	mu       sync.Mutex
	next     int64            // offset of the next record
	records  []wire.LogRecord // the retained ones; the last has offset next-1
	appended chan struct{}    // closed and replaced by each append
}

func newStream(keepRecords int, keepFor time.Duration) *stream {
	return &stream{keepRecords: keepRecords, keepFor: keepFor, next: 1, appended: make(chan struct{})}
}

func (s *stream) nextOffset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// append adds the records and returns the offset of the first one.
func (s *stream) append(records [][]byte, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next
	for _, data := range records {
		s.records = append(s.records, wire.LogRecord{Offset: s.next, UnixMillis: now.UnixMilli(), Data: data})
		s.next++
	}
	s.applyRetentionLocked(now)
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// applyRetentionLocked deletes the records that are past retention. The caller holds the
// lock.
func (s *stream) applyRetentionLocked(now time.Time) {
	drop := 0
	if s.keepRecords > 0 {
		drop = max(0, len(s.records)-s.keepRecords)
	}
	if s.keepFor > 0 {
		oldest := now.Add(-s.keepFor).UnixMilli()
		for drop < len(s.records) && s.records[drop].UnixMillis < oldest {
			drop++
		}
	}
	s.records = s.records[drop:]
}

// currentPage returns the records available from an offset on, and a channel that is
// closed by the next append. It returns expired if the offset is older than the oldest
// retained record.
func (s *stream) currentPage(from int64, limit int, now time.Time) (page wire.ReadResponse, expired bool, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyRetentionLocked(now)
	first := s.next - int64(len(s.records))
	page = wire.ReadResponse{First: first, Next: s.next, Records: []wire.LogRecord{}}
	if from < first {
		return page, true, s.appended
	}
	begin := min(int(from-first), len(s.records))
	end := min(begin+limit, len(s.records))
	page.Records = append(page.Records, s.records[begin:end]...)
	return page, false, s.appended
}
