package admission

import (
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

const (
	// tableHold is the age up to which a table alone gives the demand: the validity of one of the
	// smallest fleets. A daemon's own demand is that of some tens of calls and says less.
	tableHold = 3 * shares.MinInterval
	// tableFade is the time in which the part of an older table falls to a third. The interval of
	// 985 daemons is 3.9 s, so that such a fleet's table alone tells of a peak of 10 s when that is
	// half over. Own demand alone depends on which daemons a customer's callers reach.
	tableFade = 2 * time.Second
)

// tablePart returns the part of the demand that a table of the given age gives.
func tablePart(age time.Duration) float64 {
	return math.Exp(-max(0, age-tableHold).Seconds() / tableFade.Seconds())
}

// flow is the demand of a customer at one level.
type flow struct {
	customer string
	level    int
}

// blend returns the demand from which shares are computed: that of the fleet, as a table of the
// given part, and for the rest this daemon's own, scaled up to the fleet's total.
func blend(own []limits.Demand, t shares.Table, part float64) []limits.Demand {
	var ownTotal, fleetTotal float64
	for _, d := range own {
		ownTotal += d.Rate
	}
	for _, d := range t.Demands {
		fleetTotal += d.Rate
	}
	if !(ownTotal > 0) || !(fleetTotal > 0) {
		part = 1
	}
	out := make([]limits.Demand, 0, len(t.Demands)+len(own))
	index := make(map[flow]int, len(t.Demands)+len(own))
	for _, d := range t.Demands {
		index[flow{d.Customer, d.Level}] = len(out)
		weight := limits.DefaultWeight * float64(max(1, d.Customers))
		out = append(out, limits.Demand{Customer: d.Customer, Level: d.Level, Weight: weight, Rate: part * d.Rate})
	}
	if part >= 1 {
		return out
	}
	scale := (1 - part) * fleetTotal / ownTotal
	for _, d := range own {
		id := flow{d.Customer, d.Level}
		at, ok := index[id]
		if !ok {
			at = len(out)
			index[id] = at
			out = append(out, limits.Demand{Customer: d.Customer, Level: d.Level, Weight: limits.DefaultWeight})
			// A customer that the table does not list has its part of the entry of all such.
			if small, ok := index[flow{"", d.Level}]; ok && out[small].Weight > limits.DefaultWeight {
				rate := out[small].Rate * limits.DefaultWeight / out[small].Weight
				out[small].Rate -= rate
				out[small].Weight -= limits.DefaultWeight
				out[at].Rate = rate
			}
		}
		out[at].Rate += scale * d.Rate
	}
	return out
}
