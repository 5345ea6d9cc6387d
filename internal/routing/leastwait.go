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
	tieSpread     = 0.045 // upper bound of a random cost, so that daemons break ties differently
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

// waitState is what is known of one incarnation of an upstream. Times are 0 for never.
type waitState struct {
	inFlight       int           // own calls
	lastSeenAt     time.Duration // when it was last used or considered
	lastResponseAt time.Duration

	report     loadreport.Report
	reportedAt time.Duration
	change     int // own calls begun since the report, less those ended

	// runTime is the mean run time at a slowdown of 1. It is measured at measuredAt.
	runTime    time.Duration
	measuredAt time.Duration
	// serviceRunTime is the mean of the candidates at the last Pick.
	serviceRunTime time.Duration

	queueLimit  int           // length of the queue at which it refused, 0: unknown
	fullAt      time.Duration // when it was last known to be full
	refusalRate float64       // share of calls refused while it had free slots
	refusedAt   time.Duration // when it last did that
	sends       []sendRecord  // oldest first
}

// sendRecord is the expected wait of an own call when it was sent.
type sendRecord struct {
	at   time.Duration
	wait float64 // in run times of the upstream, -1: unknown
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

// HasRoom reports whether some candidate is not known to be full, which is when Pick does.
func (l *LeastWait) HasRoom(candidates []Candidate, now time.Duration) bool {
	_, ok := l.Pick(candidates, now, func() float64 { return 0 })
	return ok
}

// KnownFullUntil returns when the knowledge that some candidate is full expires first. Slow
// candidates may have no room without being known to be full; the time is then a run time from now.
func (l *LeastWait) KnownFullUntil(candidates []Candidate, now time.Duration) time.Duration {
	meanRun, _ := l.estimate(candidates, now)
	until := now + time.Duration(meanRun)
	for i, c := range candidates {
		if s := l.estimates[i].state; !c.Tried && s.full(now) {
			until = min(until, s.fullAt+min(loadTTL, s.expectedRunTime(now)))
		}
	}
	return until
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
	return run*(1+e.state.refusalCost(now)) + queue
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

// reportWeight returns 1 for a report just received, falling to 0 at loadTTL.
func (s *waitState) reportWeight(now time.Duration) float64 {
	return freshness(s.reportedAt, loadTTL, now)
}

// slowdown returns the last reported slowdown. It fades to 1 with the age of the report: it
// changes several times a second, and an upstream that is avoided for it reports no other.
func (s *waitState) slowdown(now time.Duration) float64 {
	return 1 + s.reportWeight(now)*(s.lastSlowdown()-1)
}

// lastRunTime returns the run time in ns as it was last measured, however long ago.
func (s *waitState) lastRunTime() float64 { return float64(s.runTime) * s.lastSlowdown() }

func (s *waitState) lastSlowdown() float64 {
	if s.reportedAt == 0 {
		return 1
	}
	return s.report.Slowdown
}

func (s *waitState) measurementWeight(now time.Duration) float64 {
	return freshness(s.measuredAt, runTimeTTL, now)
}

// freshness falls from 1 at the given time to 0 after ttl. It is 0 for a time of 0 (never).
func freshness(at, ttl, now time.Duration) float64 {
	if at == 0 {
		return 0
	}
	return max(0, 1-float64(now-at)/float64(ttl))
}

// currentLoad returns the last reported load, corrected by own calls since.
func (s *waitState) currentLoad() int { return max(0, s.inFlight, s.report.Load()+s.change) }

// expectedRunTime returns the measured run time. It moves to the mean of the service as the
// measurement gets older, so that an upstream that was slow is tried again when the others
// are busy.
func (s *waitState) expectedRunTime(now time.Duration) time.Duration {
	service := s.serviceRunTime
	if service == 0 {
		service = defaultRunTime
	}
	weight, measured := s.measurementWeight(now), float64(s.runTime)*s.slowdown(now)
	return time.Duration(weight*measured + (1-weight)*float64(service))
}

// refusalCost returns the expected number of further sends of a call, because of refusals
// that a full queue does not explain. Without it an upstream that refuses calls because of
// a fault would look idle and attract them.
func (s *waitState) refusalCost(now time.Duration) float64 {
	rate := min(maxRefusalRate, s.currentRefusalRate(now))
	return rate / (1 - rate)
}

func (s *waitState) currentRefusalRate(now time.Duration) float64 {
	return s.refusalRate * freshness(s.refusedAt, runTimeTTL, now)
}

func (s *waitState) warm(now time.Duration) bool {
	return s.lastResponseAt > 0 && now-s.lastResponseAt <= warmDuration
}

// full reports whether the upstream was full less than one run time ago.
func (s *waitState) full(now time.Duration) bool {
	return s.fullAt > 0 && now-s.fullAt < min(loadTTL, s.expectedRunTime(now))
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

// waitInRuns returns the expected wait of a call sent now by the upstream's last report, in
// run times.
func (s *waitState) waitInRuns() float64 {
	return max(0, float64(s.currentLoad()-s.report.Slots+1)) / float64(s.report.Slots)
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

func (s *waitState) observeReport(r loadreport.Report, now time.Duration) {
	s.report, s.reportedAt, s.change = r, now, 0
	switch {
	case s.queueLimit > 0 && r.Waiting >= s.queueLimit:
		s.fullAt = now
	case r.Load() < r.Slots:
		// A shorter queue does not end the knowledge: at the peak it is full again at once.
		s.fullAt = 0
	}
}

// observeRefusal notes a refusal. An upstream that reports free slots refused for another
// reason than a full queue.
func (s *waitState) observeRefusal(r *loadreport.Report, now time.Duration) {
	if r != nil && r.Running < r.Slots {
		s.refusalRate = refusalWeight + (1-refusalWeight)*s.currentRefusalRate(now)
		s.refusedAt = now
		return
	}
	s.fullAt = now
	if r != nil {
		s.queueLimit = r.Waiting
	}
}

// observeRun adds a response time, less the wait, to the mean run time. The wait is known
// in run times, so the response time is divided by one more than that.
func (s *waitState) observeRun(o Observation, now time.Duration) {
	wait := -1.0
	for i := len(s.sends) - 1; i >= 0; i-- {
		if s.sends[i].at <= now-o.ResponseTime {
			wait = s.sends[i].wait
			break
		}
	}
	if wait < 0 {
		// The queue was probably as long as it is now.
		wait = 0
		if o.Load != nil {
			wait = s.waitInRuns()
		}
	}
	run := float64(o.ResponseTime) / (1 + wait) / s.slowdown(now)
	if s.runTime == 0 || s.measurementWeight(now) == 0 {
		s.runTime = time.Duration(run)
	} else {
		s.runTime += time.Duration(runTimeWeight * (run - float64(s.runTime)))
	}
	s.refusalRate *= 1 - refusalWeight
	s.measuredAt = now
}

// QueueTime returns the expected wait at an upstream of a call sent now. It reports false
// without a report younger than loadTTL.
func (l *LeastWait) QueueTime(key string, now time.Duration) (time.Duration, bool) {
	s := l.states[key]
	if s == nil || s.reportWeight(now) == 0 {
		return 0, false
	}
	return time.Duration(s.waitInRuns() * float64(s.expectedRunTime(now))), true
}

// LastSendQueueTime returns the wait at an upstream that was expected of the last call that
// Begin noted, without that call itself. It reports false as QueueTime does.
func (l *LeastWait) LastSendQueueTime(key string, now time.Duration) (time.Duration, bool) {
	s := l.states[key]
	if s == nil || len(s.sends) == 0 || s.reportWeight(now) == 0 {
		return 0, false
	}
	return time.Duration(s.sends[len(s.sends)-1].wait * float64(s.expectedRunTime(now))), true
}

// ServiceRunTime returns the mean run time of a service's upstreams as of the last Pick among
// them, 0 before the first one.
func (l *LeastWait) ServiceRunTime(keys []string) time.Duration {
	for _, key := range keys {
		if s := l.states[key]; s != nil && s.serviceRunTime > 0 {
			return s.serviceRunTime
		}
	}
	return 0
}

// ServiceQueueTime returns the expected wait of a call sent now to a service: the mean over the
// upstreams with a fresh report, weighted by their slots and by how new the report is, and the
// mean age of these reports. Slow upstreams are left out while others have reported: they get
// calls only into free slots, and their queues say nothing about the wait at the others. It
// reports false if there is no fresh report.
func (l *LeastWait) ServiceQueueTime(keys []string, now time.Duration) (queueTime time.Duration, age time.Duration, ok bool) {
	queueTime, age, ok = l.meanQueueTime(keys, now, false)
	if !ok {
		return l.meanQueueTime(keys, now, true)
	}
	return queueTime, age, ok
}

func (l *LeastWait) meanQueueTime(keys []string, now time.Duration, slowToo bool) (queueTime time.Duration, age time.Duration, ok bool) {
	var waits, ages, weights float64
	for _, key := range keys {
		wait, fresh := l.QueueTime(key, now)
		if !fresh {
			continue
		}
		s := l.states[key]
		if !slowToo && s.slow(now) {
			continue
		}
		weight := float64(s.report.Slots) * s.reportWeight(now)
		waits += weight * float64(wait)
		ages += weight * float64(now-s.reportedAt)
		weights += weight
	}
	if weights == 0 {
		return 0, 0, false
	}
	return time.Duration(waits / weights), time.Duration(ages / weights), true
}

// IsSlow reports whether the run time of an upstream is several times that of its service.
func (l *LeastWait) IsSlow(key string, now time.Duration) bool {
	s := l.states[key]
	return s != nil && s.slow(now)
}

// slow reports whether an upstream's run time is several times the service's.
func (s *waitState) slow(now time.Duration) bool {
	return s.serviceRunTime > 0 && float64(s.expectedRunTime(now)) > slowRatio*float64(s.serviceRunTime)
}

// LastReport returns the last load report of an upstream, however old, and its age.
func (l *LeastWait) LastReport(key string, now time.Duration) (report loadreport.Report, age time.Duration, ok bool) {
	s := l.states[key]
	if s == nil || s.reportedAt == 0 {
		return loadreport.Report{}, 0, false
	}
	return s.report, now - s.reportedAt, true
}

// Len returns the number of upstreams whose state is kept.
func (l *LeastWait) Len() int { return len(l.states) }

// Trim drops the state of upstreams that are gone.
func (l *LeastWait) Trim(now time.Duration) {
	for key, s := range l.states {
		if s.inFlight == 0 && now-s.lastSeenAt > idleStateTTL {
			delete(l.states, key)
		}
	}
}
