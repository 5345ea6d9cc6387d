// Package shares gives each daemon the demand of the whole fleet for a contended service, so
// that all daemons admit the same fraction of a customer's calls, whichever daemon they reach.
//
// While a daemon is contended for a service, it reports its own demand to one other daemon, the
// coordinator, and gets the fleet's demand in return. Without a coordinator it uses its own
// demand. All state is in memory and expires within three reporting intervals.
//
// Coordinator and client are pure: the time is passed in, and they use no locks, clocks or
// goroutines. Service runs them.
package shares

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// MinInterval is the shortest time between two reports of a daemon for one service.
	MinInterval = 200 * time.Millisecond
	// reportSpacing is the mean time between the reports that a coordinator receives at most:
	// 250 per second.
	reportSpacing = 4 * time.Millisecond
	// maxInterval bounds the time between two reports of a daemon. Above 2,500 daemons the
	// coordinator receives more than 250 reports per second.
	maxInterval = 10 * time.Second
	// validIntervals is the number of reporting intervals for which a report and a table are
	// valid, so that one lost report changes nothing.
	validIntervals = 3
	// MaxDemands bounds the entries of a report and of a table.
	MaxDemands = 1024
	// minShare is the part of the total demand, one in so many, below which customers are
	// aggregated.
	minShare = 256
	// maxLevel is the last level, that of late calls of the last priority (LevelOf).
	maxLevel = 63
	// maxName bounds the length of names in bytes.
	maxName = 256
	// maxRate bounds the rate of one entry in calls per second. It is far above what a VM can
	// receive, and sums of such rates stay exact in 64 bits.
	maxRate = 1e6
	// maxMeasureAge is the age from which on a measurement is not part of a table's means. Reports
	// are valid for longer, for their demand; the overload control ignores older queue times.
	maxMeasureAge = 500 * time.Millisecond
	// maxCustomers bounds the customers of one entry, whose weight is that of so many.
	maxCustomers = 1 << 20
	// maxQueueTime is far above the timeout of any caller, and fits in 32 bits of microseconds.
	maxQueueTime = time.Hour
	// rateUnits is the number of units of a call per second in which rates are summed and sent.
	rateUnits = 1000
)

// Demand is the rate of calls of a customer at one level.
type Demand struct {
	Customer string // "": calls without a customer and aggregated customers
	Level    int    // 0 is the most urgent
	Rate     float64
	// Customers is the number of customers that the entry "" of a table aggregates. 0 in other
	// entries. The weight of an aggregated entry is that of so many customers.
	Customers int
}

// Report is a daemon's own demand for a service.
type Report struct {
	VM, Service string
	Sequence    uint64 // rises with each report of the VM, also over restarts
	Demands     []Demand
	QueueTime   time.Duration
	QueueAge    time.Duration // of QueueTime when the report is sent
	Admitted    float64
	Known       bool // QueueTime and Admitted are measured
}

// Table is the fleet's demand for a service.
type Table struct {
	Demands    []Demand // sorted by customer and level, without zero rates
	QueueTime  time.Duration
	QueueAge   time.Duration // mean age of QueueTime when the table is sent
	Admitted   float64
	Known      bool          // QueueTime and Admitted are means over the daemons that measured them lately
	Daemons    int           // number of daemons whose reports are included
	NextReport time.Duration // after which the daemon is to report again
}

// Fresh reports whether a table that Sink got at the given time is still valid.
func (t Table) Fresh(at, now time.Duration) bool { return now-at < validIntervals*t.NextReport }

// ErrMalformed means that a report or a table has values that no daemon sends.
var ErrMalformed = errors.New("shares: malformed")

// Validate returns an error that wraps ErrMalformed if a report is not one of a daemon.
func (r Report) Validate() error {
	if err := errors.Join(validateName("VM", r.VM), validateName("service", r.Service)); err != nil {
		return err
	}
	return errors.Join(validateDemands(r.Demands), validateMeans(r.QueueTime, r.QueueAge, r.Admitted, r.Known))
}

// Validate returns an error that wraps ErrMalformed if a table is not one of a coordinator.
func (t Table) Validate() error {
	switch {
	case t.Daemons < 1:
		return fmt.Errorf("%w: table of %d daemons", ErrMalformed, t.Daemons)
	case t.NextReport < MinInterval || t.NextReport > maxInterval:
		return fmt.Errorf("%w: next report in %v", ErrMalformed, t.NextReport)
	}
	return errors.Join(validateDemands(t.Demands), validateMeans(t.QueueTime, t.QueueAge, t.Admitted, t.Known))
}

func validateName(what, name string) error {
	if name == "" || len(name) > maxName {
		return fmt.Errorf("%w: %s name of %d bytes", ErrMalformed, what, len(name))
	}
	return nil
}

