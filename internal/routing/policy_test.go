package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// peakToMeanLoad sends a burst of 400 requests while the load reports are 2 s old, and
// returns the highest load of an upstream divided by the mean. With count, each request
// is counted in the table once it is sent.
func peakToMeanLoad(size int, pick func(t *routing.Table) ident.Upstream, count bool) float64 {
	t, sent, most := newTable(size), map[ident.Upstream]int{}, 0
	for i := range size {
		t.RecordLoadReport(name(i), i%5, 0, start.Add(-2*time.Second))
	}
	for range 400 {
		u := pick(t)
		sent[u]++
		most = max(most, sent[u])
		if count {
			t.AddOwnInFlight(u, 1)
		}
	}
	return float64(most) * float64(size) / 400
}

var _ = Describe("load", func() {
	// Load reports are delayed by 2 s. With routing by reports alone, the upstream that
	// was idle 2 s ago gets a whole burst of requests, which makes it slow while others
	// are idle.
	It("spreads a burst although load reports are delayed", func() {
		byPick := func(t *routing.Table) ident.Upstream {
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
			Expect(peakToMeanLoad(size, byPick, true)).To(BeNumerically("<=", bound))
			Expect(peakToMeanLoad(size, byReports, true)).To(BeNumerically(">", bound), "routing by reports alone must fail this check")
		}
	})

	It("does not count its own requests again when a load report includes them", func() {
		t := newTable(3)
		t.Load("u0", start)
		t.AddOwnInFlight("u0", 10)
		t.Load("u0", start.Add(time.Second))
		t.AddOwnInFlight("u0", -8)
		t.RecordLoadReport("u0", 10, 0, start.Add(500*time.Millisecond))
		Expect(t.Load("u0", start.Add(time.Second))).To(Equal(2.0))
		t.RecordLoadReport("u0", 15, 0, start.Add(time.Second))
		Expect(t.Load("u0", start.Add(time.Second))).To(Equal(7.0))
		Expect(t.Load("u0", start.Add(9*time.Second))).To(Equal(2.0))
	})
})

