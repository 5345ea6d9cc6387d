package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestDecide(t *testing.T) {
	e := func(id string, version int64, running int) Engine {
		return Engine{ID: id, Version: version, Running: running, Slots: 16, Usable: true}
	}
	loading := func(e Engine) Engine { e.Loading = true; return e }
	unusable := func(e Engine) Engine { e.Usable = false; return e }
	for _, c := range []struct {
		name string
		in   Input
		want Plan
	}{
		{"nothing published", Input{Engines: []Engine{e("a", 0, 0)}}, Plan{}},
		{"idle: two load at a time", Input{Newest: 2, Engines: []Engine{e("a", 1, 0), e("b", 1, 0), e("c", 1, 0)}}, Plan{Load: []string{"a", "b"}}},
		{"idle: one is already loading", Input{Newest: 2, Engines: []Engine{loading(e("a", 1, 0)), e("b", 1, 0), e("c", 1, 0)}}, Plan{Load: []string{"b"}}},
		{"samples wait: eligible engines don't load", Input{Newest: 2, MinVersion: 1, Waiting: 5, Active: true, Engines: []Engine{e("a", 1, 16), e("b", 1, 16)}}, Plan{}},
		{"samples wait: an outdated engine loads", Input{Newest: 2, MinVersion: 2, Waiting: 5, Active: true, Engines: []Engine{e("a", 1, 0), e("b", 2, 16)}}, Plan{Load: []string{"a"}}},
		{"all engines are outdated: two load", Input{Newest: 2, MinVersion: 2, Waiting: 5, Active: true, Engines: []Engine{e("a", 1, 3), e("b", 1, 0), e("c", 1, 0)}}, Plan{Load: []string{"b", "c"}}},
		{"end of a step: the idle engine loads", Input{Newest: 2, Active: true, Engines: []Engine{e("a", 1, 2), e("b", 1, 0)}}, Plan{Load: []string{"b"}}},
		{"end of a step: the fewest samples are evicted", Input{Newest: 2, Active: true, Engines: []Engine{e("a", 1, 4), e("b", 1, 2), e("c", 1, 3)}}, Plan{Evict: []string{"b"}}},
		{"outdated, with samples of the step before: they are evicted", Input{Newest: 3, MinVersion: 3, Waiting: 5, Active: true, Engines: []Engine{e("a", 1, 2), e("b", 3, 9), e("c", 3, 9)}}, Plan{Evict: []string{"a"}}},
		{"outdated, with more samples than fit elsewhere: they end there", Input{Newest: 3, MinVersion: 3, Waiting: 5, Active: true, Engines: []Engine{e("a", 1, 2), e("b", 3, 16), e("c", 3, 15)}}, Plan{Load: []string{"a"}}},
		{"outdated, and the other engine is older still: both load", Input{Newest: 3, MinVersion: 3, Waiting: 5, Active: true, Engines: []Engine{e("a", 2, 2), e("b", 1, 0)}}, Plan{Load: []string{"b", "a"}}},
		{"no free slots elsewhere", Input{Newest: 2, Active: true, Engines: []Engine{e("a", 1, 16), e("b", 1, 2)}}, Plan{}},
		{"one load at a time while a step runs", Input{Newest: 2, Active: true, Engines: []Engine{loading(e("a", 1, 0)), e("b", 1, 0)}}, Plan{}},
		{"an unusable engine gets no order", Input{Newest: 2, Engines: []Engine{unusable(e("a", 1, 0))}}, Plan{}},
		{"new enough for the next step", Input{Newest: 5, NextMinVersion: 4, Engines: []Engine{e("a", 4, 0), e("b", 5, 0)}}, Plan{}},
		{"too old for the next step, whose version has been published", Input{Newest: 5, NextMinVersion: 4, Engines: []Engine{e("a", 3, 0), e("b", 4, 0)}}, Plan{Load: []string{"a"}}},
		{"enough are ready: the last one waits for the next version", Input{Newest: 4, NextMinVersion: 4, Active: true, Engines: []Engine{e("a", 3, 0), e("b", 4, 2), e("c", 4, 1)}}, Plan{}},
		{"too few are ready", Input{Newest: 4, NextMinVersion: 4, Active: true, Engines: []Engine{e("a", 3, 0), e("b", 3, 2), e("c", 4, 1)}}, Plan{Load: []string{"a"}}},
		{"one is ready: one of the other two loads", Input{Newest: 4, NextMinVersion: 4, Engines: []Engine{e("a", 3, 0), e("b", 3, 0), e("c", 4, 0)}}, Plan{Load: []string{"a"}}},
		{"enough are ready: none is evicted", Input{Newest: 4, NextMinVersion: 4, Active: true, Engines: []Engine{e("a", 3, 3), e("b", 4, 2), e("c", 4, 1)}}, Plan{}},
		{"all have it", Input{Newest: 2, Engines: []Engine{e("a", 2, 0)}}, Plan{}},
	} {
		t.Run(c.name, func(t *testing.T) { NewWithT(t).Expect(Decide(c.in)).To(Equal(c.want)) })
	}
}

