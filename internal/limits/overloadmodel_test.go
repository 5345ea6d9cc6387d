package limits_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
)

const (
	ms         = time.Millisecond
	target     = 37500 * time.Microsecond
	modelTime  = 5000 // ms
	daemons    = 61
	slots      = 6
	queueLimit = 24
)

// fraction is a rule for the admitted fraction of one daemon.
type fraction interface {
	Update(queueTime, target, now time.Duration)
	Refused(now time.Duration)
	Admitted(now time.Duration) float64
}

// aimd adds 0.5 a second and multiplies by 0.7 at most every 200 ms. The zero value admits
// everything and, with always set, keeps doing so.
type aimd struct {
	always              bool
	refusing            float64
	updatedAt, shrankAt time.Duration
}

func (a *aimd) Admitted(time.Duration) float64 { return 1 - a.refusing }
func (a *aimd) Refused(now time.Duration)      { a.Update(2*target, target, now) }
func (a *aimd) Update(queueTime, target, now time.Duration) {
	if a.always {
		return
	}
	if queueTime <= target {
		a.refusing = max(0, a.refusing-0.5*min(200*ms, now-a.updatedAt).Seconds())
	} else if now-a.shrankAt >= 200*ms {
		a.refusing, a.shrankAt = min(0.98, 1-(1-a.refusing)*0.7), now
	}
	a.updatedAt = now
}

// modelCall is an attempt of a caller. Times are in ms.
type modelCall struct {
	first, again int // time of the first attempt; 1 for a second attempt
}

// modelDaemon is one daemon. demand is its rate of calls by level, averaged over a second.
type modelDaemon struct {
	rule     fraction
	admitter *limits.Admitter
	shares   limits.Shares
	demand   [2]float64
	nextAt   int // time of the next estimate
}

type modelUpstream struct {
	running []int       // times left
	calls   []modelCall // those running and, behind them, those waiting
	history [modelTime]float64
	lost    bool
}

type outcome struct{ used, inTime, refused, low, high, atLoss, reacted, settled float64 }

