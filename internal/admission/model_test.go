package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

// The first deployment of docs/load-control.md. Times are in ms.
const (
	daemons, customers     = 61, 73
	slots, queueLimit      = 6, 24
	runTime, latencyTarget = 25, 150
	timeLimit              = 800
	usualRate, peakRate    = 0.012, 70 * usualRate // calls per ms
	peakFrom, peakTo       = 1000, 11000
	lossFrom, lossTo       = 3000, 9000 // one upstream of 3 is lost
	modelEnd               = 14000
	tableDelay             = 20 // of the fleet's demand on its way from the coordinator
)

// priorityOf returns the priority of a customer. The largest customer has the lower one.
func priorityOf(customer int) int { return 1 - customer%2 }

type modelCall struct{ customer, first, daemon, left int } // left: ms to run

type modelReport struct {
	queue float64 // wait in ms
	at    int
	full  bool
	known bool
}

type modelDaemon struct {
	service  *admission.Service
	reports  [3]modelReport // by upstream
	reportAt int            // next report to the coordinator
	table    shares.Table   // arrives at tableAt, 0: none
	tableAt  int
	sequence uint64
}

// load is the mean of the reports that are not too old.
func (d *modelDaemon) load(at int) admission.Load {
	load, n, age := admission.Load{RunTime: runTime * ms}, 0, modelEnd
	var sum float64
	for _, r := range d.reports {
		if r.known && at-r.at <= 500 {
			sum, n, age = sum+r.queue, n+1, min(age, at-r.at)
		}
	}
	if n > 0 {
		load.QueueTime, load.Age, load.Known = time.Duration(sum/float64(n)*float64(ms)), time.Duration(age)*ms, true
	}
	return load
}

// result counts calls by customer, and sends.
type result struct {
	calls, inTime, late                 [customers]float64
	sends, refusedSends                 float64
	refused, refusedBefore, refusedIdle int // calls: all, before the peak, while each upstream had a free slot
	lastRefused                         int // time
}

func (r *result) sum(of [customers]float64, priority int) (total float64) {
	for c, n := range of {
		if priority < 0 || priorityOf(c) == priority {
			total += n
		}
	}
	return total
}

// runPeak runs the peak with admission, or without it: every call is then sent to one upstream
// after another. A refused caller comes back once, at another daemon.
func runPeak(seed uint64, admit bool) (o result) {
	r := rand.New(rand.NewPCG(seed, 1))
	coordinator := shares.NewCoordinator()
	fleet, upstreams := make([]*modelDaemon, daemons), make([][]modelCall, 3)
	for i := range fleet {
		fleet[i] = &modelDaemon{service: admission.NewService()}
	}
	var weights [customers]float64
	total := 0.0
	for c := range weights {
		weights[c] = 1 / math.Pow(float64(c+1), 1.2)
		total += weights[c]
	}
	pickCustomer := func() int {
		left := r.Float64() * total
		for c, w := range weights {
			if left -= w; left < 0 {
				return c
			}
		}
		return customers - 1
	}
	var returns [modelEnd + timeLimit][]modelCall
	for at := range modelEnd {
		now, up := time.Duration(at)*ms, 3
		if at >= lossFrom && at < lossTo {
			up, upstreams[2] = 2, nil
		}
		queueOf := func(u int) float64 { return float64(max(0, len(upstreams[u])-slots+1)) * runTime / slots }
		for u := range upstreams {
			kept := upstreams[u][:0]
			for i, c := range upstreams[u] {
				if i < slots {
					c.left--
				}
				if c.left > 0 {
					kept = append(kept, c)
					continue
				}
				if at-c.first <= latencyTarget {
					o.inTime[c.customer]++
				} else if at-c.first <= timeLimit {
					o.late[c.customer]++
				}
				d := fleet[c.daemon]
				d.reports[u] = modelReport{queue: queueOf(u), at: at, known: true}
				d.service.Observe(d.load(at), latencyTarget*ms, now)
			}
			upstreams[u] = kept
		}
		for i, d := range fleet {
			if d.tableAt > 0 && at == d.tableAt {
				d.service.SetFleet(d.table, now-tableDelay*ms, now)
			}
			if !admit || at < d.reportAt || at%10 > 0 {
				continue
			}
			report, contended := d.service.Report(now)
			if !contended {
				continue
			}
			d.sequence++
			report.VM, report.Service, report.Sequence = fmt.Sprint(i), "s", d.sequence
			table, err := coordinator.Exchange(report, now)
			if err != nil {
				panic(err)
			}
			d.table, d.tableAt, d.reportAt = table, at+tableDelay, at+int(table.NextReport/ms)
		}
		arrivals, rate := returns[at], usualRate
		if at >= peakFrom && at < peakTo {
			rate = peakRate
		}
		for n := rate + r.Float64(); n >= 1; n-- {
			arrivals = append(arrivals, modelCall{customer: pickCustomer(), first: at})
		}
	arrival:
		for _, c := range arrivals {
			c.daemon = r.IntN(daemons)
			d, load := fleet[c.daemon], fleet[c.daemon].load(at)
			left := time.Duration(timeLimit-(at-c.first)) * ms
			request := admission.Request{Customer: fmt.Sprint(c.customer), Priority: priorityOf(c.customer), Route: "r", LatencyTarget: latencyTarget * ms, TimeLimit: left, TimeLeft: left}
			if c.first == at {
				o.calls[c.customer]++
			}
			refused := admission.Admitted
			if admit {
				refused = d.service.Admit(request, load, now, r.Float64).Refused
			}
			if refused == admission.Admitted {
				order := r.Perm(up)
				wait := func(u int) float64 { return runTime + d.reports[u].queue }
				if a, b := wait(order[0]), wait(order[1]); admit && r.Float64()*(a+b) < a-b {
					order[0], order[1] = order[1], order[0]
				}
				for _, u := range order {
					if known := d.reports[u]; admit && known.full && at-known.at < runTime {
						continue
					}
					o.sends++
					if len(upstreams[u]) < slots+queueLimit {
						c.left = runTime*3/5 + r.IntN(runTime*4/5+1)
						upstreams[u] = append(upstreams[u], c)
						continue arrival
					}
					o.refusedSends++
					d.reports[u] = modelReport{queue: queueOf(u), at: at, full: true, known: true}
					d.service.RecordFull(now)
				}
			}
			o.refused, o.lastRefused = o.refused+1, at
			if at < peakFrom {
				o.refusedBefore++
			}
			if refused != admission.Admitted && len(upstreams[0]) < slots && len(upstreams[1]) < slots && len(upstreams[2]) < slots {
				o.refusedIdle++
			}
			wait, ok := time.Duration(runTime)*ms, true
			if admit {
				wait, ok = d.service.RetryAfter(request, load, now, r.Float64())
			}
			if ok && c.first == at { // a caller retries once
				back := at + 1 + int(wait/ms)
				returns[back] = append(returns[back], c)
			}
		}
	}
	return o
}

