package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

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

// FreeSlots returns how many slots of the candidates are free by their fresh reports and the own
// calls sent since.
func (l *LeastWait) FreeSlots(candidates []Candidate, now time.Duration) int {
	free := 0
	for _, c := range candidates {
		s := l.states[c.Key]
		if s == nil || c.Tried || s.full(now) || s.reportWeight(now) == 0 {
			continue
		}
		free += max(0, s.report.Slots-s.currentLoad())
	}
	return free
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
		if !slowToo && s.slow() {
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
func (l *LeastWait) IsSlow(key string) bool {
	s := l.states[key]
	return s != nil && s.slow()
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
