package poison

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

const (
	// placementTTL is the minimum lifetime of a placement; the maximum is twice that.
	// All daemons hear of an upstream's death well before it is over, and from then on
	// the request's mark decides.
	placementTTL = time.Second
	// maxPlacements bounds the placements that are remembered from one placementTTL.
	maxPlacements = 32768
	// maxSenders bounds the senders that a placement tells apart.
	maxSenders = 8
)

// Sender identifies one copy of a request that a daemon handles. All attempts that the
// daemon makes for this copy have the same Sender.
type Sender struct {
	VM       ident.VM
	Sequence uint64 // unique within the daemon's process
}

// Copy is a copy of a request that is about to be sent. It needs a placement only while
// no upstream is known to have answered the request.
type Copy struct {
	Fingerprint Fingerprint
	Sender      Sender
	Preferred   ident.Upstream // where the copy's daemon would send it
}

// Placements assigns all copies of a request to one upstream. Whether a request crashes its
// upstream is known only after one copy has run. If several daemons chose an upstream
// for their copies independently before that, each copy could cost one upstream. So one
// daemon places all copies of a request, and at most the upstream that it assigned is
// lost.
//
// Placements does no I/O and reads no clock; it is not safe for concurrent use.
//
// Invariants:
//   - within placementTTL of the first copy's placement all senders get the same
//     upstream, except that the only sender of a request may move to another one;
//   - a placement is dropped after twice placementTTL, so memory use doesn't grow with
//     time.
type Placements struct {
	current, previous map[Fingerprint]*placement // generations, see rotate
	currentSince      time.Time
}

type placement struct {
	upstream ident.Upstream
	senders  []Sender // at most maxSenders
}

// NewPlacements returns an empty set of placements.
func NewPlacements() *Placements {
	return &Placements{current: map[Fingerprint]*placement{}, previous: map[Fingerprint]*placement{}}
}

// Place returns the upstream that the copy must be sent to.
func (p *Placements) Place(c Copy, now time.Time) ident.Upstream {
	p.rotate(now)
	existing := p.current[c.Fingerprint]
	if existing == nil {
		existing = p.previous[c.Fingerprint]
	}
	if existing == nil {
		p.current[c.Fingerprint] = &placement{c.Preferred, []Sender{c.Sender}}
		return c.Preferred
	}
	if existing.hasOnlySender(c.Sender) {
		// Its upstream refused the copy or died while running it; no other copy is there.
		existing.upstream = c.Preferred
		return c.Preferred
	}
	existing.addSender(c.Sender)
	return existing.upstream
}

// rotate starts a new generation of placements if the current one is full or
// placementTTL old. The current one becomes the previous one, unless it is twice
// placementTTL old and is dropped.
func (p *Placements) rotate(now time.Time) {
	age := now.Sub(p.currentSince)
	if age < placementTTL && len(p.current) < maxPlacements {
		return
	}
	p.previous, p.current = p.current, map[Fingerprint]*placement{}
	switch {
	case age >= 2*placementTTL:
		p.previous = map[Fingerprint]*placement{}
		p.currentSince = now
	case age >= placementTTL:
		p.currentSince = p.currentSince.Add(placementTTL)
	default:
		p.currentSince = now
	}
}

func (p *placement) hasOnlySender(s Sender) bool { return len(p.senders) == 1 && p.senders[0] == s }

// addSender records a sender, unless the list is full. A sender that isn't recorded does
// no harm: with a full list no sender counts as the only one.
func (p *placement) addSender(s Sender) {
	for _, known := range p.senders {
		if known == s {
			return
		}
	}
	if len(p.senders) < maxSenders {
		p.senders = append(p.senders, s)
	}
}
