package shares

import (
	"errors"
	"slices"
	"strings"
	"time"
)

// maxHeld bounds the entries that a coordinator holds for all services and daemons, some 4 MB. 985
// daemons that each report 150 customers hold 164,000.
const maxHeld = 1 << 18

// reportCost is the number of entries as which a report without entries counts.
const reportCost = 16

// reviewWindow bounds the time that a review looks back, so that reports from before the end of a
// contention do not hide those that are missing since. 125 reports are due in it in a large fleet.
const reviewWindow = 500 * time.Millisecond

// ErrFull means that the coordinator holds too many reports to accept another one.
var ErrFull = errors.New("shares: coordinator is full")

// Coordinator sums up the reports of all daemons. It is pure and not safe for concurrent use.
type Coordinator struct {
	services map[string]*fleetDemand
	held     int           // entries held, with reportCost for each report
	lastSlot time.Duration // time of the last report that was scheduled
	// reviewedAt is the time of the last comparison of reports that were due with those that came.
	reviewedAt time.Duration
}

// fleetDemand is the demand of all daemons for one service. Its sums are kept up to date with each
// report: summing up all reports for each table would take a coordinator of 985 daemons millions
// of additions per second. They are integers, so that subtracting a report leaves no rounding
// error.
type fleetDemand struct {
	reports   map[string]*heldReport // by VM
	customers map[string]*customerSum
	units     uint64 // of all customers
}

type customerSum struct {
	name   string
	units  uint64
	levels []*levelSum // sorted by level
}

type levelSum struct {
	customer *customerSum
	level    int
	units    uint64
	entries  int // number of held entries that are included
}

type heldReport struct {
	sequence uint64
	received time.Duration
	due      time.Duration // of the daemon's next report
	expires  time.Duration
	entries  []heldEntry
	// aggregated has the entries of several customers, which few daemons have.
	aggregated []Demand
	queueTime  time.Duration
	measured   time.Duration // time of queueTime
	admitted   float64
	known      bool
}

type heldEntry struct {
	sum   *levelSum
	units uint64
}

// NewCoordinator returns a Coordinator without reports.
func NewCoordinator() *Coordinator { return &Coordinator{services: map[string]*fleetDemand{}} }

// Exchange adds a report, which replaces the VM's previous one, and returns the fleet's demand. A
// report that is refused changes nothing. A report that was overtaken by a later one of the same
// VM is ignored.
func (c *Coordinator) Exchange(r Report, now time.Duration) (Table, error) {
	if err := r.Validate(); err != nil {
		return Table{}, err
	}
	if f, ok := c.services[r.Service]; ok {
		c.expire(f, now)
	}
	if !c.hasRoom(r) {
		c.Expire(now)
		if !c.hasRoom(r) {
			return Table{}, ErrFull
		}
	}
	f, ok := c.services[r.Service]
	if !ok {
		f = &fleetDemand{reports: map[string]*heldReport{}, customers: map[string]*customerSum{}}
		c.services[r.Service] = f
	}
	interval := c.schedule(now)
	if old, ok := f.reports[r.VM]; !ok || r.Sequence > old.sequence {
		c.remove(f, r.VM)
		c.add(f, r, now, interval)
	}
	t := f.table(now)
	t.NextReport = interval
	return t, nil
}

// hasRoom reports whether a report can be held. It takes the place of the VM's previous one.
func (c *Coordinator) hasRoom(r Report) bool {
	held := c.held + heldCost(len(r.Demands))
	if f, ok := c.services[r.Service]; ok {
		if old, ok := f.reports[r.VM]; ok {
			held -= heldCost(len(old.entries))
		}
	}
	return held <= maxHeld
}

// heldCost returns what a report with so many entries counts towards maxHeld.
func heldCost(entries int) int { return entries + reportCost }

// schedule returns the time until the daemon's next report. Reports are scheduled at least
// reportSpacing apart, so that those of n daemons are spread over max(MinInterval,
// n*reportSpacing), also if all daemons are contended from the same moment on.
func (c *Coordinator) schedule(now time.Duration) time.Duration {
	if now-c.reviewedAt >= MinInterval {
		c.review(now)
	}
	c.lastSlot = min(max(c.lastSlot+reportSpacing, now+MinInterval), now+maxInterval)
	return c.lastSlot - now
}

// review moves the schedule back if most of the reports that were due since the last review have not
// come: a contention of many daemons has then ended, or they cannot reach this one, and those that
// still report need not wait for the others' slots. If fewer are missing, as those of daemons that were
// killed or of failed calls, the schedule catches up within an interval by itself.
func (c *Coordinator) review(now time.Duration) {
	since := max(c.reviewedAt, now-reviewWindow)
	received, missing := 1, 0 // the report that is being scheduled
	for _, f := range c.services {
		for _, r := range f.reports {
			if due := r.due + callTimeout; due > since && due <= now {
				missing++
			} else if r.received > since {
				received++
			}
		}
	}
	c.reviewedAt = now
	if ahead := c.lastSlot - now; missing > received && ahead > MinInterval {
		c.lastSlot = now + time.Duration(float64(ahead)*float64(received)/float64(received+missing))
	}
}

