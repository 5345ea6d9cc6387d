package limits

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

const (
	averageRate = 0.1 // weight of a new service time once many are known
	averageMin  = 5   // service times until the average counts
)

// average is a moving mean of service times, in seconds.
type average struct {
	mean  float64
	count int
}

func (a *average) add(x float64) {
	a.count++
	a.mean += max(averageRate, 1/float64(a.count)) * (x - a.mean)
}

func (a *average) known() bool { return a.count >= averageMin && a.mean > 0 }

// drainRate returns how many entries of a class start a second while its queue
// isn't empty; false while that isn't known.
//
// It is slots over service time (Little's law) and not a count of recent starts:
// after a quiet time few starts were seen because few were asked for, and a burst
// would be refused for want of traffic before it.
func (q *Queue) drainRate(c routing.Class) (float64, bool) {
	slots := q.total - q.peers
	if c == routing.ClassRollout {
		slots = min(slots-q.started[routing.ClassProduction], slots-q.reserve())
	}
	mean, known := q.serviceTime(c)
	if !known || q.total == 0 {
		return 0, false
	}
	// Peers may hold all slots for now; one of them frees up as well sometime.
	return float64(max(1, slots)) / mean, true
}

// serviceTime is the mean time that a slot stays taken, as the class sees it.
// Production takes any slot that frees up, so rollouts that run count in its mean.
func (q *Queue) serviceTime(c routing.Class) (seconds float64, known bool) {
	if c == routing.ClassRollout {
		return q.service[c].mean, q.service[c].known()
	}
	var slots, rate float64
	for class := range q.service {
		if q.service[class].known() {
			n := float64(q.started[class])
			slots += n
			rate += n / q.service[class].mean
		}
	}
	if rate == 0 {
		return q.service[c].mean, q.service[c].known()
	}
	return slots / rate, true
}

// wait estimates how long a new entry of a team would be queued. It is behind
// all of its team's, and behind the others' as far as their share goes: of n
// teams alike, its own k entries take n*k starts, but never more than are queued.
// Production entries wait behind production alone, rollouts behind both.
func (q *Queue) wait(t *team, c routing.Class) (time.Duration, bool) {
	rate, known := q.drainRate(c)
	if !known {
		return 0, false
	}
	ahead := min(float64(q.lanes[c].count), float64(t.flow(c).len())*q.activeWeight(t, c)/t.weight)
	if c == routing.ClassRollout {
		ahead += float64(q.lanes[routing.ClassProduction].count)
	}
	return time.Duration((ahead + 1) / rate * float64(time.Second)), true
}

// activeWeight sums the weights of the teams with entries in a class, and this
// one's.
func (q *Queue) activeWeight(t *team, c routing.Class) float64 {
	sum := 0.0
	for _, f := range q.lanes[c].flows {
		if f.team != t {
			sum += f.team.weight
		}
	}
	return sum + t.weight
}

// retryAfter turns an estimated wait into an advice to callers.
func retryAfter(wait time.Duration, known bool) time.Duration {
	if !known {
		return unknownRetryAfter
	}
	return min(MaxRetryAfter, max(MinRetryAfter, wait))
}
