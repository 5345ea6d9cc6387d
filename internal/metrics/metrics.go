// Package metrics publishes counters, gauges and histograms through expvar.
package metrics

import (
	"expvar"
	"sync"
)

// mu guards the lookup and publication of names.
var mu sync.Mutex

// Counter returns the counter of that name and publishes it on first use.
func Counter(name string) *expvar.Int { return lookup(name) }

// Gauge returns the gauge of that name and publishes it on first use.
func Gauge(name string) *expvar.Int { return lookup(name) }

// lookup returns the variable of that name and publishes it on first use, since expvar.Publish
// panics if a name is published twice.
func lookup(name string) *expvar.Int {
	mu.Lock()
	defer mu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Int); ok {
		return v
	}
	return expvar.NewInt(name)
}
