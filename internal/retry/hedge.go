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

// GenerationHedges bounds second copies of generations, which take an engine's place for
// seconds, to a twentieth of them, or one a second where there are few.
func GenerationHedges() BudgetOptions { return BudgetOptions{Share: 0.05, PerSecond: 1, Max: 10} }

// CallHedges bounds second copies of calls: when a whole service turns slow, copies of all
// its calls would double its load. A step's reward calls come dozens at once, and one
// server of nine that is slow holds a tenth of them up: Max lets all of these have a copy.
func CallHedges() BudgetOptions { return BudgetOptions{Share: 0.1, PerSecond: 3, Max: 50} }
