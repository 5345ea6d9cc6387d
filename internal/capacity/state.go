package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// stateSizes are numbers of upstreams in the configuration of the whole fleet.
var stateSizes = []int{1000, 3000, 6000, 12_000}

// stateChanges are folded one after the other at each size.
const stateChanges = 10

// MeasureState measures in this process, without a daemon, what the configuration's
// state retains, what one change and one unmarshalling cost, and what keys and
// the time line retain. A daemon holds one state, and two while a change is folded.
func MeasureState(context.Context) ([]Sample, error) {
	var samples []Sample
	for _, n := range stateSizes {
		s, err := measureState(n)
		if err != nil {
			return nil, err
		}
		samples = append(samples, s...)
	}
	return append(samples, measureHeld()...), nil
}

func measureState(n int) ([]Sample, error) {
	before := liveHeap()
	state, err := stateOf(n)
	if err != nil {
		return nil, err
	}
	held := Sample{Series: "state of the configuration, upstreams", Size: float64(n), Seconds: 1, Heap: liveHeap() - before}
	data, err := state.Marshal()
	if err != nil {
		return nil, err
	}
	held.Done = float64(len(data))
	change := timed("change to the state, upstreams", n, func(i int) error {
		var v config.Verdict
		state, v, err = replaceOne(state, i)
		if err == nil && !v.Accepted {
			err = fmt.Errorf("capacity: change refused: %s", v.Reason)
		}
		return err
	})
	written := timed("snapshot of the state, upstreams", n, func(int) error {
		_, err := state.Marshal()
		return err
	})
	taken := timed("state taken from a peer, upstreams", n, func(int) error {
		_, err := config.Unmarshal(data)
		return err
	})
	runtime.KeepAlive(state)
	return []Sample{held, change.sample, written.sample, taken.sample}, firstError(change.err, written.err, taken.err)
}

type timing struct {
	sample Sample
	err    error
}

// timed runs do a few times. Nothing runs beside it, so the time is processor time.
func timed(series string, n int, do func(i int) error) timing {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range stateChanges {
		if err := do(i); err != nil {
			return timing{err: err}
		}
	}
	took := time.Since(began).Seconds()
	runtime.ReadMemStats(&after)
	return timing{sample: Sample{
		Series: series, Size: float64(n), Seconds: took, CPU: took, Done: stateChanges,
		Alloc: float64(after.TotalAlloc - before.TotalAlloc), Objects: float64(after.Mallocs - before.Mallocs),
	}}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// stateOf folds in n upstreams.
func stateOf(n int) (*config.State, error) {
	state := config.Empty()
	fleet := config.Fleet{Groups: map[string]config.Group{}}
	for i := range n {
		group := fmt.Sprintf("engines-%02d", i%23)
		if _, ok := fleet.Groups[group]; !ok {
			fleet.Groups[group] = config.Group{Kind: config.KindEngine, Upstreams: map[ident.Upstream]config.Upstream{}}
		}
		fleet.Groups[group].Upstreams[engineName(i)] = config.Upstream{
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), DataCentre: ident.DataCentre(fmt.Sprintf("dc-%02d", i%23)), ChecksFencing: true,
		}
	}
	raw, err := json.Marshal(fleet)
	if err != nil {
		return nil, err
	}
	state, v, err := foldOne(state, 0, config.Op{Value: raw})
	if err == nil && !v.Accepted {
		err = fmt.Errorf("capacity: fleet refused: %s", v.Reason)
	}
	return state, err
}

// replaceOne changes one upstream, as the replacement of a VM does.
func replaceOne(state *config.State, i int) (*config.State, config.Verdict, error) {
	raw, err := json.Marshal(config.Upstream{
		Address: fmt.Sprintf("10.99.0.%d:8000", i), DataCentre: "dc-00", ChecksFencing: true,
	})
	if err != nil {
		return state, config.Verdict{}, err
	}
	return foldOne(state, i+1, config.Op{Path: "groups/engines-00/upstreams/engine-0000", Value: raw})
}

func foldOne(state *config.State, serial int, op config.Op) (*config.State, config.Verdict, error) {
	data, err := config.EncodeRecord(config.Record{Change: &config.Change{
		ID: fmt.Sprintf("state-%d", serial), Branch: config.FleetBranch, Base: state.BranchVersion(config.FleetBranch), Ops: []config.Op{op},
	}})
	if err != nil {
		return state, config.Verdict{}, err
	}
	next, v := state.Fold(state.Through()+1, data)
	return next, v, nil
}
