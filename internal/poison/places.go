package poison

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

const (
	// placeLife is how long a place holds at least; at most it is twice that. A death
	// is known to all daemons well before, and marks decide from then on.
	placeLife = time.Second
	// maxPlaces bounds the requests of one placeLife that are remembered.
	maxPlaces = 32768
	// maxSenders bounds the copies that a place tells apart.
	maxSenders = 8
)

// Sender is one copy of a request on its way through a daemon; its further attempts
// are the same sender's.
type Sender struct {
	VM     ident.VM
	Number uint64 // unique in the daemon's process
}

// Copy asks where a request may run that no upstream is known to have answered.
type Copy struct {
	Fingerprint Fingerprint
	Sender      Sender
	Wanted      ident.Upstream // where its daemon would have it run
}

// Places says where the copies of a request run. Whether a request kills shows only
// when one copy has run; copies that several daemons place by themselves before that,
// at one moment, end one upstream each. One daemon places all copies of a request, and
// gives them one upstream: whatever they do to it, they do to that one.
//
// It is pure (no clock, no I/O) and not safe for concurrent use.
//
// Invariants:
//   - within placeLife of the first copy's place, all senders get the same upstream,
//     save a sender that is alone with the request: it may move;
//   - a place is forgotten after two placeLives, so that nothing grows with time.
type Places struct {
	recent, former map[Fingerprint]*place // by the placeLife in which they were made
	since          time.Time              // when recent began
}

type place struct {
	upstream ident.Upstream
	senders  []Sender
}

// NewPlaces returns an empty Places.
func NewPlaces() *Places {
	return &Places{recent: map[Fingerprint]*place{}, former: map[Fingerprint]*place{}}
}

// Place returns the upstream for a copy.
func (p *Places) Place(c Copy, now time.Time) ident.Upstream {
	p.forget(now)
	known := p.recent[c.Fingerprint]
	if known == nil {
		known = p.former[c.Fingerprint]
	}
	if known == nil {
		p.recent[c.Fingerprint] = &place{c.Wanted, []Sender{c.Sender}}
		return c.Wanted
	}
	if known.alone(c.Sender) {
		// Its upstream refused it, or was lost under it: nobody else is there.
		known.upstream = c.Wanted
		return c.Wanted
	}
	known.add(c.Sender)
	return known.upstream
}

// forget starts a new placeLife when the current one is over, or full.
func (p *Places) forget(now time.Time) {
	age := now.Sub(p.since)
	if age < placeLife && len(p.recent) < maxPlaces {
		return
	}
	p.former, p.recent = p.recent, map[Fingerprint]*place{}
	switch {
	case age >= 2*placeLife:
		p.former = map[Fingerprint]*place{}
		p.since = now
	case age >= placeLife:
		p.since = p.since.Add(placeLife)
	default:
		p.since = now
	}
}

func (p *place) alone(s Sender) bool { return len(p.senders) == 1 && p.senders[0] == s }

// add notes a sender. One that found the list full is not told apart from others,
// which only makes sure that nobody counts as alone.
func (p *place) add(s Sender) {
	for _, known := range p.senders {
		if known == s {
			return
		}
	}
	if len(p.senders) < maxSenders {
		p.senders = append(p.senders, s)
	}
}
