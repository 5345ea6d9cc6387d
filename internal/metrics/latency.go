package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// latencyBounds are the upper bounds of a histogram's buckets in ms, about a
// factor of two apart, from a call within a data centre to a whole step.
var latencyBounds = []int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000}

// Histogram counts durations in fixed buckets. It is safe for concurrent use.
type Histogram struct {
	buckets [15]atomic.Int64 // the last one holds what exceeds every bound
	sum     atomic.Int64     // ms
}

// Latency returns the histogram of that name, in ms, and publishes it on first use.
func Latency(name string) *Histogram {
	mu.Lock()
	defer mu.Unlock()
	if h, ok := expvar.Get(name).(*Histogram); ok {
		return h
	}
	h := &Histogram{}
	expvar.Publish(name, h)
	return h
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	ms := d.Milliseconds()
	at, _ := slices.BinarySearch(latencyBounds, ms)
	h.buckets[at].Add(1)
	h.sum.Add(ms)
}

// String returns the counts by upper bound as JSON, for expvar.
func (h *Histogram) String() string {
	counts := map[string]int64{}
	for i := range h.buckets {
		counts[bound(i)] = h.buckets[i].Load()
	}
	data, err := json.Marshal(counts)
	if err != nil {
		return strconv.Quote(err.Error())
	}
	return string(data)
}

func bound(i int) string {
	if i == len(latencyBounds) {
		return "+Inf"
	}
	return strconv.FormatInt(latencyBounds[i], 10)
}

// WriteText writes every published number and histogram as lines of text, a name
// and a value each; histogram buckets are cumulative.
func WriteText(w io.Writer) {
	expvar.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *expvar.Int:
			fmt.Fprintf(w, "%s %d\n", kv.Key, v.Value())
		case *Histogram:
			v.writeText(w, strings.TrimSuffix(kv.Key, "_ms")+"_ms")
		}
	})
}

func (h *Histogram) writeText(w io.Writer, name string) {
	total := int64(0)
	for i := range h.buckets {
		total += h.buckets[i].Load()
		fmt.Fprintf(w, "%s_bucket{le=%q} %d\n", name, bound(i), total)
	}
	fmt.Fprintf(w, "%s_count %d\n%s_sum %d\n", name, total, name, h.sum.Load())
}
