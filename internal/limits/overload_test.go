package limits_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
)

// Each entry starts from an adopted fraction (0: from none), observes a queue time (-1:
// refusals) n times a second for a time, and expects a fraction some time later. Guards
// against a controller that counts estimates, stops probing or refuses without need.
var _ = DescribeTable("the overload controller", func(adopted float64, queueTime, duration time.Duration, n int, later time.Duration, low, high float64) {
	o, now := limits.NewOverload(limits.OverloadOptions{}), time.Hour
	o.Adopt(adopted, now)
	for ; n > 0 && now <= time.Hour+duration; now += time.Second / time.Duration(n) {
		if queueTime < 0 {
			o.Refused(now)
		} else {
			o.Update(queueTime, 0, queueTarget, now)
		}
	}
	Expect(o.Admitted(time.Hour + duration + later)).To(And(BeNumerically(">=", low-1e-9), BeNumerically("<=", high+1e-9)))
},
	Entry("admits all without data", 0.0, 0*ms, 0*ms, 0, 0*ms, 1.0, 1.0),
	Entry("admits all below the target", 0.0, 30*ms, 9000*ms, 10, 0*ms, 1.0, 1.0),
	Entry("follows the time and not the number of estimates, few", 0.0, 90*ms, 2000*ms, 5, 0*ms, 0.52, 0.54),
	Entry("follows the time and not the number of estimates, many", 0.0, 90*ms, 2000*ms, 100, 0*ms, 0.52, 0.54),
	Entry("keeps probing", 0.0, -1*ms, 10000*ms, 1000, 0*ms, 0.02, 0.02),
	Entry("takes a refusal for twice the target", 0.0, -1*ms, 0*ms, 1, 0*ms, 0.86, 0.87),
	Entry("limits the effect of a refusal", 0.0, -1*ms, 0*ms, 1, 400*ms, 0.69, 0.7),
	Entry("limits the effect of refusals at one moment", 0.0, -1*ms, 1*ms, 1000000, 400*ms, 0.56, 0.57),
	Entry("grows at once when the queues are empty", 0.15, 0*ms, 0*ms, 1, 0*ms, 0.17, 0.18),
	Entry("returns from 0.15 within 600 ms when the queues are empty", 0.15, 0*ms, 600*ms, 10, 0*ms, 1.0, 1.0),
	Entry("grows back without data", 0.2, 0*ms, 0*ms, 0, 1000*ms, 0.44, 0.45),
	Entry("admits all without data after a time", 0.2, 0*ms, 0*ms, 0, 1500*ms, 1.0, 1.0),
)

// Guards against the fleet's older fraction overriding a daemon's own, against daemons that keep
// different fractions, and against an end of contention that is reported too early or never.
var _ = It("adopts a fraction whole only at the start, and is contended for a second after it", func() {
	o := limits.NewOverload(limits.OverloadOptions{})
	Expect(o.Contended(0)).To(BeFalse())
	o.Update(queueTarget, 0, queueTarget, 0)
	o.Adopt(0.4, 1*ms)
	Expect(o.Admitted(1 * ms)).To(BeNumerically("~", 0.4, 1e-9))
	o.Adopt(0.9, 2*ms)
	o.Update(queueTarget, 0, queueTarget, 400*ms)
	o.Update(queueTarget, 0, queueTarget, 800*ms)
	o.Adopt(0.1, 801*ms)
	Expect(o.Admitted(801*ms)).To(BeNumerically("~", 0.4*math.Pow(0.1/0.4, 0.25), 1e-9), "a quarter of the way")
	Expect([]bool{o.Contended(801 * ms), o.Contended(3299 * ms), o.Contended(3301 * ms)}).To(Equal([]bool{true, true, false}))
})

// naiveMaxMin grants min(wanted, weight x line), with the line found by bisection.
func naiveMaxMin(wanted, weights []float64, budget float64) []float64 {
	granted, low, high := make([]float64, len(wanted)), 0.0, 1e9
	for range 200 {
		line, used := (low+high)/2, 0.0
		for i := range wanted {
			granted[i] = min(wanted[i], weights[i]*line)
			used += granted[i]
		}
		if used > budget {
			high = line
		} else {
			low = line
		}
	}
	return granted
}

// Guards against shares that differ from max-min, waste capacity, starve a level or serve a
// less urgent kind of call more often.
var _ = It("divides random demands as a naive implementation does", func() {
	r := rng(9)
	for range 500 {
		var demands []limits.Demand
		admitted, customers := 0.01+0.99*r.Float64(), 1+r.IntN(8)
		for i := range 3 * customers {
			demands = append(demands, limits.Demand{Customer: fmt.Sprint(i % customers), Level: i / customers, Weight: 1 + float64(r.IntN(3)), Rate: 0.1 + 50*math.Pow(r.Float64(), 4)})
		}
		s, total, used, above := limits.Fractions(demands, admitted), 0.0, 0.0, 1.0
		var asked, got [3]float64
		for l := range 3 {
			var wanted, weights, granted []float64
			for _, d := range demands[l*customers : (l+1)*customers] {
				bound := 1.0 // a customer's fraction at the level above
				if l > 0 {
					bound = s.Admit(d.Customer, l-1)
				}
				wanted, weights, granted = append(wanted, bound*d.Rate), append(weights, d.Weight), append(granted, s.Admit(d.Customer, l)*d.Rate)
				asked[l], got[l] = asked[l]+d.Rate, got[l]+granted[len(granted)-1]
			}
			for i, want := range naiveMaxMin(wanted, weights, got[l]+1e-9) {
				Expect(granted[i]).To(BeNumerically("~", want, 1e-6))
			}
			Expect(got[l] / asked[l]).To(BeNumerically("<=", above+1e-9))
			total, used, above = total+asked[l], used+got[l], got[l]/asked[l]
		}
		Expect(used).To(BeNumerically("~", admitted*total, 1e-6), "all of the admitted fraction is used")
		lower := asked[1] + asked[2]
		if kept := lower * min(0.1, admitted, 0.1*admitted*total/lower); got[0] < asked[0]-1e-6 {
			Expect(got[1] + got[2]).To(BeNumerically("<=", kept+1e-6))
		}
	}
})