var _ = Describe("prefixes", func() {
	request := func(p int) routing.Request { return routing.Request{Prefix: uint64(p)*7919 + 1} }

	It("keep their upstream, except those of an upstream that is lost", func() {
		for _, size := range []int{13, 522} {
			t, assigned, moved, lost := newTable(size), map[int]ident.Upstream{}, 0, 0
			for p := range 2000 {
				assigned[p], _ = t.Pick(request(p), start)
			}
			t.Update("u5", func(u *routing.Upstream) { u.Eligible = false })
			for p := range 2000 {
				u, _ := t.Pick(request(p), start)
				switch {
				case assigned[p] == "u5":
					lost++
				case u != assigned[p]:
					moved++
				}
			}
			Expect(moved).To(BeZero())
			Expect(lost).To(BeNumerically("<", 3*2000/size+10))
		}
	})

	// Nearly all requests share one prefix. With affinity that is not bounded by load,
	// one upstream is overloaded while the others are idle.
	It("move to other upstreams when theirs is loaded", func() {
		t, sent := newTable(13), map[ident.Upstream]int{}
		for range 130 {
			u, _ := t.Pick(request(1), start)
			t.AddOwnInFlight(u, 1)
			sent[u]++
		}
		for _, n := range sent {
			Expect(n).To(BeNumerically("<=", 14))
		}
		Expect(len(sent)).To(BeNumerically(">=", 10))
	})

	// The samples of a group share their prompt and therefore their upstream. If all
	// upstreams get the same number of prefixes regardless of speed, a step waits for
	// the groups on the slow one.
	It("send less to a slow upstream", func() {
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
			t.AddOwnInFlight(u, 1)
			sent[u]++
		}
		Expect(sent["u12"]).To(BeNumerically("<=", 10), "the mean is 20")
	})

	It("spread evenly over a large group", func() {
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

// trueSlowdown returns the token time of upstream i of 13, relative to the base of 20 ms
// in newTrainedTable.
func trueSlowdown(i int) float64 { return 0.9 + 1.6*float64(i)/12 }

// newTrainedTable returns a table of 13 upstreams with learnt token times. The slow ones
// run at low concurrency and the fast ones at high concurrency, which hides the
// difference in the raw times.
func newTrainedTable() *routing.Table {
	t, random := newTable(13), rng(3)
	for range 4000 {
		i := random.IntN(13)
		concurrency := 1 + random.IntN(8) + (12 - i)
		tokenTime := 20e6 * trueSlowdown(i) * (1 + 0.02*float64(concurrency)) * (0.9 + 0.2*random.Float64())
		t.ObserveTokenTime(name(i), routing.ClassRollout, time.Duration(tokenTime), concurrency)
	}
	return t
}

var _ = Describe("speed", func() {
	It("is learnt relative to the median at any concurrency", func() {
		t := newTrainedTable()
		for i := range 13 {
			Expect(t.Slowdown(name(i), routing.ClassRollout)).To(BeNumerically("~", trueSlowdown(i)/trueSlowdown(6), 0.15))
		}
		Expect(t.Slowdown("u12", routing.ClassProduction)).To(BeNumerically(">", 1.3), "used from the other class")
	})

	It("is kept when the members are replaced", func() {
		t := newTrainedTable()
		before := t.Slowdown("u12", routing.ClassRollout)
		t.SetMembers(idleUpstreams(13))
		Expect(t.Slowdown("u12", routing.ClassRollout)).To(Equal(before))
	})

	It("directs stragglers and long samples to the fastest upstream with capacity", func() {
		t := newTrainedTable()
		t.Pick(routing.Request{Class: routing.ClassRollout, ExpectedTokens: 100}, start) // sets the mean length
		for _, r := range []routing.Request{
			{Class: routing.ClassRollout, Straggler: true},
			{Class: routing.ClassRollout, ExpectedTokens: 220, Prefix: 3},
		} {
			u, _ := t.Pick(r, start)
			Expect(t.Slowdown(u, routing.ClassRollout)).To(BeNumerically("<", 0.7))
			t.Update(u, func(m *routing.Upstream) { m.Limit, m.OwnInFlight = 1, 1 })
			other, _ := t.Pick(r, start)
			Expect(other).NotTo(Equal(u))
			Expect(t.Slowdown(other, routing.ClassRollout)).To(BeNumerically("<", 0.85))
		}
	})
})

var _ = Describe("the reserve", func() {
	production := routing.Request{Class: routing.ClassProduction, Prefix: 5}
	bulk := routing.Request{Class: routing.ClassRollout, Prefix: 5, ExpectedTokens: 100}
	long := routing.Request{Class: routing.ClassRollout, ExpectedTokens: 1000}

	// afterBulk applies a burst of bulk requests, whose peak UpdateReserve records.
	afterBulk := func(t *routing.Table) *routing.Table {
		t.AdvanceClock(start)
		for i := range t.Len() {
			t.AddOwnInFlight(name(i), 16)
		}
		t.UpdateReserve(1)
		for i := range t.Len() {
			t.AddOwnInFlight(name(i), -16)
		}
		return t
	}

	// The burst of a step reaches all engines. Each token of a production answer then
	// takes as long as the batch that it runs in, even if slots were left free.
	It("keeps bulk rollouts off the engines that serve production", func() {
		t := afterBulk(newTable(9))
		t.UpdateReserve(11)
		Expect(t.ReserveSize()).To(Equal(2))
		usedByProduction := map[ident.Upstream]bool{}
		for range 12 {
			u, _ := t.Pick(production, start)
			usedByProduction[u] = true
			t.AddOwnInFlight(u, 1)
		}
		Expect(usedByProduction).To(HaveLen(2))
		for range 300 {
			u, _ := t.Pick(bulk, start)
			Expect(usedByProduction).NotTo(HaveKey(u))
			t.AddOwnInFlight(u, 1)
		}
		for range 200 {
			u, _ := t.Pick(production, start)
			t.AddOwnInFlight(u, 1)
			usedByProduction[u] = true
		}
		Expect(usedByProduction).To(HaveLen(9), "production that exceeds the reserve uses all upstreams")
	})

	It("serves step-critical rollouts, and bulk when no other upstream can", func() {
		t := afterBulk(newTable(9))
		t.UpdateReserve(1)
		t.Pick(bulk, start)
		reserved, _ := t.Pick(long, start)
		for i := range 9 {
			u := name(i)
			t.Update(u, func(m *routing.Upstream) { m.Eligible = u == reserved })
		}
		t.UpdateReserve(1)
		got, ok := t.Pick(bulk, start)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(reserved))
	})

	// Eight daemons learn of each other's requests with a delay. If each fills the
	// upstream of a prefix to the bound, its load is four times the mean.
	It("limits each daemon to its share of the affinity bound for production", func() {
		maxOwn := func(daemons int) (highest int) {
			t := newTable(9)
			t.AdvanceClock(start)
			t.SetDaemonCount(daemons)
			own := map[ident.Upstream]int{}
			for range 8 {
				u, _ := t.Pick(production, start)
				t.AddOwnInFlight(u, 1)
				own[u]++
				highest = max(highest, own[u])
			}
			return highest
		}
		Expect(maxOwn(8)).To(Equal(1))
		Expect(maxOwn(1)).To(BeNumerically(">", 1))
	})

	It("spreads prefixes over a large reserve and keeps each on its upstream", func() {
		t := afterBulk(newTable(522))
		t.UpdateReserve(1e6)
		Expect(t.ReserveSize()).To(Equal(174))
		used := map[ident.Upstream]int{}
		for p := range uint64(600) {
			r := production
			r.Prefix = 1 + p*7919
			u, _ := t.Pick(r, start)
			again, _ := t.Pick(r, start)
			Expect(again).To(Equal(u))
			t.AddOwnInFlight(u, 1)
			used[u]++
		}
		Expect(len(used)).To(And(BeNumerically(">", 120), BeNumerically("<=", 174)))
		for _, n := range used {
			Expect(n).To(BeNumerically("<=", 10))
		}
	})

	It("excludes slow upstreams, holds at most a third of them, and is empty when not needed", func() {
		t := afterBulk(newTrainedTable())
		t.UpdateReserve(1e6)
		Expect(t.ReserveSize()).To(Equal(4))
		for range 24 {
			u, _ := t.Pick(production, start)
			Expect(t.Slowdown(u, routing.ClassProduction)).To(BeNumerically("<=", 1.25))
			t.AddOwnInFlight(u, 1)
		}
		t.UpdateReserve(0)
		Expect(t.ReserveSize()).To(BeZero())
		noBulk := newTable(9)
		noBulk.UpdateReserve(100)
		Expect(noBulk.ReserveSize()).To(BeZero(), "there is no bulk to separate")
	})
})

var _ = Describe("Pick", func() {
	It("prefers the local data centre when loads are similar", func() {
		t := newTable(13)
		for range 5 {
			u, _ := t.Pick(routing.Request{}, start)
			m, _ := t.Member(u)
			Expect(m.DataCentre).To(Equal(ident.DataCentre("dc0")))
			t.AddOwnInFlight(u, 1)
		}
	})

	It("sends a quarantined request only to its upstream", func() {
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

	It("returns all upstreams of a small group", func() {
		Expect(routing.Subset("vmu1", members(13), daemons(13), 50)).To(Equal(members(13)))
	})

	It("uses each upstream from equally many daemons, and reassigns only those of a lost daemon", func() {
		all, vms := members(522), daemons(30)
		usedBy, before := map[ident.Upstream]int{}, map[string][]ident.Upstream{}
		for _, d := range vms {
			before[d] = routing.Subset(d, all, vms, 52)
			Expect(len(before[d])).To(And(BeNumerically(">=", 30), BeNumerically("<=", 75)))
			for _, u := range before[d] {
				usedBy[u]++
			}
		}
		Expect(usedBy).To(HaveLen(522))
		for _, n := range usedBy {
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
