package dispatch

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
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
	if s.kind == config.KindEngine {
		sl.m.controller.Suggest(s.unloadedTime(took, sl.beside), s.d.o.Now())
	}
	sl.m.controller.ObserveClass(sl.class, took, sl.beside, s.d.o.Now())
	if sl.m.concurrency() != before {
		s.refresh(sl.m)
	}
}

// nearlyAlone is up to how many requests at an engine leave a token's time about
// what it is without company.
const nearlyAlone = 2

// unloadedTime is the group's mean token time of requests that ran nearly alone,
// 0 while none did.
func (s *shard) unloadedTime(took time.Duration, beside int) time.Duration {
	switch {
	case beside > nearlyAlone:
	case s.unloaded == 0:
		s.unloaded = took
	default:
		s.unloaded += time.Duration(paceRate * float64(min(took, 2*s.unloaded)-s.unloaded))
	}
	return s.unloaded
}

// concurrency is the member's limit over all daemons.
func (m *member) concurrency() int {
	if m.configured > 0 {
		return m.configured
	}
	return m.controller.Limit()
}
