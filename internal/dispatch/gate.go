package dispatch

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// When callers should come back, where nothing better is known.
const (
	retryNoUpstream = time.Second
	retryElsewhere  = 100 * time.Millisecond // another daemon takes it at once
)

// want is one attempt that asks for a place on an upstream.
type want struct {
	team         ident.Team
	model        ident.Model // "" for calls
	deadline     time.Time   // latest start; zero: none
	stepDeadline time.Time
	urgent       bool // before its team's others: straggler, or begun already
	cost         float64
	prefer       ident.Version // rather on engines that serve it; 0: no matter
	route        routing.Request
}

// waiter is a want in the queue. slot and err are set before ready is closed.
type waiter struct {
	want  want
	fp    poison.Fingerprint
	ready chan struct{}
	slot  *slot
	err   *Error
	// ticket is set when it is parked.
	ticket limits.Ticket
}

// slot is a place on an upstream, held from the start of an attempt to its end.
type slot struct {
	m       *member
	fp      poison.Fingerprint // 0: not watched
	ticket  limits.Ticket
	bootID  string // of the process, as known at the start
	started time.Time
	lane    bool // alone
	passed  bool // got past probation: not alone any more
	// unqueued: it is off the queue's books, as in a lane or beside a copy.
	unqueued bool
	beside   int // requests in flight there, with this one, over all daemons
	class    routing.Class
	// sensitive work may use the reserve, see routing.Table.SetReserve.
	sensitive bool
	tokens    int // that this attempt generated
}

// gate is the admission of a shard, under its lock. Its queue is nil under the
// naive policy, which starts everything at once.
type gate struct {
	queue   *limits.Queue
	last    limits.Ticket
	waiting map[limits.Ticket]*waiter // in the queue or parked
	stale   bool                      // capacity has to be counted anew

	parked    []*parkedList      // what waits beside the queue, none empty between calls
	reserve   float64            // the part of the places that rollouts leave free
	maxQueues map[ident.Team]int // 0: the default
}

func newGate(p Policy) gate {
	g := gate{waiting: map[limits.Ticket]*waiter{}, stale: true}
	if p != Naive {
		g.queue = limits.NewQueue(limits.Options{ProductionReserve: -1})
	}
	return g
}

// configure takes limits of teams over. A reserve can't be changed on a live
// queue, so a new queue takes over when the old one is idle. Only engines are
// shared between production and rollouts and need a reserve.
func (g *gate) configure(kind config.Kind, t *config.Tree) {
	if g.queue == nil {
		return
	}
	reserve := t.Fleet.ProductionReserve
	if kind != config.KindEngine {
		reserve = 0
	}
	if len(g.waiting) == 0 && g.queue.Running(routing.ClassProduction)+g.queue.Running(routing.ClassRollout) == 0 {
		g.queue = limits.NewQueue(limits.Options{ProductionReserve: reserve})
		g.reserve = reserve
	}
	g.maxQueues = map[ident.Team]int{}
	for name, team := range t.Teams {
		g.maxQueues[name] = team.Limits.MaxQueue
		g.queue.SetTeam(name, team.Limits.Weight, team.Limits.MaxQueue)
	}
	g.stale = true
}

func (g *gate) queued() int { return len(g.waiting) }

// acquire waits for a place. Its errors are always NotRun: nothing was sent.
func (s *shard) acquire(ctx context.Context, w want, fp poison.Fingerprint) (*slot, *Error) {
	waiting := &waiter{want: w, fp: fp, ready: make(chan struct{})}
	ticket := s.enqueue(waiting)
	select {
	case <-waiting.ready:
		return waiting.slot, waiting.err
	default:
	}
	since := s.d.o.Now()
	defer func() { noteQueued(w.team, s.d.o.Now().Sub(since)) }()
	select {
	case <-waiting.ready:
	case <-ctx.Done():
		s.abandon(ticket, waiting)
		return nil, contextError(ctx, outcome.NotRun)
	}
	if waiting.err != nil {
		return nil, waiting.err
	}
	return waiting.slot, nil
}

// enqueue starts the waiter, refuses it or lets it wait.
func (s *shard) enqueue(w *waiter) limits.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.o.Now()
	if s.closed || !s.anyEligible() {
		w.refuse(&Error{Outcome: outcome.NotRun, Reason: NoUpstream, RetryAfter: retryNoUpstream})
		return 0
	}
	s.gate.last++
	ticket := s.gate.last
	if s.gate.queue == nil {
		s.start(ticket, w, now)
		return ticket
	}
	s.countCapacity()
	if s.mustPark(&w.want) {
		s.parkOrRefuse(ticket, w)
		return ticket
	}
	s.admit(ticket, w, now)
	return ticket
}

// admit brings a waiter into the queue; true if it starts at once.
func (s *shard) admit(ticket limits.Ticket, w *waiter, now time.Time) bool {
	decision := s.gate.queue.Enqueue(s.entry(ticket, w), now)
	switch {
	case decision.Admit:
		s.start(ticket, w, now)
		return true
	case decision.Queued:
		s.gate.waiting[ticket] = w
	default:
		refusals.Add(1)
		w.refuse(refusal(decision))
	}
	return false
}

