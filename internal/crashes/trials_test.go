package crashes

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestPlanTrials(t *testing.T) {
	candidate := func(key string, notBefore time.Duration) TrialCandidate[string] {
		return TrialCandidate[string]{Key: key, NotBefore: notBefore, MinVersion: 3}
	}
	engine := func(id string, running int) TrialEngine {
		return TrialEngine{ID: id, Version: 3, Running: running}
	}
	const now = 10 * time.Second
	inTrial := engine("c", 1)
	inTrial.InTrial = true
	old := TrialEngine{ID: "d", Version: 2}
	avoiding := candidate("x", 0)
	avoiding.AvoidEngine = "a"
	crashedNow := candidate("x", 0)
	crashedNow.LastCrash = now - CrasherPause + 1
	for _, c := range []struct {
		name       string
		candidates []TrialCandidate[string]
		engines    []TrialEngine
		ordinary   int
		want       TrialPlan[string]
	}{
		{"no candidates", nil, []TrialEngine{engine("a", 0)}, 0, TrialPlan[string]{}},
		{"no engines", []TrialCandidate[string]{candidate("x", 0)}, nil, 0, TrialPlan[string]{}},
		{"an idle engine", []TrialCandidate[string]{candidate("x", 0)}, []TrialEngine{engine("a", 2), engine("b", 0)}, 9,
			TrialPlan[string]{Start: []TrialStart[string]{{"x", "b"}}}},
		{"busy engines: the one with the fewest runs is emptied", []TrialCandidate[string]{candidate("x", 0)}, []TrialEngine{engine("a", 2), engine("b", 1)}, 9,
			TrialPlan[string]{Evict: []string{"b"}}},
		{"the engine to avoid", []TrialCandidate[string]{avoiding}, []TrialEngine{engine("a", 0), engine("b", 0)}, 9,
			TrialPlan[string]{Start: []TrialStart[string]{{"x", "b"}}}},
		{"one is paused", []TrialCandidate[string]{candidate("x", now+1), candidate("y", now)}, []TrialEngine{engine("a", 0), engine("b", 0)}, 0,
			TrialPlan[string]{Start: []TrialStart[string]{{"y", "a"}}}},
		{"few candidates among many samples take one engine", []TrialCandidate[string]{candidate("x", 0), candidate("y", 0)}, []TrialEngine{engine("a", 0), engine("b", 0), engine("e", 0)}, 30,
			TrialPlan[string]{Start: []TrialStart[string]{{"x", "a"}}}},
		{"candidates alone leave one engine", []TrialCandidate[string]{candidate("x", 0), candidate("y", 2), candidate("z", 1)}, []TrialEngine{engine("a", 0), engine("b", 0), engine("e", 0)}, 0,
			TrialPlan[string]{Start: []TrialStart[string]{{"x", "a"}, {"z", "b"}}}},
		{"a trial in progress counts", []TrialCandidate[string]{candidate("x", 0)}, []TrialEngine{engine("a", 0), inTrial}, 0, TrialPlan[string]{}},
		{"weights too old", []TrialCandidate[string]{candidate("x", 0)}, []TrialEngine{old}, 0, TrialPlan[string]{}},
		{"the last engine, after the pause", []TrialCandidate[string]{candidate("x", 0)}, []TrialEngine{engine("a", 0)}, 5,
			TrialPlan[string]{Start: []TrialStart[string]{{"x", "a"}}}},
		{"the last engine, before the pause has ended", []TrialCandidate[string]{crashedNow}, []TrialEngine{engine("a", 0)}, 5, TrialPlan[string]{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(PlanTrials(c.candidates, c.engines, c.ordinary, now)).To(Equal(c.want))
		})
	}
}

func TestOneCrasherIsIsolatedAndABurstIsNot(t *testing.T) {
	g := NewWithT(t)
	g.Expect(IsolateSuspects(1, 16)).To(BeTrue())
	g.Expect(IsolateSuspects(16, 16)).To(BeTrue(), "one crasher may have shared its engine with 15 others")
	g.Expect(IsolateSuspects(17, 16)).To(BeFalse())
}

// burstModel runs sound samples under which engines have crashed, on engines that are all up again.
type burstModel struct {
	tracker *SampleTracker[int]
	engines []TrialEngine
	slots   int
	now     time.Duration
	waiting []int
	running map[int]*modelRun
	// longestWait is the longest time after the burst until a sample ran, finishedAt when the
	// last one was complete.
	longestWait, finishedAt time.Duration
}

type modelRun struct {
	engine, events int
	trial          bool
	nextEvent      time.Duration
}

const (
	modelStep     = 5 * time.Millisecond
	modelPrefill  = 25 * time.Millisecond
	modelGap      = 30 * time.Millisecond // between two events
	modelCrashAt  = 7                     // event at which engines crashed
	modelEvents   = 40
	modelDuration = 10 * time.Minute
)

// newBurstModel returns a model of samples that lost some engines each, the last one at time 0.
// Every third of them was alone on one of these.
func newBurstModel(samples, engines, slots, crashes int) *burstModel {
	m := &burstModel{tracker: NewSampleTracker[int](), slots: slots, running: map[int]*modelRun{}}
	for i := range engines {
		m.engines = append(m.engines, TrialEngine{ID: fmt.Sprint(i)})
	}
	for key := range samples {
		m.waiting = append(m.waiting, key)
		for n := range crashes {
			m.tracker.Crashed(key, fmt.Sprint("former", n), modelCrashAt, n == 0 && key%3 == 0, 0)
		}
	}
	return m
}

