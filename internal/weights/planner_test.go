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

// planner is what the simulation drives: ours or the naive one.
type planner interface {
	Step(Input, time.Time) []Order
	Finished(Order, bool, time.Time)
}

// naivePlanner loads everywhere at once and switches whatever is loaded.
type naivePlanner struct{ flight map[ident.Upstream]bool }

func (n *naivePlanner) Step(in Input, _ time.Time) (orders []Order) {
	for _, e := range in.Engines {
		if n.flight[e.Name] || !e.Mine || !e.usable() || e.Serving >= in.Newest || in.Newest == 0 {
			continue
		}
		n.flight[e.Name] = true
		kind := Load
		if slices.Contains(e.Loaded, in.Newest) {
			kind = Switch
		}
		orders = append(orders, Order{kind, e.Name, in.Newest})
	}
	return orders
}

func (n *naivePlanner) Finished(o Order, _ bool, _ time.Time) { n.flight[o.Engine] = false }

// running is an order that an engine works on.
type running struct {
	order Order
	by    int
	ends  time.Time
	ok    bool
}

// group simulates engines, half of them ordered by each of two daemons, whose
// reports are a second old.
type group struct {
	rng       *rand.Rand
	engines   []Engine
	past      [][]Engine
	planners  []planner
	running   []running
	failing   float64 // share of orders that fail
	rate      float64 // loads that the store lets through a second, 0: all
	tokens    float64
	refused   int // loads that it refused
	loads     int // most at a time
	switching int // most at a time
	trace     strings.Builder
	interval  time.Duration // between publications, as told to the planners; 0: a minute
	keep      int           // versions that an engine's memory holds, 0: all
	lag       ident.Version // most that an engine served behind the newest, from lagFrom on
	lagFrom   time.Duration
}

func newGroup(seed uint64, engines int, planners ...planner) *group {
	g := &group{rng: rand.New(rand.NewPCG(seed, 5)), planners: planners}
	for i := range engines {
		g.engines = append(g.engines, Engine{Name: ident.Upstream(fmt.Sprintf("e%02d", i)), Serving: 1, Loaded: []ident.Version{1}, Up: true})
	}
	return g
}

func (g *group) run(newest func(time.Duration) ident.Version, d time.Duration, weight float64) {
	GinkgoHelper()
	for t := time.Duration(0); t < d; t += tick {
		now := start.Add(t)
		g.tokens = min(g.tokens+g.rate*tick.Seconds(), 2)
		g.finish(now, t)
		snapshot := make([]Engine, len(g.engines))
		for i, e := range g.engines {
			e.Loaded = slices.Clone(e.Loaded)
			snapshot[i] = e
		}
		g.past = append(g.past, snapshot)
		seen := g.past[max(0, len(g.past)-10)]
		for by, p := range g.planners {
			view := slices.Clone(seen)
			for i := range view {
				view[i].Mine = i%len(g.planners) == by
			}
			in := Input{Engines: view, Newest: newest(t), Interval: cmp.Or(g.interval, time.Minute), StalenessWeight: weight}
			for _, o := range p.Step(in, now) {
				g.start(o, by, now, t)
			}
		}
		g.count()
		for i := range g.engines {
			if t >= g.lagFrom {
				g.lag = max(g.lag, newest(t)-g.engines[i].Serving)
			}
		}
	}
}

func (g *group) engine(name ident.Upstream) *Engine {
	i := slices.IndexFunc(g.engines, func(e Engine) bool { return e.Name == name })
	return &g.engines[i]
}

func (g *group) start(o Order, by int, now time.Time, t time.Duration) {
	GinkgoHelper()
	e := g.engine(o.Engine)
	Expect(o.Version).To(BeNumerically(">=", e.Serving), "an order below the serving version")
	Expect(e.Leaving || !e.Up).To(BeFalse(), "an order to an engine that leaves or is down")
	busy := slices.ContainsFunc(g.running, func(r running) bool { return r.order.Engine == o.Engine })
	Expect(busy).To(BeFalse(), "two orders at a time")
	took := 500 * time.Millisecond
	if o.Kind == Load {
		took = 3 * time.Second
	}
	ok := g.rng.Float64() >= g.failing
	if o.Kind == Load && g.rate > 0 {
		if g.tokens--; g.tokens < 0 {
			g.tokens, ok, took = 0, false, 300*time.Millisecond
			g.refused++
		}
	}
	g.running = append(g.running, running{o, by, now.Add(took), ok})
	fmt.Fprintf(&g.trace, "%5.1fs %s %s v%s\n", t.Seconds(), o.Kind, o.Engine, o.Version)
}