// The load that this answers: the first deployment of docs/load-control.md at 70 times the usual
// rate for 10 s, of which one of 3 upstreams is lost for 6 s; 73 customers, a few of them large,
// every second one with the higher priority.
//
// Guards against an admission that serves fewer calls in time than first come, first served, floods
// upstreams with calls that they refuse, serves the lower priority more often than the higher one or
// not at all, lets a large customer take the place of small ones, or goes on refusing after the peak.
func TestPeakOf70TimesTheUsualRate(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		naive, got := runPeak(seed, false), runPeak(seed, true)
		for _, o := range []*result{&naive, &got} {
			t.Logf("seed %d: %.0f calls, in time %.0f (priority 0 %.3f, 1 %.3f), late %.0f, sends refused %.3f, calls refused %d, with free slots %d, last at %d ms", seed, o.sum(o.calls, -1), o.sum(o.inTime, -1),
				o.inTimePart(0), o.inTimePart(1), o.sum(o.late, -1), o.refusedSends/o.sends, o.refused, o.refusedIdle, o.lastRefused)
		}
		g.Expect(got.sum(got.inTime, -1)).To(BeNumerically(">", 1.05*naive.sum(naive.inTime, -1)))
		g.Expect(got.refusedSends/got.sends).To(BeNumerically("<", 0.1), "the goal of the design")
		g.Expect(got.inTimePart(0)).To(BeNumerically(">", 0.85))
		g.Expect(got.inTimePart(1)).To(And(BeNumerically(">", 0.1), BeNumerically("<", got.inTimePart(0))))
		var small, smallCalls float64 // the smaller half of the customers with priority 1
		for c := customers / 2; c < customers; c++ {
			if priorityOf(c) == 1 {
				small, smallCalls = small+got.inTime[c], smallCalls+got.calls[c]
			}
		}
		g.Expect(small/smallCalls).To(BeNumerically(">", got.inTime[0]/got.calls[0]), "the largest customer")
		g.Expect(got.refusedBefore).To(BeZero())
		// A daemon without responses goes on for 500 ms and then admits all within 1 s.
		g.Expect(got.lastRefused).To(BeNumerically("<", peakTo+1500))
	}
}

func (r *result) inTimePart(priority int) float64 {
	return r.sum(r.inTime, priority) / r.sum(r.calls, priority)
}
