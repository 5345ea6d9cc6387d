package dispatch

import (
	"math"
	"time"
)

// countCapacity tells the queue how many requests this daemon may run at once.
func (s *shard) countCapacity() {
	if !s.gate.stale {
		return
	}
	s.gate.stale = false
	total, held := 0.0, 0.0
	for _, m := range s.order {
		switch {
		case m.usable():
			total += m.capacity()
		case m.eligible:
			held += m.capacity()
		}
	}
	if total == 0 {
		total = held // rather beside suspects than not at all
	}
	s.gate.queue.SetCapacity(max(1, int(math.Ceil(total))), 0)
}

// capacity is what this daemon may run on one member: its share of the limit,
// scaled down while the member starts slowly. Not rounded: over all members and
// daemons, places rounded up would come to several times a small limit.
func (m *member) capacity() float64 {
	m.share.SetLimit(m.concurrency())
	return m.share.AllowedExact() * m.weight
}

// observe teaches a member's limit from a token's time, or a call's.
func (s *shard) observe(sl *slot, took time.Duration) {
	before := sl.m.concurrency()
	sl.m.controller.ObserveClass(sl.class, took, sl.beside, s.d.o.Now())
	if sl.m.concurrency() != before {
		s.refresh(sl.m)
	}
}

// concurrency is the member's limit over all daemons.
func (m *member) concurrency() int {
	if m.configured > 0 {
		return m.configured
	}
	return m.controller.Limit()
}