func (m *burstModel) start(key, engine int, trial bool) {
	m.running[key] = &modelRun{engine: engine, events: modelCrashAt, trial: trial, nextEvent: m.now + modelPrefill + modelGap}
	m.engines[engine].Running++
	m.engines[engine].InTrial = trial
	m.longestWait = max(m.longestWait, m.now)
	for i, w := range m.waiting {
		if w == key {
			m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
			return
		}
	}
}

// schedule starts waiting samples as batchrun does.
func (m *burstModel) schedule() {
	var suspects []TrialCandidate[int]
	var ordinary []int
	for _, key := range m.waiting {
		mode, from := m.tracker.RunMode(key)
		if mode == Ordinary {
			ordinary = append(ordinary, key)
			continue
		}
		suspects = append(suspects, TrialCandidate[int]{Key: key, NotBefore: from})
	}
	trials, running := 0, 0
	for key, r := range m.running {
		if mode, _ := m.tracker.RunMode(key); mode != Ordinary {
			running++
		}
		if r.trial {
			trials++
		}
	}
	if !IsolateSuspects(len(suspects)+running, m.slots) {
		ordinary, suspects = slices.Clone(m.waiting), nil
	}
	others := len(ordinary) + len(m.running) - trials
	for _, key := range ordinary {
		best := -1
		for i, e := range m.engines {
			if !e.InTrial && e.Running < m.slots && (best < 0 || e.Running < m.engines[best].Running) {
				best = i
			}
		}
		if best >= 0 {
			m.start(key, best, false)
		}
	}
	plan := PlanTrials(suspects, m.engines, others, m.now)
	for _, s := range plan.Start {
		m.start(s.Key, m.index(s.Engine), true)
	}
	for _, id := range plan.Evict {
		for key, r := range m.running {
			if r.engine == m.index(id) && !r.trial {
				// It resumes elsewhere without a wait to speak of, beyond its prefill.
				m.move(key, r)
			}
		}
	}
}

func (m *burstModel) move(key int, r *modelRun) {
	for i, e := range m.engines {
		if i != r.engine && !e.InTrial && e.Running < m.slots {
			m.engines[r.engine].Running--
			m.engines[i].Running++
			r.engine, r.nextEvent = i, m.now+modelPrefill+modelGap
			return
		}
	}
}

func (m *burstModel) index(id string) int {
	for i, e := range m.engines {
		if e.ID == id {
			return i
		}
	}
	panic("no such engine")
}

// generate makes the events that are due.
func (m *burstModel) generate() {
	for key, r := range m.running {
		if m.now < r.nextEvent {
			continue
		}
		r.events++
		r.nextEvent = m.now + modelGap
		if m.tracker.Progressed(key, r.events) && r.trial {
			r.trial, m.engines[r.engine].InTrial = false, false
		}
		if r.events >= modelEvents {
			m.engines[r.engine].Running--
			m.engines[r.engine].InTrial = m.engines[r.engine].InTrial && !r.trial
			delete(m.running, key)
			m.finishedAt = m.now
		}
	}
}

// run runs all samples to their ends.
func (m *burstModel) run() {
	for ; m.now < modelDuration && len(m.waiting)+len(m.running) > 0; m.now += modelStep {
		m.generate()
		m.schedule()
	}
}

// Engines died in a burst under sound samples. With the engines up again, no sample may wait until
// it counts as lost: five seconds without a run, once the shortest window after a disruption, three
// seconds, has passed. The last table entries have twice as many samples as slots.
func TestSamplesRunSoonAfterABurstOfCrashes(t *testing.T) {
	const maxWait = 3*time.Second + 5*time.Second
	for _, c := range []struct{ engines, slots int }{{2, 16}, {3, 16}, {9, 16}, {16, 6}, {48, 8}} {
		for _, samples := range []int{1, 5, c.slots, c.slots + 1, c.engines * c.slots / 2, 2 * c.engines * c.slots} {
			for _, crashes := range []int{1, 2, 4, 8, 15} {
				m := newBurstModel(samples, c.engines, c.slots, crashes)
				m.run()
				name := fmt.Sprintf("%d samples, %d engines of %d slots, %d crashes each", samples, c.engines, c.slots, crashes)
				t.Logf("%s: longest wait %v, all complete after %v", name, m.longestWait, m.finishedAt)
				NewWithT(t).Expect(m.longestWait).To(BeNumerically("<=", maxWait), name)
				NewWithT(t).Expect(m.waiting).To(BeEmpty(), name)
				NewWithT(t).Expect(m.running).To(BeEmpty(), name)
			}
		}
	}
}

// The next owner of a partition knows nothing of the crashes before; no sample may wait for it.
func TestSamplesRunAtOnceUnderTheNextOwner(t *testing.T) {
	m := newBurstModel(72, 9, 16, 8)
	m.tracker = NewSampleTracker[int]()
	m.run()
	NewWithT(t).Expect(m.longestWait).To(BeZero())
}
