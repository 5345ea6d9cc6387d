// Package membudget bounds the memory that request and response bodies take in this process.
package membudget

import (
	"sync"
	"sync/atomic"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

var (
	bytesHeld     = metrics.Gauge("memory_held_bytes") // of all budgets together
	roomRefused   = metrics.Counter("memory_refused")  // leases that were not granted or not grown
	byKeyRefusals = metrics.Counter("memory_refused_upstream")
)

// Budget bounds the bytes held for calls in progress. It is safe for concurrent use. A nil
// Budget has no bound.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a Budget of that many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the number of bytes that may be held, 0 without a bound.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns the number of bytes held now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// take adds n bytes unless that exceeds the limit. It compares before it adds, so that a large
// request that is refused does not make a small one fail at the same time.
func (b *Budget) take(n int64) bool {
	for {
		held := b.held.Load()
		if n > b.limit-held {
			roomRefused.Add(1)
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			bytesHeld.Add(n)
			return true
		}
	}
}

func (b *Budget) giveBack(n int64) {
	b.held.Add(-n)
	bytesHeld.Add(-n)
}

// Acquire returns a lease on n bytes, or false if there is no room. The lease must be released.
func (b *Budget) Acquire(n int64) (*Lease, bool) {
	if b == nil {
		return nil, true
	}
	if !b.take(n) {
		return nil, false
	}
	return &Lease{budget: b, held: n}, true
}

// Lease is the part of a Budget that one call holds. It is safe for concurrent use: sends that
// are still in progress when their call ends may grow it after it was released. A nil Lease has
// no bound.
type Lease struct {
	budget *Budget

	mu       sync.Mutex
	held     int64
	released bool
}

// Grow adds n bytes. It reports false, and adds nothing, if there is no room or the lease was
// released.
func (l *Lease) Grow(n int64) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released || !l.budget.take(n) {
		return false
	}
	l.held += n
	return true
}

// Shrink gives back n bytes of those held. It does nothing after Release.
func (l *Lease) Shrink(n int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	l.held -= n
	l.budget.giveBack(n)
}

// Split returns a lease on n of the bytes held, which the first lease no longer holds.
func (l *Lease) Split(n int64) *Lease {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released || n > l.held {
		return nil
	}
	l.held -= n
	return &Lease{budget: l.budget, held: n}
}

// Release gives back all bytes. Further calls do nothing.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.budget.giveBack(l.held)
}

// ByKey bounds the bytes held for each of several keys, such as upstreams. It is safe for
// concurrent use. A nil ByKey has no bound.
type ByKey struct {
	limit int64

	mu   sync.Mutex
	held map[string]int64 // keys with bytes held
}

// NewByKey returns a ByKey that allows that many bytes for each key.
func NewByKey(limit int64) *ByKey { return &ByKey{limit: limit, held: map[string]int64{}} }

// Limit returns the number of bytes that may be held for one key, 0 without a bound.
func (k *ByKey) Limit() int64 {
	if k == nil {
		return 0
	}
	return k.limit
}

// Acquire holds n bytes for a key. It reports false, and the bytes held, if that exceeds the
// limit. Anything fits while nothing is held for the key: otherwise a body above the limit
// could never be sent.
func (k *ByKey) Acquire(key string, n int64) (held int64, ok bool) {
	if k == nil || n == 0 {
		return 0, true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	held = k.held[key]
	if held > 0 && n > k.limit-held {
		byKeyRefusals.Add(1)
		return held, false
	}
	k.held[key] = held + n
	return held + n, true
}

// Release gives back n bytes that were acquired for a key.
func (k *ByKey) Release(key string, n int64) {
	if k == nil || n == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[key] -= n; k.held[key] <= 0 {
		delete(k.held, key)
	}
}