// A version is published while long samples of a step run on every engine. If loads had to
// wait for them, or samples had to move for each load, the next step would find no engine
// with new weights for seconds. A full engine whose samples keep running loses nothing by
// a load, so full engines load first.
func TestDecideWithRetainedRuns(t *testing.T) {
	e := func(id string, version int64, running int) Engine {
		return Engine{ID: id, Version: version, Running: running, Slots: 8, Usable: true}
	}
	loading := func(e Engine) Engine { e.Loading = true; return e }
	for _, c := range []struct {
		name string
		in   Input
		want []string
	}{
		{"full engines load while samples wait", Input{Newest: 2, MinVersion: 1, Waiting: 9, Active: true, Engines: []Engine{e("a", 1, 3), e("b", 1, 8), e("c", 1, 8)}}, []string{"b"}},
		{"an engine with free slots doesn't load", Input{Newest: 2, MinVersion: 1, Waiting: 9, Active: true, Engines: []Engine{e("a", 1, 3), e("b", 2, 8), e("c", 2, 8)}}, nil},
		{"an outdated engine loads", Input{Newest: 3, MinVersion: 3, Waiting: 9, Active: true, Engines: []Engine{e("a", 2, 8), e("b", 3, 8), loading(e("c", 3, 0))}}, nil},
		{"the oldest version first", Input{Newest: 3, MinVersion: 3, Waiting: 9, Active: true, Engines: []Engine{e("a", 2, 8), e("b", 1, 1), e("c", 2, 8)}}, []string{"b", "a"}},
		{"new enough for the next step: no load", Input{Newest: 5, NextMinVersion: 4, Active: true, Engines: []Engine{e("a", 4, 8), e("b", 4, 8)}}, nil},
		{"all have it", Input{Newest: 2, Engines: []Engine{e("a", 2, 0)}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			c.in.Retain = true
			plan := Decide(c.in)
			g.Expect(plan.Load).To(Equal(c.want))
			g.Expect(plan.Evict).To(BeEmpty())
		})
	}
}

// Guards against a fixed limit on loads. A model has sixteen engines, and its next step may
// not use the weights of any of them. With one load at a time, as for three engines, the
// step found four engines with new weights where it needed sixteen, and half of its samples
// began six seconds late.
func TestConcurrentLoadsScaleWithEngines(t *testing.T) {
	engines := func(n int, version int64) []Engine {
		var out []Engine
		for i := range n {
			out = append(out, Engine{ID: fmt.Sprintf("e%02d", i), Version: version, Slots: 8, Usable: true})
		}
		return out
	}
	fresh := Engine{ID: "fresh", Version: 3, Running: 8, Slots: 8, Usable: true}
	for _, c := range []struct {
		name    string
		in      Input
		loads   int
		engines int
	}{
		{"three, step waiting", Input{Newest: 3, MinVersion: 3, Waiting: 9, Active: true, Engines: append(engines(2, 1), fresh)}, 1, 3},
		{"three, idle", Input{Newest: 3, Engines: engines(3, 1)}, 2, 3},
		{"sixteen, step waiting", Input{Newest: 3, MinVersion: 3, Waiting: 99, Active: true, Engines: append(engines(15, 1), fresh)}, 4, 16},
		{"sixteen, idle", Input{Newest: 3, Engines: engines(16, 1)}, 4, 16},
		{"230, idle", Input{Newest: 3, Engines: engines(230, 1)}, 57, 230},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.in.Engines).To(HaveLen(c.engines))
			g.Expect(Decide(c.in).Load).To(HaveLen(c.loads))
		})
	}
}

