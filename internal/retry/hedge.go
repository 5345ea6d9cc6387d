package retry

import "time"

// hedgeFraction is the fraction of a call's latency objective after which a second copy of
// the call is sent, if it may run twice and has no answer yet. Calls take a sixth of the
// objective on average. So only the slowest few in a hundred get a copy, and the copy has
// time left to answer.
const hedgeFraction = 0.5

// HedgeAfter returns how long to wait for the answer to a call before a second copy is sent,
// and false for a call without a latency objective.
func HedgeAfter(objective time.Duration) (time.Duration, bool) {
	return time.Duration(hedgeFraction * float64(objective)), objective > 0
}

// GenerationHedgeBudget limits second copies of generations, which occupy a slot of an engine for
// seconds, to a twentieth of the generations, or to one per second where these are few.
func GenerationHedgeBudget() BudgetOptions {
	return BudgetOptions{PerSuccess: 0.05, PerSecond: 1, Capacity: 10}
}

// CallHedgeBudget limits second copies of calls: if a whole service becomes slow, copies of all
// its calls would double its load. The capacity lets a burst through: the reward calls of a
// step are sent by the dozen, and if one server of nine is slow, a tenth of them are late
// and all of these may have a copy.
func CallHedgeBudget() BudgetOptions {
	return BudgetOptions{PerSuccess: 0.1, PerSecond: 3, Capacity: 50}
}
