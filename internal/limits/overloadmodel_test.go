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
	ms          = time.Millisecond
	queueTarget = 37500 * time.Microsecond
	modelTime   = 5000 // ms
	half        = modelTime / 2
	daemons     = 61
	slots       = 6
	queueLimit  = 24
)

// rule decides the admitted fraction of one daemon.
type rule interface {
	Update(queueTime, target, now time.Duration)
	Refused(now time.Duration)
	Admitted(now time.Duration) float64
}

// aimd adds growth a second and multiplies by 0.7 at most every 200 ms. With a growth of 0
// it admits everything.
type aimd struct {
	growth, refusing    float64
	updatedAt, shrankAt time.Duration
}

func (a *aimd) Admitted(time.Duration) float64 { return 1 - a.refusing }
func (a *aimd) Refused(now time.Duration)      { a.Update(2*queueTarget, queueTarget, now) }
func (a *aimd) Update(queueTime, target, now time.Duration) {
	if queueTime <= target {
		a.refusing = max(0, a.refusing-a.growth*min(200*ms, now-a.updatedAt).Seconds())
	} else if a.growth > 0 && now-a.shrankAt >= 200*ms {
		a.refusing, a.shrankAt = min(0.98, 1-(1-a.refusing)*0.7), now
	}
	a.updatedAt = now
}

type modelCall struct{ first, attempt int } // time of the first attempt in ms; attempt 0 or 1

type modelDaemon struct {
	rule
	admitter *limits.Admitter
	shares   limits.Shares
	demand   [2]float64 // calls per second by attempt, averaged over a second
	nextAt   int        // time of the next estimate
}

type modelUpstream struct {
	running []int              // times left
	calls   []modelCall        // those running and, behind them, those waiting
	history [modelTime]float64 // queue time in ms
}

// outcome has shares of the capacity, of the calls and of the sends. The figures from
// refusedLater on are of the second half; settled is the time after which all daemons admit
// everything, in ms.
type outcome struct{ used, inTime, refused, refusedLater, low, high, before, after300, settled float64 }

// runModel runs a load, as a multiple of the capacity at a time, before 3 upstreams, one of
// which may be lost in the second half. levels selects Fractions by attempt in place of one
// fraction for all calls.
func runModel(newRule func() rule, levels bool, load func(at int) float64, lose bool) (o outcome) {
	r := rng(7)
	fleet, ups := make([]modelDaemon, daemons), make([]modelUpstream, 3)
	for i := range fleet {
		fleet[i] = modelDaemon{rule: newRule(), admitter: limits.NewAdmitter(), nextAt: r.IntN(200)}
	}
	returns := make([][]modelCall, modelTime+1000)
	var busy, possible, calls, inTime float64
	var sends, refused [2]float64 // by half
	o.low, o.settled = 1, math.NaN()
	for at := range modelTime {
		now, part := time.Duration(at)*ms, at/half
		if lose && at == half {
			ups = ups[:2]
		}
		for u := range ups {
			up := &ups[u]
			for i := len(up.running) - 1; i >= 0; i-- {
				if up.running[i]--; up.running[i] > 0 {
					continue
				}
				if at-up.calls[i].first <= 150 {
					inTime++
				}
				up.running = append(up.running[:i], up.running[i+1:]...)
				up.calls = append(up.calls[:i], up.calls[i+1:]...)
			}
			for len(up.running) < min(slots, len(up.calls)) {
				up.running = append(up.running, 15+r.IntN(21))
			}
			busy, possible = busy+float64(len(up.running)), possible+slots*min(1, load(at))
			up.history[at] = float64(max(0, len(up.calls)-slots+1)) * 25 / slots
		}
		seen := func(u, age int) float64 { return ups[u].history[max(0, at-age)] }
		mean, lowest := 0.0, 1.0
		for i := range fleet {
			d := &fleet[i]
			if at >= d.nextAt {
				age, total := 50+r.IntN(101), 0.0
				for u := range ups {
					total += seen(u, age)
				}
				d.Update(time.Duration(total/float64(len(ups))*float64(ms)), queueTarget, now)
				d.nextAt = at + 67 + r.IntN(134)
			}
			if at%100 == 0 {
				d.shares = limits.Fractions([]limits.Demand{{Level: 0, Rate: d.demand[0]}, {Level: 1, Rate: d.demand[1]}}, d.Admitted(now))
			}
			d.demand[0], d.demand[1] = d.demand[0]*0.999, d.demand[1]*0.999
			mean, lowest = mean+d.Admitted(now)/daemons, min(lowest, d.Admitted(now))
		}
		switch {
		case at == half:
			o.before = mean
		case at == half+300:
			o.after300 = mean
		case at > half+1000:
			o.low, o.high = min(o.low, mean), max(o.high, mean)
		}
		if at > half && lowest == 1 && math.IsNaN(o.settled) {
			o.settled = float64(at - half)
		}
		arrivals := returns[at]
		for n := load(at)*3*slots/25 + r.Float64(); n >= 1; n-- {
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
						ups[u].calls = append(ups[u].calls, c)
						continue arrival
					}
					refused[part]++
					d.Refused(now)
				}
			}
			wait, ok := limits.RetryAfter(limits.Return{TimeLeft: time.Duration(800-(at-c.first)) * ms, ServiceTime: 25 * ms, QueueTime: queueTarget, Admitted: d.Admitted(now), Random: r.Float64()})
			if back := at + 1 + int(wait/ms); ok && c.attempt == 0 {
				returns[back] = append(returns[back], modelCall{c.first, 1})
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
	for _, l := range []struct {
		name            string
		load, laterLoad float64
		lose            bool
	}{{"0.5", 0.5, 0.5, false}, {"1.2", 1.2, 1.2, false}, {"1.75", 1.75, 1.75, false}, {"6", 6, 6, false}, {"1.2, one of 3 lost", 1.2, 1.2, true}, {"6, then 0.1", 6, 0.1, false}} {
		load := func(at int) float64 { return []float64{l.load, l.laterLoad}[at/half] }
		all := runModel(func() rule { return &aimd{} }, false, load, l.lose)
		additive := runModel(func() rule { return &aimd{growth: 0.5} }, false, load, l.lose)
		plain, levels := runModel(pie, false, load, l.lose), runModel(pie, true, load, l.lose)
		for i, o := range []outcome{all, additive, plain, levels} {
			fmt.Fprintf(GinkgoWriter, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %.2f to %.2f | %.2f, %.2f | %.0f |\n", l.name, []string{"admit all", "AIMD", "PIE", "PIE, levels"}[i],
				o.used, o.inTime, o.refused, o.refusedLater, o.low, o.high, o.before, o.after300, o.settled)
		}
		for _, o := range []outcome{plain, levels} {
			Expect(o.used).To(BeNumerically(">", 0.95), l.name)
			Expect(o.inTime).To(BeNumerically(">", additive.inTime-0.005), l.name)
			switch {
			case l.load < 1:
				Expect([]float64{o.low, o.refused}).To(Equal([]float64{1, 0}), "refusals without contention")
			case l.lose:
				Expect(o.after300).To(BeNumerically("<", o.before*5/6), "half of the loss within 300 ms")
			case l.laterLoad < l.load:
				Expect(o.settled).To(BeNumerically("<=", 1000), "end of the peak")
			default:
				Expect(o.refusedLater).To(BeNumerically("<", 0.1), l.name)
				Expect(o.high-o.low).To(BeNumerically("<", 0.25*o.high), "oscillation at "+l.name)
			}
		}
		Expect(levels.inTime).To(BeNumerically(">", all.inTime-0.005), l.name)
	}
})