func (s *shard) parkOrRefuse(ticket limits.Ticket, w *waiter) {
	if s.park(ticket, w) {
		return
	}
	refusals.Add(1)
	w.refuse(&Error{Outcome: outcome.NotRun, Reason: Overloaded, RetryAfter: retryNoUpstream})
}

func (s *shard) entry(ticket limits.Ticket, w *waiter) limits.Entry {
	return limits.Entry{
		Ticket:       ticket,
		Team:         w.want.team,
		Class:        w.want.route.Class,
		Deadline:     w.want.deadline,
		StepDeadline: w.want.stepDeadline,
		Cost:         w.want.cost,
		Straggler:    w.want.urgent,
	}
}

func refusal(d limits.Decision) *Error {
	reason := Overloaded
	if d.Refused == limits.RefuseDeadline {
		reason = QueueTimeout
	}
	return &Error{Outcome: outcome.NotRun, Reason: reason, RetryAfter: d.RetryAfter}
}

func (w *waiter) refuse(err *Error) {
	w.err = err
	close(w.ready)
}

// abandon takes a waiter back whose caller is gone, also if it just started.
func (s *shard) abandon(ticket limits.Ticket, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.ready:
		if w.slot != nil {
			s.giveBack(w.slot, false)
		}
	default:
		delete(s.gate.waiting, ticket)
		s.gate.queue.Cancel(ticket, s.d.o.Now())
		s.gate.dropParked(func(other *waiter) bool { return other == w })
	}
	s.pump(s.d.o.Now())
}

// pump starts what may start and refuses what waited too long.
func (s *shard) pump(now time.Time) {
	q := s.gate.queue
	if q == nil {
		return
	}
	if s.closed {
		s.refuseWaiting(now)
		return
	}
	s.countCapacity()
	s.expireParked(now)
	s.unpark(now)
	for s.pumpOnce(now) {
	}
}

// pumpOnce starts what the queue lets through. What finds its engines full is
// parked; true says that something was, so that the queue has places left.
func (s *shard) pumpOnce(now time.Time) (parked bool) {
	q := s.gate.queue
	starts, expired := q.Next(now)
	for _, e := range expired {
		w := s.gate.waiting[e.Ticket]
		delete(s.gate.waiting, e.Ticket)
		refusals.Add(1)
		w.refuse(&Error{Outcome: outcome.NotRun, Reason: QueueTimeout, RetryAfter: e.RetryAfter})
	}
	for _, ticket := range starts {
		w := s.gate.waiting[ticket]
		delete(s.gate.waiting, ticket)
		if s.mustPark(&w.want) {
			q.Cancel(ticket, now)
			s.parkOrRefuse(ticket, w)
			parked = true
			continue
		}
		s.start(ticket, w, now)
	}
	return parked
}

func (s *shard) refuseWaiting(now time.Time) {
	s.gate.parked = nil
	for ticket, w := range s.gate.waiting {
		delete(s.gate.waiting, ticket)
		s.gate.queue.Cancel(ticket, now)
		w.refuse(&Error{Outcome: outcome.NotRun, Reason: NoUpstream, RetryAfter: retryNoUpstream})
	}
}

// start places a waiter that the queue let through.
func (s *shard) start(ticket limits.Ticket, w *waiter, now time.Time) {
	m := s.place(&w.want, now)
	if m == nil {
		if s.gate.queue != nil {
			s.gate.queue.Cancel(ticket, now)
		}
		w.refuse(&Error{Outcome: outcome.NotRun, Reason: NoUpstream, RetryAfter: retryNoUpstream})
		return
	}
	w.slot = s.take(m, w.fp, now)
	w.slot.ticket = ticket
	s.need.began(w.slot, w.want.route, s.table)
	close(w.ready)
}

// take books a request on a member.
func (s *shard) take(m *member, fp poison.Fingerprint, now time.Time) *slot {
	m.inFlight++
	m.share.Note(m.inFlight, now)
	s.lanes.runs(fp, 1)
	s.table.AddOwn(m.target.Name, 1)
	u, _ := s.table.Member(m.target.Name)
	return &slot{m: m, fp: fp, bootID: m.bootID, started: now, beside: u.Own + u.Peers}
}

// giveBack ends a slot; ran says whether its time is worth learning from.
func (s *shard) giveBack(sl *slot, ran bool) {
	now := s.d.o.Now()
	sl.m.inFlight--
	sl.m.share.Note(sl.m.inFlight, now)
	s.lanes.runs(sl.fp, -1)
	s.need.ended(sl)
	if s.members[sl.m.target.Name] == sl.m { // else: left, or another of the name
		s.table.AddOwn(sl.m.target.Name, -1)
	}
	if s.gate.queue != nil && !sl.unqueued {
		if ran {
			s.gate.queue.Done(sl.ticket, now)
		} else {
			s.gate.queue.Cancel(sl.ticket, now)
		}
	}
	s.lanes.changed()
}

// giveBackLocked is giveBack for those who don't hold the lock.
func (s *shard) giveBackLocked(sl *slot, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBack(sl, ran)
	s.pump(s.d.o.Now())
}

func contextError(ctx context.Context, o outcome.Outcome) *Error {
	reason := Cancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = Deadline
	}
	return &Error{Outcome: o, Reason: reason, RetryAfter: retryNoUpstream, Err: ctx.Err()}
}
