package routing

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

const (
	// loadTTL is how long a reported load is used. Requests take tens of milliseconds, so an
	// older figure says nothing.
	loadTTL = 300 * time.Millisecond
	// runTimeTTL is how long a measured run time or refusal rate is used. An upstream that is
	// avoided for it is measured again after this time: with 61 daemons, at most some 30
	// calls per second find out that it is still slow.
	runTimeTTL = 2 * time.Second
	// defaultRunTime is assumed while no response has been measured. Only its ratio to the
	// costs below matters for a pick, and those are in units of the run time.
	defaultRunTime = 50 * time.Millisecond
	// warmDuration is how long idle connections are kept to servers that announce a
	// keep-alive timeout of ten seconds.
	warmDuration = 8 * time.Second
	// idleStateTTL is how long the state of an upstream is kept that is no longer a candidate.
	idleStateTTL = time.Minute
)

// Costs of a pick, in mean run times of the service.
const (
	// ownCallCost is the least cost of an own call in flight. It is the only measure of load
	// where upstreams report none, so it exceeds remoteCost, coldCost and tieSpread together.
	ownCallCost = 0.25
	remoteCost  = 0.125 // round trip to another data centre
	// coldCost is added for an upstream that has not responded within warmDuration: a new
	// connection costs a round trip and briefly occupies a slot at the upstream. Without it,
	// a daemon with a call every few seconds and dozens of upstreams would open a connection
	// for each call. It is below the cost of another data centre.
	coldCost = 0.075
	// fullSlotsCost is the cost of an upstream without a free slot but with an empty queue; the
	// cost of fewer calls is in proportion to their square. It makes an upstream that uses half
	// of its slots cost more than a new connection to an idle one.
	fullSlotsCost = 0.5
	// refusedSendCost is the cost of a send that is refused at once: a round trip and the place in
	// the number of sends that a call may take. At the cost of a run, calls went to upstreams with full
	// queues because others shed a part of them.
	refusedSendCost = 0.5
	tieSpread       = 0.045 // upper bound of a random cost, so that daemons break ties differently
	// loadSpread replaces tieSpread when upstreams are busy. Reports are older than the time
	// in which a slot becomes free, so smaller differences are noise, and daemons that trust
	// them all send to the same upstream.
	loadSpread = 0.5
)

const (
	// slowRatio is the ratio of the run time to the mean of the service from which on an
	// upstream is slow. It gets calls only while it has a free slot: those in its queue would
	// be answered several times later than at the others.
	slowRatio = 2
	// staleSlowCost is the least run time, in means of the service, of an upstream that was
	// slow when last measured. It exceeds remoteCost, coldCost and tieSpread together, so that
	// a daemon with few calls does not try it again, and is below loadSpread, so that a busy
	// daemon does.
	staleSlowCost = 1.25
)

const (
	runTimeWeight = 0.2 // of a new measurement in the moving average of run times
	refusalWeight = 0.2 // the same for refusals by an upstream that has free slots
	// maxRefusalRate keeps the expected number of sends finite.
	maxRefusalRate = 0.9
	// maxSendRecords bounds the own calls per upstream whose position in the queue is
	// remembered. It is above the slots and the queue of an upstream.
	maxSendRecords = 64
)

// LeastWaitOptions configures a LeastWait.
type LeastWaitOptions struct {
	IgnoreConnections bool // do not prefer upstreams to which a connection is open
}

// LeastWait picks the upstream with the shortest expected response time: the time to reach
// it, the wait in its queue and the run time. Not safe for concurrent use.
type LeastWait struct {
	options LeastWaitOptions
	// states is keyed by incarnation: a restarted upstream has no request in flight.
	states map[string]*waitState
	// estimates is reused by Pick.
	estimates []estimate
}

// Candidate is an upstream that a call may be sent to.
type Candidate struct {
	Key     string // names its incarnation
	Slots   int    // requests that it runs at a time, used until it reports them; 0: unknown
	Remote  bool   // in another data centre
	Suspect bool   // failed recently; picked only if there is no other
	Tried   bool   // has had this call: not picked, but compared with the others
}

