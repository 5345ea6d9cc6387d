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

// The tests of this package run the duties of several daemons with real claims and real
// ownership of partitions, a fake store and a fake platform, on testing/synctest's clock.

const (
	parts        = 8 // of each topic
	lease        = 3 * time.Second
	storeLatency = 4 * time.Millisecond
	callTimeout  = 1200 * time.Millisecond // of calls to the platform
)

var timing = usage.Timing{Windows: usage.Windows{Length: 5 * time.Second}, Due: 10 * time.Second}

// noEngines implements batchrun.Engines. It is never called, since there are no batches.
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

// testVM is a VM: its clients of the store and of the platform, and its daemon.
type testVM struct {
	name     string
	store    *metastore.Client
	platform *dutyapi.Client

	mu     sync.Mutex
	cancel context.CancelFunc    // kills the daemon
	counts *duties.UsageRecorder // nil: the daemon gets no calls
	owns   func() []int          // partitions that the daemon owns
}

// testCluster is a fleet, and the true counts of the calls that its daemons get.
type testCluster struct {
	t       *testing.T
	g       *WithT
	start   time.Time
	store   *metastore.Store
	api     *dutyapi.API
	vms     []*testVM
	newRank func(context.Context, *testVM, *batchrun.Service) duties.RankFunc

	mu          sync.Mutex
	stepSamples int                      // samples of one batch
	truth       map[int64]map[string]int // requests that started to run, by window and customer
}

// rankByPartition ranks daemons as production does.
func rankByPartition(_ context.Context, _ *testVM, b *batchrun.Service) duties.RankFunc {
	return duties.RankByPartition(b.OwnedPartitions, parts, duties.MaxCandidates)
}

func newTestCluster(t *testing.T, vms int, o dutyapi.Options) *testCluster {
	o.LeaseDuration = lease
	c := &testCluster{t: t, g: NewWithT(t), start: time.Now(), store: metastore.New(parts), api: dutyapi.New(o), truth: map[int64]map[string]int{}, newRank: rankByPartition}
	for i := range vms {
		v := &testVM{name: fmt.Sprint("vm", i), store: metastore.NewClient(c.store, 1500*time.Millisecond), platform: dutyapi.NewClient(c.api, callTimeout)}
		v.store.SetFaults(metastore.Faults{Latency: storeLatency})
		v.platform.SetFaults(dutyapi.Faults{Latency: 10 * time.Millisecond})
		c.vms = append(c.vms, v)
	}
	return c
}

func (c *testCluster) now() time.Duration { return time.Since(c.start) }

// market describes the servers of service that may be ordered. Each data centre has ten
// regular servers, so that together they run up to 240 samples at once.
var market = scaling.ServiceSpec{MinPerDataCentre: 1, MaxPerDataCentre: 20, BootTime: 4 * time.Second, SpotPrice: 0.22, RegularPrices: map[string]float64{"a": 1, "b": 1, "c": 1}, SlotsPerServer: 8}

const service = "engines"