// Expire removes expired reports of all services.
func (c *Coordinator) Expire(now time.Duration) {
	for name, f := range c.services {
		c.expire(f, now)
		if len(f.reports) == 0 {
			delete(c.services, name)
		}
	}
}

// Empty reports whether no report is held.
func (c *Coordinator) Empty() bool { return len(c.services) == 0 }

func (c *Coordinator) expire(f *fleetDemand, now time.Duration) {
	for vm, r := range f.reports {
		if now >= r.expires {
			c.remove(f, vm)
		}
	}
}

func (c *Coordinator) add(f *fleetDemand, r Report, now, interval time.Duration) {
	held := &heldReport{
		sequence: r.Sequence, received: now, due: now + interval, expires: now + validIntervals*interval,
		queueTime: r.QueueTime, measured: now - r.QueueAge, admitted: r.Admitted, known: r.Known,
	}
	held.entries = make([]heldEntry, 0, len(r.Demands))
	for _, d := range r.Demands {
		held.entries = append(held.entries, f.addSum(d))
		if d.Customer == "" && d.Customers > 1 {
			held.aggregated = append(held.aggregated, d)
		}
	}
	f.reports[r.VM] = held
	c.held += heldCost(len(held.entries))
}

// addSum adds a demand to its sums.
func (f *fleetDemand) addSum(d Demand) heldEntry {
	c, ok := f.customers[d.Customer]
	if !ok {
		c = &customerSum{name: d.Customer}
		f.customers[d.Customer] = c
	}
	at, ok := slices.BinarySearchFunc(c.levels, d.Level, func(l *levelSum, level int) int { return l.level - level })
	if !ok {
		c.levels = slices.Insert(c.levels, at, &levelSum{customer: c, level: d.Level})
	}
	sum, units := c.levels[at], Units(d.Rate)
	sum.units += units
	sum.entries++
	c.units += units
	f.units += units
	return heldEntry{sum, units}
}

// subtract undoes addSum.
func (f *fleetDemand) subtract(e heldEntry) {
	sum, c := e.sum, e.sum.customer
	sum.units -= e.units
	c.units -= e.units
	f.units -= e.units
	if sum.entries--; sum.entries > 0 {
		return
	}
	c.levels = slices.DeleteFunc(c.levels, func(l *levelSum) bool { return l == sum })
	if len(c.levels) == 0 {
		delete(f.customers, c.name)
	}
}

// remove removes a VM's report, if there is one.
func (c *Coordinator) remove(f *fleetDemand, vm string) {
	held, ok := f.reports[vm]
	if !ok {
		return
	}
	delete(f.reports, vm)
	c.held -= heldCost(len(held.entries))
	for _, e := range held.entries {
		f.subtract(e)
	}
}

// table returns the fleet's demand, without the time of the next report. Its means are those of
// new measurements only, so that their age is that of the reports which tell of a change.
func (f *fleetDemand) table(now time.Duration) Table {
	t := Table{Daemons: len(f.reports), Demands: f.demands()}
	measured := 0
	for _, r := range f.reports {
		if r.known && now-r.measured < maxMeasureAge {
			measured++
			t.QueueAge += now - r.measured
			t.QueueTime += r.queueTime
			t.Admitted += r.admitted
		}
	}
	if measured > 0 {
		t.Known = true
		t.QueueTime /= time.Duration(measured)
		t.QueueAge /= time.Duration(measured)
		t.Admitted = min(1, t.Admitted/float64(measured))
	}
	return t
}

// aggregatedCustomers returns the number of customers in the entries "" of reports, by level. Daemons
// mostly aggregate the same customers, so it is the largest number of one report: their sum would give
// the entry a weight that grows with the fleet.
func (f *fleetDemand) aggregatedCustomers() (counts [maxLevel + 1]int) {
	for _, r := range f.reports {
		for _, d := range r.aggregated {
			counts[d.Level] = max(counts[d.Level], d.Customers)
		}
	}
	return counts
}

// demands returns the sums, with those of small customers aggregated.
func (f *fleetDemand) demands() []Demand {
	var large []*customerSum
	var aggregated [maxLevel + 1]Demand
	reported := f.aggregatedCustomers()
	for _, c := range f.customers {
		if c.name != "" && c.units*minShare >= f.units {
			large = append(large, c)
			continue
		}
		for _, l := range c.levels {
			if l.units > 0 {
				customers := 1
				if c.name == "" {
					customers = max(1, reported[l.level])
				}
				aggregated[l.level].Customers = min(maxCustomers, aggregated[l.level].Customers+customers)
				aggregated[l.level].Rate += float64(l.units) // exact up to 2^53
			}
		}
	}
	slices.SortFunc(large, func(a, b *customerSum) int { return strings.Compare(a.name, b.name) })
	demands := make([]Demand, 0, 2*len(large)+len(aggregated))
	for level, d := range aggregated {
		if d.Customers > 0 {
			demands = append(demands, Demand{Level: level, Rate: min(d.Rate/rateUnits, maxRate), Customers: d.Customers})
		}
	}
	for _, c := range large {
		for _, l := range c.levels {
			if l.units > 0 {
				demands = append(demands, Demand{Customer: c.name, Level: l.level, Rate: min(RateOfUnits(l.units), maxRate)})
			}
		}
	}
	return compact(demands)
}
