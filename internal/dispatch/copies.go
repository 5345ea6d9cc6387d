package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// CopyPlacer asks the daemon that owns a request's fingerprint on which upstream a copy of the
// request shall run. An error means that no answer came in time.
type CopyPlacer interface {
	PlaceCopy(ctx context.Context, c poison.Copy) (ident.Upstream, error)
}

const (
	// joinTimeout is how long a copy waits for the other copies' upstream while that is
	// unavailable: it may have died under one of them, and the report of the death may
	// not have arrived yet.
	joinTimeout = time.Second
	// joinPollInterval is the interval between its checks.
	joinPollInterval = 10 * time.Millisecond
)

// copyPlacement sends all copies of a request to one upstream until one of them has been
// answered. If a request that kills its upstream arrives at several daemons at the same
// time, and each places it by its own view of the load, each loses an upstream before any
// can report it. See poison.Placements.
type copyPlacement struct {
	mu               sync.Mutex
	placer           CopyPlacer // nil: this daemon places all copies itself
	places           *poison.Placements
	answeredRecently *poison.AnsweredRequests
	lastSender       uint64 // the last number given to a run
}

func newCopyPlacement() copyPlacement {
	return copyPlacement{places: poison.NewPlacements(), answeredRecently: poison.NewAnsweredRequests()}
}

// SetCopyPlacer sets how other daemons are asked. It isn't one of the Options, since p is built on
// top of the Dispatcher.
func (d *Dispatcher) SetCopyPlacer(p CopyPlacer) {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	d.copies.placer = p
}

// PlaceHere returns the upstream for a copy of a request whose fingerprint this daemon
// owns.
func (d *Dispatcher) PlaceHere(c poison.Copy) ident.Upstream {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	return d.copies.places.Place(c, d.options.Now())
}

// newCopySender returns an identity for a run, unique among all daemons.
func (d *Dispatcher) newCopySender() poison.Sender {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	d.copies.lastSender++
	return poison.Sender{VM: d.options.Self, Sequence: d.copies.lastSender}
}

// needsCoordination reports whether the run must share an upstream with copies of its
// request. Samples of a training step have no copies: the step has one owner, which sends
// each of them once.
func (r *requestRun) needsCoordination() bool {
	if r.dispatcher.options.Policy == PolicyNaive || r.uncoordinated || r.placement.route.Class == routing.ClassRollout {
		return false
	}
	return !r.dispatcher.wasAnsweredRecently(r.fingerprint)
}

func (d *Dispatcher) wasAnsweredRecently(fp poison.Fingerprint) bool {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	return d.copies.answeredRecently.Has(fp, d.options.Now())
}

func (d *Dispatcher) recordAnswered(fp poison.Fingerprint) {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	d.copies.answeredRecently.Add(fp, d.options.Now())
}

// coordinateSlot keeps the slot if the copies of the request run on its upstream.
// Otherwise it releases the slot and joins the copies. If the owner of the fingerprint
// doesn't answer, the copy goes to the rendezvous upstream, as all copies do whose daemon
// got no answer; so copies run on two upstreams at most. It returns neither a slot nor an
// error if the run has to be placed again.
func (r *requestRun) coordinateSlot(ctx context.Context, sl *slot) (*slot, *Error) {
	if !r.needsCoordination() {
		return sl, nil
	}
	assigned, answered := r.placeCopy(ctx, sl.member.target.Name)
	if !answered {
		copiesUnplaced.Add(1)
		assigned = r.shard.rendezvousUpstream(r.fingerprint, &r.placement)
	}
	if ctx.Err() == nil && r.dispatcher.poisonDecision(r.fingerprint).Verdict == poison.Clean && (assigned == sl.member.target.Name || !r.shard.uses(assigned)) {
		return sl, nil
	}
	r.shard.releaseSlot(sl, false)
	return r.joinCopies(ctx, sl.member.target.Name, assigned)
}

// placeCopy returns the upstream on which the copy shall run, false if the owner of the
// fingerprint didn't answer.
func (r *requestRun) placeCopy(ctx context.Context, preferred ident.Upstream) (ident.Upstream, bool) {
	if r.copySender == (poison.Sender{}) {
		r.copySender = r.dispatcher.newCopySender()
	}
	c := poison.Copy{Fingerprint: r.fingerprint, Sender: r.copySender, Preferred: preferred}
	r.dispatcher.copies.mu.Lock()
	placer := r.dispatcher.copies.placer
	r.dispatcher.copies.mu.Unlock()
	if placer == nil {
		return r.dispatcher.PlaceHere(c), true
	}
	assigned, err := placer.PlaceCopy(ctx, c)
	return assigned, err == nil
}

// joinCopies takes a slot on the upstream of the other copies, whatever its load. While
// that upstream is unavailable, it waits for a report of its death; if it tried another
// upstream instead, it would get there before the report.
func (r *requestRun) joinCopies(ctx context.Context, preferred, assigned ident.Upstream) (*slot, *Error) {
	giveUpAt := r.dispatcher.options.Now().Add(joinTimeout)
	for r.dispatcher.poisonDecision(r.fingerprint).Verdict == poison.Clean && r.needsCoordination() {
		if ctx.Err() != nil {
			return nil, contextError(ctx, r.outcome())
		}
		if sl := r.shard.takeSlotOn(assigned, &r.placement, r.fingerprint); sl != nil {
			copiesJoined.Add(1)
			r.logCopy("copy joins the upstream of another copy", preferred, assigned)
			return sl, nil
		}
		if !r.dispatcher.options.Now().Before(giveUpAt) {
			r.uncoordinated = true
			r.logCopy("upstream of the other copies is unavailable; placing the copy by itself", preferred, assigned)
			break
		}
		waitUpTo(ctx, nil, joinPollInterval)
	}
	return nil, nil
}

func (r *requestRun) logCopy(message string, preferred, assigned ident.Upstream) {
	r.dispatcher.options.Log.Info().Stringer("fingerprint", r.fingerprint).Str("request", string(r.id)).
		Str("wanted", string(preferred)).Str("upstream", string(assigned)).Int("attempts", r.sends.Total).Msg(message)
}

func (s *shard) uses(name ident.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[name]
	return m != nil && m.used
}

// takeSlotOn takes a slot on a member without queueing. It returns nil if the request
// can't run there.
func (s *shard) takeSlotOn(name ident.Upstream, req *placementRequest, fp poison.Fingerprint) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[name]
	if m == nil || !m.used || !m.usable() || !m.canServe(req) || slices.Contains(req.route.Exclude, name) {
		return nil
	}
	sl := s.bookSlot(m, fp, s.dispatcher.options.Now())
	sl.outsideQueue = true
	s.reserveDemand.add(sl, req.route, s.routingTable)
	return sl
}

// rendezvousUpstream returns the member that rendezvous hashing selects for a request. All
// daemons get the same result, whatever the load; it is "" if no member can serve the
// request. A member that was lost less than joinTimeout ago still counts: copies that find
// it dead one after the other would otherwise move on to the next member together, before
// the report of the death arrives.
func (s *shard) rendezvousUpstream(fp poison.Fingerprint, req *placementRequest) ident.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.options.Now()
	var best ident.Upstream
	var highest uint64
	for _, m := range s.used {
		recentlyLost := !m.eligible && now.Sub(m.ineligibleSince) <= joinTimeout
		if !m.usable() && !recentlyLost || !m.canServe(req) {
			continue
		}
		if hash := xxhash.Sum64String(fp.String() + "\x00" + string(m.target.Name)); best == "" || hash > highest {
			best, highest = m.target.Name, hash
		}
	}
	return best
}
