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

// latencyBounds are the inclusive upper bounds of a histogram's buckets in ms. They are about
// a factor of two apart, and range from a call within a data centre to a whole step.
var latencyBounds = []int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000}

// Histogram counts durations in fixed buckets. It is safe for concurrent use.
type Histogram struct {
	buckets [15]atomic.Int64 // counts, not cumulative; the last bucket has no upper bound
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

// Observe adds a duration to the histogram.
func (h *Histogram) Observe(d time.Duration) {
	ms := d.Milliseconds()
	bucket, _ := slices.BinarySearch(latencyBounds, ms)
	h.buckets[bucket].Add(1)
	h.sum.Add(ms)
}

// String returns the counts by upper bound as JSON. It implements expvar.Var.
func (h *Histogram) String() string {
	counts := map[string]int64{}
	for i := range h.buckets {
		counts[bucketLabel(i)] = h.buckets[i].Load()
	}
	data, err := json.Marshal(counts)
	if err != nil {
		return strconv.Quote(err.Error())
	}
	return string(data)
}

// bucketLabel returns the upper bound of bucket i in ms, as text.
func bucketLabel(i int) string {
	if i == len(latencyBounds) {
		return "+Inf"
	}
	return strconv.FormatInt(latencyBounds[i], 10)
}

// WriteText writes all published integers and histograms, one name and value per line.
// Histogram buckets are cumulative.
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
		fmt.Fprintf(w, "%s_bucket{le=%q} %d\n", name, bucketLabel(i), total)
	}
	fmt.Fprintf(w, "%s_count %d\n%s_sum %d\n", name, total, name, h.sum.Load())
}
