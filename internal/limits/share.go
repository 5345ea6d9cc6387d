package limits

import (
	"math"
	"time"
)

// Share returns how many requests this daemon may have in flight at one upstream,
// until it next hears from its peers.
//
// limit is the upstream's, daemons how many use it (this one too), peers what the
// others had in flight by their last word, and own what this daemon had in flight
// when that word was made. Not own now: what it started since is what the peers
// don't know of either, and counted in, each of them would be granted more for it.
// Sharer keeps the past counts.
//
// Each daemon always has its even part of the limit, and of what was free then it
// may take a part by what it had in flight itself: a training step runs at one
// daemon, and the others, which have a few production requests, need little of
// what is free. So, however late the news is:
//   - daemons that start together overshoot by rounding only, less than one
//     request each: own and peers together are the same sum for all of them, and
//     the parts of what is free add up to it;
//   - a lone busy daemon comes to the whole limit in a few rounds of news, and
//     takes most of what ended since the last one again;
//   - if some fill the limit while others are idle and then start, these take
//     their even parts at once: less than twice the limit in flight (and rounding),
//     until the first ones hear of it and start nothing new.
func Share(limit, own, peers, daemons int) int {
	return int(math.Ceil(ShareExact(limit, own, peers, daemons) - rounding))
}

// ShareExact is Share before it is rounded up. Over a group of upstreams, the sum
// of exact shares is to be rounded: 13 daemons that round up their parts of a limit
// of 14 take 26.
func ShareExact(limit, own, peers, daemons int) float64 {
	if limit <= 0 {
		return 0
	}
	daemons = max(1, daemons)
	even := float64(limit) / float64(daemons)
	own, peers = max(0, own), max(0, peers)
	free := limit - own - peers
	if free <= 0 {
		return even
	}
	part := float64(free*(busyWeight*own+1)) / float64(busyWeight*(own+peers)+daemons)
	return min(float64(limit), max(even, float64(own)+part))
}

// rounding absorbs the error of a quotient that should be whole.
const rounding = 1e-9

// busyWeight is how much a request in flight counts against a daemon that merely
// is there, when what is free is parted.
const busyWeight = 4

// remembered is how many changes of own a Sharer keeps. For what came before, the
// least of them stands: it grants least.
const remembered = 64

// Sharer is one daemon's share at one upstream.
type Sharer struct {
	limit, own, peers, daemons int

	past [remembered]ownSample // ring, the newest at head
	head int
	kept int
}

type ownSample struct {
	at  time.Time
	own int
}

// Note records what this daemon has in flight now; call it at each change.
func (s *Sharer) Note(own int, now time.Time) {
	if s.kept > 0 && !now.After(s.past[s.head].at) {
		s.past[s.head].own = own
		return
	}
	s.head = (s.head + 1) % remembered
	s.past[s.head] = ownSample{at: now, own: own}
	s.kept = min(remembered, s.kept+1)
}

// Heard takes the peers' word, and what this daemon had in flight when it was
// made. Own as of now will do while news is no later than one round of it; older
// news raises the overshoot then by the part of a round for each round.
func (s *Sharer) Heard(limit, own, peers, daemons int) {
	s.limit, s.own, s.peers, s.daemons = limit, own, peers, daemons
}

// HeardAt is Heard with own as Note knows it from the time that the peers' word
// was made. Of words made at several times, the earliest counts.
func (s *Sharer) HeardAt(limit, peers, daemons int, made time.Time) {
	s.Heard(limit, s.ownAt(made), peers, daemons)
}

// SetLimit changes the limit between two words.
func (s *Sharer) SetLimit(limit int) { s.limit = limit }

// Allowed returns how many this daemon may have in flight.
func (s *Sharer) Allowed() int { return Share(s.limit, s.own, s.peers, s.daemons) }

// AllowedExact is Allowed before it is rounded up.
func (s *Sharer) AllowedExact() float64 {
	return ShareExact(s.limit, s.own, s.peers, s.daemons)
}

// ownAt returns what was in flight at a time, 0 if nothing is known.
func (s *Sharer) ownAt(at time.Time) int {
	if s.kept < remembered {
		return s.newestBy(at, 0)
	}
	least := s.past[0].own
	for _, sample := range s.past {
		least = min(least, sample.own)
	}
	return s.newestBy(at, least)
}

// newestBy returns the newest count from no later than a time.
func (s *Sharer) newestBy(at time.Time, otherwise int) int {
	for n := range s.kept {
		sample := s.past[(s.head-n+remembered)%remembered]
		if !sample.at.After(at) {
			return sample.own
		}
	}
	return otherwise
}