// Guards against retries that come at the same time, too late to be honoured or to be served.
var _ = DescribeTable("Retry-After", func(r limits.Return, earliest, latest time.Duration, served bool) {
	for _, random := range []float64{0, 0.25, 0.5, 0.999999} {
		r.Random = random
		wait, ok := limits.RetryAfter(r)
		Expect(ok).To(Equal(served))
		position := math.Pow(random, 1/float64(1+r.Priority))
		Expect(wait).To(BeNumerically("~", earliest+time.Duration(position*float64(latest-earliest)), ms/100))
	}
},
	Entry("contended: upper half of a third", limits.Return{TimeLeft: 600 * ms, ServiceTime: 25 * ms, QueueTime: 40 * ms, Admitted: 0.6}, 100*ms, 200*ms, true),
	Entry("contended, less urgent: later", limits.Return{TimeLeft: 600 * ms, ServiceTime: 25 * ms, Admitted: 0.6, Priority: 2}, 100*ms, 200*ms, true),
	Entry("full for a moment: one to two service times", limits.Return{TimeLeft: 600 * ms, ServiceTime: 25 * ms, Admitted: 1}, 25*ms, 50*ms, true),
	Entry("no later than honoured", limits.Return{TimeLeft: 120 * ms, ServiceTime: 25 * ms, Admitted: 1}, 25*ms, 40*ms, true),
	Entry("no later than can be served", limits.Return{TimeLeft: 120 * ms, ServiceTime: 50 * ms, QueueTime: 40 * ms, Admitted: 0.5}, 20*ms, 30*ms, true),
	Entry("no time to run it afterwards", limits.Return{TimeLeft: 120 * ms, ServiceTime: 60 * ms, QueueTime: 50 * ms, Admitted: 0.5}, 0*ms, 0*ms, false),
	Entry("no time left", limits.Return{TimeLeft: 0, Admitted: 1}, 0*ms, 0*ms, false),
)

// Guards against runs of refusals, a fleet in step, and memory that grows with made-up keys.
var _ = It("admits every third call and forgets customers", func() {
	a, admitted := limits.NewAdmitter(), 0
	for i := range 300 {
		if a.Admit("a", 0, 1./3, 0.5, 0) {
			admitted++
		}
		Expect(admitted).To(Equal((2*i + 5) / 6))
		Expect(a.Admit("a", 1, 1, 0.5, 0)).To(BeTrue())
	}
	for i := range 100_000 {
		a.Admit(fmt.Sprint(i), 0, 0.5, 0.9, 0)
	}
	Expect(a.Customers()).To(Equal(4096))
	Expect(a.Admit("b", 0, 0, 0, 6*time.Second)).To(BeFalse())
	Expect(a.Customers()).To(Equal(1))
})

// Guards against unlisted customers that are refused or bypass the control, and against
// levels that starve.
var _ = DescribeTable("unlisted customers and levels", func(demands []limits.Demand, admitted float64, level int, want float64) {
	Expect(limits.Fractions(demands, admitted).Admit("unlisted", level)).To(BeNumerically("~", want, 1e-9))
},
	Entry("no contention", []limits.Demand{{Customer: "a", Rate: 5}}, 1.0, 0, 1.0),
	Entry("no demand", nil, 0.3, 2, 0.3),
	Entry("as the smallest", []limits.Demand{{Customer: "a", Rate: 90}, {Customer: "b", Rate: 10}}, 0.5, 0, 1.0),
	Entry("as those too small to be listed", []limits.Demand{{Customer: "a", Rate: 10}, {Rate: 40}}, 0.5, 0, 0.375),
	Entry("a tenth for a less urgent level", []limits.Demand{{Customer: "a", Rate: 90}, {Customer: "b", Level: 1, Rate: 10}}, 0.5, 1, 0.1),
	Entry("no more for a less urgent level than for all", []limits.Demand{{Customer: "a", Rate: 90}, {Customer: "b", Level: 1, Rate: 10}}, 0.05, 1, 0.05),
	Entry("more urgent than all", []limits.Demand{{Customer: "a", Level: 2, Rate: 90}}, 0.5, 0, 1.0),
	Entry("less urgent than a congested level", []limits.Demand{{Customer: "a", Rate: 90}}, 0.5, 2, 0.1),
)
