// Package admission decides which calls of a service are sent to its upstreams and which are
// refused, when callers ask for more than the upstreams can do in time.
//
// A Service admits a fraction of the calls such that the wait in the upstreams' queues stays at
// a target (limits.Overload). The fraction is divided among customers by the demand of the whole
// fleet, or by that of this daemon's own callers while the fleet's is unknown
// (limits.Fractions); as a table of the fleet's demand ages, own demand takes its place. Calls
// that can still be answered within their latency target come before those of callers that were
// refused and came back: the same number is served in either order, but not the same number
// within the target. An admitted call waits, in the order of limits.Queue, while no upstream has
// room or this daemon has too many calls in flight.
//
// Invariants: while no upstream has reported a wait or refused a call for being full, all calls
// are admitted; a refused call has not been sent.
//
// The package does no I/O; the caller passes the time and random numbers in. All times are
// readings of one monotonic clock that goes on while the VM is suspended. A Service is not safe
// for concurrent use.
package admission

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

const (
	// targetDivisor divides the latency target of a route into the target of the wait in the
	// upstreams' queues. Three quarters are left for the run and for reaching the upstream.
	targetDivisor = 4
	// sharesMaxAge is how long computed shares are used. Demand changes over seconds.
	sharesMaxAge = 100 * time.Millisecond
	// ownLoadMaxAge is the age from which on the fleet's queue time replaces this daemon's
	// own estimate. A daemon with few calls hears from the upstreams seldom.
	ownLoadMaxAge = 300 * time.Millisecond
	// maxRoutes bounds the routes whose callers' time limits are learnt.
	maxRoutes = 256
)

// Request is a call that asks for admission.
type Request struct {
	Customer      string // "" for none
	Priority      int    // 0 is the highest
	Route         string // name
	LatencyTarget time.Duration
	TimeLimit     time.Duration // for which the caller waits, as it stated it; 0: unknown
	TimeLeft      time.Duration // until the response must be sent
}

// Load is what is known of a service's upstreams.
type Load struct {
	QueueTime time.Duration // expected wait of a call sent now
	RunTime   time.Duration // mean time that a call runs
	Age       time.Duration // of the newest report
	Known     bool          // false: no upstream has reported lately
}

// Reason is why a call was refused.
type Reason string

// The reasons.
const (
	Admitted Reason = ""
	// Share: the call is not among the fraction of its customer's calls that is admitted.
	Share Reason = "share"
	// Deadline: the call could not be answered before its deadline.
	Deadline Reason = "deadline"
	// Queue: the call was admitted, but could not start by its latest useful start.
	Queue Reason = "queue"
)

// Source is where the demand comes from that the shares are computed from.
type Source string

// The sources.
const (
	OwnDemand Source = "own"
	// FleetDemand is that of a table, which own demand replaces by and by as the table ages.
	FleetDemand Source = "fleet"
)

// Decision is the result of Admit, with the inputs that led to it.
type Decision struct {
	Refused   Reason
	Level     int     // 2 x priority, plus 1 for a call that can't be answered within its target
	Fraction  float64 // admitted fraction of the customer's calls at this level
	Total     float64 // admitted fraction of all calls
	Source    Source
	SourceAge time.Duration
	Load      Load
}

// Late reports whether the call can't be answered within its latency target any more.
func (d Decision) Late() bool { return d.Level%2 == 1 }

// Service decides on the calls of one service.
type Service struct {
	overload   *limits.Overload
	admitter   *limits.Admitter
	demand     *limits.DemandMeter
	timeLimits map[string]*limits.TimeLimits // by route
	counts     map[string]*Counts            // by customer

	fleet      shares.Table
	fleetAt    time.Duration // from which fleet.Fresh counts
	fleetKnown bool

	shares     limits.Shares
	sharesAt   time.Duration
	sharesSet  bool
	source     Source
	observed   Load          // last own estimate
	observedAt time.Duration // of observed
	target     time.Duration // of the queue time

	waiting *waiting // nil without contention
	// lastTicket outlives waiting, since a caller may leave just after its call expired.
	lastTicket limits.Ticket
}

// NewService returns a Service that admits all calls.
func NewService() *Service {
	return &Service{
		overload: limits.NewOverload(limits.OverloadOptions{}), admitter: limits.NewAdmitter(), demand: limits.NewDemandMeter(),
		timeLimits: map[string]*limits.TimeLimits{}, counts: map[string]*Counts{}, source: OwnDemand,
	}
}

// Admit decides on a call. random returns numbers from the uniform distribution over [0, 1).
func (s *Service) Admit(r Request, load Load, now time.Duration, random func() float64) Decision {
	level := s.level(r, load)
	s.demand.Add(r.Customer, level, now)
	d := Decision{Level: level, Fraction: 1, Total: s.overload.Admitted(now), Source: s.source, Load: load}
	if d.Total < 1 {
		s.decide(&d, r, now, random)
	}
	s.count(r.Customer, d.Refused)
	return d
}