// runModel runs a load, as a multiple of the capacity at a time, before 3 upstreams.
// levels selects Fractions by first and later attempts in place of one fraction for all.
func runModel(newRule func() fraction, levels bool, load func(at int) float64, lost func(at int) bool) (o outcome) {
	r := rand.New(rand.NewPCG(7, 1))
	fleet, ups := make([]modelDaemon, daemons), make([]modelUpstream, 3)
	var cumulated [daemons]float64
	for i := range fleet {
		fleet[i] = modelDaemon{rule: newRule(), admitter: limits.NewAdmitter(), nextAt: r.IntN(200)}
		cumulated[i] = 1 / math.Pow(float64(i+1), 0.8)
		if i > 0 {
			cumulated[i] += cumulated[i-1]
		}
	}
	returns := make([][]modelCall, modelTime+1000)
	var busy, possible, calls, inTime, sends, refused float64
	o.low, o.settled = 1, math.NaN()
	for at := range modelTime {
		now := time.Duration(at) * ms
		ups[2].lost = lost(at)
		for u := range ups {
			up := &ups[u]
			if up.lost {
				up.running, up.calls = nil, nil
				continue
			}
			for i := 0; i < len(up.running); i++ {
				if up.running[i]--; up.running[i] > 0 {
					continue
				}
				if at-up.calls[i].first <= 150 {
					inTime++
				}
				up.running = append(up.running[:i], up.running[i+1:]...)
				up.calls = append(up.calls[:i:i], up.calls[i+1:]...)
				i--
			}
			for len(up.running) < min(slots, len(up.calls)) {
				up.running = append(up.running, 15+r.IntN(21))
			}
			busy, possible = busy+float64(len(up.running)), possible+slots*min(1, load(at))
			if len(up.calls) >= slots {
				up.history[at] = float64(len(up.calls)-slots+1) * 25 / slots
			}
		}
		seen := func(u, age int) float64 { return ups[u].history[max(0, at-age)] }
		var mean, lowest float64 = 0, 1
		for i := range fleet {
			d := &fleet[i]
			if at >= d.nextAt {
				age, total, live := 50+r.IntN(101), 0.0, 0.0
				for u := range ups {
					if !ups[u].lost {
						total, live = total+seen(u, age), live+1
					}
				}
				d.rule.Update(time.Duration(total/live*1e6), target, now)
				d.nextAt = at + 67 + r.IntN(134)
			}
			if at%100 == 0 {
				d.shares = limits.Fractions([]limits.Demand{{Level: 0, Rate: d.demand[0]}, {Level: 1, Rate: d.demand[1]}}, d.rule.Admitted(now))
			}
			d.demand[0], d.demand[1] = d.demand[0]*0.999, d.demand[1]*0.999
			mean += d.rule.Admitted(now) / daemons
			lowest = min(lowest, d.rule.Admitted(now))
		}
		if at > modelTime/2 {
			o.low, o.high = min(o.low, mean), max(o.high, mean)
			if math.IsNaN(o.settled) && lowest == 1 {
				o.settled = float64(at - modelTime/2)
			}
		}
		if at == modelTime/2 {
			o.atLoss = mean
		} else if at == modelTime/2+300 {
			o.reacted = mean
		}
		arrivals := returns[at]
		for n := load(at)*3*slots/25 + r.Float64(); n >= 1; n-- {
			arrivals = append(arrivals, modelCall{first: at})
			calls++
		}
	arrival:
		for _, c := range arrivals {
			at01, i := r.Float64()*cumulated[daemons-1], 0
			for cumulated[i] < at01 {
				i++
			}
			d := &fleet[i]
			d.demand[c.again]++
			admitted := d.rule.Admitted(now)
			if levels {
				admitted = d.shares.Admit("", c.again)
			}
			if d.admitter.Admit("", c.again, admitted, r.Float64(), now) {
				// The better of two random upstreams by aged data first, then the others.
				order, age := r.Perm(3), 50+r.IntN(101)
				if seen(order[1], age) < seen(order[0], age) {
					order[0], order[1] = order[1], order[0]
				}
				for _, u := range order {
					if ups[u].lost {
						continue
					}
					sends++
					if len(ups[u].calls) < slots+queueLimit {
						ups[u].calls = append(ups[u].calls, c)
						continue arrival
					}
					refused++
					d.rule.Refused(now)
				}
			}
			if c.again == 0 {
				left := time.Duration(800-(at-c.first)) * ms
				wait, ok := limits.RetryAfter(limits.Return{TimeLeft: left, ServiceTime: 25 * ms, QueueTime: target, Admitted: d.rule.Admitted(now), Random: r.Float64()})
				if ok {
					back := at + max(1, int(wait/ms))
					returns[back] = append(returns[back], modelCall{c.first, 1})
				}
			}
		}
	}
	o.used, o.inTime, o.refused = busy/possible, inTime/calls, refused/max(1, sends)
	return o
}

var _ = It("keeps a fleet before 3 upstreams stable and busy", func() {
	rules := []struct {
		name   string
		levels bool
		make   func() fraction
	}{
		{"admit all", false, func() fraction { return &aimd{always: true} }},
		{"aimd", false, func() fraction { return &aimd{} }},
		{"pie", false, func() fraction { return limits.NewOverload(limits.OverloadOptions{}) }},
		{"pie, levels", true, func() fraction { return limits.NewOverload(limits.OverloadOptions{}) }},
	}
	steady := func(load float64) func(int) float64 { return func(int) float64 { return load } }
	never := func(int) bool { return false }
	second := func(at int) bool { return at >= modelTime/2 }
	loads := []struct {
		name string
		load func(at int) float64
		lost func(at int) bool
	}{
		{"0.5", steady(0.5), never},
		{"1.2", steady(1.2), never},
		{"1.75", steady(1.75), never},
		{"6", steady(6), never},
		{"1.2, one lost", steady(1.2), second},
		{"6, then 0.1", func(at int) float64 {
			if second(at) {
				return 0.1
			}
			return 6
		}, never},
	}
	for _, l := range loads {
		for _, rule := range rules {
			o := runModel(rule.make, rule.levels, l.load, l.lost)
			fmt.Fprintf(GinkgoWriter, "%-14s %-12s used %.3f  in time %.3f  refused %.3f  admitted %.2f..%.2f  %.2f to %.2f in 300 ms  all at 1 after %v ms\n",
				l.name, rule.name, o.used, o.inTime, o.refused, o.low, o.high, o.atLoss, o.reacted, o.settled)
		}
	}
	Expect(1).To(Equal(1))
})
