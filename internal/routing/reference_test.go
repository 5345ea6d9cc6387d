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

// reference implements the same policy without derived state. Every query is answered
// by a pass over the members and their history.
type reference struct {
	members []routing.Upstream
	history map[ident.Upstream][]knownLoad // oldest first
	reports map[ident.Upstream]report      // the newest one
	now     time.Time
}

// knownLoad is the number of requests known to be in flight at an upstream from a time
// on.
type knownLoad struct {
	at       time.Time
	requests int
}

// report is a load report of an upstream.
type report struct {
	madeAt     time.Time
	requests   int
	receivedAt time.Time
}

func (n *reference) member(u ident.Upstream) *routing.Upstream {
	for i := range n.members {
		if n.members[i].Name == u {
			return &n.members[i]
		}
	}
	return nil
}

func (n *reference) update(u ident.Upstream, f func(*routing.Upstream)) {
	m := n.member(u)
	f(m)
	n.history[u] = append(n.history[u], knownLoad{n.now, m.OwnInFlight + m.PeersInFlight})
}

// loadBounds returns bounds of the load. The upper one uses the exact peak of the known
// load since the report was made. The lower one uses the peak since two epochs earlier,
// because the table only keeps one peak for each epoch.
func (n *reference) loadBounds(u ident.Upstream) (low, high float64) {
	m, r := n.member(u), n.reports[u]
	known := float64(m.OwnInFlight + m.PeersInFlight)
	if r.madeAt.IsZero() || n.now.Sub(r.madeAt) > routing.DefaultReportTTL {
		return known, known
	}
	unattributed := func(since time.Time) float64 {
		peak := 0
		for i, k := range n.history[u] {
			if k.at.After(r.receivedAt) {
				break
			}
			if i+1 < len(n.history[u]) && !n.history[u][i+1].at.After(since) {
				continue
			}
			peak = max(peak, k.requests)
		}
		return max(0, float64(r.requests-peak))
	}
	return known + unattributed(r.madeAt.Add(-routing.DefaultReportTTL/4)), known + unattributed(r.madeAt)
}

// cost returns the cost of an upstream, given the load and slowdown in the table.
func (n *reference) cost(t *routing.Table, m *routing.Upstream, c routing.Class) float64 {
	load := (t.Load(m.Name, n.now) + 1) / max(0.05, m.Weight)
	if m.DataCentre != "dc0" {
		load *= routing.DefaultLocalityPenalty
	}
	return (load + routing.DefaultHalfSpeedLoad) * t.Slowdown(m.Name, c)
}

// candidates returns the members that can serve a request: those with capacity, or all
// if none has capacity.
func (n *reference) candidates(t *routing.Table, r routing.Request) []*routing.Upstream {
	var all, withCapacity []*routing.Upstream
	for i := range n.members {
		m := &n.members[i]
		excluded := len(r.Exclude) > 0 && r.Exclude[0] == m.Name
		if !m.Eligible || m.Serving < r.MinVersion || excluded {
			continue
		}
		all = append(all, m)
		if m.Limit == 0 || t.Load(m.Name, n.now) < float64(m.Limit) {
			withCapacity = append(withCapacity, m)
		}
	}
	if len(withCapacity) > 0 {
		return withCapacity
	}
	return all
}

var _ = Describe("the table compared with the reference implementation", func() {
	It("agrees with it in random sessions", func() {
		for seed := range uint64(30) {
			runSession(seed, 3+int(seed)*2, 400)
		}
	})
	It("never picks a member that cannot serve in a large group", func() { runSession(99, 300, 3000) })
	It("returns identical output when a session is repeated", func() {
		got := runSession(11, 9, 400)
		Expect(runSession(11, 9, 400)).To(Equal(got))
		golden.Expect("session.golden", got)
	})
})

// runSession performs random operations on a table and the reference, compares them
// after each one, and returns a log of all picks and loads.
func runSession(seed uint64, size, steps int) string {
	var out strings.Builder
	r, t := rng(seed), newTable(size)
	n := &reference{members: idleUpstreams(size), history: map[ident.Upstream][]knownLoad{}, reports: map[ident.Upstream]report{}, now: start}
	t.AdvanceClock(start)
	for _, m := range n.members {
		n.update(m.Name, func(*routing.Upstream) {})
	}
	for step := range steps {
		n.now = n.now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
		t.AdvanceClock(n.now)
		u := name(r.IntN(size))
		switch r.IntN(7) {
		case 0, 1:
			d := r.IntN(12) - 5
			t.AddOwnInFlight(u, d)
			n.update(u, func(m *routing.Upstream) { m.OwnInFlight = max(0, m.OwnInFlight+d) })
		case 2:
			p := r.IntN(20)
			t.SetPeersInFlight(u, p)
			n.update(u, func(m *routing.Upstream) { m.PeersInFlight = p })
		case 3:
			at, total := n.now.Add(-time.Duration(r.IntN(2500))*time.Millisecond), r.IntN(40)
			t.RecordLoadReport(u, total, 0, at)
			if !at.Before(n.reports[u].madeAt) {
				n.reports[u] = report{at, total, n.now}
			}
		case 4:
			eligible, version, limit := r.IntN(4) > 0, ident.Version(1+r.IntN(3)), 8*r.IntN(5)
			change := func(m *routing.Upstream) { m.Eligible, m.Serving, m.Limit = eligible, version, limit }
			t.Update(u, change)
			n.update(u, change)
		case 5:
			t.ObserveTokenTime(u, routing.Class(r.IntN(2)), time.Duration(20+r.IntN(30))*time.Millisecond, r.IntN(32))
		default:
			request := routing.Request{Class: routing.Class(r.IntN(2)), MinVersion: ident.Version(r.IntN(3))}
			if r.IntN(2) == 0 {
				request.Exclude = []ident.Upstream{name(r.IntN(size))}
			}
			fmt.Fprintf(&out, "%d %+v -> %s\n", step, request, checkPick(t, n, request, size <= 64))
			request.Prefix, request.Straggler = r.Uint64(), r.IntN(3) == 0
			fmt.Fprintf(&out, "%d %+v -> %s\n", step, request, checkPick(t, n, request, false))
		}
		low, high := n.loadBounds(u)
		Expect(t.Load(u, n.now)).To(And(BeNumerically(">=", low), BeNumerically("<=", high)), "load of %s, seed %d", u, seed)
		fmt.Fprintf(&out, "%d load %s %.2f speed %.3f\n", step, u, t.Load(u, n.now), t.Slowdown(u, routing.ClassRollout))
	}
	return out.String()
}

// checkPick picks an upstream and checks that it can serve the request. With cheapest,
// for groups small enough for a full scan, it also checks that no member is cheaper.
func checkPick(t *routing.Table, n *reference, r routing.Request, cheapest bool) ident.Upstream {
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
		Expect(n.cost(t, n.member(got), r.Class)).To(BeNumerically("~", lowest, lowest*1e-9))
	}
	return got
}