// scaledServices returns the servers as every daemon sees them.
func (c *testCluster) scaledServices() []duties.ScaledService {
	there := c.api.Servers(service, market.BootTime)
	for dc := range market.RegularPrices {
		s := there[dc]
		s.Regular = 10
		there[dc] = s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return []duties.ScaledService{{Service: service, Spec: market, Servers: there, StepSamples: c.stepSamples}}
}

// setStepSamples sets the number of samples of one batch.
func (c *testCluster) setStepSamples(samples int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepSamples = samples
}

// spotServers returns the number of spot servers that have booted, by data centre.
func (c *testCluster) spotServers() map[string]int {
	out := map[string]int{}
	for dc, s := range c.api.Servers(service, market.BootTime) {
		out[dc] = s.Spot
	}
	return out
}

// startAllDaemons starts the daemon of every VM.
func (c *testCluster) startAllDaemons() {
	for _, v := range c.vms {
		c.startDaemon(v)
	}
}

// startDaemon starts a VM's daemon.
func (c *testCluster) startDaemon(v *testVM) {
	ctx, cancel := context.WithCancel(context.Background())
	log := zerolog.Nop()
	batches := batchrun.New(batchrun.Options{
		VM: v.name, Policy: batchrun.DefaultPolicy(policy.Set{}), Log: v.store, Membership: v.store, Engines: noEngines{}, View: fleet.New(c.now), Suspects: health.NewSuspects(),
		Partitions: parts, RecordBytes: 1 << 18, CallBytes: 1 << 21, MemberTTL: 1500 * time.Millisecond, ClaimLease: lease, Now: c.now, Logger: log,
	})
	counts := duties.NewUsageRecorder(duties.UsageRecorderOptions{Log: v.store, Usage: &timing, Now: c.now, Clock: time.Now, Logger: log})
	service := duties.New(duties.Options{
		VM: v.name, Log: v.store, Claims: batches, Rank: c.newRank(ctx, v, batches), Platform: v.platform, Usage: &timing, ScaledServices: c.scaledServices, Now: c.now, Clock: time.Now, Logger: log,
	})
	v.mu.Lock()
	v.cancel, v.counts, v.owns = cancel, counts, batches.OwnedPartitions
	v.mu.Unlock()
	go batches.Run(ctx)
	go counts.Run(ctx)
	go service.Run(ctx)
}

// injectStoreFaults injects faults into the store clients of VMs for a time.
func injectStoreFaults(vms []*testVM, f metastore.Faults, duration time.Duration) {
	for _, v := range vms {
		v.store.SetFaults(f)
	}
	time.Sleep(duration)
	for _, v := range vms {
		v.store.SetFaults(metastore.Faults{Latency: storeLatency})
	}
}

// injectPlatformFaults injects faults into the platform clients of VMs for a time.
func injectPlatformFaults(vms []*testVM, f dutyapi.Faults, duration time.Duration) {
	for _, v := range vms {
		v.platform.SetFaults(f)
	}
	time.Sleep(duration)
	for _, v := range vms {
		v.platform.SetFaults(dutyapi.Faults{Latency: 10 * time.Millisecond})
	}
}

// storeRefuses makes the store refuse every call.
var storeRefuses = metastore.Faults{Latency: storeLatency, Refuse: true}

// newRandom returns a seeded source of random numbers below n. It is safe for concurrent use.
func newRandom(seed uint64) func(n int) int {
	random := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}

// killDaemon stops a VM's daemon without a shutdown.
func (c *testCluster) killDaemon(v *testVM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cancel()
	v.counts = nil
	v.owns = func() []int { return nil }
}

// killAllDaemons kills the daemon of every VM.
func (c *testCluster) killAllDaemons() {
	for _, v := range c.vms {
		c.killDaemon(v)
	}
}

// holder returns the VM of rank 0, or nil if no VM owns the last partition.
func (c *testCluster) holder() *testVM {
	for _, v := range c.vms {
		v.mu.Lock()
		owns := v.owns
		v.mu.Unlock()
		if rank, ok := duties.RankByPartition(owns, parts, duties.MaxCandidates)(); ok && rank == 0 {
			return v
		}
	}
	return nil
}

// generateCalls makes calls of several customers to random live VMs until a time, at random
// intervals with this mean.
func (c *testCluster) generateCalls(seed uint64, meanInterval, until time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	for c.now() < until {
		time.Sleep(time.Duration(float64(meanInterval) * 2 * random.Float64()))
		v := c.vms[random.IntN(len(c.vms))]
		v.mu.Lock()
		counts := v.counts
		v.mu.Unlock()
		if counts == nil {
			continue // the load balancer sends no calls to a daemon that is down
		}
		customer, at := fmt.Sprint("c", random.IntN(5)), time.Now()
		counts.RecordRun(customer, 0)
		c.mu.Lock()
		k := timing.Windows.IndexAt(at)
		if c.truth[k] == nil {
			c.truth[k] = map[string]int{}
		}
		c.truth[k][customer]++
		c.mu.Unlock()
	}
}

// correctReports returns the number of windows that ended between two times, and how many of
// them have a report with the true counts that arrived in time.
func (c *testCluster) correctReports(from, to time.Duration) (correct, all int) {
	reports := c.api.Reports()
	for k := timing.Windows.IndexAt(c.start.Add(from)) + 1; !timing.Windows.End(k).After(c.start.Add(to)); k++ {
		all++
		r, ok := reports[k]
		if ok && maps.Equal(r.Counts, orEmpty(c.truth[k])) && r.AcceptedAt.Sub(timing.Windows.End(k)) <= timing.Due {
			correct++
			continue
		}
		c.t.Logf("window %d, ended at %v: reported %v, with counts %v, true counts %v, %v after its end", k, timing.Windows.End(k).Sub(c.start), ok, r.Counts, c.truth[k], r.AcceptedAt.Sub(timing.Windows.End(k)))
	}
	return correct, all
}

func orEmpty(m map[string]int) map[string]int {
	if m == nil {
		return map[string]int{}
	}
	return m
}

// expectNoViolations fails the test if the platform saw calls that the duties must not make.
func (c *testCluster) expectNoViolations() { c.g.Expect(c.api.Violations()).To(BeEmpty()) }
