// Package scaling decides how many servers of a service to run in each data centre, and
// whether they are regular or spot servers. It is deterministic: the current servers, the
// demand and the time are passed in, and orders are returned. Not safe for concurrent use.
//
// The number of servers follows from the samples of one step, which are all requested at
// once, and not from the mean number of running samples. Between the starts of two steps
// most slots are free, but a server ordered when a step starts takes as long to boot as the
// time between steps. Therefore the servers needed at the start of a step are kept at all
// times. The ones needed in addition to the regular servers are spot servers, which cost a
// fraction of the price: a sample whose server is reclaimed resumes elsewhere after its last
// event.
package scaling

import (
	"maps"
	"slices"
	"time"
)

// ServiceSpec describes which servers may be ordered for a service.
type ServiceSpec struct {
	MinPerDataCentre, MaxPerDataCentre int           // servers per data centre, regular and spot together
	BootTime                           time.Duration // time from an order until the servers are ready
	// SpotPrice is the price of a spot server as a fraction of that of a regular one, 0 if
	// there are no spot servers.
	SpotPrice float64
	// RegularPrices holds the price of a regular server by data centre. Servers can be ordered in
	// these data centres only.
	RegularPrices  map[string]float64
	SlotsPerServer int // samples that a server runs concurrently
}

// Servers holds the numbers of servers of a service in one data centre, without those that
// are leaving.
type Servers struct{ Regular, Spot int }

// Pool identifies the servers that an order applies to: those of one kind in one data centre.
type Pool struct {
	DataCentre string `cbor:"1,keyasint"`
	Spot       bool   `cbor:"2,keyasint,omitempty"`
}

// Order sets the total number of servers of one kind in a data centre, including the
// existing ones.
type Order struct {
	Pool
	Count int `cbor:"3,keyasint"`
}

// State is the state of a service that a decision is based on.
type State struct {
	Now     time.Duration      // only differences between times matter
	Servers map[string]Servers // current servers by data centre
	// StepSamples is the number of samples in one batch of each model of the service, added up;
	// 0 if unknown.
	StepSamples int
}

const (
	// slotsPerSample is the number of slots for each sample of a step. With one slot for each,
	// all samples of a step start at once, and the longest one, which determines when the
	// step ends, shares its server with fewer others.
	slotsPerSample = 1.0
	// bootMargin is added to the boot time before ordered servers that have not appeared are
	// considered lost. The entry of a new server is read some hundred ms after it is ready.
	bootMargin = 2 * time.Second
	// unavailableBackoff is the time for which a data centre is not used after an order for
	// which no server was available. A data centre whose spot servers were reclaimed has none
	// for about ten seconds.
	unavailableBackoff = 3 * time.Second
	// maxSurplus is the number of surplus servers, as a fraction of those needed, up to which
	// none is released. The size of batches varies, and a server that is ordered again takes
	// its boot time.
	maxSurplus = 0.15
)

// ServersNeeded returns the number of servers for the samples of a step.
func (m ServiceSpec) ServersNeeded(samples int) int {
	if m.SlotsPerServer <= 0 {
		return 0
	}
	return ceilDiv(slotsPerSample*float64(samples), float64(m.SlotsPerServer))
}

// ceilDiv returns a / b, rounded up.
func ceilDiv(a, b float64) int {
	n := int(a / b)
	if float64(n)*b < a {
		n++
	}
	return n
}

// Planner records the orders of all daemons and decides on new ones.
type Planner struct {
	orders        map[Pool]placedOrder
	unavailableAt map[Pool]time.Duration // time of the last order for which no server was available
}

// placedOrder is the last order for servers of one kind in one data centre.
type placedOrder struct {
	count     int
	orderedAt time.Duration
}

// NewPlanner starts without recorded orders.
func NewPlanner() *Planner {
	return &Planner{orders: map[Pool]placedOrder{}, unavailableAt: map[Pool]time.Duration{}}
}