func (g *group) finish(now time.Time, t time.Duration) {
	g.running = slices.DeleteFunc(g.running, func(r running) bool {
		if now.Before(r.ends) {
			return false
		}
		e := g.engine(r.order.Engine)
		switch {
		case !r.ok:
			fmt.Fprintf(&g.trace, "%5.1fs failed %s\n", t.Seconds(), r.order.Engine)
		case r.order.Kind == Load:
			e.Loaded = append(e.Loaded, r.order.Version)
			if g.keep > 0 && len(e.Loaded) > g.keep {
				i := slices.IndexFunc(e.Loaded, func(v ident.Version) bool { return v != e.Serving })
				e.Loaded = slices.Delete(e.Loaded, i, i+1)
			}
		default:
			e.Serving = r.order.Version
		}
		g.planners[r.by].Finished(r.order, r.ok, now)
		return true
	})
}

func (g *group) count() {
	loads, switches := 0, 0
	for _, r := range g.running {
		if r.order.Kind == Load {
			loads++
		} else {
			switches++
		}
	}
	g.loads, g.switching = max(g.loads, loads), max(g.switching, switches)
}

func (g *group) serving(v ident.Version) int {
	n := 0
	for _, e := range g.engines {
		if e.Serving == v {
			n++
		}
	}
	return n
}

func always(v ident.Version) func(time.Duration) ident.Version {
	return func(time.Duration) ident.Version { return v }
}

