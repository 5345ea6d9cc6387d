package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// herd sends 400 requests at once while reports stay 2 s old, and returns the
// highest load over the mean.
func herd(size int, pick func(t *routing.Table) ident.Upstream, count bool) float64 {
	t, sent, most := newTable(size), map[ident.Upstream]int{}, 0
	for i := range size {
		t.Report(name(i), i%5, 0, start.Add(-2*time.Second))
	}
	for range 400 {
		u := pick(t)
		sent[u]++
		most = max(most, sent[u])
		if count {
			t.AddOwn(u, 1)
		}
	}
	return float64(most) * float64(size) / 400
}

var _ = Describe("load", func() {
	// Reports come 2 s late. A burst arrives; the upstream that was idle 2 s ago
	// looks idle all the while and gets everything, callers there see their tokens
	// crawl while others idle. Cause: routing by reports alone.
	It("doesn't herd on late reports", func() {
		ours := func(t *routing.Table) ident.Upstream {
			u, _ := t.Pick(routing.Request{}, start)
			return u
		}
		byReports := func(t *routing.Table) ident.Upstream {
			best, _ := t.Member(name(0))
			for i := range t.Len() {
				if u, _ := t.Member(name(i)); u.ReportedRunning < best.ReportedRunning {
					best = u
				}
			}
			return best.Name
		}
		const bound = 2.0
		for _, size := range []int{13, 100} {
			Expect(herd(size, ours, true)).To(BeNumerically("<=", bound))
			Expect(herd(size, byReports, true)).To(BeNumerically(">", bound), "the check must catch the naive one")
		}
	})

	It("doesn't count its own requests twice when a report confirms them", func() {
		t := newTable(3)
		t.Load("u0", start)
		t.AddOwn("u0", 10)
		t.Load("u0", start.Add(time.Second))
		t.AddOwn("u0", -8)
		t.Report("u0", 10, 0, start.Add(500*time.Millisecond))
		Expect(t.Load("u0", start.Add(time.Second))).To(Equal(2.0))
		t.Report("u0", 15, 0, start.Add(time.Second))
		Expect(t.Load("u0", start.Add(time.Second))).To(Equal(7.0))
		Expect(t.Load("u0", start.Add(9*time.Second))).To(Equal(2.0))
	})
})

var _ = Describe("prefixes", func() {
	request := func(p int) routing.Request { return routing.Request{Prefix: uint64(p)*7919 + 1} }

	It("stay where they are, and few move when an upstream is lost", func() {
		for _, size := range []int{13, 522} {
			t, home, moved, lost := newTable(size), map[int]ident.Upstream{}, 0, 0
			for p := range 2000 {
				home[p], _ = t.Pick(request(p), start)
			}
			t.Update("u5", func(u *routing.Upstream) { u.Eligible = false })
			for p := range 2000 {
				u, _ := t.Pick(request(p), start)
				switch {
				case home[p] == "u5":
					lost++
				case u != home[p]:
					moved++
				}
			}
			Expect(moved).To(BeZero())
			Expect(lost).To(BeNumerically("<", 3*2000/size+10))
		}
	})

	// One prompt is in fashion: nearly all requests share its prefix. Their one
	// upstream is swamped while the rest idle. Cause: affinity without a bound.
	It("give way when their upstream is loaded", func() {
		t, sent := newTable(13), map[ident.Upstream]int{}
		for range 130 {
			u, _ := t.Pick(request(1), start)
			t.AddOwn(u, 1)
			sent[u]++
		}
		for _, n := range sent {
			Expect(n).To(BeNumerically("<=", 14))
		}
		Expect(len(sent)).To(BeNumerically(">=", 10))
	})

	// A group's samples share their prompt, so its home does the whole group. If that
	// is the slow engine, the step waits for it. Cause: every upstream is home to as
	// many prefixes, whatever its speed.
	It("give a slow upstream less", func() {
		t, sent := newTable(13), map[ident.Upstream]int{}
		for i := range 13 {
			for range 5 {
				t.ObserveTokenTime(name(i), routing.ClassRollout, time.Duration(20+40*(i/12))*time.Millisecond, 4)
			}
		}
		for p := range 260 {
			r := request(p)
			r.Class = routing.ClassRollout
			u, _ := t.Pick(r, start)
			t.AddOwn(u, 1)
			sent[u]++
		}
		Expect(sent["u12"]).To(BeNumerically("<=", 10), "20 are the mean")
	})

	It("spread over many upstreams", func() {
		t, sent := newTable(522), map[ident.Upstream]int{}
		for p := range 52200 {
			u, _ := t.Pick(request(p), start)
			sent[u]++
		}
		for _, n := range sent {
			Expect(n).To(And(BeNumerically(">", 50), BeNumerically("<", 160)))
		}
		Expect(sent).To(HaveLen(522))
	})
})

