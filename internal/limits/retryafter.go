package limits

import (
	"math"
	"time"
)

const (
	// honouredPart is the part of their remaining time that callers wait at most.
	honouredPart = 3
	// spreadBelow is the admitted fraction below which retries are spread over as much
	// time as callers honour. Above it, few calls are refused and the upstreams were full
	// only for a moment.
	spreadBelow = 0.95
)

// Return describes a refused call whose caller may retry.
type Return struct {
	// TimeLeft is the caller's remaining time.
	TimeLeft time.Duration
	// ServiceTime and QueueTime are the expected time to run the call and to wait for it.
	ServiceTime, QueueTime time.Duration
	// Admitted is the fraction of calls that is admitted now.
	Admitted float64
	// Priority is the call's priority, 0 the highest.
	Priority int
	// Random is a random number from 0 to below 1.
	Random float64
}

// RetryAfter returns when a refused caller should retry, or false if no retry can be served.
//
// While the service is contended, retries are spread over the upper half of what callers
// honour, a third of their remaining time. Otherwise callers return after one to two
// service times, when a slot has become free. Times after which the call could no longer be
// served are left out.
func RetryAfter(r Return) (time.Duration, bool) {
	honoured := r.TimeLeft / honouredPart
	earliest, latest := r.ServiceTime, 2*r.ServiceTime
	if !(r.Admitted >= spreadBelow) {
		earliest, latest = honoured/2, honoured
	}
	earliest = min(earliest, honoured)
	latest = min(latest, honoured, r.TimeLeft-r.ServiceTime-r.QueueTime)
	if r.TimeLeft <= 0 || latest < earliest {
		return 0, false
	}
	// Lower priorities take the largest of several random numbers, so more urgent callers
	// return sooner.
	position := math.Pow(min(1, max(0, r.Random)), 1/float64(1+max(0, r.Priority)))
	return earliest + time.Duration(position*float64(latest-earliest)), true
}
