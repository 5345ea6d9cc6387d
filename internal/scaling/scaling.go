// Package scaling decides how many servers of a service are wanted in each data centre, and
// of which kind. It is pure: what is there, what is asked for and time go in, orders come
// out. Not safe for concurrent use.
//
// What decides is the samples of a step, which are wanted all at once, and not how many run
// in the mean: between the starts of two steps most places are free, and a server ordered
// when a step begins boots for as long as steps are apart. So the servers for a step's start
// are there all the time. Those beyond the ones found are spot servers, at a part of the
// price: a sample whose server is taken away goes on elsewhere behind its last event.
package scaling

import (
	"maps"
	"slices"
	"time"
)

// Market is what may be ordered for a service.
type Market struct {
	Min, Max int           // servers of a data centre, both kinds together
	Boot     time.Duration // from an order until its servers serve
	// SpotPrice is a spot server's price as a part of a regular one's; 0: there are none.
	SpotPrice float64
	// Prices of a regular server, by data centre. Servers can be ordered in these.
	Prices map[string]float64
	Slots  int // samples that a server runs at once
}

// Servers are a service's servers in one data centre that aren't leaving.
type Servers struct{ Regular, Spot int }

// Key is what one order is about.
type Key struct {
	DataCentre string `cbor:"1,keyasint"`
	Spot       bool   `cbor:"2,keyasint,omitempty"`
}

// Order asks for so many servers of a kind in a data centre, those there included.
type Order struct {
	Key
	Count int `cbor:"3,keyasint"`
}

// View is what is known when it is looked what to order.
type View struct {
	Now   time.Duration
	There map[string]Servers // by data centre
	// Samples of one batch of each model of the service together, 0 unknown.
	Samples int
}

const (
	// roomForStep is how many places there are for each sample of a step. With a place for
	// each, all of a step's samples begin at once, and the longest one, which ends the step,
	// shares its server with fewer others.
	roomForStep = 1.0
	// bootMargin is added to the boot time before servers that don't show count as lost:
	// their entries are read some hundred ms later.
	bootMargin = 2 * time.Second
	// refusedPause follows an order of which none was available; a data centre whose spot
	// servers were taken back has none for some ten seconds.
	refusedPause = 3 * time.Second
	// spare is the part of the wanted servers that may be too many before some are given
	// back: batches vary, and a server that comes back costs its boot time.
	spare = 0.15
)

// Wanted is how many servers a step's samples take.
func (m Market) Wanted(samples int) int {
	if m.Slots <= 0 {
		return 0
	}
	return ceil(roomForStep*float64(samples), float64(m.Slots))
}

func ceil(a, b float64) int {
	n := int(a / b)
	if float64(n)*b < a {
		n++
	}
	return n
}

// Ledger remembers orders, whoever gave them.
type Ledger struct {
	orders  map[Key]placed
	refused map[Key]time.Duration // when none was available
}

type placed struct {
	count int
	at    time.Duration
}

// NewLedger returns a ledger without orders.
func NewLedger() *Ledger {
	return &Ledger{orders: map[Key]placed{}, refused: map[Key]time.Duration{}}
}

// Ordered notes an order that was given, or may have been.
func (l *Ledger) Ordered(o Order, at time.Duration) {
	l.orders[o.Key] = placed{o.Count, at}
	delete(l.refused, o.Key)
}

// Last returns how many servers were ordered last.
func (l *Ledger) Last(k Key) (count int, ok bool) {
	o, ok := l.orders[k]
	return o.count, ok
}

// Refused notes that none was available.
func (l *Ledger) Refused(k Key, at time.Duration) { l.refused[k] = at }

// Decide returns the orders to give now, by data centre. Regular servers are left as they
// are.
//
// Spot servers are spread so that the data centres have equally many servers: all spot
// servers of one are taken away at once. What one has no room for, or has none of now, the
// others take, and keep. Servers that are lost are ordered again.
func (l *Ledger) Decide(m Market, v View) []Order {
	if m.SpotPrice <= 0 || v.Samples <= 0 {
		return nil
	}
	held := l.held(m, v)
	wanted := maps.Clone(held)
	missing := m.Wanted(v.Samples) - total(held)
	switch {
	case missing > 0:
		l.grow(m, v, wanted, missing)
	case float64(-missing) > spare*float64(m.Wanted(v.Samples)):
		shrink(wanted, -missing)
	}
	var out []Order
	for _, dc := range slices.Sorted(maps.Keys(wanted)) {
		if wanted[dc] != held[dc] {
			out = append(out, Order{Key{dc, true}, wanted[dc].Spot})
		}
	}
	return out
}

// held returns the servers that are there or on their way.
func (l *Ledger) held(m Market, v View) map[string]Servers {
	out := map[string]Servers{}
	for dc := range m.Prices {
		s := v.There[dc]
		if last, ok := l.orders[Key{dc, true}]; ok && v.Now-last.at < m.Boot+bootMargin {
			s.Spot = last.count
		}
		out[dc] = s
	}
	return out
}

func total(servers map[string]Servers) int {
	n := 0
	for _, s := range servers {
		n += s.all()
	}
	return n
}

func (s Servers) all() int { return s.Regular + s.Spot }

// grow adds spot servers, one at a time to the data centre with the fewest servers.
func (l *Ledger) grow(m Market, v View, servers map[string]Servers, missing int) {
	for ; missing > 0; missing-- {
		next := ""
		for _, dc := range slices.Sorted(maps.Keys(servers)) {
			if servers[dc].all() >= m.Max || l.closed(dc, v.Now) {
				continue
			}
			if next == "" || servers[dc].all() < servers[next].all() {
				next = dc
			}
		}
		if next == "" {
			return
		}
		s := servers[next]
		s.Spot++
		servers[next] = s
	}
}

// closed reports whether a data centre had no spot server a moment ago.
func (l *Ledger) closed(dc string, now time.Duration) bool {
	at, refused := l.refused[Key{dc, true}]
	return refused && now-at < refusedPause
}

// shrink takes spot servers away, one at a time from the data centre with the most of them.
func shrink(servers map[string]Servers, surplus int) {
	for ; surplus > 0; surplus-- {
		next := ""
		for _, dc := range slices.Sorted(maps.Keys(servers)) {
			if servers[dc].Spot > 0 && (next == "" || servers[dc].Spot > servers[next].Spot) {
				next = dc
			}
		}
		if next == "" {
			return
		}
		s := servers[next]
		s.Spot--
		servers[next] = s
	}
}
