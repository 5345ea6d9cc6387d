package gateway

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

var (
	callsQueued       = metrics.Counter("admission_queued")
	callsQueueStarted = metrics.Counter("admission_queue_started")
	callsQueueExpired = metrics.Counter("admission_queue_expired")
	callsQueueRefused = metrics.Counter("admission_refused_queue")
)

// callPlace is the place of a call among those in flight at a contended service; the zero value is
// that of a call that is not counted.
type callPlace struct {
	service  *serviceAdmission
	ticket   limits.Ticket
	answered bool
}

// queueing reports whether calls wait at a contended service. Without policy.Load upstreams are
// chosen in turn, full or not.
func (g *Gateway) queueing() bool {
	return g.policy.Enabled(policy.Queue) && g.policy.Enabled(policy.Load)
}

// takePlace returns when an admitted call may be sent. It reports false for a call that could not
// start by its latest useful start, or whose caller left.
func (g *Gateway) takePlace(ctx context.Context, s *serviceAdmission, request admission.Request, level int) (callPlace, bool) {
	now := g.now()
	s.mu.Lock()
	room := g.startWaiting(s, now)
	p := s.decisions.Enter(request, level, room, now)
	if !p.Queued {
		s.mu.Unlock()
		switch {
		case p.Refused:
			callsQueueRefused.Add(1)
			return callPlace{}, false
		case p.Ticket == 0:
			return callPlace{}, true
		}
		return callPlace{service: s, ticket: p.Ticket}, true
	}
	callsQueued.Add(1)
	start := make(chan bool, 1) // true: the call may be sent, false: its latest useful start has passed
	if s.waiters == nil {
		s.waiters = map[limits.Ticket]chan<- bool{}
	}
	s.waiters[p.Ticket] = start
	g.setWakeTimer(s, room, now)
	s.mu.Unlock()
	select {
	case started := <-start:
		if !started {
			return callPlace{}, false
		}
		return callPlace{service: s, ticket: p.Ticket}, true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		now = g.now()
		delete(s.waiters, p.Ticket)
		s.decisions.Leave(p.Ticket, now)
		g.startWaiting(s, now) // the call may have been started just now
		return callPlace{}, false
	}
}

// leavePlace notes the end of a call.
func (g *Gateway) leavePlace(p *callPlace) {
	if p.service == nil {
		return
	}
	now := g.now()
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	p.service.decisions.End(p.ticket, p.answered, now)
	// Next also notices the end of the contention.
	if p.service.decisions.Waiting() > 0 || !p.service.contended {
		g.startWaiting(p.service, now)
	}
}

// startWaiting starts the waiting calls for which there is room and ends the wait of those whose
// latest useful start has passed. The caller holds s.mu, so that no change of the room is missed.
func (g *Gateway) startWaiting(s *serviceAdmission, now time.Duration) admission.Room {
	room := g.balancer.room(g.view.ByService(s.name), now)
	starts, expired := s.decisions.Next(room, now)
	for _, t := range starts {
		callsQueueStarted.Add(1)
		s.waiters[t] <- true
		delete(s.waiters, t)
	}
	for _, t := range expired {
		callsQueueExpired.Add(1)
		s.waiters[t] <- false
		delete(s.waiters, t)
	}
	g.setWakeTimer(s, room, now)
	return room
}

// setWakeTimer sets the timer to the next time at which a waiting call may start or expires. It
// does not run while none waits. The caller holds s.mu.
func (g *Gateway) setWakeTimer(s *serviceAdmission, room admission.Room, now time.Duration) {
	at, ok := s.decisions.WakeAt(room, now)
	switch {
	case !ok && s.wake != nil:
		s.wake.Stop()
	case !ok:
	case s.wake == nil:
		s.wake = time.AfterFunc(at-now, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			g.startWaiting(s, g.now())
		})
	default:
		s.wake.Reset(at - now)
	}
}

// observeWaiting passes a response to the window of calls in flight, and starts waiting calls if
// it shows room. The caller holds s.mu.
func (g *Gateway) observeWaiting(s *serviceAdmission, call *Call, response *Response, full bool, now time.Duration) {
	if !g.queueing() || !s.decisions.HasWindow() {
		return
	}
	room := g.balancer.room(g.view.ByService(s.name), now)
	switch {
	case full:
		s.decisions.ObserveFull(room, now)
	case !response.NotRun:
		s.decisions.ObserveAnswer(*response.Load, room, call.latencyTarget)
	}
	if s.decisions.Waiting() > 0 {
		g.startWaiting(s, now)
	}
}