// RecordOrder records an order that was carried out, or may have been.
func (l *Planner) RecordOrder(o Order, at time.Duration) {
	l.orders[o.Pool] = placedOrder{o.Count, at}
	delete(l.unavailableAt, o.Pool)
}

// LastOrdered returns the number of servers in the last order, and false if there was none.
func (l *Planner) LastOrdered(k Pool) (count int, ok bool) {
	o, ok := l.orders[k]
	return o.count, ok
}

// RecordUnavailable records that no server was available for an order.
func (l *Planner) RecordUnavailable(k Pool, at time.Duration) { l.unavailableAt[k] = at }

// Decide returns the orders to give now, sorted by data centre. It only changes the number of
// spot servers.
//
// Spot servers are distributed so that all data centres have the same number of servers,
// because all spot servers of a data centre may be reclaimed at once. Servers that a data
// centre cannot provide, because of its maximum or because none is available, are ordered in
// the others and stay there. Lost servers are ordered again.
func (l *Planner) Decide(m ServiceSpec, v State) []Order {
	if m.SpotPrice <= 0 || v.StepSamples <= 0 {
		return nil
	}
	current := l.currentOrPending(m, v)
	target := maps.Clone(current)
	missing := m.ServersNeeded(v.StepSamples) - totalServers(current)
	switch {
	case missing > 0:
		l.addSpot(m, v, target, missing)
	case float64(-missing) > maxSurplus*float64(m.ServersNeeded(v.StepSamples)):
		removeSpot(target, -missing)
	}
	var orders []Order
	for _, dc := range slices.Sorted(maps.Keys(target)) {
		if target[dc] != current[dc] {
			orders = append(orders, Order{Pool{dc, true}, target[dc].Spot})
		}
	}
	return orders
}

// currentOrPending returns the servers of each data centre, including ordered ones that are
// still booting.
func (l *Planner) currentOrPending(m ServiceSpec, v State) map[string]Servers {
	out := map[string]Servers{}
	for dc := range m.RegularPrices {
		s := v.Servers[dc]
		if last, ok := l.orders[Pool{dc, true}]; ok && v.Now-last.orderedAt < m.BootTime+bootMargin {
			s.Spot = last.count
		}
		out[dc] = s
	}
	return out
}

// totalServers returns the number of servers in all data centres.
func totalServers(servers map[string]Servers) int {
	n := 0
	for _, s := range servers {
		n += s.total()
	}
	return n
}

// total returns the number of regular and spot servers.
func (s Servers) total() int { return s.Regular + s.Spot }

// addSpot adds spot servers one by one, each to the data centre with the fewest servers that
// has capacity.
func (l *Planner) addSpot(m ServiceSpec, v State, servers map[string]Servers, missing int) {
	for ; missing > 0; missing-- {
		target := ""
		for _, dc := range slices.Sorted(maps.Keys(servers)) {
			if servers[dc].total() >= m.MaxPerDataCentre || l.recentlyUnavailable(dc, v.Now) {
				continue
			}
			if target == "" || servers[dc].total() < servers[target].total() {
				target = dc
			}
		}
		if target == "" {
			return
		}
		s := servers[target]
		s.Spot++
		servers[target] = s
	}
}

// recentlyUnavailable reports whether an order of spot servers in a data centre found none
// available within unavailableBackoff.
func (l *Planner) recentlyUnavailable(dc string, now time.Duration) bool {
	at, unavailable := l.unavailableAt[Pool{dc, true}]
	return unavailable && now-at < unavailableBackoff
}

// removeSpot removes spot servers one by one, each from the data centre with the most spot
// servers.
func removeSpot(servers map[string]Servers, surplus int) {
	for ; surplus > 0; surplus-- {
		target := ""
		for _, dc := range slices.Sorted(maps.Keys(servers)) {
			if servers[dc].Spot > 0 && (target == "" || servers[dc].Spot > servers[target].Spot) {
				target = dc
			}
		}
		if target == "" {
			return
		}
		s := servers[target]
		s.Spot--
		servers[target] = s
	}
}
