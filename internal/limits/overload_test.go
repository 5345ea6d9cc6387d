package limits_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
)

// estimates passes in n estimates a second of the same queue time and returns the fraction
// at the end.
func estimates(o *limits.Overload, queueTime time.Duration, n int, from, to time.Duration) float64 {
	for now := from; now <= to; now += time.Second / time.Duration(n) {
		o.Update(queueTime, queueTarget, now)
	}
	return o.Admitted(to)
}

// Each entry returns a fraction that must be between low and high.
var _ = DescribeTable("the overload controller", func(low, high float64, play func(o *limits.Overload) float64) {
	Expect(play(limits.NewOverload(limits.OverloadOptions{}))).To(And(BeNumerically(">=", low-1e-9), BeNumerically("<=", high+1e-9)))
},
	Entry("admits all without data", 1.0, 1.0, func(o *limits.Overload) float64 { return o.Admitted(time.Hour) }),
	Entry("admits all below the target", 1.0, 1.0, func(o *limits.Overload) float64 { return estimates(o, 30*ms, 10, 0, 9*time.Second) }),
	Entry("does not depend on the number of estimates", 0.97, 1.03, func(o *limits.Overload) float64 {
		return estimates(o, 90*ms, 50, 0, 2*time.Second) / estimates(limits.NewOverload(limits.OverloadOptions{}), 90*ms, 5, 0, 2*time.Second)
	}),
	Entry("keeps probing", 0.02, 0.02, func(o *limits.Overload) float64 {
		for now := range 10000 {
			o.Refused(time.Duration(now) * ms)
		}
		return o.Admitted(10 * time.Second)
	}),
	Entry("takes a refusal for twice the target", 0.86, 0.87, func(o *limits.Overload) float64 {
		o.Refused(0)
		return o.Admitted(0)
	}),
	Entry("limits the effect of refusals at one moment", 0.55, 0.6, func(o *limits.Overload) float64 {
		for range 1000 {
			o.Refused(0)
		}
		return o.Admitted(400 * ms)
	}),
	Entry("returns from 0.15 within 700 ms once the queues are empty", 1.0, 1.0, func(o *limits.Overload) float64 {
		o.Adopt(0.15, 0)
		return estimates(o, 0, 10, 1*ms, 701*ms)
	}),
	Entry("keeps the fraction while data is fresh enough", 0.2, 0.2, func(o *limits.Overload) float64 {
		o.Adopt(0.2, 0)
		return o.Admitted(500 * ms)
	}),
	Entry("returns to 1 without data", 1.0, 1.0, func(o *limits.Overload) float64 {
		o.Adopt(0.2, 0)
		Expect(o.Admitted(1400 * ms)).To(BeNumerically("<", 1))
		Expect(o.Contended(2499 * ms)).To(BeTrue())
		Expect(o.Contended(2501 * ms)).To(BeFalse())
		return o.Admitted(1500 * ms)
	}),
	Entry("adopts the fleet's fraction at the start", 0.3, 0.35, func(o *limits.Overload) float64 {
		o.Update(2*queueTarget, queueTarget, 0)
		o.Adopt(0.4, 1*ms)
		return o.Admitted(1 * ms)
	}),
	Entry("does not adopt a fraction later on", 0.6, 0.9, func(o *limits.Overload) float64 {
		estimates(o, 60*ms, 10, 0, time.Second)
		o.Adopt(0.1, time.Second)
		return o.Admitted(time.Second)
	}),
)

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
		const levels = 3
		var demands []limits.Demand
		admitted, customers := 0.01+0.99*r.Float64(), 1+r.IntN(8)
		for l := range levels {
			for c := range customers {
				demands = append(demands, limits.Demand{Customer: fmt.Sprint(c), Level: l, Weight: 1 + float64(r.IntN(3)), Rate: 0.1 + 50*math.Pow(r.Float64(), 4)})
			}
		}
		s := limits.Fractions(demands, admitted)
		var total, used float64
		var asked, got [levels]float64
		for l := range levels {
			var wanted, weights []float64
			for _, d := range demands[l*customers : (l+1)*customers] {
				fraction, bound := s.Admit(d.Customer, l), 1.0
				if l > 0 {
					bound = s.Admit(d.Customer, l-1)
				}
				Expect(fraction).To(BeNumerically("<=", bound+1e-9))
				wanted, weights = append(wanted, bound*d.Rate), append(weights, d.Weight)
				asked[l], got[l] = asked[l]+d.Rate, got[l]+fraction*d.Rate
			}
			for i, granted := range naiveMaxMin(wanted, weights, got[l]+1e-9) {
				d := demands[l*customers+i]
				Expect(s.Admit(d.Customer, l) * d.Rate).To(BeNumerically("~", granted, 1e-6))
			}
			total, used = total+asked[l], used+got[l]
		}
		Expect(used).To(BeNumerically("~", admitted*total, 1e-6), "all of the admitted fraction is used")
		lower := asked[1] + asked[2]
		if keeps := min(0.1, admitted, 0.1*admitted*total/lower); got[0] < asked[0]-1e-6 {
			Expect(got[1] + got[2]).To(BeNumerically("<=", keeps*lower+1e-6))
		} else {
			Expect(got[2]).To(BeNumerically("<=", asked[2]))
		}
		Expect(got[1] / asked[1]).To(BeNumerically("<=", got[0]/asked[0]+1e-9))
		Expect(got[2] / asked[2]).To(BeNumerically("<=", got[1]/asked[1]+1e-9))
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
var _ = It("admits every n-th call and forgets customers", func() {
	a := limits.NewAdmitter()
	var admitted [2]int
	for i := range 300 {
		for level, fraction := range []float64{1. / 3, 1} {
			if a.Admit("a", level, fraction, 0.5, 0) {
				admitted[level]++
			}
		}
		Expect(admitted[0]).To(Equal((2*i + 5) / 6))
	}
	Expect(admitted[1]).To(Equal(300))
	for i := range 100_000 {
		a.Admit(fmt.Sprint(i), 0, 0.5, 0.9, 0)
	}
	Expect(a.Customers()).To(Equal(4096))
	Expect(a.Admit("b", 0, 0, 0, 6*time.Second)).To(BeFalse())
	Expect(a.Customers()).To(Equal(1))
})

// Guards against unlisted customers that are refused or bypass the control.
var _ = DescribeTable("unlisted customers and levels", func(demands []limits.Demand, admitted float64, level int, want float64) {
	Expect(limits.Fractions(demands, admitted).Admit("unlisted", level)).To(BeNumerically("~", want, 1e-9))
},
	Entry("no contention", []limits.Demand{{Customer: "a", Rate: 5}}, 1.0, 0, 1.0),
	Entry("no demand", nil, 0.3, 2, 0.3),
	Entry("as the smallest", []limits.Demand{{Customer: "a", Rate: 90}, {Customer: "b", Rate: 10}}, 0.5, 0, 1.0),
	Entry("as those too small to be listed", []limits.Demand{{Customer: "a", Rate: 10}, {Rate: 40}}, 0.5, 0, 0.375),
	Entry("more urgent than all", []limits.Demand{{Customer: "a", Level: 2, Rate: 90}}, 0.5, 0, 1.0),
	Entry("less urgent than a congested level", []limits.Demand{{Customer: "a", Rate: 90}}, 0.5, 2, 0.1),
)
