package duties_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/duties"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/dutyapi"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// The tests of this package run several daemons' duties over the stand-in store, with real
// claims and ownership of partitions, against the stand-in of the platform, on
// testing/synctest's clock.

const (
	parts       = 8
	lease       = 3 * time.Second
	storeAnswer = 4 * time.Millisecond
	callTimeout = 1200 * time.Millisecond
)

var timing = usage.Timing{Windows: usage.Windows{Length: 5 * time.Second}, Due: 10 * time.Second}

// noEngines are asked for nothing: no batches come.
type noEngines struct{}

func (noEngines) Run(context.Context, registry.Upstream, batchrun.SampleRun, func(batch.Event)) error {
	return batchrun.ErrRefused
}

func (noEngines) Report(context.Context, registry.Upstream) (batchrun.Report, error) {
	return batchrun.Report{}, nil
}

func (noEngines) Load(context.Context, registry.Upstream, batchrun.LoadOrder) (batchrun.LoadOutcome, error) {
	return batchrun.LoadRejected, nil
}

// vm is one VM: its ways to the store and to the platform, and its daemon while it runs.
type vm struct {
	name     string
	store    *metastore.Client
	platform *dutyapi.Client

	mu     sync.Mutex
	cancel context.CancelFunc
	counts *duties.Counts
	owns   func() []int
}

// world is a fleet and the calls that its daemons count.
type world struct {
	t     *testing.T
	g     *WithT
	start time.Time
	store *metastore.Store
	api   *dutyapi.API
	vms   []*vm
	turns func(context.Context, *vm, *batchrun.Service) duties.Turn

	mu      sync.Mutex
	samples int                      // of a step
	truth   map[int64]map[string]int // what upstreams began, by window and customer
}

// ownersTurn is the rule in force.
func ownersTurn(_ context.Context, _ *vm, b *batchrun.Service) duties.Turn {
	return duties.ByPartition(b.Owns, parts, duties.Candidates)
}