// Observation is a response of an upstream.
type Observation struct {
	Load         *loadreport.Report // nil: none
	ResponseTime time.Duration      // since the call was sent, 0: says nothing about the run time
	Ran          bool               // false: refused with the statement that the call has not run
}

// estimate is what a Pick expects of a candidate.
type estimate struct {
	state *waitState
	load  float64 // calls at the upstream
	slots float64
	run   float64 // ns
}

// NewLeastWait returns a LeastWait that knows of no upstream.
func NewLeastWait(o LeastWaitOptions) *LeastWait {
	return &LeastWait{options: o, states: map[string]*waitState{}}
}

func (l *LeastWait) state(key string, now time.Duration) *waitState {
	s := l.states[key]
	if s == nil {
		s = &waitState{}
		l.states[key] = s
	}
	s.lastSeenAt = now
	return s
}

// Pick returns the index of the candidate with the shortest expected response time. ok is
// false if all are known to be full; the index is then that of the least full one, or -1 if
// there is no candidate.
func (l *LeastWait) Pick(candidates []Candidate, now time.Duration, random func() float64) (index int, ok bool) {
	meanRun, busy := l.estimate(candidates, now)
	return l.pickEstimated(candidates, meanRun, busy, now, random)
}

// PickLate picks an upstream for a call that can no longer be answered within its latency
// target: a slow one with a free slot that answers it within half of the time left, else as
// Pick. The others' slots are left to calls that need them, and the slow upstreams show when
// they are as fast as the others again.
func (l *LeastWait) PickLate(candidates []Candidate, timeLeft, now time.Duration, random func() float64) (index int, ok bool) {
	meanRun, busy := l.estimate(candidates, now)
	best, bestRun := -1, 0.0
	for i, c := range candidates {
		e := &l.estimates[i]
		measured := e.state.lastRunTime()
		if c.Tried || c.Suspect || measured <= slowRatio*meanRun || e.state.full(now) || e.load >= e.slots || 2*measured > float64(timeLeft) {
			continue
		}
		if best < 0 || measured < bestRun {
			best, bestRun = i, measured
		}
	}
	if best >= 0 {
		return best, true
	}
	return l.pickEstimated(candidates, meanRun, busy, now, random)
}

// pickEstimated picks by the estimates of the candidates.
func (l *LeastWait) pickEstimated(candidates []Candidate, meanRun, busy float64, now time.Duration, random func() float64) (index int, ok bool) {
	trusted := slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Tried && !c.Suspect })
	best, bestFull, bestCost := -1, false, 0.0
	for i, c := range candidates {
		if c.Tried || (c.Suspect && trusted) {
			continue
		}
		e := &l.estimates[i]
		cost := e.cost(meanRun, now) + random()*max(tieSpread, loadSpread*busy)
		if c.Remote {
			cost += remoteCost
		}
		if !l.options.IgnoreConnections && !e.state.warm(now) {
			cost += coldCost
		}
		full := e.state.full(now) || (e.run > slowRatio*meanRun && e.load >= e.slots)
		if best < 0 || (bestFull && !full) || (bestFull == full && cost < bestCost) {
			best, bestFull, bestCost = i, full, cost
		}
	}
	return best, best >= 0 && !bestFull
}

