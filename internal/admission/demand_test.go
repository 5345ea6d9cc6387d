package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

// demandModel is a fleet in which one small customer begins to ask for more than all others
// together. Of large fleets only some daemons are modelled; the table is that of all.
type demandModel struct {
	daemons int  // of the fleet
	skewed  bool // each customer's callers reach mostly a few daemons
}

const (
	modelled, modelCustomers, peakCustomer = 31, 73, 40
	modelStep                              = 10 * time.Millisecond
	peakBegin, peakEnd                     = 2 * time.Second, 12 * time.Second
	modelRate                              = 14 * modelled   // calls per second before the peak
	modelCapacity                          = modelRate / 1.2 // calls per second
	peakRate                               = 1.5 * modelRate // calls per second of peakCustomer
)

// run returns the sum of the deviations from weighted max-min in each second of the peak, as a
// part of all admitted calls, and the calls of the other customers as a part of their due.
func (m demandModel) run(part func(age time.Duration) float64) (deviation, others float64) {
	r, interval, sum := rand.New(rand.NewPCG(5, 1)), max(shares.MinInterval, time.Duration(m.daemons)*4*time.Millisecond), 0.0
	var rates, due [modelCustomers]float64
	for c := range rates {
		rates[c] = 1 / math.Pow(float64(c+1), 1.2)
		sum += rates[c]
	}
	var peak []limits.Demand
	for c := range rates {
		rates[c] *= modelRate / sum
		peak = append(peak, limits.Demand{Customer: fmt.Sprint(c), Rate: rates[c]})
	}
	usual := rates[peakCustomer]
	peak[peakCustomer].Rate = peakRate
	fair := limits.Fractions(peak, modelCapacity/(modelRate-usual+peakRate))
	for c, d := range peak {
		due[c] = d.Rate * fair.Admit(d.Customer, 0)
	}
	// tableAt is a table of reports whose ages are up to an interval, of rates averaged over a second.
	tableAt := func(now time.Duration) (t shares.Table) {
		const samples = 8
		for c, rate := range rates {
			for n := 0; n < samples && c == peakCustomer; n++ {
				since := max(0, now-interval*time.Duration(n)/samples-peakBegin)
				rate += (peakRate - usual) * (1 - math.Exp(-since.Seconds())) / samples
			}
			t.Demands = append(t.Demands, shares.Demand{Customer: fmt.Sprint(c), Rate: rate})
		}
		t.Demands[peakCustomer].Rate -= rates[peakCustomer] - usual
		return t
	}
	type daemon struct {
		meter    *limits.DemandMeter
		admitter *limits.Admitter
		shares   limits.Shares
		table    shares.Table
		at, next time.Duration
	}
	fleet := make([]daemon, modelled)
	for i := range fleet {
		fleet[i] = daemon{meter: limits.NewDemandMeter(), admitter: limits.NewAdmitter(), next: -time.Duration(r.Float64() * float64(interval))}
	}
	level, recent := math.Log(modelCapacity/modelRate), modelCapacity
	var admitted [modelCustomers]float64
	var off, got, othersGot, othersDue float64
	for now := time.Duration(0); now < peakEnd; now += modelStep {
		if now == peakBegin {
			rates[peakCustomer], admitted = peakRate, [modelCustomers]float64{}
		}
		for i := range fleet {
			d := &fleet[i]
			if now >= d.next {
				d.at, d.next, d.table = d.next, d.next+interval, tableAt(d.next)
			}
			if (int(now/modelStep)+i)%10 == 0 {
				d.shares = limits.Fractions(blend(d.meter.Demands(now), d.table, part(now-d.at)), math.Exp(level))
			}
		}
		count := 0.0
		for c, rate := range rates {
			for n := rate*modelStep.Seconds() + r.Float64(); n >= 1; n-- {
				d, name := &fleet[r.IntN(modelled)], fmt.Sprint(c)
				if m.skewed {
					d = &fleet[(c*37+int(modelled*math.Pow(r.Float64(), 4)))%modelled]
				}
				d.meter.Add(name, 0, now)
				if d.admitter.Admit(name, 0, d.shares.Admit(name, 0), r.Float64(), now) {
					admitted[c], count = admitted[c]+1, count+1
				}
			}
		}
		// The overload control keeps the admitted calls at the capacity.
		recent += (count/modelStep.Seconds() - recent) * 0.1
		level = min(0, max(-4, level-2*modelStep.Seconds()*(recent/modelCapacity-1)))
		for c := 0; c < modelCustomers && now >= peakBegin && (now+modelStep)%time.Second == 0; c++ {
			off, got = off+math.Abs(admitted[c]-due[c]), got+due[c]
			if c != peakCustomer {
				othersGot, othersDue = othersGot+admitted[c], othersDue+due[c]
			}
			admitted[c] = 0
		}
	}
	return off / got, othersGot / othersDue
}

// Guards against shares that follow a peak only once a table of a large fleet tells of it, and
// against shares that depend on the daemons which a customer's callers reach.
func TestBlendFollowsAPeak(t *testing.T) {
	g := NewWithT(t)
	for _, m := range []demandModel{{61, false}, {61, true}, {985, false}, {985, true}} {
		var off, others [3]float64
		for i, part := range []func(age time.Duration) float64{func(time.Duration) float64 { return 1 }, func(time.Duration) float64 { return 0 }, tablePart} {
			off[i], others[i] = m.run(part)
		}
		t.Logf("%d daemons, skewed %v: deviation with the table %.3f, own demand %.3f, both %.3f; calls of the others %.3f, %.3f, %.3f of their due",
			m.daemons, m.skewed, off[0], off[1], off[2], others[0], others[1], others[2])
		if m.daemons == 61 {
			g.Expect(off[2]).To(Equal(off[0]), "a table of 250 ms is exact enough")
			continue
		}
		g.Expect(off[2]).To(BeNumerically("<", 0.85*off[0]))
		g.Expect(others[2]).To(BeNumerically(">", others[0]+0.05))
		if m.skewed {
			g.Expect(off[2]).To(BeNumerically("<", off[1]))
		}
	}
}

// Guards against demand that is lost or counted twice where the two are joined, and against a customer
// that the table does not list and that starts from nothing.
func TestBlend(t *testing.T) {
	g := NewWithT(t)
	table := shares.Table{Demands: []shares.Demand{{Rate: 40, Customers: 4}, {Customer: "large", Rate: 60}}}
	own := []limits.Demand{{Customer: "large", Rate: 1}, {Customer: "new", Rate: 3}}
	const one = limits.DefaultWeight
	g.Expect(blend(own, table, 0.5)).To(Equal([]limits.Demand{{Weight: 3 * one, Rate: 15}, {Customer: "large", Weight: one, Rate: 42.5}, {Customer: "new", Weight: one, Rate: 5 + 37.5}}))
	g.Expect(blend(nil, table, 0)).To(Equal(blend(own, table, 1)), "without own demand the table is used")
}