func TestDecideAtOnce(t *testing.T) {
	g := NewWithT(t)
	in := Input{Newest: 3, Active: true, Waiting: 9, Engines: []Engine{{ID: "a", Version: 2, Usable: true, Running: 4}, {ID: "b", Version: 3, Usable: true},
		{ID: "c", Version: 1, Usable: true}, {ID: "d", Version: 1, Loading: true, Usable: true}}}
	g.Expect(DecideWithoutLimits(in)).To(Equal(Plan{Load: []string{"c", "a"}}))
}

// A version is published at the beginning of a step whose samples fill every engine for
// seconds. If engines loaded only when no sample waits, half of them would serve weights
// that are too old when the next step begins.
func TestLargeGroupLoadsWhileSamplesWait(t *testing.T) {
	full := func(n int) []Engine {
		var out []Engine
		for i := range n {
			out = append(out, Engine{ID: fmt.Sprintf("e%02d", i), Version: 2, Running: 8, Slots: 8, Usable: true})
		}
		return out
	}
	changeFirst := func(engines []Engine, n int, change func(*Engine)) []Engine {
		for i := range n {
			change(&engines[i])
		}
		return engines
	}
	in := func(engines []Engine) Input {
		return Input{Newest: 3, MinVersion: 2, NextMinVersion: 3, Waiting: 50, Active: true, Engines: engines}
	}
	evicted := func(e *Engine) { e.Evicted = true }
	loading := func(e *Engine) { e.Loading, e.Running = true, 0 }
	for _, c := range []struct {
		name string
		in   Input
		want Plan
	}{
		{"the first engine is evicted", in(full(16)), Plan{Evict: []string{"e00"}}},
		{"two are evicted: so is the next", in(changeFirst(full(16), 2, evicted)), Plan{Evict: []string{"e02"}}},
		{"a quarter is evicted: no more", in(changeFirst(full(16), 4, evicted)), Plan{}},
		{"a quarter is loading: no more", in(changeFirst(full(16), 4, loading)), Plan{}},
		{"an evicted engine that has become idle loads", in(changeFirst(full(16), 1, func(e *Engine) { e.Evicted, e.Running = true, 0 })), Plan{Load: []string{"e00"}}},
		{"a model with few engines", in(full(3)), Plan{}},
	} {
		t.Run(c.name, func(t *testing.T) { NewWithT(t).Expect(Decide(c.in)).To(Equal(c.want)) })
	}
}

// engineAddresses returns the addresses of n engines.
func engineAddresses(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("10.0.0.", i, ":1"))
	}
	return out
}

func TestSplit(t *testing.T) {
	g := NewWithT(t)
	engines := engineAddresses(10)
	models := []string{"c", "a", "b"}
	all := Split(engines, models, nil, 0)
	seen := map[string]string{}
	for m, list := range all {
		g.Expect(len(list)).To(BeNumerically("~", 3.5, 0.5), m)
		for _, e := range list {
			g.Expect(seen).NotTo(HaveKey(e))
			seen[e] = m
		}
	}
	g.Expect(seen).To(HaveLen(10))
	moved := 0
	for m, list := range Split(engines[1:], models, nil, 0) {
		for _, e := range list {
			if seen[e] != m {
				moved++
			}
		}
	}
	g.Expect(moved).To(BeNumerically("<=", 2), "the loss of one engine moves few others")
	g.Expect(Split(engines, nil, nil, 0)).To(BeEmpty())
	for m, list := range Split(nil, models, nil, 0) {
		g.Expect(list).To(BeEmpty(), m)
	}
}