func validateDemands(demands []Demand) error {
	if len(demands) > MaxDemands {
		return fmt.Errorf("%w: %d demands", ErrMalformed, len(demands))
	}
	for _, d := range demands {
		switch {
		case len(d.Customer) > maxName:
			return fmt.Errorf("%w: customer name of %d bytes", ErrMalformed, len(d.Customer))
		case d.Level < 0 || d.Level > maxLevel:
			return fmt.Errorf("%w: level %d", ErrMalformed, d.Level)
		case !(d.Rate >= 0 && d.Rate <= maxRate): // also if it is not a number
			return fmt.Errorf("%w: rate %v", ErrMalformed, d.Rate)
		case d.Customers < 0 || d.Customers > maxCustomers:
			return fmt.Errorf("%w: %d customers", ErrMalformed, d.Customers)
		}
	}
	return nil
}

func validateMeans(queueTime, queueAge time.Duration, admitted float64, known bool) error {
	switch {
	case !known:
		return nil
	case queueTime < 0 || queueTime > maxQueueTime:
		return fmt.Errorf("%w: queue time %v", ErrMalformed, queueTime)
	case queueAge < 0 || queueAge > maxQueueTime:
		return fmt.Errorf("%w: queue time of %v ago", ErrMalformed, queueAge)
	case !(admitted >= 0 && admitted <= 1): // also if it is not a number
		return fmt.Errorf("%w: admitted fraction %v", ErrMalformed, admitted)
	}
	return nil
}

// Units converts a rate to the units in which rates are summed and sent.
func Units(rate float64) uint64 { return uint64(math.Round(rate * rateUnits)) }

// RateOfUnits converts units to a rate.
func RateOfUnits(units uint64) float64 { return float64(units) / rateUnits }

// LevelOf returns the level of a call: 2 x priority, plus 1 if it is late. Priorities beyond the last
// one, 31, count as that one: demand must be reported and admitted at the same level, and a call that
// is not late must not become one. Levels are limited here only; prepare's bounds are those of a report
// that Validate accepts, and change no level of this function.
func LevelOf(priority int, late bool) int {
	level := 2 * min(max(priority, 0), maxLevel/2)
	if late {
		level++
	}
	return level
}

func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Level, b.Level))
}

// prepare returns a report that Validate accepts and that can be encoded: levels and rates within
// their bounds, unusable names and the smallest customers aggregated, no rates of zero.
func prepare(r Report) Report {
	demands := make([]Demand, 0, len(r.Demands))
	for _, d := range r.Demands {
		d.Level, d.Rate = min(max(d.Level, 0), maxLevel), min(d.Rate, maxRate)
		if !(d.Rate > 0) || Units(d.Rate) == 0 { // also if it is not a number
			continue
		}
		if len(d.Customer) > maxName || !utf8.ValidString(d.Customer) { // protobuf has no other strings
			d.Customer = ""
		}
		demands = append(demands, d)
	}
	slices.SortFunc(demands, compareDemands)
	r.Demands = compact(demands)
	r.QueueTime = min(max(r.QueueTime, 0), maxQueueTime)
	r.QueueAge = min(max(r.QueueAge, 0), maxQueueTime)
	r.Known = r.Known && r.Admitted >= 0 && r.Admitted <= 1
	return r
}

// compact aggregates the smallest customers, in one entry per level, if there are more than
// MaxDemands entries. demands must be sorted.
func compact(demands []Demand) []Demand {
	if len(demands) <= MaxDemands {
		return demands
	}
	type customer struct {
		from, to int // its demands
		rate     float64
	}
	var customers []customer
	for i, d := range demands {
		if i == 0 || d.Customer != demands[i-1].Customer {
			customers = append(customers, customer{from: i})
		}
		c := &customers[len(customers)-1]
		c.to, c.rate = i+1, c.rate+d.Rate
	}
	slices.SortStableFunc(customers, func(a, b customer) int { return cmp.Compare(b.rate, a.rate) })
	out := make([]Demand, 0, min(len(demands), MaxDemands))
	var rates [maxLevel + 1]float64
	var counts [maxLevel + 1]int
	full := false
	for _, c := range customers {
		entries := demands[c.from:c.to]
		full = full || len(out)+len(entries) > MaxDemands-len(rates)
		if entries[0].Customer != "" && !full {
			out = append(out, entries...)
			continue
		}
		for _, d := range entries {
			rates[d.Level] += d.Rate
			counts[d.Level] = min(maxCustomers, counts[d.Level]+max(1, d.Customers))
		}
	}
	for level, n := range counts {
		if n > 0 {
			out = append(out, Demand{Level: level, Rate: min(rates[level], maxRate), Customers: n})
		}
	}
	slices.SortFunc(out, compareDemands)
	return out
}