// decide fills in a decision while not all calls are admitted.
func (s *Service) decide(d *Decision, r Request, now time.Duration, random func() float64) {
	s.updateShares(d.Total, now)
	d.Source, d.SourceAge = s.source, now-s.sharesAt
	if s.source == FleetDemand {
		d.SourceAge = now - s.fleetAt
	}
	d.Fraction = s.shares.Admit(r.Customer, d.Level)
	switch {
	case d.Load.Known && d.Load.QueueTime+d.Load.RunTime > r.TimeLeft:
		d.Refused = Deadline
	case !s.admitter.Admit(r.Customer, d.Level, d.Fraction, random(), now):
		d.Refused = Share
	}
}

// level returns the level of a call, lower ones first.
func (s *Service) level(r Request, load Load) int {
	return shares.LevelOf(r.Priority, s.late(r, load))
}

// late reports whether a call can't be answered within its latency target any more.
func (s *Service) late(r Request, load Load) bool {
	if r.TimeLimit <= 0 || r.LatencyTarget <= 0 {
		return false
	}
	limits := s.routeTimeLimits(r.Route)
	if limits == nil {
		return false
	}
	waited := limits.Observe(r.TimeLimit)
	return waited > 0 && waited+load.QueueTime+load.RunTime > r.LatencyTarget
}

func (s *Service) routeTimeLimits(route string) *limits.TimeLimits {
	known := s.timeLimits[route]
	if known == nil && len(s.timeLimits) < maxRoutes {
		known = limits.NewTimeLimits()
		s.timeLimits[route] = known
	}
	return known
}

// updateShares divides the admitted fraction among the customers, unless that was done just now.
func (s *Service) updateShares(admitted float64, now time.Duration) {
	if s.sharesSet && now-s.sharesAt < sharesMaxAge {
		return
	}
	demands := s.demand.Demands(now)
	s.source = OwnDemand
	if s.fleetFresh(now) {
		s.source = FleetDemand
		demands = blend(demands, s.fleet, tablePart(now-s.fleetAt))
	}
	s.shares = limits.Fractions(demands, admitted)
	s.sharesAt, s.sharesSet = now, true
}

func (s *Service) fleetFresh(now time.Duration) bool {
	return s.fleetKnown && s.fleet.Fresh(s.fleetAt, now)
}

// Observe is called with each new estimate of the load. latencyTarget is that of the call whose
// response brought it.
func (s *Service) Observe(load Load, latencyTarget, now time.Duration) {
	if !load.Known || latencyTarget <= 0 {
		return
	}
	s.target, s.observed, s.observedAt = latencyTarget/targetDivisor, load, now
	s.overload.Update(load.QueueTime, load.Age, s.target, now)
}

// RecordFull is called when an upstream refused a call because its queue was full.
func (s *Service) RecordFull(now time.Duration) { s.overload.Refused(now) }

// SetFleet sets the demand of the fleet, as of the given time.
func (s *Service) SetFleet(t shares.Table, at, now time.Duration) {
	s.fleet, s.fleetAt, s.fleetKnown = t, at, true
	s.sharesSet = false
	if !t.Known {
		return
	}
	s.overload.Adopt(t.Admitted, now)
	if s.target > 0 && now-s.observedAt > ownLoadMaxAge {
		s.overload.Update(t.QueueTime, now-at+t.QueueAge, s.target, now)
	}
}

// Contended reports whether not all calls are admitted, or were not within the last second.
func (s *Service) Contended(now time.Duration) bool { return s.overload.Contended(now) }

// Report returns this daemon's own demand, false if the service is not contended.
func (s *Service) Report(now time.Duration) (shares.Report, bool) {
	if !s.overload.Contended(now) {
		return shares.Report{}, false
	}
	r := shares.Report{
		QueueTime: s.observed.QueueTime, QueueAge: now - s.observedAt + s.observed.Age, Admitted: s.overload.Admitted(now),
		Known: s.observed.Known && now-s.observedAt <= ownLoadMaxAge,
	}
	for _, d := range s.demand.Demands(now) {
		r.Demands = append(r.Demands, shares.Demand{Customer: d.Customer, Level: d.Level, Rate: d.Rate})
	}
	return r, true
}

// RetryAfter returns when the caller of a refused call should come back, false if it could not
// be served then.
func (s *Service) RetryAfter(r Request, load Load, now time.Duration, random float64) (time.Duration, bool) {
	return limits.RetryAfter(limits.Return{
		TimeLeft: r.TimeLeft, ServiceTime: load.RunTime, QueueTime: load.QueueTime,
		Admitted: s.overload.Admitted(now), Priority: r.Priority, Random: random,
	})
}