// fairness runs 73 customers at 1.75 times the capacity through 61 daemons. It returns the
// admitted part of the capacity, the largest deviation from weighted max-min as a part of
// the fair rate, and the lowest admitted part of the fair rate.
func fairness(source string) (total, deviation, worst float64) {
	const customers, seconds, fraction = 73, 12, 1 / 1.75
	r := rng(5)
	var arrived, admitted [customers]float64
	var fleet [seconds * 100][customers]float64 // the fleet's rates by time
	var rates [daemons][customers]float64       // averaged over a second
	var admitters [daemons]*limits.Admitter
	var shares [daemons]limits.Shares
	demands := func(rates []float64) (list []limits.Demand) {
		for c, rate := range rates {
			list = append(list, limits.Demand{Customer: fmt.Sprint(c), Weight: float64(1 + c%5/4), Rate: rate})
		}
		return list
	}
	for i := range admitters {
		admitters[i] = limits.NewAdmitter()
	}
	for at := range seconds * 100 { // in steps of 10 ms
		for d := range daemons {
			for c := range customers {
				rates[d][c] *= 0.99
				fleet[at][c] += rates[d][c]
			}
			if age := 20 + r.IntN(31); (at+d)%20 == 0 && source == "fleet" {
				shares[d] = limits.Fractions(demands(fleet[max(0, at-age)][:]), fraction)
			} else if (at+d)%20 == 0 && source == "own" {
				shares[d] = limits.Fractions(demands(rates[d][:]), fraction)
			}
		}
		for c := range customers {
			for n := 3.4/math.Pow(float64(c+1), 1.2) + r.Float64(); n >= 1; n-- {
				// Each customer's callers reach mostly a few daemons.
				d := (c*37 + int(daemons*math.Pow(r.Float64(), 4))) % daemons
				rates[d][c]++
				share := fraction
				if source != "none" {
					share = shares[d].Admit(fmt.Sprint(c), 0)
				}
				if ok := admitters[d].Admit(fmt.Sprint(c), 0, share, r.Float64(), time.Duration(at)*10*ms); at >= 200 {
					arrived[c]++
					if ok {
						admitted[c]++
					}
				}
			}
		}
	}
	worst = 1
	fair := limits.Fractions(demands(arrived[:]), fraction)
	var capacity float64
	for c := range customers {
		due := arrived[c] * fair.Admit(fmt.Sprint(c), 0)
		total, capacity = total+admitted[c], capacity+arrived[c]*fraction
		deviation, worst = max(deviation, math.Abs(admitted[c]-due)/due), min(worst, admitted[c]/due)
	}
	return total / capacity, deviation, worst
}

// Guards against shares that depend on the daemons which a customer's calls reach.
var _ = It("divides by the fleet's demand as weighted max-min does", func() {
	results := map[string][3]float64{}
	for _, source := range []string{"none", "own", "fleet"} {
		total, deviation, worst := fairness(source)
		fmt.Fprintf(GinkgoWriter, "| %s | %.3f | %.3f | %.3f |\n", source, total, deviation, worst)
		results[source] = [3]float64{total, deviation, worst}
	}
	Expect(results["fleet"][1]).To(BeNumerically("<", 0.1))
	Expect(results["fleet"][2]).To(BeNumerically(">", results["own"][2]))
	Expect(results["own"][2]).To(BeNumerically(">", results["none"][2]))
})
