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

// testCluster simulates the log, the weight store and the engines, which all daemons share.
type testCluster struct {
	mu              sync.Mutex
	records         map[string][]infra.Record   // by stream
	reads           map[ident.VM]map[string]int // reads by stream, for each VM
	logDown         bool
	storeDown       bool
	published       []ident.Version // versions in the weight store
	engines         []EngineState
	allConfigured   bool                        // every upstream counts as configured, even if engines doesn't have it
	highestFence    map[ident.Upstream]int64    // highest fencing token that each engine has seen
	ordersFenced    int                         // orders rejected for their fencing token
	orders          []wire.Order                // carried out, in order
	failingSwitches map[ident.Upstream]bool     // engines whose switches fail
	orderedBy       map[ident.Upstream]ident.VM // VM that sent each engine's last order
}

// newTestCluster returns a cluster with two engines that check fencing tokens (e0, e1) and two
// that don't (e2, e3), all in one data centre.
func newTestCluster() *testCluster {
	c := &testCluster{records: map[string][]infra.Record{}, reads: map[ident.VM]map[string]int{},
		published: []ident.Version{1}, highestFence: map[ident.Upstream]int64{},
		failingSwitches: map[ident.Upstream]bool{}, orderedBy: map[ident.Upstream]ident.VM{}}
	for i := range 4 {
		c.engines = append(c.engines, EngineState{
			Name: ident.Upstream(fmt.Sprint("e", i)), DataCentre: "here", ChecksFencing: i < 2, Up: true,
			Serving: map[ident.Model]ident.Version{model: 1}, Loaded: map[ident.Model][]ident.Version{model: {1}},
		})
	}
	return c
}

func (c *testCluster) withLock(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *testCluster) servingVersions() (versions []ident.Version) {
	c.withLock(func() {
		for _, e := range c.engines {
			versions = append(versions, e.Serving[model])
		}
	})
	return versions
}

// daemonLog is the log as one daemon uses it.
type daemonLog struct {
	*testCluster
	vm ident.VM
}

func (c daemonLog) Append(_ context.Context, stream string, data [][]byte) (ident.Offset, error) {
	time.Sleep(2 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return 0, infra.ErrUnavailable
	}
	for _, d := range data {
		c.records[stream] = append(c.records[stream], infra.Record{Offset: ident.Offset(len(c.records[stream]) + 1), Data: d})
	}
	return ident.Offset(len(c.records[stream])), nil
}

func (c daemonLog) Read(_ context.Context, stream string, from ident.Offset, _ int, _ time.Duration) (infra.Page, error) {
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return infra.Page{}, infra.ErrUnavailable
	}
	if c.reads[c.vm] == nil {
		c.reads[c.vm] = map[string]int{}
	}
	c.reads[c.vm][stream]++
	return infra.Page{First: 1, Records: slices.Clone(c.records[stream][from-1:])}, nil
}

func (c *testCluster) Versions(context.Context, ident.Model) ([]ident.Version, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return nil, infra.ErrUnavailable
	}
	return slices.Clone(c.published), nil
}

func (c *testCluster) configured(up ident.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allConfigured || slices.ContainsFunc(c.engines, func(e EngineState) bool { return e.Name == up })
}

func (c *testCluster) Engines(string) []EngineState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := slices.Clone(c.engines)
	for i := range states {
		states[i].Serving = map[ident.Model]ident.Version{model: states[i].Serving[model]}
		states[i].Loaded = map[ident.Model][]ident.Version{model: slices.Clone(states[i].Loaded[model])}
	}
	return states
}

// testOrderer carries out one daemon's orders.
type testOrderer struct {
	*testCluster
	vm ident.VM
}

func (o testOrderer) Order(_ context.Context, to upstream.Target, order wire.Order) (wire.OrderResult, error) {
	time.Sleep(300 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	e := &o.engines[slices.IndexFunc(o.engines, func(e EngineState) bool { return e.Name == to.Name })]
	if e.ChecksFencing && order.Fence < o.highestFence[to.Name] {
		o.ordersFenced++
		return wire.OrderResult{HighestFence: o.highestFence[to.Name]}, errors.New("fencing token too old")
	}
	o.highestFence[to.Name] = order.Fence
	o.orders = append(o.orders, order)
	o.orderedBy[to.Name] = o.vm
	if order.Kind == wire.OrderLoad {
		e.Loaded[model] = append(e.Loaded[model], ident.Version(order.Version))
		return wire.OrderResult{Applied: true}, nil
	}
	if o.failingSwitches[to.Name] {
		return wire.OrderResult{Error: "switch failed"}, errors.New("switch failed")
	}
	e.Serving[model] = ident.Version(order.Version)
	return wire.OrderResult{Applied: true}, nil
}

// testOwners makes one VM the owner of all engines in a data centre, which can be changed. The
// other VM follows the leases there too, unless the fleet is large.
type testOwners struct {
	mu                sync.Mutex
	defaultOwner      ident.VM
	ownerByDataCentre map[ident.DataCentre]ident.VM // where it isn't defaultOwner
	largeFleet        bool
}

func (o *testOwners) setOwner(vm ident.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.defaultOwner = vm
}

func (o *testOwners) setOwnerIn(dc ident.DataCentre, vm ident.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownerByDataCentre[dc] = vm
}

// ownerView is the ownership as one VM sees it.
type ownerView struct {
	*testOwners
	self ident.VM
}

func (v ownerView) Owns(_ ident.Upstream, dc ident.DataCentre) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vm, ok := v.ownerByDataCentre[dc]; ok {
		return vm == v.self
	}
	return v.defaultOwner == v.self
}

func (v ownerView) Follows(dc ident.DataCentre) bool { return !v.isLargeFleet() || v.Owns("", dc) }

func (o *testOwners) isLargeFleet() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.largeFleet
}

func (o *testOwners) setLargeFleet() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.largeFleet = true
}

type daemon struct {
	*Syncer
	stop func()
}

// withTwoDaemons runs a scenario with daemons a and b in a synctest bubble. At first, a owns
// all engines.
func withTwoDaemons(t *testing.T, scenario func(t *testing.T, c *testCluster, o *testOwners, a, b daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, o := newTestCluster(), &testOwners{defaultOwner: "a", ownerByDataCentre: map[ident.DataCentre]ident.VM{}}
		a, b := startDaemon(c, o, "a"), startDaemon(c, o, "b")
		defer a.stop()
		defer b.stop()
		scenario(t, c, o, a, b)
	})
}

func startDaemon(c *testCluster, o *testOwners, vm ident.VM) daemon {
	s := New(Options{
		Self: vm, Log: daemonLog{c, vm}, Store: c, Engines: c, Orderer: testOrderer{c, vm}, Owners: ownerView{o, vm}, Configured: c.configured,
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
