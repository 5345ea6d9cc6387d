package scaling

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var market = ServiceSpec{MinPerDataCentre: 1, MaxPerDataCentre: 32, BootTime: 4 * time.Second, SpotPrice: 0.22, RegularPrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}, SlotsPerServer: 8}

// serversOf returns data centres a, b and c with the given number of regular servers each
// and of spot servers in this order.
func serversOf(regular int, spot ...int) map[string]Servers {
	out := map[string]Servers{}
	for i, dc := range []string{"a", "b", "c"} {
		s := Servers{Regular: regular}
		if i < len(spot) {
			s.Spot = spot[i]
		}
		out[dc] = s
	}
	return out
}

func spotOrder(dc string, count int) Order { return Order{Pool{dc, true}, count} }

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name    string
		market  func(*ServiceSpec)
		ledger  func(*Planner)
		there   map[string]Servers
		samples int
		want    []Order
	}{
		{"the number of samples is unknown", nil, nil, serversOf(16), 0, nil},
		{"there are no spot servers", func(m *ServiceSpec) { m.SpotPrice = 0 }, nil, serversOf(16), 736, nil},
		{"there are enough servers", nil, nil, serversOf(16), 384, nil},
		{"a step needs more servers", nil, nil, serversOf(16), 736, []Order{spotOrder("a", 15), spotOrder("b", 15), spotOrder("c", 14)}},
		{"a step needs more than the maximum", nil, nil, serversOf(16), 5000, []Order{spotOrder("a", 16), spotOrder("b", 16), spotOrder("c", 16)}},
		{"a data centre without regular servers gets more spot servers", nil, nil, map[string]Servers{"a": {Regular: 10}, "b": {Regular: 10}}, 240,
			[]Order{spotOrder("c", 10)}},
		{"the servers were ordered and may still be booting", nil, func(l *Planner) {
			for _, dc := range []string{"a", "b", "c"} {
				l.RecordOrder(spotOrder(dc, 15), 8*time.Second)
			}
		}, serversOf(16), 736, nil},
		{"ordered servers did not appear in time", nil, func(l *Planner) { l.RecordOrder(spotOrder("a", 15), time.Second) }, serversOf(16, 0, 15, 15), 736,
			[]Order{spotOrder("a", 14)}},
		{"the spot servers of a data centre were reclaimed", nil, nil, serversOf(16, 15, 0, 14), 736, []Order{spotOrder("b", 15)}},
		{"they were reclaimed and none is available there", nil, func(l *Planner) { l.RecordUnavailable(Pool{"b", true}, 9*time.Second) }, serversOf(16, 15, 0, 14), 736,
			[]Order{spotOrder("a", 16), spotOrder("c", 16)}},
		{"none was available there, but the backoff has passed", nil, func(l *Planner) { l.RecordUnavailable(Pool{"b", true}, time.Second) }, serversOf(16, 15, 0, 14), 736,
			[]Order{spotOrder("b", 15)}},
		{"regular servers were lost", nil, nil, serversOf(8), 384, []Order{spotOrder("a", 8), spotOrder("b", 8), spotOrder("c", 8)}},
		{"the surplus is small", nil, nil, serversOf(16, 2, 2, 2), 384, nil},
		{"the surplus is large", nil, nil, serversOf(16, 15, 15, 14), 400, []Order{spotOrder("a", 0), spotOrder("b", 1), spotOrder("c", 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, l := market, NewPlanner()
			if c.market != nil {
				c.market(&m)
			}
			if c.ledger != nil {
				c.ledger(l)
			}
			NewWithT(t).Expect(l.Decide(m, State{Now: 10 * time.Second, Servers: c.there, StepSamples: c.samples})).To(Equal(c.want))
		})
	}
}

// For random servers and orders: no order exceeds the maximum of a data centre, no order
// removes a server that the samples need, and no order follows once all are carried out, so
// that orders do not alternate.
func TestOrdersConverge(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		m, l := market, NewPlanner()
		there := map[string]Servers{}
		for dc := range m.RegularPrices {
			there[dc] = Servers{Regular: random.IntN(17), Spot: random.IntN(17)}
			if random.IntN(4) == 0 {
				l.RecordUnavailable(Pool{dc, true}, 9*time.Second)
			}
		}
		view := State{Now: 10 * time.Second, Servers: there, StepSamples: random.IntN(1000)}
		before := totalServers(there)
		for _, o := range l.Decide(m, view) {
			g.Expect(o.Count + there[o.DataCentre].Regular).To(BeNumerically("<=", m.MaxPerDataCentre))
			g.Expect(o.Count).To(BeNumerically(">=", 0))
			s := there[o.DataCentre]
			s.Spot = o.Count
			there[o.DataCentre] = s
			l.RecordOrder(o, view.Now)
		}
		g.Expect(l.Decide(m, view)).To(BeEmpty())
		if after := totalServers(there); after < before {
			g.Expect(after).To(BeNumerically(">=", m.ServersNeeded(view.StepSamples)))
		}
	}
}
