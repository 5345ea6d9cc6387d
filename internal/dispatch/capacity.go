package dispatch

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
)

// updateCapacity sets how many requests of this daemon the queue may run at once.
func (s *shard) updateCapacity() {
	if !s.admission.capacityStale {
		return
	}
	s.admission.capacityStale = false
	total, quarantined := 0.0, 0.0
	for _, m := range s.used {
		switch {
		case m.usable():
			total += m.capacity()
		case m.eligible:
			quarantined += m.capacity()
		}
	}
	if total == 0 {
		total = quarantined // running beside suspects is better than not running at all
	}
	s.admission.queue.SetCapacity(max(1, int(math.Ceil(total))), 0)
}

// capacity returns how many requests this daemon may run on a member: its share of the
// limit, reduced during the member's slow start. It isn't rounded: over all members and
// daemons, rounding up would add up to several times a small limit.
func (m *member) capacity() float64 {
	m.limitShare.SetLimit(m.concurrencyLimit())
	return m.limitShare.AllowedExact() * m.weight
}

// observeLatency adapts a member's limit to the latency of one token, or of a whole call.
func (s *shard) observeLatency(sl *slot, latency time.Duration) {
	oldLimit := sl.member.concurrencyLimit()
	if s.kind == config.KindEngine {
		sl.member.controller.SuggestBaseline(s.updateUnloadedTime(latency, sl.upstreamInFlight), s.dispatcher.options.Now())
	}
	sl.member.controller.ObserveClass(sl.class, latency, sl.upstreamInFlight, s.dispatcher.options.Now())
	if sl.member.concurrencyLimit() != oldLimit {
		s.updateRouting(sl.member)
	}
}

// maxUnloadedInFlight is the number of requests in flight on an engine up to which its
// token time is about that of a single request.
const maxUnloadedInFlight = 2

// updateUnloadedTime returns the group's mean token time of requests that ran on a nearly
// idle engine, 0 if there were none, after it has added this one if it was such a request.
func (s *shard) updateUnloadedTime(tokenTime time.Duration, inFlight int) time.Duration {
	switch {
	case inFlight > maxUnloadedInFlight:
	case s.unloadedTokenTime == 0:
		s.unloadedTokenTime = tokenTime
	default:
		s.unloadedTokenTime += time.Duration(meanRate * float64(min(tokenTime, 2*s.unloadedTokenTime)-s.unloadedTokenTime))
	}
	return s.unloadedTokenTime
}

// concurrencyLimit returns the member's limit over all daemons.
func (m *member) concurrencyLimit() int {
	if m.configuredLimit > 0 {
		return m.configuredLimit
	}
	return m.controller.Limit()
}
