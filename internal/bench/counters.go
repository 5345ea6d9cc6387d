package bench

import (
	"context"
	"encoding/json"
	"net/http"
)

// counters are values of the daemons' counters by name, summed over daemons.
type counters map[string]float64

// readCounters reads /debug/vars of all daemons. Daemons that don't respond are left out.
func (d Deployment) readCounters(ctx context.Context) counters {
	sum := counters{}
	for n := 1; n <= d.Scenario.Fleet.Daemons; n++ {
		raw, err := send(ctx, http.MethodGet, d.AdminURL(n)+"/debug/vars", AdminToken, nil)
		if err != nil {
			continue
		}
		var vars map[string]any
		if json.Unmarshal(raw, &vars) != nil {
			continue
		}
		for name, value := range vars {
			if number, ok := value.(float64); ok {
				sum[name] += number
			}
		}
	}
	return sum
}

// minus returns the differences from other, without those that are 0.
func (c counters) minus(other counters) counters {
	out := counters{}
	for name, value := range c {
		if difference := value - other[name]; difference != 0 {
			out[name] = difference
		}
	}
	return out
}
