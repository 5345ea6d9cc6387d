package capacity

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

// A run is one daemon's life: it measures one or several points.
type run func(ctx context.Context, w *World, size int) ([]Sample, error)

// The series. "data" measures the data path and what comes by the second, at
// sizes of its own; the others are started once for each size.
const (
	seriesPeers     = "peers"
	seriesUpstreams = "upstreams"
	seriesCentre    = "centre"
	seriesEntries   = "entries"
	seriesSamples   = "samples"
	seriesList      = "list"
	seriesData      = "data"
)

var runs = map[string]run{
	seriesPeers:     measurePeers,
	seriesUpstreams: measureUpstreams,
	seriesCentre:    measureCentre,
	seriesEntries:   measureEntries,
	seriesSamples:   measureSamples,
	seriesList:      measureList,
	seriesData:      measureData,
}

// Series names the series that Run knows.
func Series() []string { return slices.Sorted(maps.Keys(runs)) }

const (
	window      = 6 * time.Second
	shortWindow = 4 * time.Second
	settle      = 2 * time.Second
	baseEngines = 50 // where the number of upstreams isn't what is measured
)

// Run measures one size of a series against the daemon that runs beside this process.
func Run(ctx context.Context, o Options, series string, size int) ([]Sample, error) {
	measure, ok := runs[series]
	if !ok {
		return nil, fmt.Errorf("capacity: series %q, want one of %v", series, Series())
	}
	w, err := NewWorld(o)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return measure(ctx, w, size)
}

// begin brings the daemon into service with so many engines.
func (w *World) begin(ctx context.Context, engines int) error {
	if err := w.startUpstreams(engines); err != nil {
		return err
	}
	if err := w.publishBase(ctx, engines); err != nil {
		return err
	}
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	pause(ctx, settle)
	return nil
}

// measurePeers: the exchange with n peers, at rest and while all counts change.
// The load on the daemon's own upstreams is the same at each size.
func measurePeers(ctx context.Context, w *World, n int) ([]Sample, error) {
	if err := w.begin(ctx, baseEngines); err != nil {
		return nil, err
	}
	if err := w.startPeers(n); err != nil {
		return nil, err
	}
	pause(ctx, settle)
	idle, err := w.measure(ctx, "peers, idle", n, rest(window))
	if err != nil {
		return nil, err
	}
	churning, stop := context.WithCancel(ctx)
	defer stop()
	go w.peers.churn(churning)
	c := newCallers(w.options)
	busy, err := w.measure(ctx, "peers, at work", n, c.during(window, func(ctx context.Context) {
		atRate(ctx, 20, func(ctx context.Context) { c.completion(ctx, 2, 500*time.Millisecond, false) })
	}))
	return []Sample{idle, busy}, err
}

// measureUpstreams: n engines at rest, and with a request in flight at a quarter
// of them. The lone daemon holds the leases of all.
func measureUpstreams(ctx context.Context, w *World, n int) ([]Sample, error) {
	if err := w.begin(ctx, n); err != nil {
		return nil, err
	}
	idle, err := w.measure(ctx, "upstreams, idle", n, rest(window))
	if err != nil {
		return nil, err
	}
	c := newCallers(w.options)
	busy, err := w.measure(ctx, "upstreams, at work", n, c.during(window, func(ctx context.Context) {
		keepBusy(ctx, n/4, func(ctx context.Context) { c.completion(ctx, 2, time.Second, false) })
	}))
	return []Sample{idle, busy}, err
}

// entrySizes are the numbers of jobs in the configuration, teamEntries how many
// a team may have.
var entrySizes = []int{10, 100, 300, 1000, 3000}

const (
	teamEntries      = 1000
	changesPerSecond = 20
)

// measureEntries: changes to a configuration that grows. What the daemon spends
// at rest in a window of the same length is taken off.
func measureEntries(ctx context.Context, w *World, _ int) ([]Sample, error) {
	if err := w.begin(ctx, baseEngines); err != nil {
		return nil, err
	}
	var samples []Sample
	have := 0
	for _, n := range entrySizes {
		if err := w.addEntries(ctx, have, n); err != nil {
			return samples, err
		}
		have = n
		pause(ctx, time.Second)
		still, err := w.measure(ctx, "at rest", n, rest(shortWindow))
		if err != nil {
			return samples, err
		}
		s, err := w.measure(ctx, "configuration entries", n, func(ctx context.Context) (int64, int64, error) {
			return w.changeEntries(ctx, shortWindow)
		})
		if err != nil {
			return samples, err
		}
		s.CPU, s.Alloc = s.CPU-still.CPU, s.Alloc-still.Alloc
		samples = append(samples, s)
	}
	return samples, nil
}

// measureSamples: one step of n short samples, from its submission until the
// trainer holds it.
func measureSamples(ctx context.Context, w *World, n int) ([]Sample, error) {
	if err := w.begin(ctx, baseEngines); err != nil {
		return nil, err
	}
	if err := w.runStep(ctx, 1, 512); err != nil { // opens connections, fills caches
		return nil, err
	}
	s, err := w.measure(ctx, "samples of a step", n, func(ctx context.Context) (int64, int64, error) {
		return int64(n), 0, w.runStep(ctx, 2, n)
	})
	return []Sample{s}, err
}
