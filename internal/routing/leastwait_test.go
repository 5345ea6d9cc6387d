package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

const testRunTime = 25 * time.Millisecond

func report(running, waiting int) *loadreport.Report {
	return &loadreport.Report{Running: running, Waiting: waiting, Slots: 6, Slowdown: 1}
}

// ran is a response after the wait in a queue of the reported length and the run time.
func ran(r *loadreport.Report) Observation {
	wait := time.Duration(max(0, r.Load()-r.Slots+1)) * testRunTime / time.Duration(r.Slots)
	return Observation{Load: r, ResponseTime: wait + testRunTime, Ran: true}
}

func refused(r *loadreport.Report) Observation {
	return Observation{Load: r, ResponseTime: time.Millisecond}
}

// Each row guards against a pick of the wrong upstream in the situation that it names. at
// is when the observations are made, and picks are made at 10 s. want is the share of 1,000
// picks that each upstream gets, within 0.1.
func TestLeastWaitPick(t *testing.T) {
	const now = 10 * time.Second
	type seen struct {
		at           time.Duration
		observations []Observation // by upstream; the zero value means none
	}
	slow := ran(&loadreport.Report{Slots: 6, Slowdown: 1})
	slow.ResponseTime = 5 * testRunTime
	percent := ran(&loadreport.Report{Slots: 6, Slowdown: 5})
	percent.ResponseTime = 5 * testRunTime
	full, idle, fresh, old := refused(report(6, 24)), ran(report(0, 0)), now-10*time.Millisecond, now-250*time.Millisecond
	a, b := Candidate{Key: "a", Slots: 6}, Candidate{Key: "b", Slots: 6}
	remote := func(c Candidate) Candidate { c.Remote = true; return c }
	suspect := func(c Candidate) Candidate { c.Suspect = true; return c }
	tried := func(c Candidate) Candidate { c.Tried = true; return c }
	for _, c := range []struct {
		name       string
		candidates []Candidate
		begun      []string // own calls in flight
		seen       []seen
		want       []float64
		ok         bool
	}{
		{"nothing known: at random", []Candidate{a, b}, nil, nil, []float64{0.5, 0.5}, true},
		{"nothing known: own data centre", []Candidate{remote(a), b}, nil, nil, []float64{0, 1}, true},
		{"nothing known: fewest own calls", []Candidate{a, remote(b)}, []string{"a"}, nil, []float64{0, 1}, true},
		{"calm: open connection", []Candidate{a, b}, nil, []seen{{now - 4*time.Second, []Observation{idle, {}}}}, []float64{1, 0}, true},
		{"calm: idle for too long", []Candidate{a, b}, nil, []seen{{now - 9*time.Second, []Observation{idle, {}}}}, []float64{0.5, 0.5}, true},
		{"calm: report counts the call itself", []Candidate{a, b}, nil, []seen{{fresh, []Observation{ran(report(1, 0)), {}}}}, []float64{1, 0}, true},
		{"queue shorter by a quarter run time: at random", []Candidate{a, b}, nil, []seen{{fresh, []Observation{ran(report(6, 12)), ran(report(6, 12))}}}, []float64{0.5, 0.5}, true},
		{"queue shorter by a run time and more", []Candidate{a, b}, nil, []seen{{fresh, []Observation{ran(report(6, 2)), ran(report(6, 12))}}}, []float64{1, 0}, true},
		{"old reports of the same queues: at random", []Candidate{a, b}, nil, []seen{{old, []Observation{ran(report(6, 6)), ran(report(6, 5))}}}, []float64{0.5, 0.5}, true},
		{"expired reports: as if none", []Candidate{a, b}, nil, []seen{{now - 310*time.Millisecond, []Observation{ran(report(6, 2)), ran(report(6, 12))}}}, []float64{0.5, 0.5}, true},
		{"full: skipped though a is remote and cold", []Candidate{remote(a), b}, nil, []seen{{fresh, []Observation{{}, full}}}, []float64{1, 0}, true},
		{"both full: the least full", []Candidate{a, b}, nil, []seen{{fresh, []Observation{refused(report(6, 12)), full}}}, []float64{1, 0}, false},
		{"refused without a report: full", []Candidate{a}, nil, []seen{{fresh, []Observation{refused(nil)}}}, []float64{1}, false},
		{"full more than a run time ago", []Candidate{a}, nil, []seen{{now - 20*testRunTime, []Observation{idle}}, {now - 2*testRunTime, []Observation{full}}}, []float64{1}, true},
		{"reports the queue at which it refused", []Candidate{a}, nil, []seen{{now - time.Second, []Observation{full}}, {fresh, []Observation{ran(report(6, 24))}}}, []float64{1}, false},
		{"refused with free slots: not full", []Candidate{a}, nil, []seen{{fresh, []Observation{refused(report(1, 0))}}}, []float64{1}, true},
		{"refused with free slots: looks idle, is avoided", []Candidate{a, b}, nil, []seen{{fresh, []Observation{idle, idle}}, {fresh, []Observation{refused(report(0, 0)), idle}}}, []float64{0, 1}, true},
		{"slow by run time", []Candidate{a, b}, nil, []seen{{fresh, []Observation{slow, ran(report(6, 9))}}}, []float64{0, 1}, true},
		{"slow by the fourth figure", []Candidate{a, b}, nil, []seen{{fresh, []Observation{percent, {}}}}, []float64{0, 1}, true},
		{"slow some time ago, others idle", []Candidate{a, b}, nil, []seen{{now - 3*time.Second, []Observation{slow, idle}}}, []float64{0, 1}, true},
		{"slow some time ago, others busy", []Candidate{a, b}, nil, []seen{{now - 3*time.Second, []Observation{slow, idle}}, {fresh, []Observation{{}, ran(report(6, 3))}}}, []float64{0.2, 0.8}, true},
		{"suspect: only without others", []Candidate{suspect(a), b}, nil, []seen{{fresh, []Observation{idle, full}}}, []float64{0, 1}, false},
		{"all suspects", []Candidate{suspect(a), suspect(b)}, nil, nil, []float64{0.5, 0.5}, true},
		{"tried", []Candidate{tried(a), remote(b)}, nil, nil, []float64{0, 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := NewLeastWait(LeastWaitOptions{})
			for _, key := range c.begun {
				l.Begin(key, now)
			}
			for _, s := range c.seen {
				for i, o := range s.observations {
					if o != (Observation{}) {
						l.Observe(c.candidates[i].Key, o, s.at)
					}
				}
			}
			random := rand.New(rand.NewPCG(1, 1))
			counts := make([]float64, len(c.candidates))
			for range 1000 {
				i, ok := l.Pick(c.candidates, now, random.Float64)
				g.Expect(ok).To(Equal(c.ok))
				counts[i]++
			}
			g.Expect(l.HasRoom(c.candidates, now)).To(Equal(c.ok))
			for i, want := range c.want {
				if want == 0 {
					g.Expect(counts[i]).To(BeZero())
				}
				g.Expect(counts[i] / 1000).To(BeNumerically("~", want, 0.1))
			}
		})
	}
	i, ok := NewLeastWait(LeastWaitOptions{}).Pick([]Candidate{tried(a)}, now, rand.Float64)
	g := NewWithT(t)
	g.Expect(i).To(Equal(-1), "there is no candidate")
	g.Expect(ok).To(BeFalse())
}