// factor is the token time of upstream i of 13 over the fleet's usual one.
func factor(i int) float64 { return 0.9 + 1.6*float64(i)/12 }

// trained is a table of 13 that has learnt speeds; the slow ones run nearly empty
// and the fast ones full, which hides the difference.
func trained() *routing.Table {
	t, r := newTable(13), rng(3)
	for range 4000 {
		i := r.IntN(13)
		concurrency := 1 + r.IntN(8) + (12 - i)
		took := 20e6 * factor(i) * (1 + 0.02*float64(concurrency)) * (0.9 + 0.2*r.Float64())
		t.ObserveTokenTime(name(i), routing.ClassRollout, time.Duration(took), concurrency)
	}
	return t
}

var _ = Describe("speed", func() {
	It("is learnt against the median, whatever the concurrency", func() {
		t := trained()
		for i := range 13 {
			Expect(t.Speed(name(i), routing.ClassRollout)).To(BeNumerically("~", factor(i)/factor(6), 0.15))
		}
		Expect(t.Speed("u12", routing.ClassProduction)).To(BeNumerically(">", 1.3), "borrowed from the other class")
	})

	It("outlives a change of members", func() {
		t := trained()
		before := t.Speed("u12", routing.ClassRollout)
		t.SetMembers(fleet(13))
		Expect(t.Speed("u12", routing.ClassRollout)).To(Equal(before))
	})

	It("sends stragglers and long samples to the fastest with room", func() {
		t := trained()
		t.Pick(routing.Request{Class: routing.ClassRollout, ExpectedTokens: 100}, start) // the usual length
		for _, r := range []routing.Request{
			{Class: routing.ClassRollout, Straggler: true},
			{Class: routing.ClassRollout, ExpectedTokens: 220, Prefix: 3},
		} {
			u, _ := t.Pick(r, start)
			Expect(t.Speed(u, routing.ClassRollout)).To(BeNumerically("<", 0.7))
			t.Update(u, func(m *routing.Upstream) { m.Limit, m.Own = 1, 1 })
			other, _ := t.Pick(r, start)
			Expect(other).NotTo(Equal(u))
			Expect(t.Speed(other, routing.ClassRollout)).To(BeNumerically("<", 0.85))
		}
	})
})

