package limits_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
)

const (
	ms                         = time.Millisecond
	queueTarget                = 37500 * time.Microsecond
	modelTime, half            = 5000, 2500 // ms
	daemons, slots, queueLimit = 61, 6, 24
)

// rule decides the admitted fraction of one daemon.
type rule interface {
	Update(queueTime, age, target, now time.Duration)
	Refused(now time.Duration)
	Admitted(now time.Duration) float64
}

// aimd adds growth at each estimate and multiplies by 0.7 at most every 200 ms. With a growth
// of 0 it admits everything.
type aimd struct {
	growth, refusing float64
	shrankAt         time.Duration
}

func (a *aimd) Admitted(time.Duration) float64 { return 1 - a.refusing }
func (a *aimd) Refused(now time.Duration)      { a.Update(2*queueTarget, 0, queueTarget, now) }
func (a *aimd) Update(queueTime, _, target, now time.Duration) {
	if queueTime <= target {
		a.refusing = max(0, a.refusing-a.growth)
	} else if a.growth > 0 && now-a.shrankAt >= 200*ms {
		a.refusing, a.shrankAt = min(0.98, 1-(1-a.refusing)*0.7), now
	}
}

type modelCall struct{ first, attempt, left int } // times in ms, of the first attempt and left to run; attempt 0 or 1

type modelDaemon struct {
	rule
	admitter *limits.Admitter
	shares   limits.Shares
	demand   [2]float64 // calls per second by attempt, averaged over a second
	nextAt   int        // time of the next estimate
}

type modelUpstream struct {
	calls   []modelCall        // the first run, the others wait
	history [modelTime]float64 // queue time in ms
}

// outcome has shares of the capacity, of the calls and of the sends. Those from
// refusedLater on are of the second half: low and high bound the fleet's mean fraction after
// its first second, before and after300 are the mean fraction at its start and 300 ms later.
type outcome struct{ used, inTime, refused, refusedLater, low, high, before, after300 float64 }

