package gateway

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

// admissions holds the admission to each service. It is safe for concurrent use.
type admissions struct {
	mu       sync.Mutex
	services map[string]*serviceAdmission
	changed  chan struct{} // receives a value when another service is contended
}

// serviceAdmission is the admission to one service under a lock of its own.
type serviceAdmission struct {
	name string

	mu        sync.Mutex
	decisions *admission.Service
	contended bool // as last logged
	// incarnations are those of the service's upstreams after memberChanges changes, nil before
	// the first use. The list is not modified.
	incarnations  []string
	memberChanges uint64

	waiters map[limits.Ticket]chan<- bool // of the calls that wait, see takePlace
	wake    *time.Timer                   // stopped while no call waits; nil before the first one
}

func newAdmissions() *admissions {
	return &admissions{services: map[string]*serviceAdmission{}, changed: make(chan struct{}, 1)}
}

// find returns the admission to a service, nil if no call has asked for it. There is nothing to
// decide on a service of which no route has a latency target.
func (a *admissions) find(service string) *serviceAdmission {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.services[service]
}

// of returns the admission to a service, which is created if needed.
func (a *admissions) of(service string) *serviceAdmission {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[service]
	if s == nil {
		s = &serviceAdmission{name: service, decisions: admission.NewService()}
		a.services[service] = s
	}
	return s
}

// all returns the services in the order of their names.
func (a *admissions) all() []*serviceAdmission {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*serviceAdmission
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		out = append(out, a.services[name])
	}
	return out
}

var (
	callsAdmitted        = metrics.Counter("admission_admitted")
	callsOverShare       = metrics.Counter("admission_refused_share")
	callsTooLate         = metrics.Counter("admission_refused_deadline")
	contentionsBegun     = metrics.Counter("admission_contentions")
	upstreamFullRefusals = metrics.Counter("admission_upstream_full")
)

// request returns a call as the admission sees it.
func (c *Call) request(route routes.Route) admission.Request {
	return admission.Request{
		Customer: cmp.Or(c.Customer, c.ShareCustomer), Priority: c.Priority, Route: route.Name, LatencyTarget: route.LatencyTarget,
		TimeLimit: c.TimeLimit, TimeLeft: time.Until(c.Deadline),
	}
}

// serviceLoad returns what is known of a service's upstreams.
func (g *Gateway) serviceLoad(s *serviceAdmission) admission.Load {
	return g.balancer.serviceLoad(s.upstreamIncarnations(g.view), g.now())
}

// upstreamIncarnations returns the incarnations of the service's upstreams. They are composed
// only when the upstreams change: for each call that would cost more than the decision on it.
func (s *serviceAdmission) upstreamIncarnations(view *fleet.View) []string {
	changes := view.MemberChanges(s.name) // before the list, so that no change is missed
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations == nil || s.memberChanges != changes {
		s.incarnations, s.memberChanges = []string{}, changes
		for _, u := range view.ByService(s.name) {
			s.incarnations = append(s.incarnations, u.Incarnation())
		}
	}
	return s.incarnations
}

// admit refuses a call that is not among those that the upstreams of its service can answer in
// time. Otherwise it returns when the call may be sent, with its place, which the call must leave
// at its end.
func (g *Gateway) admit(ctx context.Context, call *Call, route routes.Route, service string) (callPlace, *Refusal) {
	if !g.policy.Enabled(policy.Admission) || route.LatencyTarget <= 0 {
		return callPlace{}, nil
	}
	s := g.admissions.of(service)
	load, now, request := g.serviceLoad(s), g.now(), call.request(route)
	s.mu.Lock()
	d := s.decisions.Admit(request, load, now, rand.Float64)
	s.mu.Unlock()
	call.late = d.Late()
	contended := g.noteContention(s, now)
	switch d.Refused {
	case admission.Admitted:
		p, started := callPlace{}, true
		if contended && g.queueing() {
			p, started = g.takePlace(ctx, s, request, d.Level)
		}
		if started {
			callsAdmitted.Add(1)
			call.needsRoom = p.ticket != 0
			return p, nil
		}
		if ctx.Err() != nil {
			return callPlace{}, &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterNotRun, Reason: "caller left the queue"}
		}
		s.mu.Lock()
		s.decisions.RefuseWaiting(call.Customer)
		s.mu.Unlock()
		d.Refused, request.TimeLeft = admission.Queue, time.Until(call.Deadline)
	case admission.Deadline:
		callsTooLate.Add(1)
	default:
		callsOverShare.Add(1)
	}
	callsRefused.Add(1)
	refusal := g.refuseNotRun(call, route, service, "not admitted: "+string(d.Refused))
	g.log.Warn().Str("request", call.ID).Str("route", route.Name).Str("service", service).Str("customer", request.Customer).
		Int("priority", request.Priority).Bool("late", call.late). // not as "level", which is the severity of the line
		Str("reason", string(d.Refused)).Float64("fraction", d.Fraction).Float64("total", d.Total).Str("source", string(d.Source)).Dur("source_age", d.SourceAge).
		Bool("queue_known", d.Load.Known).Dur("queue", d.Load.QueueTime).Dur("queue_age", d.Load.Age).Dur("left", request.TimeLeft).Dur("retry_after", refusal.RetryAfter).
		Int("status", refusal.Status).Msg("call not admitted")
	return callPlace{}, refusal
}

