package weights

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

var start = time.Unix(1000, 0)

const tick = 100 * time.Millisecond

// planner is the planner that the simulation runs: a Planner or a naivePlanner.
type planner interface {
	Plan(Input, time.Time) []Order
	FinishOrder(Order, bool, time.Time)
}

// naivePlanner loads the newest version on all engines at once and switches each engine as
// soon as it has loaded.
type naivePlanner struct{ inFlight map[ident.Upstream]bool }

func (n *naivePlanner) Plan(in Input, _ time.Time) (orders []Order) {
	for _, e := range in.Engines {
		if n.inFlight[e.Name] || !e.MayOrder || !e.usable() || e.Serving >= in.Newest || in.Newest == 0 {
			continue
		}
		n.inFlight[e.Name] = true
		kind := Load
		if slices.Contains(e.Loaded, in.Newest) {
			kind = Switch
		}
		orders = append(orders, Order{kind, e.Name, in.Newest})
	}
	return orders
}

func (n *naivePlanner) FinishOrder(o Order, _ bool, _ time.Time) { n.inFlight[o.Engine] = false }

// runningOrder is an order that an engine is carrying out.
type runningOrder struct {
	order  Order
	daemon int // index of the planner that sent it
	ends   time.Time
	ok     bool
}

// simulatedGroup simulates a group of engines. The daemons hold the leases of equal parts of
// it, and the reports that they see are a second old.
type simulatedGroup struct {
	rng            *rand.Rand
	engines        []Engine
	reports        [][]Engine // states of the engines at each tick so far
	planners       []planner
	running        []runningOrder
	failureRate    float64 // fraction of orders that fail
	storeRate      float64 // loads per second that the weight store allows, 0 for any number
	storeTokens    float64 // loads that the weight store allows now
	loadsRefused   int     // loads that the weight store refused
	maxLoads       int     // most concurrent loads so far
	maxSwitches    int     // most concurrent switches so far
	trace          strings.Builder
	interval       time.Duration // between publications, as told to the planners; 0 for a minute
	memoryVersions int           // versions that an engine keeps in memory, 0 for all
	maxLag         ident.Version // most versions that an engine served behind the newest one, after maxLagFrom
	maxLagFrom     time.Duration
}

func newGroup(seed uint64, engines int, planners ...planner) *simulatedGroup {
	g := &simulatedGroup{rng: rand.New(rand.NewPCG(seed, 5)), planners: planners}
	for i := range engines {
		g.engines = append(g.engines, Engine{Name: ident.Upstream(fmt.Sprintf("e%02d", i)), Serving: 1, Loaded: []ident.Version{1}, Up: true})
	}
	return g
}

func (g *simulatedGroup) run(newest func(time.Duration) ident.Version, d time.Duration, weight float64) {
	GinkgoHelper()
	for t := time.Duration(0); t < d; t += tick {
		now := start.Add(t)
		g.storeTokens = min(g.storeTokens+g.storeRate*tick.Seconds(), 2)
		g.finishOrders(now, t)
		snapshot := make([]Engine, len(g.engines))
		for i, e := range g.engines {
			e.Loaded = slices.Clone(e.Loaded)
			snapshot[i] = e
		}
		g.reports = append(g.reports, snapshot)
		seen := g.reports[max(0, len(g.reports)-10)]
		for by, p := range g.planners {
			view := slices.Clone(seen)
			for i := range view {
				view[i].MayOrder = i%len(g.planners) == by
			}
			in := Input{Engines: view, Newest: newest(t), Interval: cmp.Or(g.interval, time.Minute), StalenessWeight: weight}
			for _, o := range p.Plan(in, now) {
				g.startOrder(o, by, now, t)
			}
		}
		g.updateMaxima()
		for i := range g.engines {
			if t >= g.maxLagFrom {
				g.maxLag = max(g.maxLag, newest(t)-g.engines[i].Serving)
			}
		}
	}
}

func (g *simulatedGroup) engine(name ident.Upstream) *Engine {
	i := slices.IndexFunc(g.engines, func(e Engine) bool { return e.Name == name })
	return &g.engines[i]
}

