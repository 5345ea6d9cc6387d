package log

import (
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// stream is one append-only sequence of records.
type stream struct {
	keepRecords int
	keepFor     time.Duration

	mu      sync.Mutex
	next    int64
	records []wire.LogRecord // the last of them has offset next-1
	grown   chan struct{}    // closed by the next append
}

func newStream(keepRecords int, keepFor time.Duration) *stream {
	return &stream{keepRecords: keepRecords, keepFor: keepFor, next: 1, grown: make(chan struct{})}
}

func (s *stream) nextOffset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// append adds all records and returns the offset of the first.
func (s *stream) append(records [][]byte, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next
	for _, data := range records {
		s.records = append(s.records, wire.LogRecord{Offset: s.next, UnixMillis: now.UnixMilli(), Data: data})
		s.next++
	}
	s.expire(now)
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// expire forgets what is past retention. Called under the lock.
func (s *stream) expire(now time.Time) {
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

// page returns what is there from an offset on; grown is closed by the next append.
func (s *stream) page(from int64, limit int, now time.Time) (page wire.ReadResponse, expired bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	first := s.next - int64(len(s.records))
	page = wire.ReadResponse{First: first, Next: s.next, Records: []wire.LogRecord{}}
	if from < first {
		return page, true, s.grown
	}
	begin := min(int(from-first), len(s.records))
	end := min(begin+limit, len(s.records))
	page.Records = append(page.Records, s.records[begin:end]...)
	return page, false, s.grown
}
