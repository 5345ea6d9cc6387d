package limits_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
)

// Guards against rates that differ from a count in which each call weighs exp(-age / 1 s), and
// against flows that stay after their calls ended.
var _ = It("meters random calls as a naive count does", func() {
	type flow struct {
		customer string
		level    int
	}
	r, meter, now := rng(3), limits.NewDemandMeter(), time.Hour
	calls := map[flow][]time.Duration{}
	for range 3000 {
		now += time.Duration(r.ExpFloat64() * float64(10*ms))
		f := flow{fmt.Sprint(r.IntN(6) * r.IntN(6)), r.IntN(3)}
		meter.Add(f.customer, f.level, now)
		calls[f] = append(calls[f], now)
		if r.IntN(50) > 0 {
			continue
		}
		want, got := map[flow]float64{}, map[flow]float64{}
		for f, times := range calls {
			rate := 0.0
			for _, at := range times {
				rate += math.Exp(-(now - at).Seconds())
			}
			if rate >= 0.001 {
				want[f] = rate
			}
		}
		for _, d := range meter.Demands(now) {
			got[flow{d.Customer, d.Level}] = d.Rate
		}
		Expect(got).To(HaveLen(len(want)))
		for f, rate := range want {
			Expect(got[f]).To(BeNumerically("~", rate, 1e-6*rate))
		}
	}
	Expect(meter.Demands(now + 15*time.Second)).To(BeEmpty())
})

// Guards against memory that grows with made-up customers, and against demand that is lost or
// attributed to another level because of the bound.
var _ = It("bounds the flows that it meters and counts further calls by level", func() {
	meter := limits.NewDemandMeter()
	for i := range 5000 {
		meter.Add(fmt.Sprint(i), i%2, 0)
	}
	demands, rates := meter.Demands(0), [2]float64{}
	Expect(len(demands)).To(BeNumerically("<=", 1024+2))
	for _, d := range demands {
		rates[d.Level] += d.Rate
	}
	Expect(rates).To(Equal([2]float64{2500, 2500}))
})

// Guards against first attempts that count as returning ones, and the reverse. Each entry
// observes limits with which callers begin, in turn, with the share of returning callers,
// whose rest is arbitrary. A returning caller's wait is the difference to the next limit above.
var _ = DescribeTable("time limits", func(begin []time.Duration, returning float64, limit, waited time.Duration) {
	r, t := rng(4), limits.NewTimeLimits()
	for i := range 5000 {
		first := begin[i%len(begin)]
		if r.Float64() < returning {
			t.Observe(time.Duration(r.Float64() * float64(first)))
		} else if got := t.Observe(first); i >= 40 {
			Expect(got).To(BeZero(), "first attempt %d of %v", i, first)
		}
	}
	Expect(t.Observe(limit)).To(Equal(waited))
},
	Entry("one limit, first attempt", []time.Duration{800 * ms}, 0.0, 800*ms, 0*ms),
	Entry("one limit, a rest", []time.Duration{800 * ms}, 0.4, 633*ms, 167*ms),
	Entry("a rest without returning callers before", []time.Duration{800 * ms}, 0.0, 1*ms, 799*ms),
	Entry("two limits, the smaller one is no rest", []time.Duration{800 * ms, 2000 * ms}, 0.5, 800*ms, 0*ms),
	Entry("two limits, a rest of the larger one", []time.Duration{800 * ms, 2000 * ms}, 0.5, 1700*ms, 300*ms),
	Entry("two limits, a rest below both", []time.Duration{800 * ms, 2000 * ms}, 0.5, 700*ms, 100*ms),
	Entry("above all limits", []time.Duration{800 * ms}, 0.4, 900*ms, 0*ms),
	Entry("mostly returning callers", []time.Duration{800 * ms}, 0.85, 633*ms, 167*ms),
)

// Guards against waits of callers that choose arbitrary limits, of the first calls of a route,
// and against a limit that is never forgotten after the callers changed it.
var _ = It("knows no usual limit among arbitrary ones, at first, or after it was changed", func() {
	r, arbitrary := rng(5), limits.NewTimeLimits()
	for i := range 5000 {
		got := arbitrary.Observe(time.Duration(r.Float64() * float64(time.Second)))
		Expect(got).To(BeZero(), "call %d", i)
	}
	changed := limits.NewTimeLimits()
	for i := range 18 {
		Expect(changed.Observe(800*ms)).To(BeZero(), "call %d", i)
	}
	Expect(changed.Observe(600 * ms)).To(BeZero())
	Expect(changed.Observe(600 * ms)).To(Equal(200 * ms))
	for range 3000 {
		changed.Observe(500 * ms)
	}
	Expect(changed.Observe(600 * ms)).To(BeZero())
})