func newWorld(t *testing.T, vms int, o dutyapi.Options) *world {
	o.Lease = lease
	w := &world{t: t, g: NewWithT(t), start: time.Now(), store: metastore.New(parts), api: dutyapi.New(o), truth: map[int64]map[string]int{}, turns: ownersTurn}
	for i := range vms {
		v := &vm{name: fmt.Sprint("vm", i), store: metastore.NewClient(w.store, 1500*time.Millisecond), platform: dutyapi.NewClient(w.api, callTimeout)}
		v.store.SetFaults(metastore.Faults{Latency: storeAnswer})
		v.platform.SetFaults(dutyapi.Faults{Latency: 10 * time.Millisecond})
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// market and service are those of the servers that may be ordered. Each data centre has ten
// regular ones, with places for 240 samples together.
var market = scaling.Market{Min: 1, Max: 20, Boot: 4 * time.Second, SpotPrice: 0.22, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}, Slots: 8}

const service = "engines"

// scaled is what every daemon sees of the servers.
func (w *world) scaled() []duties.Scaled {
	there := w.api.Servers(service, market.Boot)
	for dc := range market.Prices {
		s := there[dc]
		s.Regular = 10
		there[dc] = s
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return []duties.Scaled{{Service: service, Market: market, There: there, Samples: w.samples}}
}

// demand changes the samples of a step.
func (w *world) demand(samples int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples = samples
}

// spot returns the spot servers that serve, by data centre.
func (w *world) spot() map[string]int {
	out := map[string]int{}
	for dc, s := range w.api.Servers(service, market.Boot) {
		out[dc] = s.Spot
	}
	return out
}

func (w *world) bootAll() {
	for _, v := range w.vms {
		w.boot(v)
	}
}

// boot starts a VM's daemon.
func (w *world) boot(v *vm) {
	ctx, cancel := context.WithCancel(context.Background())
	log := zerolog.Nop()
	batches := batchrun.New(batchrun.Options{
		VM: v.name, Policy: batchrun.Ours(policy.Set{}), Log: v.store, Membership: v.store, Engines: noEngines{}, View: fleet.New(w.now), Suspects: health.NewSuspects(),
		Parts: parts, RecordBytes: 1 << 18, CallBytes: 1 << 21, MemberTTL: 1500 * time.Millisecond, OrderLease: lease, Now: w.now, Logger: log,
	})
	counts := duties.NewCounts(duties.CountsOptions{Log: v.store, Usage: &timing, Now: w.now, Clock: time.Now, Logger: log})
	service := duties.New(duties.Options{
		VM: v.name, Log: v.store, Claims: batches, Turn: w.turns(ctx, v, batches), Platform: v.platform, Usage: &timing, Scaled: w.scaled, Now: w.now, Clock: time.Now, Logger: log,
	})
	v.mu.Lock()
	v.cancel, v.counts, v.owns = cancel, counts, batches.Owns
	v.mu.Unlock()
	go batches.Run(ctx)
	go counts.Run(ctx)
	go service.Run(ctx)
}

// storeFaults has VMs suffer faults of the store for a time.
func storeFaults(vms []*vm, f metastore.Faults, span time.Duration) {
	for _, v := range vms {
		v.store.SetFaults(f)
	}
	time.Sleep(span)
	for _, v := range vms {
		v.store.SetFaults(metastore.Faults{Latency: storeAnswer})
	}
}

// platformFaults is the same for faults of the platform.
func platformFaults(vms []*vm, f dutyapi.Faults, span time.Duration) {
	for _, v := range vms {
		v.platform.SetFaults(f)
	}
	time.Sleep(span)
	for _, v := range vms {
		v.platform.SetFaults(dutyapi.Faults{Latency: 10 * time.Millisecond})
	}
}

// refusing is a store that refuses every call.
var refusing = metastore.Faults{Latency: storeAnswer, Refuse: true}

// dice returns throws of a seed, safe for concurrent use.
func dice(seed uint64) func(n int) int {
	random := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}

// kill ends a VM's daemon at once.
func (w *world) kill(v *vm) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cancel()
	v.counts = nil
	v.owns = func() []int { return nil }
}

// killAll ends every daemon.
func (w *world) killAll() {
	for _, v := range w.vms {
		w.kill(v)
	}
}

// holder is the VM whose turn it is, nil if none owns the last partition.
func (w *world) holder() *vm {
	for _, v := range w.vms {
		v.mu.Lock()
		owns := v.owns
		v.mu.Unlock()
		if rank, ok := duties.ByPartition(owns, parts, duties.Candidates)(); ok && rank == 0 {
			return v
		}
	}
	return nil
}

// calls has callers of some customers ask at the VMs that live, until the time is up.
func (w *world) calls(seed uint64, every, until time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	for w.now() < until {
		time.Sleep(time.Duration(float64(every) * 2 * random.Float64()))
		v := w.vms[random.IntN(len(w.vms))]
		v.mu.Lock()
		counts := v.counts
		v.mu.Unlock()
		if counts == nil {
			continue // the balancer sends nobody there
		}
		customer, at := fmt.Sprint("c", random.IntN(5)), time.Now()
		counts.Began(customer, 0)
		w.mu.Lock()
		k := timing.Windows.IndexAt(at)
		if w.truth[k] == nil {
			w.truth[k] = map[string]int{}
		}
		w.truth[k][customer]++
		w.mu.Unlock()
	}
}

// right counts the windows that ended between two times whose reports are right and in time,
// and all of them.
func (w *world) right(from, to time.Duration) (right, all int) {
	reports := w.api.Reports()
	for k := timing.Windows.IndexAt(w.start.Add(from)) + 1; !timing.Windows.End(k).After(w.start.Add(to)); k++ {
		all++
		r, ok := reports[k]
		if ok && maps.Equal(r.Counts, orEmpty(w.truth[k])) && r.At.Sub(timing.Windows.End(k)) <= timing.Due {
			right++
			continue
		}
		w.t.Logf("window %d, ended at %v: reported %v, known %v, counted %v, %v after its end", k, timing.Windows.End(k).Sub(w.start), ok, r.Counts, w.truth[k], r.At.Sub(timing.Windows.End(k)))
	}
	return right, all
}

func orEmpty(m map[string]int) map[string]int {
	if m == nil {
		return map[string]int{}
	}
	return m
}

// promises fails the test if the platform saw a promise broken.
func (w *world) promises() { w.g.Expect(w.api.Violations()).To(BeEmpty()) }
