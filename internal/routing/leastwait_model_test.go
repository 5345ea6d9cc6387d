package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// selector is what LeastWait and fewestCalls have in common.
type selector interface {
	Pick([]Candidate, time.Duration, func() float64) (int, bool)
	Begin(string, time.Duration)
	End(string, time.Duration)
	Observe(string, Observation, time.Duration)
}

// fewestCalls is the cost function that LeastWait replaced, the baseline of the model.
type fewestCalls map[string]*fewestCallsState

type fewestCallsState struct {
	inFlight, load             int
	reportedAt, lastResponseAt time.Duration
}

func (f fewestCalls) Pick(candidates []Candidate, now time.Duration, random func() float64) (int, bool) {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		if c.Tried {
			continue
		}
		if f[c.Key] == nil {
			f[c.Key] = &fewestCallsState{}
		}
		s := f[c.Key]
		cost := float64(s.inFlight) + 0.2*random()
		if now-s.reportedAt < 300*time.Millisecond {
			cost = max(cost, float64(s.load))
		}
		if s.lastResponseAt == 0 || now-s.lastResponseAt > 8*time.Second {
			cost += 0.3
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

func (f fewestCalls) Begin(key string, _ time.Duration) { f[key].inFlight++ }
func (f fewestCalls) End(key string, _ time.Duration)   { f[key].inFlight-- }
func (f fewestCalls) Observe(key string, o Observation, now time.Duration) {
	f[key].lastResponseAt, f[key].load, f[key].reportedAt = now, o.Load.Load(), now
}

// modelCase is a run of the model: 61 daemons before 3 upstreams of 6 slots and a queue of
// 24, with run times of 25 ms on average. The first upstream may differ.
type modelCase struct {
	rate       float64 // calls per second
	seconds    int
	seeds      int
	slowdown   float64 // in the middle half of the run
	refuses    float64 // share of calls that it refuses whatever its load
	percent    bool    // reports have the fourth figure
	refuseFull bool    // a daemon refuses a call if Pick returns ok=false
}

type modelResult struct{ seeds, calls, sends, refused, inTime, late, upstreams, connections float64 }

func (r modelResult) String() string {
	return fmt.Sprintf("| %.1f | %.1f | %.1f | %.2f | %.2f | %.0f |", 100*r.refused/r.sends, 100*r.inTime/r.calls,
		100*r.late/r.calls, r.sends/r.calls, r.upstreams/r.seeds/modelDaemons, r.connections/r.seeds)
}

const (
	modelDaemons, modelSlots, modelQueue = 61, 6, 24

	modelRunTime = 25 // ms
	modelLag     = 50 // age of a report in ms when it arrives
)

type modelCall struct {
	daemon, upstream int
	arrived, sentAt  time.Duration
	tried            [3]bool
}

type modelUpstream struct {
	running int
	queue   []*modelCall
	reports []loadreport.Report // one per ms
}

// model advances in steps of 1 ms, from 1 s on.
type model struct {
	modelCase
	modelResult
	now       time.Duration
	rng       *rand.Rand
	events    map[time.Duration][]func()
	daemons   [modelDaemons]selector
	responded [modelDaemons][3]time.Duration
	upstreams [3]modelUpstream
}

func runModel(c modelCase, newSelector func() selector) (total modelResult) {
	for seed := range uint64(c.seeds) {
		m := &model{modelCase: c, modelResult: total, rng: rand.New(rand.NewPCG(seed+1, 1)), now: time.Second, events: map[time.Duration][]func(){}}
		for i := range m.daemons {
			m.daemons[i] = newSelector()
		}
		for next := 0.0; m.now < time.Duration(c.seconds+1)*time.Second; m.now += time.Millisecond {
			m.step()
			for elapsed := (m.now - time.Second).Seconds(); next <= elapsed; next += m.rng.ExpFloat64() / c.rate {
				m.calls++
				m.send(&modelCall{daemon: m.rng.IntN(modelDaemons), arrived: m.now})
			}
		}
		for range 2000 { // the calls that are left
			m.step()
			m.now += time.Millisecond
		}
		total = m.modelResult
		total.seeds++
	}
	return total
}

func (m *model) step() {
	for _, run := range m.events[m.now] {
		run()
	}
	delete(m.events, m.now)
	for i := range m.upstreams {
		u := &m.upstreams[i]
		r := loadreport.Report{Running: u.running, Waiting: len(u.queue), Slots: modelSlots, Slowdown: 1}
		if m.percent {
			r.Slowdown = m.slowdownOf(i)
		}
		u.reports = append(u.reports, r)
	}
}

func (m *model) slowdownOf(upstream int) float64 {
	if part := (m.now - time.Second).Seconds() / float64(m.seconds); upstream > 0 || part < 0.25 || part > 0.75 {
		return 1
	}
	return m.slowdown
}

func (m *model) after(ms float64, run func()) {
	at := m.now + time.Duration(max(1, ms))*time.Millisecond
	m.events[at] = append(m.events[at], run)
}

func (m *model) send(call *modelCall) {
	candidates := make([]Candidate, 3)
	for i := range candidates {
		candidates[i] = Candidate{Key: fmt.Sprint(i), Slots: modelSlots, Tried: call.tried[i]}
	}
	i, ok := m.daemons[call.daemon].Pick(candidates, m.now, m.rng.Float64)
	if i < 0 || (!ok && m.refuseFull) {
		return
	}
	m.sends++
	m.daemons[call.daemon].Begin(fmt.Sprint(i), m.now)
	last := &m.responded[call.daemon][i]
	if *last == 0 {
		m.modelResult.upstreams++
	}
	if *last == 0 || m.now-*last > warmDuration {
		m.connections++
	}
	*last = m.now
	call.tried[i], call.upstream, call.sentAt = true, i, m.now
	u := &m.upstreams[i]
	if len(u.queue) >= modelQueue || (i == 0 && m.rng.Float64() < m.refuses) {
		m.refused++
		m.after(1, func() {
			m.respond(call, false)
			m.send(call)
		})
		return
	}
	u.queue = append(u.queue, call)
	m.start(i)
}

// start runs waiting calls in free slots.
func (m *model) start(upstream int) {
	u := &m.upstreams[upstream]
	for u.running < modelSlots && len(u.queue) > 0 {
		call := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		m.after((0.5+m.rng.Float64())*modelRunTime*m.slowdownOf(upstream), func() {
			u.running--
			m.respond(call, true)
			m.start(upstream)
			if m.now-call.arrived <= 150*time.Millisecond {
				m.inTime++
			} else {
				m.late++
			}
		})
	}
}

// respond gives the daemon a response with the upstream's load of modelLag ago.
func (m *model) respond(call *modelCall, ran bool) {
	key, d, reports := fmt.Sprint(call.upstream), m.daemons[call.daemon], m.upstreams[call.upstream].reports
	d.End(key, m.now)
	d.Observe(key, Observation{Load: &reports[max(0, len(reports)-modelLag)], ResponseTime: m.now - call.sentAt, Ran: ran}, m.now)
	m.responded[call.daemon][call.upstream] = m.now
}

// Guards against a choice that is worse than the one it replaced: daemons that open more
// connections without load, that all follow the same old reports and so send to upstreams
// which refuse, or that queue calls at a slow upstream until they are late. refused and late
// bound the shares of sends and of calls, as multiples of those of the baseline.
func TestLeastWaitModel(t *testing.T) {
	const even, uneven = 3 * 240.0, 2.2 * 240.0 // capacity in calls per second
	for _, c := range []struct {
		name          string
		refused, late float64
		modelCase
	}{
		// By 3 seeds alone the numbers of upstreams differ by less than their noise.
		{"calm, even", 1, 1, modelCase{rate: 12, seconds: 60, seeds: 40, slowdown: 1}},
		{"calm, one slow", 1, 0.8, modelCase{rate: 12, seconds: 60, seeds: 40, slowdown: 5}},
		{"calm, one slow, four figures", 1, 0.5, modelCase{rate: 12, seconds: 60, seeds: 40, slowdown: 5, percent: true}},
		{"0.5, one slow", 0.1, 0.3, modelCase{rate: 0.5 * uneven, seconds: 10, seeds: 3, slowdown: 5}},
		{"0.6, one refuses 60%", 0.6, 1, modelCase{rate: 0.6 * even, seconds: 10, seeds: 3, slowdown: 1, refuses: 0.6}},
		{"0.9, even", 0.4, 1, modelCase{rate: 0.9 * even, seconds: 10, seeds: 3, slowdown: 1}},
		{"0.9, one slow", 0.3, 0.6, modelCase{rate: 0.9 * uneven, seconds: 10, seeds: 3, slowdown: 5}},
		{"0.9, one slow, four figures", 0.3, 0.6, modelCase{rate: 0.9 * uneven, seconds: 10, seeds: 3, slowdown: 5, percent: true}},
		{"1.5, even", 1, 1.5, modelCase{rate: 1.5 * even, seconds: 10, seeds: 3, slowdown: 1}},
		{"1.5, one slow", 1, 1.1, modelCase{rate: 1.5 * uneven, seconds: 10, seeds: 3, slowdown: 5}},
		{"1.5, one slow, four figures", 1, 1.1, modelCase{rate: 1.5 * uneven, seconds: 10, seeds: 3, slowdown: 5, percent: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			before := runModel(c.modelCase, func() selector { return fewestCalls{} })
			least := func() selector { return NewLeastWait(LeastWaitOptions{}) }
			after := runModel(c.modelCase, least)
			c.refuseFull = true
			t.Logf("\n| %s | fewest calls %v\n| | least wait %v\n| | least wait, daemons refuse %v\n", c.name, before, after, runModel(c.modelCase, least))
			g.Expect(after.refused / after.sends).To(BeNumerically("<=", c.refused*before.refused/before.sends))
			g.Expect(after.late / after.calls).To(BeNumerically("<=", c.late*before.late/before.calls))
			g.Expect(after.inTime / after.calls).To(BeNumerically(">=", before.inTime/before.calls-0.005))
			if c.rate == 12 && c.slowdown == 1 {
				g.Expect(after.connections).To(BeNumerically("<=", before.connections))
				g.Expect(after.upstreams).To(BeNumerically("<=", before.upstreams))
			}
		})
	}
}
