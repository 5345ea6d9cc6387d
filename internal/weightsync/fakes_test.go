package weightsync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

const model ident.Model = "chat"

// world is the log, the weight store and the engines, as all daemons see them.
type world struct {
	mu        sync.Mutex
	records   map[string][]infra.Record   // by stream
	reads     map[ident.VM]map[string]int // by stream
	logDown   bool
	storeDown bool
	published []ident.Version
	engines   []EngineState
	unlisted  bool // more are configured than engines has
	highest   map[ident.Upstream]int64
	refused   int // orders refused for their fencing number
	orders    []wire.Order
	failing   map[ident.Upstream]bool // switches fail there
	orderedBy map[ident.Upstream]ident.VM
}

// newWorld has two engines that check fencing (e0, e1) and two that don't, all in
// one data centre.
func newWorld() *world {
	w := &world{records: map[string][]infra.Record{}, reads: map[ident.VM]map[string]int{},
		published: []ident.Version{1}, highest: map[ident.Upstream]int64{},
		failing: map[ident.Upstream]bool{}, orderedBy: map[ident.Upstream]ident.VM{}}
	for i := range 4 {
		w.engines = append(w.engines, EngineState{
			Name: ident.Upstream(fmt.Sprint("e", i)), DataCentre: "here", ChecksFencing: i < 2, Up: true,
			Serving: map[ident.Model]ident.Version{model: 1}, Loaded: map[ident.Model][]ident.Version{model: {1}},
		})
	}
	return w
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) serving() (versions []ident.Version) {
	w.set(func() {
		for _, e := range w.engines {
			versions = append(versions, e.Serving[model])
		}
	})
	return versions
}

// daemonLog is the log as one daemon uses it.
type daemonLog struct {
	*world
	vm ident.VM
}

func (w daemonLog) Append(_ context.Context, stream string, data [][]byte) (ident.Offset, error) {
	time.Sleep(2 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.logDown {
		return 0, infra.ErrUnavailable
	}
	for _, d := range data {
		w.records[stream] = append(w.records[stream], infra.Record{Offset: ident.Offset(len(w.records[stream]) + 1), Data: d})
	}
	return ident.Offset(len(w.records[stream])), nil
}

func (w daemonLog) Read(_ context.Context, stream string, from ident.Offset, _ int, _ time.Duration) (infra.Page, error) {
	time.Sleep(20 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.logDown {
		return infra.Page{}, infra.ErrUnavailable
	}
	if w.reads[w.vm] == nil {
		w.reads[w.vm] = map[string]int{}
	}
	w.reads[w.vm][stream]++
	return infra.Page{First: 1, Records: slices.Clone(w.records[stream][from-1:])}, nil
}

func (w *world) Versions(context.Context, ident.Model) ([]ident.Version, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown {
		return nil, infra.ErrUnavailable
	}
	return slices.Clone(w.published), nil
}

func (w *world) configured(up ident.Upstream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unlisted || slices.ContainsFunc(w.engines, func(e EngineState) bool { return e.Name == up })
}

func (w *world) Engines(string) []EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := slices.Clone(w.engines)
	for i := range states {
		states[i].Serving = map[ident.Model]ident.Version{model: states[i].Serving[model]}
		states[i].Loaded = map[ident.Model][]ident.Version{model: slices.Clone(states[i].Loaded[model])}
	}
	return states
}

// orderer carries out one daemon's orders.
type orderer struct {
	*world
	vm ident.VM
}

func (o orderer) Order(_ context.Context, to upstream.Target, order wire.Order) (wire.OrderResult, error) {
	time.Sleep(300 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	e := &o.engines[slices.IndexFunc(o.engines, func(e EngineState) bool { return e.Name == to.Name })]
	if e.ChecksFencing && order.Fence < o.highest[to.Name] {
		o.refused++
		return wire.OrderResult{HighestFence: o.highest[to.Name]}, errors.New("fence too old")
	}
	o.highest[to.Name] = order.Fence
	o.orders = append(o.orders, order)
	o.orderedBy[to.Name] = o.vm
	if order.Kind == wire.OrderLoad {
		e.Loaded[model] = append(e.Loaded[model], ident.Version(order.Version))
		return wire.OrderResult{Applied: true}, nil
	}
	if o.failing[to.Name] {
		return wire.OrderResult{Error: "swap failed"}, errors.New("swap failed")
	}
	e.Serving[model] = ident.Version(order.Version)
	return wire.OrderResult{Applied: true}, nil
}

// owners makes one VM the owner of each data centre's engines; it can change. The
// others follow their leases too, unless the fleet is large.
type owners struct {
	mu        sync.Mutex
	owner     ident.VM
	elsewhere map[ident.DataCentre]ident.VM // other than owner
	large     bool
}

func (o *owners) set(vm ident.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner = vm
}

func (o *owners) setIn(dc ident.DataCentre, vm ident.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.elsewhere[dc] = vm
}

type view struct {
	*owners
	self ident.VM
}

func (v view) Owns(_ ident.Upstream, dc ident.DataCentre) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vm, ok := v.elsewhere[dc]; ok {
		return vm == v.self
	}
	return v.owner == v.self
}

func (v view) Follows(dc ident.DataCentre) bool { return !v.isLarge() || v.Owns("", dc) }

func (o *owners) isLarge() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.large
}

func (o *owners) grow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.large = true
}

type daemon struct {
	*Syncer
	stop func()
}

func inBubble(t *testing.T, scenario func(t *testing.T, w *world, o *owners, a, b daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, o := newWorld(), &owners{owner: "a", elsewhere: map[ident.DataCentre]ident.VM{}}
		a, b := startDaemon(w, o, "a"), startDaemon(w, o, "b")
		defer a.stop()
		defer b.stop()
		scenario(t, w, o, a, b)
	})
}

func startDaemon(w *world, o *owners, vm ident.VM) daemon {
	s := New(Options{
		Self: vm, Log: daemonLog{w, vm}, Store: w, Engines: w, Orderer: orderer{w, vm}, Owners: view{o, vm}, Configured: w.configured,
		Targets: func() []Target { return []Target{{Model: model, Group: "g", StalenessWeight: 1}} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	return daemon{s, func() { cancel(); <-ended }}
}