// Guards against queue times that ignore own calls since the report or its age, and against
// run times that contain the wait, with which the queue time would be counted twice.
func TestQueueTime(t *testing.T) {
	g := NewWithT(t)
	l := NewLeastWait(LeastWaitOptions{})
	now := time.Second
	_, ok := l.QueueTime("a", now)
	g.Expect(ok).To(BeFalse(), "nothing is known")
	l.Pick([]Candidate{{Key: "a"}, {Key: "b"}}, now, rand.Float64)
	queueTime := func(key string) time.Duration {
		d, ok := l.QueueTime(key, now)
		g.Expect(ok).To(BeTrue())
		return d.Round(time.Millisecond)
	}
	l.Observe("a", ran(report(5, 0)), now)
	g.Expect(queueTime("a")).To(BeZero(), "a slot is free")
	l.Observe("a", ran(report(6, 11)), now)
	g.Expect(queueTime("a")).To(Equal(2 * testRunTime))
	for range 6 {
		l.Begin("a", now)
	}
	g.Expect(queueTime("a")).To(Equal(3 * testRunTime))
	for range 100 {
		l.Begin("a", now)
		now += 3 * testRunTime
		l.End("a", now)
		l.Observe("a", Observation{Load: report(6, 11), ResponseTime: 3 * testRunTime, Ran: true}, now)
	}
	g.Expect(queueTime("a")).To(BeNumerically("~", 2*testRunTime, 2*time.Millisecond), "the run time does not contain the wait")

	now += 100 * time.Millisecond
	l.Observe("b", Observation{Load: &loadreport.Report{Slots: 12, Slowdown: 1}, ResponseTime: testRunTime, Ran: true}, now)
	now += 50 * time.Millisecond
	mean, age, ok := l.ServiceQueueTime([]string{"a", "b", "c"}, now)
	g.Expect(ok).To(BeTrue())
	// Weights of the slots and of what is left of the reports' 300 ms: 6 x 1/2 and 12 x 5/6.
	g.Expect(age).To(BeNumerically("~", (3*150*time.Millisecond+10*50*time.Millisecond)/13, time.Millisecond))
	g.Expect(mean).To(BeNumerically("~", 2*testRunTime*3/13, 2*time.Millisecond), "b has no queue")
	// A slow upstream's queue says nothing about the wait at the others.
	l.Observe("c", Observation{Load: &loadreport.Report{Running: 6, Waiting: 24, Slots: 6, Slowdown: 9}, ResponseTime: testRunTime, Ran: true}, now)
	l.Pick([]Candidate{{Key: "a"}, {Key: "b"}, {Key: "c"}}, now, func() float64 { return 0 }) // compares their run times
	withSlow, _, _ := l.ServiceQueueTime([]string{"a", "b", "c"}, now)
	g.Expect(withSlow).To(BeNumerically("~", mean, 3*time.Millisecond))
	now += 300 * time.Millisecond
	_, ok = l.QueueTime("a", now)
	g.Expect(ok).To(BeFalse(), "the report has expired")
	_, _, ok = l.ServiceQueueTime([]string{"a", "b"}, now)
	g.Expect(ok).To(BeFalse())
}
