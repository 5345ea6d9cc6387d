package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

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

// waitInRuns returns the expected wait of a call sent now by the upstream's last report, in
// run times.
func (s *waitState) waitInRuns() float64 {
	return max(0, float64(s.currentLoad()-s.report.Slots+1)) / float64(s.report.Slots)
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

// slow reports whether an upstream's run time, as it was last measured, is several times the
// service's. The expected run time fades towards the service's as the report ages, but the queue
// of that report does not become shorter by that.
func (s *waitState) slow() bool {
	return s.serviceRunTime > 0 && s.lastRunTime() > slowRatio*float64(s.serviceRunTime)
}
