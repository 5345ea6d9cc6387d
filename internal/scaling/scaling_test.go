package scaling

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var market = Market{Min: 1, Max: 32, Boot: 4 * time.Second, SpotPrice: 0.22, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}, Slots: 8}

// fleet is so many regular and spot servers in each data centre.
func fleet(regular int, spot ...int) map[string]Servers {
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

func spotOrder(dc string, count int) Order { return Order{Key{dc, true}, count} }

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name    string
		market  func(*Market)
		ledger  func(*Ledger)
		there   map[string]Servers
		samples int
		want    []Order
	}{
		{"nothing known of the samples", nil, nil, fleet(16), 0, nil},
		{"no spot servers on offer", func(m *Market) { m.SpotPrice = 0 }, nil, fleet(16), 736, nil},
		{"enough are there", nil, nil, fleet(16), 384, nil},
		{"a step wants more", nil, nil, fleet(16), 736, []Order{spotOrder("a", 15), spotOrder("b", 15), spotOrder("c", 14)}},
		{"no more than may be ordered", nil, nil, fleet(16), 5000, []Order{spotOrder("a", 16), spotOrder("b", 16), spotOrder("c", 16)}},
		{"a data centre without regular servers gets more", nil, nil, map[string]Servers{"a": {Regular: 10}, "b": {Regular: 10}}, 240,
			[]Order{spotOrder("c", 10)}},
		{"ordered a moment ago", nil, func(l *Ledger) {
			for _, dc := range []string{"a", "b", "c"} {
				l.Ordered(spotOrder(dc, 15), 8*time.Second)
			}
		}, fleet(16), 736, nil},
		{"ordered, and they never came", nil, func(l *Ledger) { l.Ordered(spotOrder("a", 15), time.Second) }, fleet(16, 0, 15, 15), 736,
			[]Order{spotOrder("a", 14)}},
		{"a data centre's were taken away", nil, nil, fleet(16, 15, 0, 14), 736, []Order{spotOrder("b", 15)}},
		{"and none is to be had there", nil, func(l *Ledger) { l.Refused(Key{"b", true}, 9*time.Second) }, fleet(16, 15, 0, 14), 736,
			[]Order{spotOrder("a", 16), spotOrder("c", 16)}},
		{"the refusal is old", nil, func(l *Ledger) { l.Refused(Key{"b", true}, time.Second) }, fleet(16, 15, 0, 14), 736,
			[]Order{spotOrder("b", 15)}},
		{"regular servers were lost", nil, nil, fleet(8), 384, []Order{spotOrder("a", 8), spotOrder("b", 8), spotOrder("c", 8)}},
		{"a few too many", nil, nil, fleet(16, 2, 2, 2), 384, nil},
		{"far too many", nil, nil, fleet(16, 15, 15, 14), 400, []Order{spotOrder("a", 0), spotOrder("b", 1), spotOrder("c", 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, l := market, NewLedger()
			if c.market != nil {
				c.market(&m)
			}
			if c.ledger != nil {
				c.ledger(l)
			}
			NewWithT(t).Expect(l.Decide(m, View{Now: 10 * time.Second, There: c.there, Samples: c.samples})).To(Equal(c.want))
		})
	}
}

// Whatever is there and was ordered: no order is above the market's bound, none takes a
// server away that the samples want, and once all orders are carried out none follows, so
// that orders don't go back and forth.
func TestOrdersSettle(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		m, l := market, NewLedger()
		there := map[string]Servers{}
		for dc := range m.Prices {
			there[dc] = Servers{Regular: random.IntN(17), Spot: random.IntN(17)}
			if random.IntN(4) == 0 {
				l.Refused(Key{dc, true}, 9*time.Second)
			}
		}
		view := View{Now: 10 * time.Second, There: there, Samples: random.IntN(1000)}
		before := total(there)
		for _, o := range l.Decide(m, view) {
			g.Expect(o.Count + there[o.DataCentre].Regular).To(BeNumerically("<=", m.Max))
			g.Expect(o.Count).To(BeNumerically(">=", 0))
			s := there[o.DataCentre]
			s.Spot = o.Count
			there[o.DataCentre] = s
			l.Ordered(o, view.Now)
		}
		g.Expect(l.Decide(m, view)).To(BeEmpty())
		if after := total(there); after < before {
			g.Expect(after).To(BeNumerically(">=", m.Wanted(view.Samples)))
		}
	}
}
