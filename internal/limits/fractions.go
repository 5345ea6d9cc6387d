package limits

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// lowerLevelShare is the part of its demand that a lower level keeps while more urgent
	// levels could use everything, and the part of the admitted calls that all lower
	// levels together keep.
	lowerLevelShare = 0.1
	// maxPasses bounds the passes of Fractions over the levels. Two are enough with two
	// levels; with more, what is not divided after the second is below a thousandth.
	maxPasses = 6
)

// Demand is the rate of calls of a customer at one level, in calls per second.
type Demand struct {
	// Customer is the customer's key. "" stands for calls without a customer and for
	// customers that are too small to be listed; its weight is then the sum of theirs.
	Customer string
	// Level is the urgency, 0 first.
	Level int
	// Weight is the customer's weight within a level. Values that are not positive count
	// as DefaultWeight.
	Weight float64
	Rate   float64
}

// customerLevel identifies a demand.
type customerLevel struct {
	customer string
	level    int
}

// Shares is the result of Fractions: the fraction of calls to admit, by customer and level.
// It is immutable and safe for concurrent use. The zero value admits everything.
type Shares struct {
	fractions map[customerLevel]float64
	unlisted  map[int]float64 // by level, for customers that are not listed
	// congested is the most urgent level that is not admitted in full. hasCongested is
	// false if there is none.
	congested    int
	hasCongested bool
	guaranteed   float64 // for levels without demand that are less urgent than congested
}

// Admit returns the fraction of a customer's calls to admit at a level. For unlisted
// customers it is the fraction of "" or, if that is not listed, of the customer with the
// smallest demand for its weight.
func (s Shares) Admit(customer string, level int) float64 {
	if fraction, ok := s.fractions[customerLevel{customer, level}]; ok {
		return fraction
	}
	if fraction, ok := s.unlisted[level]; ok {
		return fraction
	}
	if s.hasCongested && level >= s.congested {
		return s.guaranteed
	}
	return 1
}

// levelDemand is the demand at one level.
type levelDemand struct {
	level   int
	demands []Demand // sorted by customer, without duplicates
	total   float64
	granted []float64 // rate granted to each demand
	used    float64   // sum of granted
}

// Fractions divides an admitted fraction of all calls among customers: by level first, 0
// before 1, but each lower level keeps at least a tenth of what it asks for, up to a tenth
// of all for the lower levels together; by weighted max-min within a level.
//
// A lower level is never admitted at a higher fraction than a more urgent one: neither the
// level as a whole nor any single customer's calls. The tenth is reduced if needed.
func Fractions(demands []Demand, admitted float64) Shares {
	if !(admitted < 1) { // includes NaN
		return Shares{}
	}
	admitted = max(0, admitted)
	levels := groupByLevel(demands)
	if len(levels) == 0 {
		// Without any demand there is nothing to divide: all get the same.
		return Shares{hasCongested: true, congested: math.MinInt, guaranteed: admitted}
	}
	var total float64
	for _, l := range levels {
		total += l.total
	}
	budget, lower := admitted*total, total-levels[0].total
	guaranteed := min(lowerLevelShare, admitted)
	if lower > 0 {
		guaranteed = min(guaranteed, lowerLevelShare*budget/lower)
	}

	// What a customer may use at a lower level is bounded by its fraction at more urgent
	// levels. Further passes give what is left over because of that to the upper levels.
	reserved := make([]float64, len(levels))
	for i := 1; i < len(levels); i++ {
		reserved[i] = guaranteed * levels[i].total
	}
	for range maxPasses {
		left, later := budget, sumOf(reserved)
		bounds := map[string]float64{}
		for i := range levels {
			later -= reserved[i]
			levels[i].divide(max(0, left-later), bounds)
			left -= levels[i].used
		}
		if left <= roundingError*budget {
			break
		}
		for i := 1; i < len(levels); i++ {
			reserved[i] = min(reserved[i], levels[i].used)
		}
	}
	return newShares(levels, guaranteed)
}

// newShares returns the shares for levels that have been divided.
func newShares(levels []levelDemand, guaranteed float64) Shares {
	s := Shares{
		fractions:  map[customerLevel]float64{},
		unlisted:   map[int]float64{},
		guaranteed: guaranteed,
	}
	for _, l := range levels {
		var highest float64
		for i, d := range l.demands {
			fraction := min(1, l.granted[i]/d.Rate)
			s.fractions[customerLevel{d.Customer, l.level}] = fraction
			highest = max(highest, fraction)
		}
		if fraction, ok := s.fractions[customerLevel{"", l.level}]; ok {
			highest = fraction
		}
		s.unlisted[l.level] = highest
		if !s.hasCongested && l.used < l.total*(1-roundingError) {
			s.congested, s.hasCongested = l.level, true
		}
	}
	return s
}

// divide grants a rate of at most budget to the demands by weighted max-min. bounds is the
// highest fraction by customer, 1 if it is missing; it is lowered to the granted one.
func (l *levelDemand) divide(budget float64, bounds map[string]float64) {
	wanted := make([]float64, len(l.demands))
	order := make([]int, len(l.demands))
	for i, d := range l.demands {
		order[i], wanted[i] = i, d.Rate
		if bound, ok := bounds[d.Customer]; ok {
			wanted[i] *= bound
		}
	}
	// In the order of demand by weight, each customer gets the smaller of its demand and
	// its part of what is left.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(wanted[a]/l.demands[a].Weight, wanted[b]/l.demands[b].Weight)
	})
	weights := make([]float64, len(order)+1) // of the customers from each place in the order on
	for place := len(order) - 1; place >= 0; place-- {
		weights[place] = weights[place+1] + l.demands[order[place]].Weight
	}
	l.granted, l.used = make([]float64, len(l.demands)), 0
	for place, i := range order {
		d := l.demands[i]
		l.granted[i] = min(wanted[i], max(0, budget-l.used)*d.Weight/weights[place])
		l.used += l.granted[i]
		bounds[d.Customer] = l.granted[i] / d.Rate
	}
}

// groupByLevel returns the positive demands by level and customer, most urgent first.
// Repeated entries of a customer at a level are added up.
func groupByLevel(demands []Demand) []levelDemand {
	merged := map[customerLevel]Demand{}
	for _, d := range demands {
		if !(d.Rate > 0) || math.IsInf(d.Rate, 0) {
			continue
		}
		if !(d.Weight > 0) || math.IsInf(d.Weight, 0) {
			d.Weight = DefaultWeight
		}
		key := customerLevel{d.Customer, d.Level}
		if previous, ok := merged[key]; ok {
			d.Rate += previous.Rate
			d.Weight = max(d.Weight, previous.Weight)
		}
		merged[key] = d
	}
	keys := slices.SortedFunc(maps.Keys(merged), func(a, b customerLevel) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.customer, b.customer))
	})
	var levels []levelDemand
	for _, key := range keys {
		if len(levels) == 0 || levels[len(levels)-1].level != key.level {
			levels = append(levels, levelDemand{level: key.level})
		}
		l := &levels[len(levels)-1]
		l.demands = append(l.demands, merged[key])
		l.total += merged[key].Rate
	}
	return levels
}

// sumOf returns the sum of the values.
func sumOf(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}