// Guards against equal numbers of engines for models of unequal demand. When two models had
// twice the samples of the others in a step, their last samples began only when the steps
// of the others were half done.
func TestSplitFollowsDemand(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		demand  map[string]int
		want    []int // of a, b, c, d
	}{
		{"equal", 9, nil, []int{3, 2, 2, 2}},
		{"by demand", 45, map[string]int{"a": 128, "b": 192, "c": 192, "d": 112}, []int{9, 14, 14, 8}},
		{"unknown demand of one model", 12, map[string]int{"a": 2, "b": 4}, []int{2, 4, 3, 3}},
		{"at least one each", 6, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1000}, []int{1, 1, 1, 3}},
		{"fewer engines than models: shared by all", 3, map[string]int{"a": 1, "b": 1, "c": 1, "d": 9}, []int{3, 3, 3, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			split := Split(engineAddresses(c.engines), []string{"a", "b", "c", "d"}, c.demand, 0)
			var got []int
			for _, m := range []string{"a", "b", "c", "d"} {
				got = append(got, len(split[m]))
			}
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

func TestSmallDemandChangesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	assignments := NewPartitionAssignments(12)
	assignments.Apply(PartitionAssignment{Model: "m", Partition: 1, BatchSize: 100})
	assignments.Apply(PartitionAssignment{Model: "m", Partition: 1, BatchSize: 120})
	assignments.Apply(PartitionAssignment{Model: "m", Partition: 1})
	g.Expect(assignments.Demand()).To(Equal(map[string]int{"m": 100}))
	assignments.Apply(PartitionAssignment{Model: "m", Partition: 1, BatchSize: 60})
	g.Expect(assignments.Demand()).To(Equal(map[string]int{"m": 60}))
}

// A VM freezes after it claimed an engine, and another VM claims the engine. When the first
// VM continues, it needs a new claim to order the engine, and may append that only after
// the lease. Otherwise the engine would get orders of two holders within the lease.
func TestClaimBlocksOtherVMsForTheLease(t *testing.T) {
	g := NewWithT(t)
	const lease = 3 * time.Second
	c := NewClaims("me", lease)
	g.Expect(c.BlockedFor("e", 0)).To(BeZero())
	c.Apply(4, Claim{Subject: "e", Holder: "other"}, time.Second)
	g.Expect(c.BlockedFor("e", time.Second)).To(Equal(ClaimTTL + lease + TransitMargin))
	g.Expect(c.BlockedFor("e", time.Second+ClaimTTL+lease+TransitMargin)).To(BeZero())
	g.Expect(c.BlockedFor("another", time.Second)).To(BeZero())
	c.Apply(5, Claim{Subject: "e", Holder: "me", NextOffset: 5}, 2*time.Second)
	g.Expect(c.BlockedFor("e", 2*time.Second)).To(BeZero())
	holder, offset, ok := c.Holder("e")
	g.Expect(holder).To(Equal("me"))
	g.Expect(offset).To(Equal(int64(5)))
	g.Expect(ok).To(BeTrue())
	c.DropOld(3 * time.Second)
	_, _, ok = c.Holder("e")
	g.Expect(ok).To(BeTrue(), "it may still block others")
	c.DropOld(time.Minute)
	_, _, ok = c.Holder("e")
	g.Expect(ok).To(BeTrue(), "kept for queries by operators")
	g.Expect(c.Age("e", time.Minute)).To(Equal(58 * time.Second))
	c.DropOld(2*time.Second + claimRetention + time.Millisecond)
	_, _, ok = c.Holder("e")
	g.Expect(ok).To(BeFalse())
}

// Guards against two VMs that both hold an engine because each claimed it before it had read
// the other's claim.
func TestClaimAfterUnreadClaimIsVoid(t *testing.T) {
	g := NewWithT(t)
	for _, self := range []string{"a", "b", "c"} {
		c := NewClaims(self, time.Second)
		c.Apply(7, Claim{Subject: "e", Holder: "a", NextOffset: 7, Nonce: 1}, 0)
		c.Apply(8, Claim{Subject: "e", Holder: "b", NextOffset: 7, Nonce: 2}, 0)
		c.Apply(9, Claim{Subject: "f", Holder: "b", NextOffset: 7, Nonce: 3}, 0)
		c.Apply(10, Claim{Subject: "e", Holder: "a", NextOffset: 7, Nonce: 4}, 0)
		holder, offset, _ := c.Holder("e")
		g.Expect(holder).To(Equal("a"), self)
		g.Expect(offset).To(Equal(int64(10)), self)
		_, holds := c.Holds("e", 2)
		g.Expect(holds).To(BeFalse(), self)
		_, holds = c.Holds("f", 3)
		g.Expect(holds).To(Equal(self == "b"), self)
		c.Apply(11, Claim{Subject: "e", Holder: "b", NextOffset: 11, Nonce: 5}, 0)
		_, holds = c.Holds("e", 5)
		g.Expect(holds).To(Equal(self == "b"), self)
	}
}

// claimSimulation simulates VMs that claim one engine. The VMs read the log with a lag,
// appends are slow or arrive seconds late, and a VM sends an order while its permit allows.
type claimSimulation struct {
	rng    *rand.Rand
	log    []Claim
	orders []sentOrder
}

// sentOrder is an order that a VM has sent.
type sentOrder struct {
	vm string
	at time.Duration
}

// simulatedVM is one VM of a claimSimulation.
type simulatedVM struct {
	name   string
	claims *Claims
	next   int // offset of the next record to read
}

func (s *claimSimulation) catchUp(v *simulatedVM, now time.Duration) {
	for ; v.next < len(s.log); v.next++ {
		v.claims.Apply(int64(v.next), s.log[v.next], now)
	}
}

// Guards against an engine that gets orders of two holders within the lease when reads or
// appends are late.
func TestNoTwoHoldersWithinTheLease(t *testing.T) {
	const lease, tick, sessions = 3 * time.Second, 50 * time.Millisecond, 200
	ordersSent := 0
	for seed := range uint64(sessions) {
		simulation := &claimSimulation{rng: rand.New(rand.NewPCG(seed, 1))}
		var vms []*simulatedVM
		for i := range 4 {
			vms = append(vms, &simulatedVM{name: fmt.Sprint("vm", i), claims: NewClaims(fmt.Sprint("vm", i), lease)})
		}
		scheduled := map[time.Duration][]func(now time.Duration){}
		for now := time.Duration(0); now < 2*time.Minute; now += tick {
			for _, run := range scheduled[now] {
				run(now)
			}
			delete(scheduled, now)
			v := vms[simulation.rng.IntN(len(vms))]
			if simulation.rng.IntN(3) == 0 {
				simulation.catchUp(v, now)
			}
			if simulation.rng.IntN(4) != 0 || v.claims.BlockedFor("e", now) > 0 {
				continue
			}
			claim, start := Claim{Subject: "e", Holder: v.name, NextOffset: int64(v.next), Nonce: simulation.rng.Uint64()}, now
			arrives := now + tick*time.Duration(1+simulation.rng.IntN(4))
			if simulation.rng.IntN(5) == 0 {
				arrives += tick * time.Duration(simulation.rng.IntN(120)) // the answer is lost and the append happens late
			}
			scheduled[arrives] = append(scheduled[arrives], func(time.Duration) { simulation.log = append(simulation.log, claim) })
			answered := arrives + tick*time.Duration(1+simulation.rng.IntN(8))
			scheduled[answered] = append(scheduled[answered], func(now time.Duration) {
				simulation.catchUp(v, now)
				if _, holds := v.claims.Holds("e", claim.Nonce); holds && now < start+ClaimTTL {
					simulation.orders = append(simulation.orders, sentOrder{v.name, now})
				}
			})
		}
		for i := 1; i < len(simulation.orders); i++ {
			a, b := simulation.orders[i-1], simulation.orders[i]
			if a.vm != b.vm && b.at-a.at < lease {
				t.Fatalf("seed %d: %s at %v, %s at %v", seed, a.vm, a.at, b.vm, b.at)
			}
		}
		ordersSent += len(simulation.orders)
	}
	NewWithT(t).Expect(ordersSent).To(BeNumerically(">", 1000))
}

// Guards against two models on one owner, which was too slow for both while other owners had
// no model.
func TestModelsGetDifferentPartitions(t *testing.T) {
	g := NewWithT(t)
	assignments := NewPartitionAssignments(12)
	seen := map[int]bool{}
	for n := range 12 {
		next := assignments.NewAssignment(fmt.Sprint("m", n))
		g.Expect(seen).NotTo(HaveKey(next.Partition))
		seen[next.Partition] = true
		assignments.Apply(next)
	}
	part, ok := assignments.Lookup("m0")
	g.Expect(ok).To(BeTrue())
	assignments.Apply(PartitionAssignment{Model: "m0", Partition: part + 1})
	again, _ := assignments.Lookup("m0")
	g.Expect(again).To(Equal(part), "the first record counts")
	assignments.Apply(PartitionAssignment{Model: "bad", Partition: 12})
	_, ok = assignments.Lookup("bad")
	g.Expect(ok).To(BeFalse())
	g.Expect(assignments.NewAssignment("m12").Partition).To(BeNumerically("<", 12))
	g.Expect(NewPartitionAssignments(1).NewAssignment("m")).To(Equal(PartitionAssignment{Model: "m", Partition: 0}))
}

func TestRecordEncoding(t *testing.T) {
	g := NewWithT(t)
	for _, r := range []Record{{Claim: &Claim{"e", "vm", 9, 7}}, {LoadRequest: &LoadRequest{"e", "m", 3, true, 2}}} {
		data, err := Encode(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Decode(data)).To(Equal(r))
	}
	_, err := Decode([]byte{0xff})
	g.Expect(err).To(MatchError(ErrMalformed))
	assignment := PartitionAssignment{"m", 2, 64}
	data, err := EncodeAssignment(assignment)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(DecodeAssignment(data)).To(Equal(assignment))
	_, err = DecodeAssignment([]byte{0xff})
	g.Expect(err).To(MatchError(ErrMalformed))
}

// Guards against models with more engines than they can use. A deployment has a thousand
// engines for four models with some hundred samples a batch. If all engines were split among
// the models, all of them would load every version, each sample would run on an engine to
// which no connection is open, and versions would wait for needless loads. Where engines
// are scarce, as in a deployment of fifty, the limit changes nothing.
func TestSplitIsLimitedByDemand(t *testing.T) {
	models := []string{"a", "b", "c", "d"}
	demand := map[string]int{"a": 128, "b": 192, "c": 192}
	for _, c := range []struct {
		engines, slots int
		want           map[string]int // engines of a, b and c
	}{
		{1000, 8, map[string]int{"a": 64, "b": 96, "c": 96}},
		{1000, 0, map[string]int{"a": 188, "b": 281, "c": 281}},
		{45, 8, map[string]int{"a": 8, "b": 13, "c": 13}},
	} {
		g := NewWithT(t)
		split := Split(engineAddresses(c.engines), models, demand, c.slots)
		for m, n := range c.want {
			g.Expect(len(split[m])).To(Equal(n), "%d engines of %d slots, model %s", c.engines, c.slots, m)
		}
		g.Expect(split["d"]).NotTo(BeEmpty(), "a model of unknown demand")
		fewer := Split(engineAddresses(c.engines)[1:], models, demand, c.slots)
		for m := range c.want {
			g.Expect(len(fewer[m])).To(BeNumerically(">=", len(split[m])-1))
		}
	}
}