var _ = Describe("the reserve", func() {
	production := routing.Request{Class: routing.ClassProduction, Prefix: 5}
	bulk := routing.Request{Class: routing.ClassRollout, Prefix: 5, ExpectedTokens: 100}
	long := routing.Request{Class: routing.ClassRollout, ExpectedTokens: 1000}

	// busy is a table after a burst of bulk, which the reserve remembers.
	busy := func(t *routing.Table) *routing.Table {
		t.See(start)
		for i := range t.Len() {
			t.AddOwn(name(i), 16)
		}
		t.SetReserve(1)
		for i := range t.Len() {
			t.AddOwn(name(i), -16)
		}
		return t
	}

	// A step's burst lands on all engines, and each token of an answer at the
	// counter takes as long as the batch around it, though places were left free.
	It("keeps bulk rollouts off production's engines", func() {
		t := busy(newTable(9))
		t.SetReserve(11)
		Expect(t.Reserved()).To(Equal(2))
		kept := map[ident.Upstream]bool{}
		for range 12 {
			u, _ := t.Pick(production, start)
			kept[u] = true
			t.AddOwn(u, 1)
		}
		Expect(kept).To(HaveLen(2))
		for range 300 {
			u, _ := t.Pick(bulk, start)
			Expect(kept).NotTo(HaveKey(u))
			t.AddOwn(u, 1)
		}
		for range 200 {
			u, _ := t.Pick(production, start)
			t.AddOwn(u, 1)
			kept[u] = true
		}
		Expect(kept).To(HaveLen(9), "more than the reserve holds goes anywhere")
	})

	It("serves what decides a step's end, and bulk when nothing else suits", func() {
		t := busy(newTable(9))
		t.SetReserve(1)
		t.Pick(bulk, start)
		kept, _ := t.Pick(long, start)
		for i := range 9 {
			u := name(i)
			t.Update(u, func(m *routing.Upstream) { m.Eligible = u == kept })
		}
		t.SetReserve(1)
		got, ok := t.Pick(bulk, start)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(kept))
	})

	// Eight daemons hear of each other late. Each fills a prefix's upstream to the
	// bound, and together they put four times the mean on it.
	It("takes its own part of a bound only, for production", func() {
		most := func(daemons int) (most int) {
			t := newTable(9)
			t.See(start)
			t.SetDaemons(daemons)
			own := map[ident.Upstream]int{}
			for range 8 {
				u, _ := t.Pick(production, start)
				t.AddOwn(u, 1)
				own[u]++
				most = max(most, own[u])
			}
			return most
		}
		Expect(most(8)).To(Equal(1))
		Expect(most(1)).To(BeNumerically(">", 1))
	})

	It("spreads over a large reserve, each prefix in its place", func() {
		t := busy(newTable(522))
		t.SetReserve(1e6)
		Expect(t.Reserved()).To(Equal(174))
		used := map[ident.Upstream]int{}
		for p := range uint64(600) {
			r := production
			r.Prefix = 1 + p*7919
			u, _ := t.Pick(r, start)
			again, _ := t.Pick(r, start)
			Expect(again).To(Equal(u))
			t.AddOwn(u, 1)
			used[u]++
		}
		Expect(len(used)).To(And(BeNumerically(">", 120), BeNumerically("<=", 174)))
		for _, n := range used {
			Expect(n).To(BeNumerically("<=", 10))
		}
	})

	It("leaves out slow ones, takes a third at most, and none without need", func() {
		t := busy(trained())
		t.SetReserve(1e6)
		Expect(t.Reserved()).To(Equal(4))
		for range 24 {
			u, _ := t.Pick(production, start)
			Expect(t.Speed(u, routing.ClassProduction)).To(BeNumerically("<=", 1.25))
			t.AddOwn(u, 1)
		}
		t.SetReserve(0)
		Expect(t.Reserved()).To(BeZero())
		calm := newTable(9)
		calm.SetReserve(100)
		Expect(calm.Reserved()).To(BeZero(), "no bulk to keep off")
	})
})

var _ = Describe("the choice", func() {
	It("prefers the own data centre when loads are alike", func() {
		t := newTable(13)
		for range 5 {
			u, _ := t.Pick(routing.Request{}, start)
			m, _ := t.Member(u)
			Expect(m.DataCentre).To(Equal(ident.DataCentre("dc0")))
			t.AddOwn(u, 1)
		}
	})

	It("keeps a quarantined request on its upstream", func() {
		t := newTable(13)
		u, ok := t.Pick(routing.Request{Only: "u4"}, start)
		Expect(u).To(Equal(ident.Upstream("u4")))
		Expect(ok).To(BeTrue())
		_, ok = t.Pick(routing.Request{Only: "u99"}, start)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Subset", func() {
	members := func(n int) (list []ident.Upstream) {
		for i := range n {
			list = append(list, name(i))
		}
		return list
	}
	daemons := func(n int) (list []string) {
		for i := range n {
			list = append(list, "vm"+string(name(i)))
		}
		return list
	}

	It("is everything in a small fleet", func() {
		Expect(routing.Subset("vmu1", members(13), daemons(13), 50)).To(Equal(members(13)))
	})

	It("spreads evenly and loses one daemon without stir", func() {
		all, vms := members(522), daemons(30)
		keepers, before := map[ident.Upstream]int{}, map[string][]ident.Upstream{}
		for _, d := range vms {
			before[d] = routing.Subset(d, all, vms, 52)
			Expect(len(before[d])).To(And(BeNumerically(">=", 30), BeNumerically("<=", 75)))
			for _, u := range before[d] {
				keepers[u]++
			}
		}
		Expect(keepers).To(HaveLen(522))
		for _, n := range keepers {
			Expect(n).To(Equal(3))
		}
		gained := 0
		for _, d := range vms[1:] {
			after := routing.Subset(d, all, vms[1:], 50)
			Expect(after).To(ContainElements(before[d]))
			gained += len(after) - len(before[d])
		}
		Expect(gained).To(Equal(len(before[vms[0]])))
	})
})
