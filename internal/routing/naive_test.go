package routing_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

// naive is the same policy with nothing kept but the facts: every question is
// answered by a pass over all of them.
type naive struct {
	members []routing.Upstream
	past    map[ident.Upstream][]sample
	reports map[ident.Upstream]report
	now     time.Time
}

type sample struct {
	at    time.Time
	known int
}

type report struct {
	at    time.Time
	total int
	heard time.Time
}

func (n *naive) get(u ident.Upstream) *routing.Upstream {
	for i := range n.members {
		if n.members[i].Name == u {
			return &n.members[i]
		}
	}
	return nil
}

func (n *naive) change(u ident.Upstream, f func(*routing.Upstream)) {
	m := n.get(u)
	f(m)
	n.past[u] = append(n.past[u], sample{n.now, m.Own + m.Peers})
}

// load returns bounds: the exact peak since the report was made, and the peak
// since up to one epoch earlier, which is all that the table promises.
func (n *naive) load(u ident.Upstream) (low, high float64) {
	m, r := n.get(u), n.reports[u]
	known := float64(m.Own + m.Peers)
	if r.at.IsZero() || n.now.Sub(r.at) > routing.DefaultReportLife {
		return known, known
	}
	surplus := func(since time.Time) float64 {
		peak := 0
		for i, s := range n.past[u] {
			if s.at.After(r.heard) {
				break
			}
			if i+1 < len(n.past[u]) && !n.past[u][i+1].at.After(since) {
				continue
			}
			peak = max(peak, s.known)
		}
		return max(0, float64(r.total-peak))
	}
	return known + surplus(r.at.Add(-routing.DefaultReportLife/4)), known + surplus(r.at)
}

func (n *naive) cost(t *routing.Table, m *routing.Upstream, c routing.Class) float64 {
	load := (t.Load(m.Name, n.now) + 1) / max(0.05, m.Weight)
	if m.DataCentre != "dc0" {
		load *= routing.DefaultLocalityPenalty
	}
	return (load + routing.DefaultHalfLoad) * t.Speed(m.Name, c)
}

// candidates lists those that may serve, with room if any has it.
func (n *naive) candidates(t *routing.Table, r routing.Request) []*routing.Upstream {
	var all, room []*routing.Upstream
	for i := range n.members {
		m := &n.members[i]
		excluded := len(r.Exclude) > 0 && r.Exclude[0] == m.Name
		if !m.Eligible || m.Serving < r.MinVersion || excluded {
			continue
		}
		all = append(all, m)
		if m.Limit == 0 || t.Load(m.Name, n.now) < float64(m.Limit) {
			room = append(room, m)
		}
	}
	if len(room) > 0 {
		return room
	}
	return all
}

var _ = Describe("the table against the naive one", func() {
	It("agrees over random sessions", func() {
		for seed := range uint64(30) {
			session(seed, 3+int(seed)*2, 400)
		}
	})
	It("never picks an unfit one of many", func() { session(99, 300, 3000) })
	It("replays a session to the byte", func() {
		got := session(11, 9, 400)
		Expect(session(11, 9, 400)).To(Equal(got))
		golden.Expect("session.golden", got)
	})
})

// session drives both at random, compares them, and writes down all picks and loads.
func session(seed uint64, size, steps int) string {
	var out strings.Builder
	r, t := rng(seed), newTable(size)
	n := &naive{members: fleet(size), past: map[ident.Upstream][]sample{}, reports: map[ident.Upstream]report{}, now: start}
	t.See(start)
	for _, m := range n.members {
		n.change(m.Name, func(*routing.Upstream) {})
	}
	for step := range steps {
		n.now = n.now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
		t.See(n.now)
		u := name(r.IntN(size))
		switch r.IntN(7) {
		case 0, 1:
			d := r.IntN(12) - 5
			t.AddOwn(u, d)
			n.change(u, func(m *routing.Upstream) { m.Own = max(0, m.Own+d) })
		case 2:
			p := r.IntN(20)
			t.SetPeers(u, p)
			n.change(u, func(m *routing.Upstream) { m.Peers = p })
		case 3:
			at, total := n.now.Add(-time.Duration(r.IntN(2500))*time.Millisecond), r.IntN(40)
			t.Report(u, total, 0, at)
			if !at.Before(n.reports[u].at) {
				n.reports[u] = report{at, total, n.now}
			}
		case 4:
			eligible, version, limit := r.IntN(4) > 0, ident.Version(1+r.IntN(3)), 8*r.IntN(5)
			change := func(m *routing.Upstream) { m.Eligible, m.Serving, m.Limit = eligible, version, limit }
			t.Update(u, change)
			n.change(u, change)
		case 5:
			t.ObserveTokenTime(u, routing.Class(r.IntN(2)), time.Duration(20+r.IntN(30))*time.Millisecond, r.IntN(32))
		default:
			request := routing.Request{Class: routing.Class(r.IntN(2)), MinVersion: ident.Version(r.IntN(3))}
			if r.IntN(2) == 0 {
				request.Exclude = []ident.Upstream{name(r.IntN(size))}
			}
			fmt.Fprintf(&out, "%d %+v -> %s\n", step, request, compare(t, n, request, size <= 64))
			request.Prefix, request.Straggler = r.Uint64(), r.IntN(3) == 0
			fmt.Fprintf(&out, "%d %+v -> %s\n", step, request, compare(t, n, request, false))
		}
		low, high := n.load(u)
		Expect(t.Load(u, n.now)).To(And(BeNumerically(">=", low), BeNumerically("<=", high)), "load of %s, seed %d", u, seed)
		fmt.Fprintf(&out, "%d load %s %.2f speed %.3f\n", step, u, t.Load(u, n.now), t.Speed(u, routing.ClassRollout))
	}
	return out.String()
}

// compare checks a pick: always that it may serve, and where the table looks at
// all members, that none is cheaper.
func compare(t *routing.Table, n *naive, r routing.Request, cheapest bool) ident.Upstream {
	got, ok := t.Pick(r, n.now)
	candidates := n.candidates(t, r)
	Expect(ok).To(Equal(len(candidates) > 0))
	if !ok {
		return got
	}
	names, lowest := []ident.Upstream{}, n.cost(t, candidates[0], r.Class)
	for _, m := range candidates {
		names = append(names, m.Name)
		lowest = min(lowest, n.cost(t, m, r.Class))
	}
	Expect(names).To(ContainElement(got))
	if cheapest {
		Expect(n.cost(t, n.get(got), r.Class)).To(BeNumerically("~", lowest, lowest*1e-9))
	}
	return got
}
