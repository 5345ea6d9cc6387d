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

// Placer asks whichever daemon places the copies of a request where a copy runs. An
// error says that nobody could tell in time.
type Placer interface {
	Place(ctx context.Context, c poison.Copy) (ident.Upstream, error)
}

const (
	// joinWait is how long a copy waits for an upstream that is away: it may have died
	// under another copy, and word of that is on its way.
	joinWait = time.Second
	// joinLook is how often it looks.
	joinLook = 10 * time.Millisecond
)

// copies keeps the copies of one request on one upstream until one of them was
// answered. A request that kills its upstream comes through several daemons at one
// moment; each would place it by its own view of load, and each would lose an upstream
// before any could tell. See poison.Places.
type copies struct {
	mu       sync.Mutex
	placer   Placer // nil: this daemon is alone
	places   *poison.Places
	answered *poison.Answered
	senders  uint64 // numbers given to runs
}

func newCopies() copies {
	return copies{places: poison.NewPlaces(), answered: poison.NewAnswered()}
}

// SetPlacer gives the way to ask other daemons, which is built on top of this one.
func (d *Dispatcher) SetPlacer(p Placer) {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	d.copies.placer = p
}

// PlaceHere places a copy of a request whose copies this daemon places.
func (d *Dispatcher) PlaceHere(c poison.Copy) ident.Upstream {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	return d.copies.places.Place(c, d.o.Now())
}

// sender numbers a run among this daemon's.
func (d *Dispatcher) sender() poison.Sender {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	d.copies.senders++
	return poison.Sender{VM: d.o.Self, Number: d.copies.senders}
}

// mayHaveCopies says whether a run has to agree with copies elsewhere. A step's samples
// have one owner, which sends each once.
func (r *run) mayHaveCopies() bool {
	if r.d.o.Policy == Naive || r.apart || r.want.route.Class == routing.ClassRollout {
		return false
	}
	return !r.d.wasAnswered(r.fp)
}

func (d *Dispatcher) wasAnswered(fp poison.Fingerprint) bool {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	return d.copies.answered.Has(fp, d.o.Now())
}

func (d *Dispatcher) noteAnswered(fp poison.Fingerprint) {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	d.copies.answered.Add(fp, d.o.Now())
}

// agree keeps a place if the request's copies run there, or gives it back and joins
// them. Without an answer it goes where all go that got none, so that copies are on two
// upstreams at most. It returns neither a slot nor an error if the run has to be placed
// anew.
func (r *run) agree(ctx context.Context, sl *slot) (*slot, *Error) {
	if !r.mayHaveCopies() {
		return sl, nil
	}
	at, asked := r.placeCopy(ctx, sl.m.target.Name)
	if !asked {
		copiesUnasked.Add(1)
		at = r.s.firstByHash(r.fp, &r.want)
	}
	if ctx.Err() == nil && r.d.judge(r.fp).Verdict == poison.Clean && (at == sl.m.target.Name || !r.s.has(at)) {
		return sl, nil
	}
	r.s.giveBackLocked(sl, false)
	return r.join(ctx, sl.m.target.Name, at)
}

// placeCopy returns where the copy shall run, false if nobody could tell.
func (r *run) placeCopy(ctx context.Context, wanted ident.Upstream) (ident.Upstream, bool) {
	if r.sender == (poison.Sender{}) {
		r.sender = r.d.sender()
	}
	c := poison.Copy{Fingerprint: r.fp, Sender: r.sender, Wanted: wanted}
	r.d.copies.mu.Lock()
	placer := r.d.copies.placer
	r.d.copies.mu.Unlock()
	if placer == nil {
		return r.d.PlaceHere(c), true
	}
	at, err := placer.Place(ctx, c)
	return at, err == nil
}

// join takes a place on the upstream of other copies, whatever its load. While that one
// is away it waits for word of its end, which a run that went on elsewhere would
// outpace.
func (r *run) join(ctx context.Context, wanted, at ident.Upstream) (*slot, *Error) {
	until := r.d.o.Now().Add(joinWait)
	for r.d.judge(r.fp).Verdict == poison.Clean && r.mayHaveCopies() {
		if ctx.Err() != nil {
			return nil, contextError(ctx, r.outcome())
		}
		if sl := r.s.takeAt(at, &r.want, r.fp); sl != nil {
			copiesJoined.Add(1)
			r.noteCopy("copy joins another", wanted, at)
			return sl, nil
		}
		if !r.d.o.Now().Before(until) {
			r.apart = true
			r.noteCopy("copy goes on by itself, the other's upstream is away", wanted, at)
			break
		}
		waitFor(ctx, nil, joinLook)
	}
	return nil, nil
}

func (r *run) noteCopy(message string, wanted, at ident.Upstream) {
	r.d.o.Log.Info().Stringer("fingerprint", r.fp).Str("request", string(r.id)).
		Str("wanted", string(wanted)).Str("upstream", string(at)).Int("attempts", r.sends.Made).Msg(message)
}

func (s *shard) has(name ident.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[name]
	return m != nil && m.used
}

// takeAt books a request on a member beside the queue, nil if it can't run there.
func (s *shard) takeAt(name ident.Upstream, w *want, fp poison.Fingerprint) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[name]
	if m == nil || !m.used || !m.usable() || !m.fits(w) || slices.Contains(w.route.Exclude, name) {
		return nil
	}
	sl := s.take(m, fp, s.d.o.Now())
	sl.unqueued = true
	s.need.began(sl, w.route, s.table)
	return sl
}

// firstByHash returns the member that all daemons name alike for a request, whatever its
// load; "" if there is none. One that was lost a moment ago counts still: copies that find
// it dead one after the other would hop on to the next name together, faster than word of
// its death.
func (s *shard) firstByHash(fp poison.Fingerprint, w *want) ident.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.o.Now()
	var best ident.Upstream
	var highest uint64
	for _, m := range s.order {
		justLost := !m.eligible && now.Sub(m.lostAt) <= joinWait
		if !m.usable() && !justLost || !m.fits(w) {
			continue
		}
		if rank := xxhash.Sum64String(fp.String() + "\x00" + string(m.target.Name)); best == "" || rank > highest {
			best, highest = m.target.Name, rank
		}
	}
	return best
}
