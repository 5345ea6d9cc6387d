// Package metrics publishes counters and gauges through expvar.
package metrics

import (
	"expvar"
	"sync"
)

var mu sync.Mutex

// Counter returns the counter of that name and publishes it on first use.
func Counter(name string) *expvar.Int { return lookup(name) }

// Gauge returns the gauge of that name and publishes it on first use.
func Gauge(name string) *expvar.Int { return lookup(name) }

// lookup guards expvar.Publish, which ends the process when a name comes twice.
func lookup(name string) *expvar.Int {
	mu.Lock()
	defer mu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Int); ok {
		return v
	}
	return expvar.NewInt(name)
}