func (g *simulatedGroup) startOrder(o Order, by int, now time.Time, t time.Duration) {
	GinkgoHelper()
	e := g.engine(o.Engine)
	Expect(o.Version).To(BeNumerically(">=", e.Serving), "order for a version below the one served")
	Expect(e.Leaving || !e.Up).To(BeFalse(), "order to an engine that is leaving or down")
	busy := slices.ContainsFunc(g.running, func(r runningOrder) bool { return r.order.Engine == o.Engine })
	Expect(busy).To(BeFalse(), "second order in flight")
	took := 500 * time.Millisecond
	if o.Kind == Load {
		took = 3 * time.Second
	}
	ok := g.rng.Float64() >= g.failureRate
	if o.Kind == Load && g.storeRate > 0 {
		if g.storeTokens--; g.storeTokens < 0 {
			g.storeTokens, ok, took = 0, false, 300*time.Millisecond
			g.loadsRefused++
		}
	}
	g.running = append(g.running, runningOrder{o, by, now.Add(took), ok})
	fmt.Fprintf(&g.trace, "%5.1fs %s %s v%s\n", t.Seconds(), o.Kind, o.Engine, o.Version)
}

func (g *simulatedGroup) finishOrders(now time.Time, t time.Duration) {
	g.running = slices.DeleteFunc(g.running, func(r runningOrder) bool {
		if now.Before(r.ends) {
			return false
		}
		e := g.engine(r.order.Engine)
		switch {
		case !r.ok:
			fmt.Fprintf(&g.trace, "%5.1fs failed %s\n", t.Seconds(), r.order.Engine)
		case r.order.Kind == Load:
			e.Loaded = append(e.Loaded, r.order.Version)
			if g.memoryVersions > 0 && len(e.Loaded) > g.memoryVersions {
				i := slices.IndexFunc(e.Loaded, func(v ident.Version) bool { return v != e.Serving })
				e.Loaded = slices.Delete(e.Loaded, i, i+1)
			}
		default:
			e.Serving = r.order.Version
		}
		g.planners[r.daemon].FinishOrder(r.order, r.ok, now)
		return true
	})
}

func (g *simulatedGroup) updateMaxima() {
	loads, switches := 0, 0
	for _, r := range g.running {
		if r.order.Kind == Load {
			loads++
		} else {
			switches++
		}
	}
	g.maxLoads, g.maxSwitches = max(g.maxLoads, loads), max(g.maxSwitches, switches)
}

func (g *simulatedGroup) countServing(v ident.Version) int {
	n := 0
	for _, e := range g.engines {
		if e.Serving == v {
			n++
		}
	}
	return n
}

// constantVersion returns a function that returns the same newest version at all times.
func constantVersion(v ident.Version) func(time.Duration) ident.Version {
	return func(time.Duration) ident.Version { return v }
}

