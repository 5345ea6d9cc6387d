package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fullPlanner has all mechanisms on, as in daemons.
var fullPlanner Planner

func TestPlan(t *testing.T) {
	engines := []Engine{{ID: "e1", Version: 2, Slots: 2}, {ID: "e2", Version: 1, Running: 1, Slots: 2}, {ID: "e3", Version: 3, Running: 2, Slots: 2}}
	for _, c := range []struct {
		name    string
		waiting []WaitingSample
		want    []string // index of the sample and ID of the engine
	}{
		{"the longest sample first, each to the least loaded engine", []WaitingSample{{Index: 1, Remaining: time.Second}, {Index: 2, Remaining: 6 * time.Second}}, []string{"2e1", "1e1"}},
		{"the step that is due first goes first", []WaitingSample{{Index: 1, Due: 9 * time.Second, Remaining: 6 * time.Second}, {Index: 2, Due: 2 * time.Second}}, []string{"2e1", "1e1"}},
		{"the later step's long sample before the earlier step's short one", []WaitingSample{{Index: 1, Due: 4 * time.Second, Remaining: time.Second}, {Index: 2, Due: 9 * time.Second, Remaining: 7 * time.Second}}, []string{"2e1", "1e1"}},
		{"no more samples than free slots", []WaitingSample{{Index: 1}, {Index: 2}, {Index: 3}, {Index: 4}}, []string{"1e1", "2e1", "3e2"}},
		{"no engine with too old weights", []WaitingSample{{Index: 1, MinVersion: 2}, {Index: 2, MinVersion: 2}, {Index: 3, MinVersion: 2}}, []string{"1e1", "2e1"}},
		{"not the engine on which the sample failed last", []WaitingSample{{Index: 1, AvoidEngine: "e1"}}, []string{"1e2"}},
		{"the engine on which the sample failed last if it is the only one", []WaitingSample{{Index: 1, AvoidEngine: "e1", MinVersion: 2}}, []string{"1e1"}},
		{"an engine with scarce weights is reserved for the step that needs them", []WaitingSample{{Index: 1, MinVersion: 1}, {Index: 2, MinVersion: 2, Due: time.Minute}}, []string{"1e2", "2e1"}},
		{"an engine with scarce weights for other samples if no other has a free slot", []WaitingSample{{Index: 1, MinVersion: 1}, {Index: 2, MinVersion: 1}, {Index: 3, MinVersion: 2, Due: time.Minute}}, []string{"1e2", "2e1", "3e1"}},
		{"the engine that can continue a text of one weights version", []WaitingSample{{Index: 1, TextVersion: 1}}, []string{"1e2"}},
		{"another engine if none can continue a text of one weights version", []WaitingSample{{Index: 1, TextVersion: 9}}, []string{"1e1"}},
		{"no sample before its earliest start", []WaitingSample{{Index: 1, NotBefore: time.Minute}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, s := range fullPlanner.Plan(c.waiting, engines, time.Second) {
				got = append(got, string(rune('0'+s.Sample.Index))+s.Engine)
			}
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
	NewWithT(t).Expect(engines[0].Running).To(BeZero(), "the caller's engines aren't changed")
}

// One engine of three has slower hardware and runs nothing. If the longest sample of a step
// started there, the step would end a third later.
func TestPlanKeepsLongSamplesOffSlowHardware(t *testing.T) {
	g := NewWithT(t)
	engines := []Engine{{ID: "slow", Slots: 4, RelativeGap: 1.3}, {ID: "usual", Running: 2, Slots: 4, RelativeGap: 1}, {ID: "new", Running: 3, Slots: 4}}
	var got []string
	for _, s := range fullPlanner.Plan([]WaitingSample{{Index: 1, Remaining: 10}, {Index: 2, Remaining: 90}, {Index: 3, Remaining: 50}, {Index: 4, Remaining: 1}}, engines, 0) {
		got = append(got, string(rune('0'+s.Sample.Index))+s.Engine)
	}
	g.Expect(got).To(Equal([]string{"2usual", "3usual", "1new", "4slow"}))
}

// A mechanism that is switched off changes only its own part of the plan.
func TestPlannerWithMechanismsOff(t *testing.T) {
	g := NewWithT(t)
	engines := []Engine{{ID: "slow", Version: 2, Slots: 1, RelativeGap: 3}, {ID: "old", Version: 1, Running: 1, Slots: 2}}
	waiting := func() []WaitingSample {
		return []WaitingSample{{Index: 1, MinVersion: 1, Remaining: time.Second}, {Index: 2, MinVersion: 1, Remaining: 2 * time.Second}, {Index: 3, MinVersion: 2}}
	}
	plan := func(p Planner) string {
		out := ""
		for _, s := range p.Plan(waiting(), engines, 0) {
			out += string(rune('0'+s.Sample.Index)) + s.Engine + " "
		}
		return out
	}
	g.Expect(plan(Planner{})).To(Equal("2old 1slow "))
	g.Expect(plan(Planner{ArrivalOrder: true})).To(Equal("1old 2slow "))
	g.Expect(plan(Planner{IgnoreSpeed: true, IgnoreScarceVersions: true})).To(Equal("2slow 1old "))
}

func TestPlanRoundRobin(t *testing.T) {
	g := NewWithT(t)
	engines := []Engine{{ID: "a", Version: 1, Slots: 2}, {ID: "b", Version: 2, Slots: 1}}
	waiting := []WaitingSample{{Index: 1, Remaining: 1}, {Index: 2, MinVersion: 2, Remaining: 9}, {Index: 3, NotBefore: time.Hour}, {Index: 4}, {Index: 5}}
	var got []string
	for _, s := range PlanRoundRobin(waiting, engines, 0) {
		got = append(got, string(rune('0'+s.Sample.Index))+s.Engine)
	}
	g.Expect(got).To(Equal([]string{"1a", "2b", "4a"}))
	g.Expect(PlanRoundRobin(waiting, nil, 0)).To(BeEmpty())
}

func TestGapsAtEqualLoad(t *testing.T) {
	g := NewWithT(t)
	g.Expect(UnloadedGap(1168*time.Microsecond, 8)).To(BeNumerically("~", time.Millisecond, time.Microsecond))
	g.Expect(UnloadedGap(time.Millisecond, 1)).To(Equal(time.Millisecond))
	g.Expect(UnloadedGap(time.Millisecond, 0)).To(Equal(time.Millisecond))
	paces := []EngineGap{{"a", 40 * time.Millisecond}, {"b", 52 * time.Millisecond}, {"c", 40 * time.Millisecond}, {"d", 0}}
	g.Expect(RelativeGaps(paces)).To(Equal(map[string]float64{"a": 1, "b": 1.3, "c": 1}))
	g.Expect(RelativeGaps([]EngineGap{{"a", 0}})).To(BeEmpty())
}

func TestSlowEngines(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, c := range []struct {
		name string
		gaps []time.Duration
		want []string
	}{
		{"a single engine", []time.Duration{ms(200)}, nil},
		{"a full engine among empty ones", []time.Duration{ms(42), ms(30), ms(30)}, nil},
		{"one slow engine of three", []time.Duration{ms(150), ms(40), ms(42)}, []string{"a"}},
		{"one slow engine of two", []time.Duration{ms(40), ms(150)}, []string{"b"}},
		{"unknown gaps", []time.Duration{0, ms(150), 0}, nil},
		{"all engines equally slow", []time.Duration{ms(150), ms(150), ms(150)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var paces []EngineGap
			for i, gap := range c.gaps {
				paces = append(paces, EngineGap{Engine: string(rune('a' + i)), Gap: gap})
			}
			NewWithT(t).Expect(SlowEngines(paces)).To(Equal(c.want))
		})
	}
}
