package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// naiveReport is a report as the naive implementation keeps it.
type naiveReport struct {
	Report
	at, expires time.Duration
}

// naiveTable sums up all valid reports of a service.
func naiveTable(reports map[string]naiveReport, service string, now time.Duration) Table {
	t := Table{Demands: []Demand{}}
	customers, entries, total, measured := map[string]float64{}, map[Demand]float64{}, 0.0, 0
	for _, r := range reports {
		if r.Service != service || now >= r.expires {
			continue
		}
		t.Daemons++
		if age := now - r.at + r.QueueAge; r.Known && age < 500*time.Millisecond {
			measured++
			t.QueueAge += age
			t.QueueTime += r.QueueTime
			t.Admitted += r.Admitted
		}
		for _, d := range r.Demands {
			customers[d.Customer] += d.Rate
			entries[Demand{Customer: d.Customer, Level: d.Level}] += d.Rate
			total += d.Rate
		}
	}
	if t.Known = measured > 0; t.Known {
		t.QueueTime /= time.Duration(measured)
		t.QueueAge /= time.Duration(measured)
		t.Admitted /= float64(measured)
	}
	var aggregated [3]Demand
	for d, rate := range entries {
		if d.Rate = rate; rate > 0 && (d.Customer == "" || customers[d.Customer] < total/256) {
			sum := &aggregated[d.Level]
			*sum = Demand{Level: d.Level, Rate: sum.Rate + rate, Customers: sum.Customers + 1}
		} else if rate > 0 {
			t.Demands = append(t.Demands, d)
		}
	}
	t.Demands = slices.DeleteFunc(append(t.Demands, aggregated[:]...), func(d Demand) bool { return d.Rate == 0 })
	slices.SortFunc(t.Demands, compareDemands)
	return t
}

// Guards against demand that is counted twice, or that stays after its report was replaced or has
// expired, as errors in the running sums would cause; and against means of outdated measurements, or
// with a wrong age.
func TestSumsEqualThoseOfAllValidReports(t *testing.T) {
	for seed := range uint64(8) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		c, reports, now := NewCoordinator(), map[string]naiveReport{}, time.Duration(0)
		for sequence := range uint64(400) {
			now += time.Duration(random.IntN(int(40 * time.Millisecond)))
			r := Report{VM: fmt.Sprint("vm", random.IntN(20)), Service: fmt.Sprint("s", random.IntN(2)), Sequence: sequence + 1, Known: random.IntN(2) == 0}
			r.QueueTime, r.Admitted = time.Duration(random.IntN(1000)), float64(random.IntN(5))/4
			r.QueueAge = time.Duration(random.IntN(int(300 * time.Millisecond)))
			for range random.IntN(30) {
				r.Demands = append(r.Demands, Demand{Customer: fmt.Sprint(random.IntN(40)), Level: random.IntN(3), Rate: float64(random.IntN(1<<random.IntN(12))) / 8})
			}
			if random.IntN(10) == 0 { // overtaken by the previous report of the VM
				r.Sequence = 0
			}
			got, err := c.Exchange(r, now)
			g.Expect(err).NotTo(HaveOccurred())
			key := r.VM + r.Service
			if old, ok := reports[key]; !ok || now >= old.expires || r.Sequence > old.Sequence {
				reports[key] = naiveReport{r, now, now + 3*got.NextReport}
			}
			want := naiveTable(reports, r.Service, now)
			g.Expect(got.Validate()).To(Succeed())
			want.NextReport = got.NextReport
			g.Expect(got).To(Equal(want))
		}
		c.Expire(now + time.Hour)
		g.Expect(c).To(Equal(&Coordinator{services: map[string]*fleetDemand{}, lastSlot: c.lastSlot, reviewedAt: c.reviewedAt}), "nothing is kept")
	}
}

