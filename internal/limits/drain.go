package limits

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

const (
	minAverageWeight = 0.1 // weight of a new service time once many are known
	minServiceTimes  = 5   // number of service times from which on the average is used
)

// movingAverage is the average of service times in seconds: a plain mean at first, then
// an exponential moving average.
type movingAverage struct {
	mean  float64
	count int
}

func (a *movingAverage) add(value float64) {
	a.count++
	// The conversions here and below keep the product from being fused with the sum, which some
	// processors do: the same calls would otherwise give other results there.
	a.mean += float64(max(minAverageWeight, 1/float64(a.count)) * (value - a.mean))
}

func (a *movingAverage) known() bool { return a.count >= minServiceTimes && a.mean > 0 }

// drainRate returns the number of entries of a class that start per second while its
// queue is not empty, and false while it is unknown.
//
// It is the number of slots divided by the service time (Little's law) instead of a count
// of recent starts. After a quiet period few starts have been counted because few were
// requested, and a burst would be refused for lack of earlier traffic.
func (q *Queue) drainRate(c routing.Class) (float64, bool) {
	slots := q.total - q.peersInFlight
	if c == routing.ClassRollout {
		slots = min(slots-q.runningCount[routing.ClassProduction], slots-q.reservedSlots())
	}
	mean, known := q.serviceTime(c)
	if !known || q.total == 0 {
		return 0, false
	}
	// Peers may hold all slots at the moment, but will release some of them.
	return float64(max(1, slots)) / mean, true
}

// serviceTime returns the mean time for which the slots that a class may use stay taken,
// and false while it is unknown. Production may use any slot that is released, so its
// mean includes running rollouts.
func (q *Queue) serviceTime(c routing.Class) (seconds float64, known bool) {
	if c == routing.ClassRollout {
		return q.serviceTimes[c].mean, q.serviceTimes[c].known()
	}
	var slots, rate float64
	for class := range q.serviceTimes {
		if q.serviceTimes[class].known() {
			n := float64(q.runningCount[class])
			slots += n
			rate += n / q.serviceTimes[class].mean
		}
	}
	if rate == 0 {
		return q.serviceTimes[c].mean, q.serviceTimes[c].known()
	}
	return slots / rate, true
}

// estimateWait estimates how long a new entry of a flow would be queued, and returns
// false if that is unknown. The entry starts after all entries of its flow, and after
// those of other teams of the level in proportion to their weights: with n teams of equal
// weight and k entries of its own team, after n*k starts, but never more than are queued.
// It also waits for all entries of lower levels, but not longer than until its level has
// had enough turns. Production waits only for production, rollouts for both classes.
func (q *Queue) estimateWait(f *flow, c routing.Class) (time.Duration, bool) {
	rate, known := q.drainRate(c)
	if !known {
		return 0, false
	}
	sameLevel := min(float64(f.level.length), float64(f.len())*f.level.activeWeight(f.team)/f.team.weight)
	ahead := sameLevel
	for _, l := range q.classQueues[c].levels {
		if l.level < f.level.level {
			ahead += float64(l.length)
		}
	}
	// Without this bound, a long queue of a lower level would cause all entries of this
	// level to be refused on arrival, and its turns would remain unused.
	ahead = min(ahead, float64(max(1, f.level.startsLeft)-1)+float64(sameLevel*maxStartsPerTurn))
	if c == routing.ClassRollout {
		ahead += float64(q.classQueues[routing.ClassProduction].length)
	}
	return time.Duration((ahead + 1) / rate * float64(time.Second)), true
}

// activeWeight returns the sum of the weights of the given team and of all others with
// entries queued in the level.
func (l *levelQueue) activeWeight(t *team) float64 {
	sum := 0.0
	for _, f := range l.flows {
		if f.team != t {
			sum += f.team.weight
		}
	}
	return sum + t.weight
}

// retryAfter returns the RetryAfter for an estimated wait.
func retryAfter(wait time.Duration, known bool) time.Duration {
	if !known {
		return defaultRetryAfter
	}
	return min(MaxRetryAfter, max(MinRetryAfter, wait))
}
