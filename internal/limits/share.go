package limits

import (
	"math"
	"time"
)

// Share returns the number of requests that this daemon may have in flight at one
// upstream until the next update from its peers.
//
// limit is the concurrency limit of the upstream, daemons the number of daemons that use
// it, including this one, and peers the number of requests that the others had in flight
// according to their last update. own is the number of requests that this daemon had in
// flight when that update was made, not the current number: the peers do not know of the
// requests started since, so if these were included, every daemon would be allowed more
// because of its own.
//
// Each daemon may always use an equal share of the limit. In addition it may use a part of
// the capacity that was free, in proportion to its own requests in flight: a training step
// is run by one daemon, and the others, which have a few production requests, need little
// of the free capacity. Therefore, regardless of the delay of the updates:
//   - Daemons that start at the same time exceed the limit only by rounding, by less than
//     one request each, because the sum of own and peers is the same for all of them and
//     their parts add up to the free capacity.
//   - A single busy daemon reaches the whole limit in a few rounds of updates, and takes
//     most of what was released since the last one again.
//   - If some daemons use the whole limit while others are idle, and these then start,
//     they use their equal shares at once. Less than twice the limit (and rounding) is
//     then in flight until the former learn of it and start no more requests.
func Share(limit, own, peers, daemons int) int {
	return int(math.Ceil(ShareExact(limit, own, peers, daemons) - roundingError))
}

// ShareExact is Share before rounding up. For a group of upstreams, add up the exact
// shares and round the sum: 13 daemons that each round up their share of a limit of 14
// use 26.
func ShareExact(limit, own, peers, daemons int) float64 {
	if limit <= 0 {
		return 0
	}
	daemons = max(1, daemons)
	equal := float64(limit) / float64(daemons)
	own, peers = max(0, own), max(0, peers)
	free := limit - own - peers
	if free <= 0 {
		return equal
	}
	part := float64(free*(inFlightWeight*own+1)) / float64(inFlightWeight*(own+peers)+daemons)
	return min(float64(limit), max(equal, float64(own)+part))
}

// roundingError is subtracted before rounding up, so that the floating-point error of a
// quotient that should be an integer does not add a request.
const roundingError = 1e-9

// inFlightWeight is the weight of a request in flight when free capacity is divided
// between the daemons. Each daemon itself has a weight of 1.
const inFlightWeight = 4

// historySize is the number of changes of own that are kept. For earlier times the lowest
// of them is used, which allows the fewest requests.
const historySize = 64

// ShareTracker tracks the share of one daemon at one upstream. It keeps past numbers of the
// daemon's requests in flight, which Share needs.
type ShareTracker struct {
	limit, own, peers, daemons int // see Share

	history    [historySize]ownCount // ring buffer
	newest     int                   // index of the newest element of history
	historyLen int
}

// ownCount is the number of this daemon's requests in flight from a time on.
type ownCount struct {
	at  time.Time
	own int
}

// RecordOwn records the number of requests that this daemon has in flight. Call it whenever
// that number changes.
func (s *ShareTracker) RecordOwn(own int, now time.Time) {
	if s.historyLen > 0 && !now.After(s.history[s.newest].at) {
		s.history[s.newest].own = own
		return
	}
	s.newest = (s.newest + 1) % historySize
	s.history[s.newest] = ownCount{at: now, own: own}
	s.historyLen = min(historySize, s.historyLen+1)
}

// UpdatePeers records an update from the peers, and own, the number of requests that this
// daemon had in flight when the update was made. The current number may be used while
// updates are delayed by at most one round. With longer delays each further round then
// adds the part of one round to the excess over the limit.
func (s *ShareTracker) UpdatePeers(limit, own, peers, daemons int) {
	s.limit, s.own, s.peers, s.daemons = limit, own, peers, daemons
}

// UpdatePeersAt records an update from the peers that was made at the given time, and takes own
// from the numbers recorded for that time. If the peers made their updates at different
// times, pass the earliest.
func (s *ShareTracker) UpdatePeersAt(limit, peers, daemons int, made time.Time) {
	s.UpdatePeers(limit, s.ownInFlightAt(made), peers, daemons)
}

// SetLimit changes the limit between two updates.
func (s *ShareTracker) SetLimit(limit int) { s.limit = limit }

// Allowed returns the number of requests that this daemon may have in flight.
func (s *ShareTracker) Allowed() int { return Share(s.limit, s.own, s.peers, s.daemons) }

// AllowedExact is Allowed before rounding up.
func (s *ShareTracker) AllowedExact() float64 {
	return ShareExact(s.limit, s.own, s.peers, s.daemons)
}

// ownInFlightAt returns the number of this daemon's requests that were in flight at a
// time, or 0 if it is unknown.
func (s *ShareTracker) ownInFlightAt(at time.Time) int {
	if s.historyLen < historySize {
		return s.lastAtOrBefore(at, 0)
	}
	lowest := s.history[0].own
	for _, count := range s.history {
		lowest = min(lowest, count.own)
	}
	return s.lastAtOrBefore(at, lowest)
}

// lastAtOrBefore returns the number that was last recorded at or before a time, or
// fallback if there is none.
func (s *ShareTracker) lastAtOrBefore(at time.Time, fallback int) int {
	for n := range s.historyLen {
		count := s.history[(s.newest-n+historySize)%historySize]
		if !count.at.After(at) {
			return count.own
		}
	}
	return fallback
}