// runModel runs loads, as multiples of the capacity by half of the time, before 3 upstreams,
// one of which may be lost in the second half. levels selects Fractions by attempt in place
// of one fraction for all calls.
func runModel(newRule func() rule, levels bool, loads [2]float64, lose bool) (o outcome) {
	r := rng(7)
	fleet, ups := make([]modelDaemon, daemons), make([]modelUpstream, 3)
	for i := range fleet {
		fleet[i] = modelDaemon{rule: newRule(), admitter: limits.NewAdmitter(), nextAt: r.IntN(200)}
	}
	var returns [modelTime + 1000][]modelCall
	var busy, possible, calls, inTime float64
	var sends, refused [2]float64 // by half
	o.low = 1
	for at := range modelTime {
		now, part := time.Duration(at)*ms, at/half
		if lose && at == half {
			ups = ups[:2]
		}
		for u := range ups {
			up, kept := &ups[u], ups[u].calls[:0]
			busy, possible = busy+float64(min(slots, len(up.calls))), possible+slots*min(1, loads[part])
			for i, c := range up.calls {
				if i < slots {
					c.left--
				}
				if c.left > 0 {
					kept = append(kept, c)
				} else if at-c.first <= 150 {
					inTime++
				}
			}
			up.calls, up.history[at] = kept, float64(max(0, len(kept)-slots+1))*25/slots
		}
		seen := func(u, age int) float64 { return ups[u].history[max(0, at-age)] }
		mean := 0.0
		for i := range fleet {
			d := &fleet[i]
			if at >= d.nextAt {
				age, total := 50+r.IntN(101), 0.0
				for u := range ups {
					total += seen(u, age)
				}
				d.Update(time.Duration(total/float64(len(ups))*float64(ms)), time.Duration(age)*ms, queueTarget, now)
				d.nextAt = at + 67 + r.IntN(134)
			}
			if at%100 == 0 {
				d.shares = limits.Fractions([]limits.Demand{{Level: 0, Rate: d.demand[0]}, {Level: 1, Rate: d.demand[1]}}, d.Admitted(now))
			}
			d.demand[0], d.demand[1] = d.demand[0]*0.999, d.demand[1]*0.999
			mean += d.Admitted(now) / daemons
		}
		if at == half {
			o.before = mean
		} else if at == half+300 {
			o.after300 = mean
		} else if at > half+1000 {
			o.low, o.high = min(o.low, mean), max(o.high, mean)
		}
		arrivals := returns[at]
		for n := loads[part]*3*slots/25 + r.Float64(); n >= 1; n-- {
			arrivals, calls = append(arrivals, modelCall{first: at}), calls+1
		}
	arrival:
		for _, c := range arrivals {
			d := &fleet[int(daemons*math.Pow(r.Float64(), 3))] // the busiest has a quarter of the callers
			d.demand[c.attempt]++
			admitted := d.Admitted(now)
			if levels {
				admitted = d.shares.Admit("", c.attempt)
			}
			if d.admitter.Admit("", c.attempt, admitted, r.Float64(), now) {
				// Of two upstreams, the one with the shorter queue by aged data is more
				// often the first, then the others follow.
				order, age := r.Perm(len(ups)), 50+r.IntN(101)
				if a, b := 25+seen(order[0], age), 25+seen(order[1], age); r.Float64()*(a+b) < a-b {
					order[0], order[1] = order[1], order[0]
				}
				for _, u := range order {
					sends[part]++
					if len(ups[u].calls) < slots+queueLimit {
						ups[u].calls = append(ups[u].calls, modelCall{c.first, c.attempt, 15 + r.IntN(21)})
						continue arrival
					}
					refused[part]++
					d.Refused(now)
				}
			}
			wait, ok := limits.RetryAfter(limits.Return{TimeLeft: time.Duration(800-(at-c.first)) * ms, ServiceTime: 25 * ms, QueueTime: queueTarget, Admitted: d.Admitted(now), Random: r.Float64()})
			if back := at + 1 + int(wait/ms); ok && c.attempt == 0 {
				returns[back] = append(returns[back], modelCall{first: c.first, attempt: 1})
			}
		}
	}
	o.used, o.inTime = busy/possible, inTime/calls
	o.refused, o.refusedLater = (refused[0]+refused[1])/(sends[0]+sends[1]), refused[1]/sends[1]
	return o
}

// Guards against a controller that oscillates, leaves upstreams idle, follows a loss or the
// end of a peak too late, or refuses calls without contention.
var _ = It("keeps a fleet before 3 upstreams busy and its queues short", func() {
	pie := func() rule { return limits.NewOverload(limits.OverloadOptions{}) }
	type scenario struct {
		name  string
		loads [2]float64
		lose  bool
	}
	for _, l := range []scenario{{"0.5", [2]float64{0.5, 0.5}, false}, {"1.2", [2]float64{1.2, 1.2}, false}, {"1.75", [2]float64{1.75, 1.75}, false},
		{"6", [2]float64{6, 6}, false}, {"1.2, one of 3 lost", [2]float64{1.2, 1.2}, true}, {"6, then 0.1", [2]float64{6, 0.1}, false}} {
		all := runModel(func() rule { return &aimd{} }, false, l.loads, l.lose)
		additive := runModel(func() rule { return &aimd{growth: 0.05} }, false, l.loads, l.lose)
		plain, levels := runModel(pie, false, l.loads, l.lose), runModel(pie, true, l.loads, l.lose)
		for i, o := range []outcome{all, additive, plain, levels} {
			fmt.Fprintf(GinkgoWriter, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %.2f to %.2f | %.2f, %.2f |\n", l.name, []string{"admit all", "AIMD", "PIE", "PIE, levels"}[i],
				o.used, o.inTime, o.refused, o.refusedLater, o.low, o.high, o.before, o.after300)
		}
		for _, o := range []outcome{plain, levels} {
			Expect(o.used).To(BeNumerically(">", 0.95), l.name)
			Expect(o.inTime).To(BeNumerically(">", additive.inTime-0.005), l.name)
			switch {
			case l.loads[0] < 1:
				Expect([]float64{o.low, o.refused}).To(Equal([]float64{1, 0}), "refusals without contention")
			case l.lose:
				Expect(o.after300).To(BeNumerically("<", o.before*5/6), "half of the loss within 300 ms")
			case l.loads[1] < l.loads[0]:
				Expect(o.low).To(BeNumerically("~", 1, 1e-9), "all admitted 1 s after the end of a peak")
			default:
				Expect(o.refusedLater).To(BeNumerically("<", 0.1), l.name)
				Expect(o.high-o.low).To(BeNumerically("<", 0.25*o.high), "oscillation at "+l.name)
			}
		}
		Expect(levels.inTime).To(BeNumerically(">", all.inTime-0.005), l.name)
	}
})

