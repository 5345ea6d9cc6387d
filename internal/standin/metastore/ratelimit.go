package metastore

import (
	"sync"
	"time"
)

// RateLimits are the rate limits of a store, shared by all clients. 0: unlimited.
type RateLimits struct {
	ReadBytesPerSecond int // bytes per second, over all reads; reads are transferred one after the other
	ReadsPerSecond     int // calls per second; further calls are refused
	WritesPerSecond    int // calls per second; further calls are refused
}

// rateLimiter enforces a store's rate limits. It is safe for concurrent use.
type rateLimiter struct {
	mu           sync.Mutex
	rates        RateLimits
	transfersEnd time.Time      // when the last transfer booked so far ends
	windowStart  time.Time      // of the second in which reads and writes are counted
	reads        int            // calls since windowStart
	writes       int            // calls since windowStart
	bytesRead    map[string]int // by topic, since the start
}

// SetRateLimits replaces the store's rate limits.
func (s *Store) SetRateLimits(r RateLimits) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.rates = r
}

// BytesRead returns the number of bytes that were read from a topic since the start,
// including reads that timed out.
func (s *Store) BytesRead(topic string) int {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.limiter.bytesRead[topic]
}

// bookTransfer counts a read's bytes and returns how long their transfer takes, including
// the wait for the transfers booked before.
func (l *rateLimiter) bookTransfer(topic string, bytes int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytesRead == nil {
		l.bytesRead = map[string]int{}
	}
	l.bytesRead[topic] += bytes
	if l.rates.ReadBytesPerSecond == 0 {
		return 0
	}
	if now.After(l.transfersEnd) {
		l.transfersEnd = now
	}
	l.transfersEnd = l.transfersEnd.Add(time.Duration(bytes) * time.Second / time.Duration(l.rates.ReadBytesPerSecond))
	return l.transfersEnd.Sub(now)
}

// admitRead counts a read and reports whether the rate limit allows it.
func (l *rateLimiter) admitRead(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rollWindowLocked(now)
	l.reads++
	return l.rates.ReadsPerSecond == 0 || l.reads <= l.rates.ReadsPerSecond
}

// admitWrite counts a write and reports whether the rate limit allows it.
func (l *rateLimiter) admitWrite(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rollWindowLocked(now)
	l.writes++
	return l.rates.WritesPerSecond == 0 || l.writes <= l.rates.WritesPerSecond
}

// rollWindowLocked starts a new counting window if the current one is over. The caller
// holds the lock.
func (l *rateLimiter) rollWindowLocked(now time.Time) {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.reads, l.writes = now, 0, 0
	}
}
