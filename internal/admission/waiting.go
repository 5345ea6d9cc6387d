package admission

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

const (
	// queuedPerSlot bounds the waiting calls per slot of the service. A call waits for half of
	// its latency target at most, in which a slot runs three calls that take a sixth of it.
	queuedPerSlot = 4
	// windowDecrease is the factor of the window at a refusal for a full queue.
	windowDecrease = 0.7
	// minWakeDelay is the least time until the next Next that WakeAt asks for, because the
	// learned run time, after which the knowledge of a full upstream expires, may grow meanwhile.
	minWakeDelay = time.Millisecond
	// unlimited is the capacity without a window.
	unlimited = math.MaxInt32
)

// Room is what is known of the room at a service's upstreams.
type Room struct {
	Free      bool          // some upstream is not known to be full, or there is none
	Slots     int           // of all upstreams, 0 if none has reported its load
	FreeSlots int           // those known to be free
	RunTime   time.Duration // mean time that a call runs
	ExpiresAt time.Duration // unless Free, when the knowledge of a full upstream expires first
}

// Place is the result of Enter.
type Place struct {
	Ticket  limits.Ticket // 0: the call is not counted, and may be sent
	Queued  bool          // the call has to wait until Next returns the ticket
	Refused bool          // the queue is full, or the call could not start in time
}

// waiting holds the calls of one daemon at a contended service: those that wait, and those in
// flight that were sent during the contention. Earlier ones end within a run time.
type waiting struct {
	queue *limits.Queue

	window       float64 // maximum number of calls in flight, 0: not yet known
	shrunkAt     time.Duration
	answersBelow float64 // answers with a queue time below the target since the window changed
}

// queueTime converts a time to that of limits.Queue, where the zero time means none.
func queueTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// latestStart returns the latest useful start of a call.
func latestStart(r Request, late bool, room Room, now time.Duration) time.Duration {
	wait := r.TimeLeft - 2*room.RunTime
	if !late {
		wait = min(wait, r.LatencyTarget/2)
	}
	return now + wait
}

// Enter asks for a place for an admitted call. Unless the ticket is 0, End must be called for a
// call that was started, and Leave for one that stops waiting by itself. Next must have been
// called for the same time and room.
func (s *Service) Enter(r Request, level int, room Room, now time.Duration) Place {
	if room.Slots == 0 || !s.Contended(now) {
		return Place{}
	}
	if s.waiting == nil {
		s.waiting = &waiting{queue: limits.NewQueue(limits.Options{MaxQueue: queuedPerSlot * room.Slots})}
	}
	w := s.waiting
	capacity := w.setCapacity(room, true)
	s.lastTicket++
	e := limits.Entry{Ticket: s.lastTicket, Team: ident.Team(r.Customer), Class: routing.ClassProduction, Level: level}
	if w.queue.Queued(routing.ClassProduction) > 0 || w.inFlight() >= capacity {
		e.LatestStart = queueTime(latestStart(r, level%2 == 1, room, now))
		e.Deadline = e.LatestStart
	}
	d := w.queue.Enqueue(e, queueTime(now))
	return Place{Ticket: e.Ticket, Queued: d.Queued, Refused: d.Refused != limits.RefuseNone}
}

// Next returns the tickets of waiting calls that start now and of those whose latest useful start
// has passed. It must be called when a call has ended, when a response has shown room, before
// Enter, and at WakeAt.
func (s *Service) Next(room Room, now time.Duration) (starts, expired []limits.Ticket) {
	w := s.waiting
	if w == nil {
		return nil, nil
	}
	contended := s.Contended(now)
	w.setCapacity(room, contended)
	starts, late := w.queue.Next(queueTime(now))
	for _, e := range late {
		expired = append(expired, e.Ticket)
	}
	if !contended && w.inFlight() == 0 {
		s.waiting = nil
	}
	return starts, expired
}

// WakeAt returns when Next must be called if nothing happens before, false if no call waits.
func (s *Service) WakeAt(room Room, now time.Duration) (time.Duration, bool) {
	if s.Waiting() == 0 {
		return 0, false
	}
	at := time.Duration(math.MaxInt64)
	if deadline, ok := s.waiting.queue.NextDeadline(); ok {
		at = time.Duration(deadline.UnixNano())
	}
	if room.Free {
		at = min(at, now+room.RunTime) // the next call may start even if no response comes
	} else {
		at = min(at, room.ExpiresAt)
	}
	return max(at, now+minWakeDelay), true
}

// End ends a call that was started. Only an answer tells how long a slot stays taken.
func (s *Service) End(t limits.Ticket, answered bool, now time.Duration) {
	switch w := s.waiting; {
	case w == nil:
	case answered:
		w.queue.Done(t, queueTime(now))
	default:
		w.queue.Cancel(t, queueTime(now))
	}
}

// Leave removes a call that waits, or that was started and not sent.
func (s *Service) Leave(t limits.Ticket, now time.Duration) { s.End(t, false, now) }

// RefuseWaiting counts the refusal of a call that Admit admitted and that could not start in time.
func (s *Service) RefuseWaiting(customer string) { s.count(customer, Queue) }

// HasWindow reports whether the calls in flight are limited, which is so during contention.
func (s *Service) HasWindow() bool { return s.waiting != nil }

// Waiting returns the number of calls that wait.
func (s *Service) Waiting() int {
	if s.waiting == nil {
		return 0
	}
	return s.waiting.queue.Queued(routing.ClassProduction)
}

// ObserveFull narrows the window after an upstream refused a call because its queue was full, at
// most once per run time: the refusals of calls sent together stand for one overload.
func (s *Service) ObserveFull(room Room, now time.Duration) {
	w := s.waiting
	if w == nil || w.window == 0 || w.shrunkAt > 0 && now-w.shrunkAt < room.RunTime {
		return
	}
	w.window = max(1, w.window*windowDecrease)
	w.shrunkAt, w.answersBelow = now, 0
}

// ObserveAnswer widens the window by one after as many answers as it is wide whose upstreams
// reported a queue time below the target.
func (s *Service) ObserveAnswer(report loadreport.Report, room Room, latencyTarget time.Duration) {
	w := s.waiting
	if w == nil || w.window == 0 {
		return
	}
	waitInRuns := max(0, float64(report.Load()-report.Slots+1)) / float64(report.Slots)
	if waitInRuns*report.Slowdown*float64(room.RunTime) >= float64(latencyTarget/targetDivisor) {
		return
	}
	if w.answersBelow++; w.answersBelow >= w.window {
		w.window++
		w.answersBelow = 0
	}
}

// inFlight returns the number of calls that were started and have not ended.
func (w *waiting) inFlight() int { return w.queue.Running(routing.ClassProduction) }

// setCapacity sets how many calls may be in flight, and returns it. While no upstream has room it
// is the present number, by which the queue also estimates the rate of starts: that at which the
// calls in flight end.
func (w *waiting) setCapacity(room Room, contended bool) int {
	capacity := unlimited
	if !contended {
		w.window = 0
	} else {
		if w.window == 0 {
			w.window, w.shrunkAt, w.answersBelow = float64(room.Slots), 0, 0
		}
		if w.window > 0 {
			capacity = int(w.window)
		}
		switch {
		case !room.Free:
			capacity = min(capacity, w.inFlight())
		case w.queue.Queued(routing.ClassProduction) > 0:
			// One call at least, which finds out whether there is room. Calls that started together
			// for one free slot would find all upstreams full again and be refused.
			capacity = min(capacity, w.inFlight()+max(1, room.FreeSlots))
		}
	}
	w.queue.SetCapacity(capacity, 0)
	return capacity
}