var _ = Describe("Planner", func() {
	ours := func() planner { return New(Options{}) }

	// A step stalls at each publication, because all engines of its group switch at the
	// same moment, and the weight store refuses because all load at once.
	It("keeps loads and switches within their bounds where the naive planner doesn't", func() {
		g := newGroup(1, 16, ours(), ours())
		g.run(always(2), 2*time.Minute, 1)
		Expect(g.serving(2)).To(Equal(16))
		Expect(g.loads).To(BeNumerically("<=", 2*defaultMaxLoads))
		Expect(g.switching).To(BeNumerically("<=", 16/4))

		naive := newGroup(1, 16, &naivePlanner{map[ident.Upstream]bool{}}, &naivePlanner{map[ident.Upstream]bool{}})
		naive.run(always(2), 2*time.Minute, 1)
		Expect(naive.serving(2)).To(Equal(16))
		Expect(naive.loads).To(BeNumerically(">", 2*defaultMaxLoads))
		Expect(naive.switching).To(BeNumerically(">", 16/4))
	})

	It("ends where the naive planner ends, over random failures and versions", func() {
		for seed := range uint64(40) {
			newest := func(t time.Duration) ident.Version { return ident.Version(2 + min(t/(30*time.Second), 3)) }
			g := newGroup(seed, 13, ours(), ours())
			naive := newGroup(seed, 13, &naivePlanner{map[ident.Upstream]bool{}})
			g.failing, naive.failing = 0.2, 0.2
			g.run(newest, 6*time.Minute, 0.5)
			naive.run(newest, 6*time.Minute, 0.5)
			Expect(g.serving(5)).To(Equal(13), "seed %d\n%s", seed, g.trace.String())
			Expect(naive.serving(5)).To(Equal(13))
		}
	})

	// Versions come a minute apart, and the store lets a tenth of the group through each
	// second. Loads begin with the publication, none waits for its part of the minute,
	// and the store isn't flooded: the second version meets less refusals.
	It("loads at once, at the pace that the store lets through", func() {
		newest := func(t time.Duration) ident.Version { return ident.Version(2 + t/time.Minute) }
		daemons := func() []planner { return []planner{ours(), ours(), ours(), ours()} }
		free := newGroup(3, 40, daemons()...)
		free.run(always(2), 15*time.Second, 1)
		Expect(free.serving(2)).To(BeNumerically(">", 0))
		Expect(free.trace.String()).To(HavePrefix("  0.0s load"))

		limited := newGroup(3, 40, daemons()...)
		limited.rate = 4
		limited.run(newest, time.Minute, 1)
		Expect(limited.serving(2)).To(Equal(40))
		first := limited.refused
		Expect(first).To(BeNumerically("<", 40))

		naive := newGroup(3, 40, &naivePlanner{map[ident.Upstream]bool{}})
		naive.rate = 4
		naive.run(newest, time.Minute, 1)
		Expect(naive.serving(2)).To(Equal(40))
		Expect(naive.refused).To(BeNumerically(">", 4*first))
	})

	// A trainer publishes every six seconds and allows one version of staleness. Its step
	// can't begin while engines serve the version before the last, yet the delay for
	// running steps began anew with each version: it waited for 18 s.
	It("switches at once when no sample may begin on what engines serve", func() {
		in := Input{Newest: 2, Interval: 30 * time.Second, Engines: []Engine{
			{Name: "a", Serving: 1, Loaded: []ident.Version{1, 2}, Up: true, Mine: true},
			{Name: "b", Serving: 1, Loaded: []ident.Version{1}, Up: true},
		}}
		p := New(Options{})
		Expect(p.Step(in, start)).To(BeEmpty(), "half of the group lacks it")
		in.Newest, in.Needed = 3, 2
		Expect(p.Step(in, start.Add(tick))).To(Equal([]Order{{Switch, "a", 2}}), "and no load before it")
	})

	It("doesn't hurry a group because one engine's swaps fail", func() {
		in := Input{Newest: 3, Needed: 2}
		for _, name := range []ident.Upstream{"a", "b", "c", "d"} {
			in.Engines = append(in.Engines, Engine{Name: name, Serving: 2, Loaded: []ident.Version{2}, Up: true, Mine: true})
		}
		in.Engines[0].Serving = 1
		in.Engines[1].Loaded = []ident.Version{2, 3}
		p := New(Options{})
		Expect(p.Step(in, start)).NotTo(ContainElement(HaveField("Kind", Switch)))
		in.Engines[2].Serving = 1
		Expect(p.Step(in, start.Add(tick))).To(ContainElement(Order{Switch, "b", 3}))
	})

	It("holds all loads back as long as an engine asks for", func() {
		p := New(Options{})
		in := Input{Newest: 2, Engines: []Engine{{Name: "a", Serving: 1, Up: true, Mine: true}}}
		p.HoldLoads(start.Add(time.Second))
		Expect(p.Step(in, start)).To(BeEmpty())
		Expect(p.Step(in, start.Add(time.Second))).To(HaveLen(1))
	})

	It("serves versions that follow each other faster than the delay", func() {
		g := newGroup(7, 4, ours(), ours())
		g.run(func(t time.Duration) ident.Version { return ident.Version(2 + t/(8*time.Second)) }, time.Minute, 0)
		for _, e := range g.engines {
			Expect(e.Serving).To(BeNumerically(">=", 5))
		}
	})

	// Versions come every 0.8 s, loads take 3 s. No version is ever held by three
	// quarters of the group, since each load brings what is newest at its start: the
	// ready version moved on before the engines that held it could switch, and some
	// served version 1 for a minute.
	DescribeTable("keeps up with versions that follow each other faster than a load", func(engines int, weight float64, most int) {
		for seed := range uint64(20) {
			g := newGroup(seed, engines, ours(), ours())
			g.interval, g.keep, g.lagFrom = 800*time.Millisecond, 3, 20*time.Second
			newest := func(t time.Duration) ident.Version { return ident.Version(2 + t/g.interval) }
			g.rate = 4
			g.run(newest, time.Minute, weight)
			Expect(g.lag).To(BeNumerically("<=", most), "seed %d\n%s", seed, g.trace.String())
		}
	},
		Entry("four engines", 4, 0.0, 15),
		Entry("four engines, staleness first", 4, 1.0, 15),
		Entry("sixteen engines, eight loads at a time", 16, 0.5, 25),
	)

	It("doesn't load again what an engine serves and its report doesn't show yet", func() {
		p := New(Options{})
		in := Input{Newest: 2, StalenessWeight: 1, Engines: []Engine{{Name: "a", Serving: 1, Loaded: []ident.Version{1}, Up: true, Mine: true}}}
		for _, kind := range []Kind{Load, Switch} {
			Expect(p.Step(in, start)).To(Equal([]Order{{kind, "a", 2}}))
			p.Finished(Order{kind, "a", 2}, true, start)
		}
		Expect(p.Step(in, start.Add(defaultSettleTime-1))).To(BeEmpty())
	})

	// The fourth of four engines served version 1 while the others were at 20: turns
	// went by name, and the first had a newer version each time it was asked.
	It("gives the next turn to the engine that is furthest behind", func() {
		p := New(Options{})
		in := Input{Newest: 6, StalenessWeight: 1, Engines: []Engine{
			{Name: "a", Serving: 5, Loaded: []ident.Version{5, 6}, Up: true, Mine: true},
			{Name: "b", Serving: 1, Loaded: []ident.Version{1, 6}, Up: true, Mine: true},
		}}
		Expect(p.Step(in, start)).To(Equal([]Order{{Switch, "b", 6}}))
	})

	It("switches a whole group that has loaded within ten seconds", func() {
		g := newGroup(1, 40, ours(), ours())
		for i := range g.engines {
			g.engines[i].Loaded = append(g.engines[i].Loaded, 2)
		}
		g.run(always(2), defaultSwitchWithin+2*time.Second, 1)
		Expect(g.serving(2)).To(Equal(40))
	})

	// A swap fails on one engine each time. Its old version goes on, and the others
	// don't wait for it.
	It("passes an engine whose orders fail, backs off and never goes below what it serves", func() {
		p := New(Options{})
		in := Input{Newest: 2, StalenessWeight: 1, Engines: []Engine{
			{Name: "a", Serving: 1, Loaded: []ident.Version{1, 2}, Up: true, Mine: true},
			{Name: "b", Serving: 1, Loaded: []ident.Version{1, 2}, Up: true, Mine: true},
			{Name: "c", Serving: 3, Loaded: []ident.Version{3}, Up: true, Mine: true},
			{Name: "d", Serving: 1, Up: true, Leaving: true, Mine: true},
		}}
		attempts, others := 0, 0
		for t := time.Duration(0); t < time.Minute; t += tick {
			for _, o := range p.Step(in, start.Add(t)) {
				Expect(o).To(HaveField("Kind", Switch))
				p.Finished(o, o.Engine == "b", start.Add(t))
				switch o.Engine {
				case "a":
					attempts++
				case "b":
					others++
				default:
					Fail("order to " + string(o.Engine))
				}
			}
		}
		Expect(attempts).To(BeNumerically("~", 6, 2))
		Expect(others).To(BeNumerically(">", 0))
	})

	It("gives running steps time when staleness weighs little, but only so much", func() {
		first := func(weight float64) string {
			g := newGroup(1, 1, ours())
			g.engines[0].Loaded = []ident.Version{1, 2}
			g.run(always(2), time.Minute, weight)
			return strings.Fields(g.trace.String())[0]
		}
		Expect(first(1)).To(Equal("0.0s"))
		Expect(first(0.5)).To(Equal("10.0s"))
		Expect(first(0)).To(Equal("20.0s"))
	})

	It("estimates the interval between publications", func() {
		var i Interval
		i.Observe(5, start)
		Expect(i.Estimate()).To(BeZero())
		i.Observe(7, start.Add(4*time.Minute))
		i.Observe(6, start.Add(5*time.Minute))
		Expect(i.Estimate()).To(Equal(2 * time.Minute))
	})

	It("replays a recorded session to the byte", func() {
		g := newGroup(11, 8, ours(), ours())
		g.failing = 0.2
		g.run(func(t time.Duration) ident.Version { return ident.Version(2 + t/(40*time.Second)) }, 2*time.Minute, 0.7)
		golden.Expect("session.golden", g.trace.String())
	})
})