// refuseNotRun returns the refusal of a call that has not run, with the time after which its
// caller should come back.
func (g *Gateway) refuseNotRun(call *Call, route routes.Route, service, reason string) *Refusal {
	refusal := &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterNotRun, Reason: reason}
	if !g.policy.Enabled(policy.Admission) || route.LatencyTarget <= 0 {
		return refusal
	}
	s := g.admissions.of(service)
	load := g.serviceLoad(s)
	if !load.Known {
		return refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// 0, for no header, if a return could not be served.
	refusal.RetryAfter, _ = s.decisions.RetryAfter(call.request(route), load, g.now(), rand.Float64())
	return refusal
}

// observeLoad passes the load that a response reported to the admission of its service.
func (g *Gateway) observeLoad(call *Call, u registry.Upstream, response *Response) {
	if response.Load == nil || !g.policy.Enabled(policy.Admission) {
		return
	}
	s := g.admissions.find(u.Service)
	if s == nil {
		return
	}
	load, now := g.serviceLoad(s), g.now()
	// The queue of a slow upstream is full of calls that no other one had room for, or that came
	// before it was slow. It says nothing about the room at the others.
	slow := g.balancer.isSlow(u.Incarnation())
	s.mu.Lock()
	full := !slow && response.NotRun && response.Status != http.StatusMisdirectedRequest && !refusedWithFreeSlots(response)
	if full {
		upstreamFullRefusals.Add(1)
		s.decisions.RecordFull(now)
	} else {
		s.decisions.Observe(load, call.latencyTarget, now)
	}
	g.observeWaiting(s, call, response, full, now)
	s.mu.Unlock()
	g.noteContention(s, now)
}

// noteContention logs the begin and the end of contention for a service, and reports whether it is
// contended. At the end the waiting calls start.
func (g *Gateway) noteContention(s *serviceAdmission, now time.Duration) bool {
	s.mu.Lock()
	contended := s.decisions.Contended(now)
	if contended == s.contended {
		s.mu.Unlock()
		return contended
	}
	s.contended = contended
	if !contended && s.decisions.HasWindow() {
		g.startWaiting(s, now)
	}
	status := s.decisions.Status(s.name, admission.Load{}, now)
	s.mu.Unlock()
	message := "service no longer contended"
	if contended {
		message = "service contended"
		contentionsBegun.Add(1)
		select {
		case g.admissions.changed <- struct{}{}:
		default:
		}
	}
	g.log.Info().Str("service", s.name).Float64("admitted", status.Admitted).Str("source", string(status.Source)).Int("daemons", status.Daemons).Msg(message)
	return contended
}

// contended reports whether not all calls to a service are admitted. Second copies of calls
// would then take the place of other callers' first ones.
func (g *Gateway) contended(service string) bool {
	s := g.admissions.find(service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decisions.Contended(g.now())
}

// Contended implements shares.Local.
func (g *Gateway) Contended(now time.Duration) []string {
	var out []string
	for _, s := range g.admissions.all() {
		s.mu.Lock()
		if s.decisions.Contended(now) {
			out = append(out, s.name)
		}
		s.mu.Unlock()
	}
	return out
}

// Changed implements shares.Local.
func (g *Gateway) Changed() <-chan struct{} { return g.admissions.changed }

// Snapshot implements shares.Local.
func (g *Gateway) Snapshot(service string, now time.Duration) (shares.Report, bool) {
	s := g.admissions.of(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decisions.Report(now)
}

// SetFleet implements shares.Sink.
func (g *Gateway) SetFleet(service string, t shares.Table, at time.Duration) {
	s, now := g.admissions.of(service), g.now()
	s.mu.Lock()
	s.decisions.SetFleet(t, at, now)
	s.mu.Unlock()
	g.noteContention(s, now)
}

// AdmissionStatus describes the admission to each service that calls were sent to.
func (g *Gateway) AdmissionStatus() []admission.Status {
	out := []admission.Status{}
	for _, s := range g.admissions.all() {
		load, now := g.serviceLoad(s), g.now()
		s.mu.Lock()
		out = append(out, s.decisions.Status(s.name, load, now))
		s.mu.Unlock()
	}
	return out
}