var _ = Describe("Planner", func() {
	newPlanner := func() planner { return New(Options{}) }

	// Guards against a step that stalls at each publication because all engines of its group
	// switch at the same time, and against loads that the weight store refuses because all
	// engines load at the same time.
	It("keeps loads and switches within their limits, which the naive planner exceeds", func() {
		g := newGroup(1, 16, newPlanner(), newPlanner())
		g.run(constantVersion(2), 2*time.Minute, 1)
		Expect(g.countServing(2)).To(Equal(16))
		Expect(g.maxLoads).To(BeNumerically("<=", 2*defaultMaxLoads))
		Expect(g.maxSwitches).To(BeNumerically("<=", 16/4))

		naive := newGroup(1, 16, &naivePlanner{map[ident.Upstream]bool{}}, &naivePlanner{map[ident.Upstream]bool{}})
		naive.run(constantVersion(2), 2*time.Minute, 1)
		Expect(naive.countServing(2)).To(Equal(16))
		Expect(naive.maxLoads).To(BeNumerically(">", 2*defaultMaxLoads))
		Expect(naive.maxSwitches).To(BeNumerically(">", 16/4))
	})

	It("ends with the same versions as the naive planner, over random failures", func() {
		for seed := range uint64(40) {
			newest := func(t time.Duration) ident.Version { return ident.Version(2 + min(t/(30*time.Second), 3)) }
			g := newGroup(seed, 13, newPlanner(), newPlanner())
			naive := newGroup(seed, 13, &naivePlanner{map[ident.Upstream]bool{}})
			g.failureRate, naive.failureRate = 0.2, 0.2
			g.run(newest, 6*time.Minute, 0.5)
			naive.run(newest, 6*time.Minute, 0.5)
			Expect(g.countServing(5)).To(Equal(13), "seed %d\n%s", seed, g.trace.String())
			Expect(naive.countServing(5)).To(Equal(13))
		}
	})

	// Versions are published a minute apart, and the weight store allows loads of a tenth of
	// the group per second. Loads start when a version is published and aren't spread over the
	// minute, and few of them exceed the store's rate.
	It("loads at once, at the pace that the weight store allows", func() {
		newest := func(t time.Duration) ident.Version { return ident.Version(2 + t/time.Minute) }
		daemons := func() []planner { return []planner{newPlanner(), newPlanner(), newPlanner(), newPlanner()} }
		free := newGroup(3, 40, daemons()...)
		free.run(constantVersion(2), 15*time.Second, 1)
		Expect(free.countServing(2)).To(BeNumerically(">", 0))
		Expect(free.trace.String()).To(HavePrefix("  0.0s load"))

		limited := newGroup(3, 40, daemons()...)
		limited.storeRate = 4
		limited.run(newest, time.Minute, 1)
		Expect(limited.countServing(2)).To(Equal(40))
		first := limited.loadsRefused
		Expect(first).To(BeNumerically("<", 40))

		naive := newGroup(3, 40, &naivePlanner{map[ident.Upstream]bool{}})
		naive.storeRate = 4
		naive.run(newest, time.Minute, 1)
		Expect(naive.countServing(2)).To(Equal(40))
		Expect(naive.loadsRefused).To(BeNumerically(">", 4*first))
	})

	// A trainer publishes every six seconds and allows a staleness of one version, so its step
	// can't begin while engines serve the version before the last. The delay for running steps
	// started anew with each version, and the step waited for 18 s.
	It("switches at once if the versions served are too old for new samples", func() {
		in := Input{Newest: 2, Interval: 30 * time.Second, Engines: []Engine{
			{Name: "a", Serving: 1, Loaded: []ident.Version{1, 2}, Up: true, MayOrder: true},
			{Name: "b", Serving: 1, Loaded: []ident.Version{1}, Up: true},
		}}
		p := New(Options{})
		Expect(p.Plan(in, start)).To(BeEmpty(), "half of the group hasn't loaded it")
		in.Newest, in.MinVersion = 3, 2
		Expect(p.Plan(in, start.Add(tick))).To(Equal([]Order{{Switch, "a", 2}}), "and no load before the switch")
	})

	It("doesn't make switches urgent because those of one engine fail", func() {
		in := Input{Newest: 3, MinVersion: 2}
		for _, name := range []ident.Upstream{"a", "b", "c", "d"} {
			in.Engines = append(in.Engines, Engine{Name: name, Serving: 2, Loaded: []ident.Version{2}, Up: true, MayOrder: true})
		}
		in.Engines[0].Serving = 1
		in.Engines[1].Loaded = []ident.Version{2, 3}
		p := New(Options{})
		Expect(p.Plan(in, start)).NotTo(ContainElement(HaveField("Kind", Switch)))
		in.Engines[2].Serving = 1
		Expect(p.Plan(in, start.Add(tick))).To(ContainElement(Order{Switch, "b", 3}))
	})

	It("pauses all loads for as long as an engine asks for", func() {
		p := New(Options{})
		in := Input{Newest: 2, Engines: []Engine{{Name: "a", Serving: 1, Up: true, MayOrder: true}}}
		p.PauseLoads(start.Add(time.Second))
		Expect(p.Plan(in, start)).To(BeEmpty())
		Expect(p.Plan(in, start.Add(time.Second))).To(HaveLen(1))
	})

	It("serves versions that are published faster than the switch delay", func() {
		g := newGroup(7, 4, newPlanner(), newPlanner())
		g.run(func(t time.Duration) ident.Version { return ident.Version(2 + t/(8*time.Second)) }, time.Minute, 0)
		for _, e := range g.engines {
			Expect(e.Serving).To(BeNumerically(">=", 5))
		}
	})

	// Versions are published every 0.8 s, and a load takes 3 s. No version is ever held by
	// three quarters of the group, since each load is of the version that is newest when it
	// starts. The ready version changed before the engines that held it could switch, and some
	// served version 1 for a minute.
	DescribeTable("keeps up with versions that are published faster than they load", func(engines int, weight float64, most int) {
		for seed := range uint64(20) {
			g := newGroup(seed, engines, newPlanner(), newPlanner())
			g.interval, g.memoryVersions, g.maxLagFrom = 800*time.Millisecond, 3, 20*time.Second
			newest := func(t time.Duration) ident.Version { return ident.Version(2 + t/g.interval) }
			g.storeRate = 4
			g.run(newest, time.Minute, weight)
			Expect(g.maxLag).To(BeNumerically("<=", most), "seed %d\n%s", seed, g.trace.String())
		}
	},
		Entry("four engines", 4, 0.0, 15),
		Entry("four engines, switching at once", 4, 1.0, 15),
		Entry("sixteen engines, eight loads at a time", 16, 0.5, 25),
	)

	It("doesn't load a version again that an engine serves but doesn't report yet", func() {
		p := New(Options{})
		in := Input{Newest: 2, StalenessWeight: 1, Engines: []Engine{{Name: "a", Serving: 1, Loaded: []ident.Version{1}, Up: true, MayOrder: true}}}
		for _, kind := range []Kind{Load, Switch} {
			Expect(p.Plan(in, start)).To(Equal([]Order{{kind, "a", 2}}))
			p.FinishOrder(Order{kind, "a", 2}, true, start)
		}
		Expect(p.Plan(in, start.Add(defaultSettleTime-1))).To(BeEmpty())
	})

	// Turns were given in the order of names. The first engine had a newer version to switch to
	// each time, and the fourth of four engines served version 1 while the others were at 20.
	It("gives the next turn to the engine that serves the oldest version", func() {
		p := New(Options{})
		in := Input{Newest: 6, StalenessWeight: 1, Engines: []Engine{
			{Name: "a", Serving: 5, Loaded: []ident.Version{5, 6}, Up: true, MayOrder: true},
			{Name: "b", Serving: 1, Loaded: []ident.Version{1, 6}, Up: true, MayOrder: true},
		}}
		Expect(p.Plan(in, start)).To(Equal([]Order{{Switch, "b", 6}}))
	})

	It("switches a whole group within ten seconds once it has loaded", func() {
		g := newGroup(1, 40, newPlanner(), newPlanner())
		for i := range g.engines {
			g.engines[i].Loaded = append(g.engines[i].Loaded, 2)
		}
		g.run(constantVersion(2), defaultSwitchAllAfter+2*time.Second, 1)
		Expect(g.countServing(2)).To(Equal(40))
	})

	// All switches of one engine fail. It keeps serving its old version, and the others don't
	// wait for it.
	It("skips an engine whose orders fail, backs off, and orders no older version than is served", func() {
		p := New(Options{})
		in := Input{Newest: 2, StalenessWeight: 1, Engines: []Engine{
			{Name: "a", Serving: 1, Loaded: []ident.Version{1, 2}, Up: true, MayOrder: true},
			{Name: "b", Serving: 1, Loaded: []ident.Version{1, 2}, Up: true, MayOrder: true},
			{Name: "c", Serving: 3, Loaded: []ident.Version{3}, Up: true, MayOrder: true},
			{Name: "d", Serving: 1, Up: true, Leaving: true, MayOrder: true},
		}}
		failedOrders, others := 0, 0
		for t := time.Duration(0); t < time.Minute; t += tick {
			for _, o := range p.Plan(in, start.Add(t)) {
				Expect(o).To(HaveField("Kind", Switch))
				p.FinishOrder(o, o.Engine == "b", start.Add(t))
				switch o.Engine {
				case "a":
					failedOrders++
				case "b":
					others++
				default:
					Fail("order to " + string(o.Engine))
				}
			}
		}
		Expect(failedOrders).To(BeNumerically("~", 6, 2))
		Expect(others).To(BeNumerically(">", 0))
	})

	It("delays switches for running steps by the staleness weight, within a limit", func() {
		first := func(weight float64) string {
			g := newGroup(1, 1, newPlanner())
			g.engines[0].Loaded = []ident.Version{1, 2}
			g.run(constantVersion(2), time.Minute, weight)
			return strings.Fields(g.trace.String())[0]
		}
		Expect(first(1)).To(Equal("0.0s"))
		Expect(first(0.5)).To(Equal("10.0s"))
		Expect(first(0)).To(Equal("20.0s"))
	})

	It("estimates the interval between publications", func() {
		var i IntervalEstimator
		i.Observe(5, start)
		Expect(i.Estimate()).To(BeZero())
		i.Observe(7, start.Add(4*time.Minute))
		i.Observe(6, start.Add(5*time.Minute))
		Expect(i.Estimate()).To(Equal(2 * time.Minute))
	})

	It("reproduces a recorded session exactly", func() {
		g := newGroup(11, 8, newPlanner(), newPlanner())
		g.failureRate = 0.2
		g.run(func(t time.Duration) ident.Version { return ident.Version(2 + t/(40*time.Second)) }, 2*time.Minute, 0.7)
		golden.Expect("session.golden", g.trace.String())
	})
})
