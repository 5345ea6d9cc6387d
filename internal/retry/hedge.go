package retry

import "time"

// hedgeShare of a call's latency objective without an answer sends a second copy of what
// may run twice. Work takes a sixth of the objective on average, so a copy is sent for the
// slowest few in a hundred, with time left for it.
const hedgeShare = 0.5

// HedgeAfter is how long a call is waited for before a second copy is sent. It reports
// false for a call without an objective.
func HedgeAfter(objective time.Duration) (time.Duration, bool) {
	return time.Duration(hedgeShare * float64(objective)), objective > 0
}

// HedgeBudget bounds second copies to a twentieth of the traffic, or one a second where
// there is little: when a whole group turns slow, copies of all its calls would double its
// load.
func HedgeBudget() BudgetOptions { return BudgetOptions{Share: 0.05, PerSecond: 1, Max: 10} }