// estimate fills l.estimates. It returns the mean run time of the candidates at a slowdown of
// 1, in ns, and how busy the busiest is by the reports: 0 up to half of its slots, 1 if none
// is free. The mean is the harmonic one, by which a few slow upstreams count little.
func (l *LeastWait) estimate(candidates []Candidate, now time.Duration) (meanRun, busy float64) {
	l.estimates = l.estimates[:0]
	var rateSum, rateWeight, weightedLoad, weightedSlots, slotSum, reporters float64
	for _, c := range candidates {
		s := l.state(c.Key, now)
		slots := float64(c.Slots)
		if s.reportedAt > 0 {
			slots = float64(s.report.Slots)
			slotSum += slots
			reporters++
		}
		l.estimates = append(l.estimates, estimate{state: s, slots: slots})
		if s.runTime > 0 {
			// Measurements that have expired count only if there are no newer ones.
			weight := (s.measurementWeight(now) + 0.001) * max(1, slots)
			rateSum += weight / float64(s.runTime)
			rateWeight += weight
		}
		weight := s.reportWeight(now)
		weightedLoad += weight * float64(s.currentLoad())
		weightedSlots += weight * slots
	}
	meanRun = float64(defaultRunTime)
	if rateWeight > 0 {
		meanRun = rateWeight / rateSum
	}
	for i := range l.estimates {
		e := &l.estimates[i]
		if e.slots == 0 {
			e.slots = max(1, slotSum/max(1, reporters))
		}
		e.state.serviceRunTime = time.Duration(meanRun)
		e.run = float64(e.state.expectedRunTime(now))
		e.load = e.expectedLoad(weightedLoad, weightedSlots, now)
		if weightedSlots > 0 {
			busy = max(busy, min(1, 2*e.load/e.slots-1))
		}
		e.load = max(e.load, float64(e.state.inFlight))
	}
	return meanRun, busy
}

// expectedLoad returns the load by the reports. The upstream's own report moves towards the
// mean of all as it gets older. The sums are over all upstreams: of the load and of the
// slots, each weighted by the age of the report.
func (e *estimate) expectedLoad(weightedLoad, weightedSlots float64, now time.Duration) float64 {
	if weightedSlots == 0 {
		return 0
	}
	weight := e.state.reportWeight(now)
	return weight*float64(e.state.currentLoad()) + (1-weight)*weightedLoad/weightedSlots*e.slots
}

// cost returns the expected response time without the costs of the connection, in mean run
// times of the service.
func (e *estimate) cost(meanRun float64, now time.Duration) float64 {
	queue := max(e.wait()/meanRun, e.busyCost(now), ownCallCost*float64(e.state.inFlight))
	run := e.run / meanRun
	if e.state.lastRunTime() > slowRatio*meanRun {
		run = max(run, staleSlowCost)
	}
	return run + refusedSendCost*e.state.refusalCost(now) + queue
}

// wait returns the expected wait in the queue in ns: until enough calls have ended that one
// of the slots is free. Slots become free at a rate of slots per run time.
func (e *estimate) wait() float64 { return max(0, e.load-e.slots+1) / e.slots * e.run }

// busyCost returns the cost of the slots in use, in mean run times of the service. It counts
// the upstream's own report only: calls at others do not occupy its slots.
func (e *estimate) busyCost(now time.Duration) float64 {
	used := min(1, e.state.reportWeight(now)*float64(e.state.currentLoad())/e.slots)
	return fullSlotsCost * used * used
}

// Begin notes that a call was sent to an upstream.
func (l *LeastWait) Begin(key string, now time.Duration) {
	s := l.state(key, now)
	if len(s.sends) == maxSendRecords {
		s.sends = append(s.sends[:0], s.sends[1:]...)
	}
	record := sendRecord{now, -1}
	if s.reportWeight(now) > 0 {
		record.wait = s.waitInRuns()
	}
	s.sends = append(s.sends, record)
	s.inFlight++
	s.change++
}

// End notes the end of a call that was sent to an upstream, with or without a response.
func (l *LeastWait) End(key string, now time.Duration) {
	s := l.state(key, now)
	s.inFlight--
	s.change--
}

// Observe notes a response. End must have been called for its call.
func (l *LeastWait) Observe(key string, o Observation, now time.Duration) {
	s := l.state(key, now)
	s.lastResponseAt = now
	if o.Load != nil {
		s.observeReport(*o.Load, now)
	}
	switch {
	case !o.Ran:
		s.observeRefusal(o.Load, now)
	case o.ResponseTime > 0:
		s.observeRun(o, now)
	}
}

// Trim drops the state of upstreams that are gone.
func (l *LeastWait) Trim(now time.Duration) {
	for key, s := range l.states {
		if s.inFlight == 0 && now-s.lastSeenAt > idleStateTTL {
			delete(l.states, key)
		}
	}
}