// Guards against a report with impossible values that distorts the shares of all daemons, and
// against one that removes the VM's previous report.
func TestMalformedReportChangesNothing(t *testing.T) {
	g := NewWithT(t)
	good := Report{VM: "a", Service: "s", Sequence: 1, Demands: []Demand{{Customer: "c", Rate: 5}}, Admitted: 0.5, Known: true}
	c := NewCoordinator()
	before, err := c.Exchange(good, 0)
	g.Expect(err).NotTo(HaveOccurred())
	entry := func(d Demand) func(*Report) { return func(r *Report) { r.Demands = []Demand{d} } }
	for name, change := range map[string]func(*Report){
		"no VM":               func(r *Report) { r.VM = "" },
		"no service":          func(r *Report) { r.Service = "" },
		"long service":        func(r *Report) { r.Service = strings.Repeat("s", 257) },
		"many entries":        func(r *Report) { r.Demands = make([]Demand, 1025) },
		"long customer":       entry(Demand{Customer: strings.Repeat("c", 257)}),
		"negative rate":       entry(Demand{Rate: -1}),
		"rate not a number":   entry(Demand{Rate: math.NaN()}),
		"huge rate":           entry(Demand{Rate: 1e7}),
		"infinite rate":       entry(Demand{Rate: math.Inf(1)}),
		"negative level":      entry(Demand{Level: -1}),
		"huge level":          entry(Demand{Level: 64}),
		"negative customers":  entry(Demand{Customers: -1}),
		"huge customers":      entry(Demand{Customers: 1<<20 + 1}),
		"negative queue time": func(r *Report) { r.QueueTime = -1 },
		"huge queue time":     func(r *Report) { r.QueueTime = math.MaxInt64 },
		"negative queue age":  func(r *Report) { r.QueueAge = -1 },
		"fraction above 1":    func(r *Report) { r.Admitted = 1.1 },
		"fraction no number":  func(r *Report) { r.Admitted = math.NaN() },
	} {
		bad := good
		bad.Sequence = 2
		change(&bad)
		_, err := c.Exchange(bad, 1)
		g.Expect(err).To(MatchError(ErrMalformed), name)
	}
	after, err := c.Exchange(good, 1)
	g.Expect(err).NotTo(HaveOccurred())
	after.NextReport, before.QueueAge = before.NextReport, 1 // that of the first report
	g.Expect(after).To(Equal(before))
}

// Guards against a daemon whose own figures are refused for ever, as one with more customers than
// a report may have, or with priorities beyond the last level; against a coordinator that uses up a
// small VM's memory; and against one that is full and drops the daemons that it has room for.
func TestReportsAndMemoryAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := Report{VM: "a", Service: "s", Admitted: math.NaN(), Known: true, QueueTime: -1, Demands: []Demand{
		{Customer: strings.Repeat("c", 300), Rate: 1}, {Customer: "b", Level: 99, Rate: math.Inf(1)}, {Customer: "n", Rate: math.NaN()}, {Customer: "\xff", Rate: 2},
	}}
	for n := range 100_000 {
		r.Demands = append(r.Demands, Demand{Customer: fmt.Sprint(n), Level: -1, Rate: float64(n)})
	}
	r = prepare(r)
	g.Expect(r.Validate()).To(Succeed())
	g.Expect(r.Demands).To(ContainElements(Demand{Customer: "99999", Rate: 99_999}, Demand{Customer: "b", Level: 63, Rate: 1e6}))
	g.Expect(r.Demands).NotTo(ContainElement(HaveField("Customer", "\xff")))
	c := NewCoordinator()
	exchange := func(vm int, now time.Duration) error {
		r.VM = fmt.Sprint(vm)
		_, err := c.Exchange(r, now)
		return err
	}
	vm := 0
	for ; vm < 1000 && exchange(vm, 0) == nil; vm++ {
	}
	g.Expect(vm).To(BeNumerically("~", 250, 30))
	g.Expect(exchange(vm, 0)).To(MatchError(ErrFull))
	r.Sequence++
	for known := range vm {
		g.Expect(exchange(known, 0)).To(Succeed(), "a report that replaces one needs no more room")
	}
	g.Expect(exchange(vm, time.Minute)).To(Succeed(), "the other reports have expired")
}

// Guards against a contended daemon that waits for the slots of a fleet whose contention has ended, and
// against a schedule that moves back while a fleet reports, of which some calls fail.
func TestScheduleMovesBack(t *testing.T) {
	g, c, random := NewWithT(t), NewCoordinator(), rand.New(rand.NewPCG(1, 1))
	sequence := uint64(0)
	report := func(vm int, now time.Duration) time.Duration {
		sequence++
		table, err := c.Exchange(Report{VM: fmt.Sprint(vm), Service: "s", Sequence: sequence}, now)
		g.Expect(err).NotTo(HaveOccurred())
		return table.NextReport
	}
	var next [985]time.Duration
	now, reports := time.Duration(0), 0
	for ; now < 12*time.Second; now += time.Millisecond {
		for vm := range next {
			if now < next[vm] {
				continue
			}
			if next[vm] = now + MinInterval; random.IntN(10) > 0 { // else the call fails
				next[vm] = now + report(vm, now)
				reports++
			}
		}
	}
	g.Expect(reports).To(BeNumerically("<", 985+12*260))
	g.Expect(report(0, now+time.Second)).To(BeNumerically("<=", MinInterval+reportSpacing), "a single daemon a second later")
}

// Guards against an entry of many customers that counts as one and gets the share of one, and against a
// weight of it that grows with the number of daemons.
func TestAggregatedCustomersOfReports(t *testing.T) {
	g, c := NewWithT(t), NewCoordinator()
	for vm, customers := range []int{0, 40, 25} {
		table, err := c.Exchange(Report{VM: fmt.Sprint(vm), Service: "s", Sequence: 1, Demands: []Demand{{Level: 2, Rate: 10, Customers: customers}, {Customer: "small", Level: 2, Rate: 0.01}}}, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(table.Demands[0].Customers).To(Equal([]int{2, 41, 41}[vm]))
	}
}
