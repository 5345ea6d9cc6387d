package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// fewestCalls is the cost function that LeastWait replaced, the baseline of the model.
type fewestCalls map[string]*fewestCallsState

type fewestCallsState struct {
	inFlight, load             int
	reportedAt, lastResponseAt time.Duration
}

func (f fewestCalls) state(key string) *fewestCallsState {
	if f[key] == nil {
		f[key] = &fewestCallsState{}
	}
	return f[key]
}

func (f fewestCalls) Pick(candidates []Candidate, now time.Duration, random func() float64) (int, bool) {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		if c.Tried {
			continue
		}
		s := f.state(c.Key)
		cost := float64(s.inFlight) + 0.2*random()
		if now-s.reportedAt < 300*time.Millisecond {
			cost = max(cost, float64(s.load))
		}
		if s.lastResponseAt == 0 || now-s.lastResponseAt > 8*time.Second {
			cost += 0.3
		}
		if c.Remote {
			cost += 0.5
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

func (f fewestCalls) Begin(key string, _ time.Duration) { f.state(key).inFlight++ }
func (f fewestCalls) End(key string, _ time.Duration)   { f.state(key).inFlight-- }
func (f fewestCalls) Observe(key string, o Observation, now time.Duration) {
	s := f.state(key)
	s.lastResponseAt, s.load, s.reportedAt = now, o.Load.Load(), now
}

// selector is what LeastWait and fewestCalls have in common.
type selector interface {
	Pick([]Candidate, time.Duration, func() float64) (int, bool)
	Begin(string, time.Duration)
	End(string, time.Duration)
	Observe(string, Observation, time.Duration)
}

// modelCase is a run of the model: 61 daemons before 3 upstreams of 6 slots and a queue of
// 24, with run times of 25 ms on average. Reports are 50 ms old when they arrive.
type modelCase struct {
	rate       float64 // calls per second
	duration   time.Duration
	slowdown   float64 // of the first upstream
	refuses    float64 // share of calls that the first upstream refuses whatever its load
	percent    bool    // reports have the fourth figure
	refuseFull bool    // a daemon refuses a call if Pick returns ok=false
}

type modelResult struct {
	calls, sends, refusedSends, answered, inTime, connections int
	upstreamsPerDaemon                                        float64
	ages, agesInRange                                         int // of reports at a send; 50 to 300 ms
}

const (
	modelDaemons = 61
	modelRunTime = 25 * time.Millisecond
	modelLag     = 50 * time.Millisecond
	modelSeeds   = 3
)

type modelCall struct {
	daemon   int
	arrived  time.Duration
	sentAt   time.Duration
	tried    map[string]bool
	upstream *modelUpstream
}

type modelUpstream struct {
	key              string
	running, slots   int
	slowdown, refuse float64
	queue            []*modelCall
	history          []modelReport
}

type modelReport struct {
	at     time.Duration
	report loadreport.Report
}

type modelEvent struct {
	at  time.Duration
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	c         modelCase
	now       time.Duration
	rng       *rand.Rand
	events    modelEvents
	daemons   []selector
	upstreams []*modelUpstream
	reported  []map[string]time.Duration // by daemon and upstream: when the last report was made
	responded []map[string]time.Duration
	result    modelResult
}

func runModel(c modelCase, newSelector func() selector, seed uint64) modelResult {
	m := &model{c: c, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range 3 {
		m.upstreams = append(m.upstreams, &modelUpstream{key: fmt.Sprint("u", i), slots: 6, slowdown: 1})
	}
	m.upstreams[0].slowdown, m.upstreams[0].refuse = c.slowdown, c.refuses
	for range modelDaemons {
		m.daemons = append(m.daemons, newSelector())
		m.reported = append(m.reported, map[string]time.Duration{})
		m.responded = append(m.responded, map[string]time.Duration{})
	}
	m.arrive(m.now + c.duration)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	for _, seen := range m.responded {
		m.result.upstreamsPerDaemon += float64(len(seen)) / modelDaemons
	}
	return m.result
}

func (m *model) after(d time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{m.now + d, run})
}

func (m *model) arrive(until time.Duration) {
	m.after(time.Duration(m.rng.ExpFloat64()/m.c.rate*float64(time.Second)), func() {
		if m.now > until {
			return
		}
		m.result.calls++
		m.send(&modelCall{daemon: m.rng.IntN(modelDaemons), arrived: m.now, tried: map[string]bool{}})
		m.arrive(until)
	})
}

func (m *model) send(call *modelCall) {
	var candidates []Candidate
	for _, u := range m.upstreams {
		candidates = append(candidates, Candidate{Key: u.key, Slots: u.slots, Tried: call.tried[u.key]})
	}
	d := m.daemons[call.daemon]
	i, ok := d.Pick(candidates, m.now, m.rng.Float64)
	if i < 0 || (!ok && m.c.refuseFull) {
		return
	}
	u := m.upstreams[i]
	d.Begin(u.key, m.now)
	m.result.sends++
	if at, seen := m.reported[call.daemon][u.key]; seen && m.now-at < time.Second {
		m.result.ages++
		if m.now-at <= 300*time.Millisecond {
			m.result.agesInRange++
		}
	}
	if at, seen := m.responded[call.daemon][u.key]; !seen || m.now-at > warmDuration {
		m.result.connections++
	}
	call.tried[u.key], call.upstream, call.sentAt = true, u, m.now
	if len(u.queue) >= 24 || m.rng.Float64() < u.refuse {
		m.result.refusedSends++
		m.after(time.Millisecond, func() {
			m.respond(call, false)
			m.send(call)
		})
		return
	}
	u.queue = append(u.queue, call)
	m.start(u)
}

// slowdown returns the slowdown of an upstream, which lasts for the middle half of a run.
func (m *model) slowdown(u *modelUpstream) float64 {
	if part := float64(m.now-time.Second) / float64(m.c.duration); part < 0.25 || part > 0.75 {
		return 1
	}
	return u.slowdown
}

// start runs waiting calls in free slots.
func (m *model) start(u *modelUpstream) {
	for u.running < u.slots && len(u.queue) > 0 {
		call := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		m.after(time.Duration((0.5+m.rng.Float64())*m.slowdown(u)*float64(modelRunTime)), func() {
			u.running--
			m.respond(call, true)
			m.result.answered++
			if m.now-call.arrived <= 150*time.Millisecond {
				m.result.inTime++
			}
			m.start(u)
		})
	}
	report := loadreport.Report{Running: u.running, Waiting: len(u.queue), Slots: u.slots, Slowdown: 1}
	if m.c.percent {
		report.Slowdown = m.slowdown(u)
	}
	u.history = append(u.history, modelReport{m.now, report})
}

// respond gives the daemon a response with the upstream's load of modelLag ago.
func (m *model) respond(call *modelCall, ran bool) {
	u, d := call.upstream, m.daemons[call.daemon]
	report := loadreport.Report{Slots: u.slots, Slowdown: 1}
	for i := len(u.history) - 1; i >= 0; i-- {
		if u.history[i].at <= m.now-modelLag {
			report = u.history[i].report
			break
		}
	}
	d.End(u.key, m.now)
	d.Observe(u.key, Observation{Load: &report, ResponseTime: m.now - call.sentAt, Ran: ran}, m.now)
	m.reported[call.daemon][u.key] = m.now - modelLag
	m.responded[call.daemon][u.key] = m.now
}

func (r modelResult) refusedShare() float64 { return float64(r.refusedSends) / float64(r.sends) }
func (r modelResult) inTimeShare() float64  { return float64(r.inTime) / float64(r.calls) }
func (r modelResult) lateShare() float64    { return float64(r.answered-r.inTime) / float64(r.calls) }

func (r modelResult) String() string {
	return fmt.Sprintf("| %4.1f | %5.1f | %4.1f | %.2f | %.2f | %d |", 100*r.refusedShare(), 100*r.inTimeShare(), 100*r.lateShare(),
		float64(r.sends)/float64(r.calls), r.upstreamsPerDaemon/modelSeeds, r.connections/modelSeeds)
}

// add adds the counts of another seed.
func (r *modelResult) add(o modelResult) {
	r.calls, r.sends, r.refusedSends, r.answered = r.calls+o.calls, r.sends+o.sends, r.refusedSends+o.refusedSends, r.answered+o.answered
	r.inTime, r.connections, r.upstreamsPerDaemon = r.inTime+o.inTime, r.connections+o.connections, r.upstreamsPerDaemon+o.upstreamsPerDaemon
	r.ages, r.agesInRange = r.ages+o.ages, r.agesInRange+o.agesInRange
}

// Guards against a choice that is worse than the one it replaced: daemons that open more
// connections without load, that all follow the same old reports and so send to upstreams
// which refuse, or that queue calls at a slow upstream until they are late.
func TestLeastWaitModel(t *testing.T) {
	const even, uneven = 3 * 240.0, 2.2 * 240.0 // capacity in calls per second
	calm := func(c modelCase) modelCase { c.rate, c.duration = 12, time.Minute; return c }
	busy := func(rate float64, c modelCase) modelCase { c.rate, c.duration = rate, 10*time.Second; return c }
	same, slow, percent := modelCase{slowdown: 1}, modelCase{slowdown: 5}, modelCase{slowdown: 5, percent: true}
	check := map[string]func(g Gomega, before, after modelResult){
		"calm": func(g Gomega, before, after modelResult) {
			g.Expect(after.refusedSends).To(BeZero())
			g.Expect(after.connections).To(BeNumerically("<=", before.connections))
			g.Expect(after.upstreamsPerDaemon).To(BeNumerically("<=", before.upstreamsPerDaemon))
		},
		"calm, slow": func(g Gomega, before, after modelResult) {
			g.Expect(after.lateShare()).To(BeNumerically("<", 0.8*before.lateShare()))
		},
		"busy": func(g Gomega, before, after modelResult) {
			g.Expect(after.refusedShare()).To(BeNumerically("<", 0.02))
			g.Expect(after.inTimeShare()).To(BeNumerically(">=", before.inTimeShare()-0.001))
		},
		"busy, slow": func(g Gomega, before, after modelResult) {
			g.Expect(after.refusedShare()).To(BeNumerically("<", 0.03))
			g.Expect(after.lateShare()).To(BeNumerically("<", 0.5*before.lateShare()))
		},
		"refuses": func(g Gomega, before, after modelResult) {
			g.Expect(after.refusedShare()).To(BeNumerically("<", 0.6*before.refusedShare()))
		},
		"overload": func(g Gomega, before, after modelResult) {
			g.Expect(after.refusedShare()).To(BeNumerically("<", before.refusedShare()+0.01))
			g.Expect(after.inTimeShare()).To(BeNumerically(">", before.inTimeShare()-0.01))
			g.Expect(float64(after.agesInRange)/float64(after.ages)).To(BeNumerically(">", 0.8), "reports are 50 to 300 ms old")
		},
	}
	for _, c := range []struct {
		name, check string
		modelCase
	}{
		{"calm, even", "calm", calm(same)},
		{"calm, one slow", "calm, slow", calm(slow)},
		{"calm, one slow, four figures", "calm, slow", calm(percent)},
		{"0.5, one slow", "busy, slow", busy(0.5*uneven, slow)},
		{"0.9, even", "busy", busy(0.9*even, same)},
		{"0.9, one slow", "busy, slow", busy(0.9*uneven, slow)},
		{"0.9, one slow, four figures", "busy, slow", busy(0.9*uneven, percent)},
		{"0.6, one refuses 60%", "refuses", busy(0.6*even, modelCase{slowdown: 1, refuses: 0.6})},
		{"1.5, even", "overload", busy(1.5*even, same)},
		{"1.5, one slow", "overload", busy(1.5*uneven, slow)},
		{"1.5, one slow, four figures", "overload", busy(1.5*uneven, percent)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var before, after, refusing modelResult
			for seed := range uint64(modelSeeds) {
				before.add(runModel(c.modelCase, func() selector { return fewestCalls{} }, seed+1))
				least := func() selector { return NewLeastWait(LeastWaitOptions{}) }
				after.add(runModel(c.modelCase, least, seed+1))
				c.refuseFull = true
				refusing.add(runModel(c.modelCase, least, seed+1))
				c.refuseFull = false
			}
			t.Logf("\n| %s | fewest calls %v\n| | least wait %v\n| | least wait, daemons refuse %v\n", c.name, before, after, refusing)
			check[c.check](NewWithT(t), before, after)
		})
	}
}
