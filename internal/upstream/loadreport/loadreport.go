// Package loadreport parses the load that upstreams report with their responses.
package loadreport

import (
	"strconv"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// Bounds of a plausible slowdown. Run times are divided and multiplied by it; far outside of the
// bounds the results do not fit in a time.Duration and become negative.
const (
	minSlowdown = 0.01
	maxSlowdown = 10_000
)

// maxCount bounds each count: an upstream runs one request per connection. Sums of counts cannot
// overflow.
const maxCount = registry.MaxSlots

// Report is the load of an upstream as it reported it.
type Report struct {
	Running  int     // requests that it runs
	Waiting  int     // requests in its queue
	Slots    int     // requests that it runs at a time, at least 1
	Slowdown float64 // how long work takes there now, as a multiple of the usual; 1: as usual
}

// Load returns the number of requests at the upstream, running or waiting.
func (r Report) Load() int { return r.Running + r.Waiting }

// Parse parses a header value of the form "running,waiting,slots" or
// "running,waiting,slots,percent", where percent is the slowdown with 100 as usual. It
// reports false for anything else, so that a broken header is not taken for an idle upstream.
func Parse(header string) (Report, bool) {
	fields := strings.Split(header, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return Report{}, false
	}
	var counts [3]int
	for i := range counts {
		n, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 64)
		if err != nil || n > maxCount {
			return Report{}, false
		}
		counts[i] = int(n)
	}
	r := Report{Running: counts[0], Waiting: counts[1], Slots: counts[2], Slowdown: 1}
	if len(fields) == 4 {
		percent, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
		if err != nil {
			return Report{}, false
		}
		r.Slowdown = percent / 100
	}
	if r.Slots < 1 || !(r.Slowdown >= minSlowdown && r.Slowdown <= maxSlowdown) { // also if Slowdown is NaN
		return Report{}, false
	}
	return r, true
}