// fairness runs 73 customers at 1.75 times the capacity through 61 daemons, with fractions by
// the fleet's demand, each daemon's own, or without shares. It returns the admitted part of
// the capacity, and the largest deviation from weighted max-min and the lowest admitted rate
// as parts of the fair rate.
func fairness(source string) (total, deviation, worst float64) {
	const customers, steps, fraction = 73, 1200, 1 / 1.75 // steps of 10 ms
	r := rng(5)
	var arrived, admitted [customers]float64
	var fleet [steps][customers]float64   // the fleet's rates by time
	var rates [daemons][customers]float64 // averaged over a second
	var shares [daemons]limits.Shares
	admitter := limits.NewAdmitter() // of all daemons: the daemon is a part of its key
	divide := func(rates [customers]float64) limits.Shares {
		var list []limits.Demand
		for c, rate := range rates {
			list = append(list, limits.Demand{Customer: fmt.Sprint(c), Weight: float64(1 + c%5/4), Rate: rate})
		}
		return limits.Fractions(list, fraction)
	}
	for at := range steps {
		for d := range daemons {
			for c := range customers {
				rates[d][c] *= 0.99
				fleet[at][c] += rates[d][c]
			}
			if age := 20 + r.IntN(31); (at+d)%20 == 0 && source == "fleet" {
				shares[d] = divide(fleet[max(0, at-age)])
			} else if (at+d)%20 == 0 && source == "own" {
				shares[d] = divide(rates[d])
			}
		}
		for c := range customers {
			for n := 3.4/math.Pow(float64(c+1), 1.2) + r.Float64(); n >= 1; n-- {
				// Each customer's callers reach mostly a few daemons.
				d, share := (c*37+int(daemons*math.Pow(r.Float64(), 4)))%daemons, fraction
				rates[d][c]++
				if source != "none" {
					share = shares[d].Admit(fmt.Sprint(c), 0)
				}
				ok := admitter.Admit(fmt.Sprint(c, " ", d), 0, share, r.Float64(), time.Duration(at)*10*ms)
				if at < 200 {
					continue // until the averages have settled
				}
				if arrived[c]++; ok {
					admitted[c]++
				}
			}
		}
	}
	fair, capacity := divide(arrived), 0.0
	worst = 1
	for c := range customers {
		due := arrived[c] * fair.Admit(fmt.Sprint(c), 0)
		total, capacity = total+admitted[c], capacity+arrived[c]*fraction
		deviation, worst = max(deviation, math.Abs(admitted[c]-due)/due), min(worst, admitted[c]/due)
	}
	return total / capacity, deviation, worst
}

// Guards against shares that depend on the daemons which a customer's calls reach.
var _ = It("divides by the fleet's demand as weighted max-min does", func() {
	worst := map[string]float64{}
	for _, source := range []string{"none", "own", "fleet"} {
		total, deviation, lowest := fairness(source)
		fmt.Fprintf(GinkgoWriter, "| %s | %.3f | %.3f | %.3f |\n", source, total, deviation, lowest)
		worst[source] = lowest
		if source == "fleet" {
			Expect(deviation).To(BeNumerically("<", 0.1))
		}
	}
	Expect(worst["fleet"]).To(BeNumerically(">", worst["own"]))
	Expect(worst["own"]).To(BeNumerically(">", worst["none"]))
})
