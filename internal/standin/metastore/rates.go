package metastore

import (
	"sync"
	"time"
)

// Rates are what all clients of a store share. Zero: no bound.
type Rates struct {
	ReadBytes int // of all reads together, a second; they are served one after the other
	Reads     int // calls a second, beyond which they are refused
	Writes    int
}

// meter holds a store to its rates. It is safe for concurrent use.
type meter struct {
	mu     sync.Mutex
	rates  Rates
	freeAt time.Time // when the last read is through
	second time.Time // in which calls are counted
	reads  int
	writes int
	bytes  map[string]int // read of each topic since the start
}

// SetRates changes what the store can do.
func (s *Store) SetRates(r Rates) {
	s.meter.mu.Lock()
	defer s.meter.mu.Unlock()
	s.meter.rates = r
}

// BytesRead is what all reads of a topic brought since the start, given up ones included.
func (s *Store) BytesRead(topic string) int {
	s.meter.mu.Lock()
	defer s.meter.mu.Unlock()
	return s.meter.bytes[topic]
}

// transfer counts a read's bytes and returns how long they take behind those of others.
func (m *meter) transfer(topic string, bytes int, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bytes == nil {
		m.bytes = map[string]int{}
	}
	m.bytes[topic] += bytes
	if m.rates.ReadBytes == 0 {
		return 0
	}
	if now.After(m.freeAt) {
		m.freeAt = now
	}
	m.freeAt = m.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(m.rates.ReadBytes))
	return m.freeAt.Sub(now)
}

// admitRead counts a read and reports whether the rate allows it.
func (m *meter) admitRead(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tickLocked(now)
	m.reads++
	return m.rates.Reads == 0 || m.reads <= m.rates.Reads
}

// admitWrite is admitRead for writes.
func (m *meter) admitWrite(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tickLocked(now)
	m.writes++
	return m.rates.Writes == 0 || m.writes <= m.rates.Writes
}

func (m *meter) tickLocked(now time.Time) {
	if now.Sub(m.second) >= time.Second {
		m.second, m.reads, m.writes = now, 0, 0
	}
}
