package limits

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time in which a change of a rate becomes known to about two
	// thirds. A customer with one call a second is seen for some seconds; a peak within half
	// a second, since it is then many calls.
	demandTimeConstant = 1 * time.Second
	// minMeteredRate in calls per second is where a flow is forgotten: a call that came some
	// seven time constants ago.
	minMeteredRate = 0.001
	// maxMeteredFlows bounds the flows that are kept. Calls of further ones are counted
	// under the flow without a customer of their level.
	maxMeteredFlows = 1024
)

// decayingRate is a rate that decays exponentially between events.
type decayingRate struct {
	perSecond float64
	at        time.Duration // of perSecond
}

func (r *decayingRate) current(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(demandTimeConstant))
}

func (r *decayingRate) add(now time.Duration) {
	r.perSecond = r.current(now) + float64(time.Second)/float64(demandTimeConstant)
	r.at = now
}

// DemandMeter measures the rate of the calls that arrive, by customer and level. It is not
// safe for concurrent use.
type DemandMeter struct {
	flows map[customerLevel]*decayingRate
}

// NewDemandMeter returns a meter that has seen no call.
func NewDemandMeter() *DemandMeter { return &DemandMeter{flows: map[customerLevel]*decayingRate{}} }

// Add records the arrival of a call.
func (m *DemandMeter) Add(customer string, level int, now time.Duration) {
	id := customerLevel{customer, level}
	rate := m.flows[id]
	if rate == nil {
		if len(m.flows) >= maxMeteredFlows {
			m.trim(now)
		}
		if len(m.flows) >= maxMeteredFlows {
			id = customerLevel{"", level}
			rate = m.flows[id]
		}
		if rate == nil {
			rate = &decayingRate{at: now}
			m.flows[id] = rate
		}
	}
	rate.add(now)
}

// Demands returns the current rates in no particular order.
func (m *DemandMeter) Demands(now time.Duration) []Demand {
	m.trim(now)
	out := make([]Demand, 0, len(m.flows))
	for id, rate := range m.flows {
		out = append(out, Demand{Customer: id.customer, Level: id.level, Weight: DefaultWeight, Rate: rate.current(now)})
	}
	return out
}

// trim forgets flows that have had no call for some time.
func (m *DemandMeter) trim(now time.Duration) {
	for id, rate := range m.flows {
		if rate.current(now) < minMeteredRate {
			delete(m.flows, id)
		}
	}
}
