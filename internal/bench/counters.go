package bench

import (
	"context"
	"encoding/json"
	"net/http"
)

// counters are the daemons' own, summed over all that answer.
type counters map[string]float64

// counters reads /debug/vars of every daemon.
func (w World) counters(ctx context.Context) counters {
	sum := counters{}
	for n := 1; n <= w.Scenario.Fleet.Daemons; n++ {
		raw, err := send(ctx, http.MethodGet, w.AdminURL(n)+"/debug/vars", AdminToken, nil)
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

func (c counters) minus(other counters) counters {
	out := counters{}
	for name, value := range c {
		if grown := value - other[name]; grown != 0 {
			out[name] = grown
		}
	}
	return out
}
