package batchrun

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// The tests of this package run the Services of several daemons with the stand-in store and
// fakeEngines, on the clock of testing/synctest.

const (
	testHost      = "h"
	testPath      = "/b/"
	testLease     = 3 * time.Second
	storeLatency  = 4 * time.Millisecond
	callTimeout   = 1500 * time.Millisecond
	loadDuration  = 900 * time.Millisecond
	eventInterval = 30 * time.Millisecond
	scoreDuration = 200 * time.Millisecond
	rewardPath    = "/rewards/"
	splitPath     = testPath + "split/"
)

// testVM is one VM of a testCluster.
type testVM struct {
	name    string
	client  *metastore.Client // its connection to the store
	mu      sync.Mutex
	service *Service // its daemon, nil while none runs
	cancel  context.CancelFunc
	stopped chan struct{} // closed when the daemon has stopped
}

// daemon is the daemon that runs now, nil while there is none.
func (v *testVM) daemon() *Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service
}

// testCluster is a fleet of daemons with a store, engines and a scorer.
type testCluster struct {
	t       *testing.T
	start   time.Time
	store   *metastore.Store
	engines *fakeEngines
	scorer  *fakeScorer
	models  []string
	// services of the engines
	services []string
	vms      []*testVM
	policy   Policy            // of daemons that are started from now on
	parts    int               // number of partitions of a topic
	memory   *membudget.Budget // of daemons that are started from now on, nil: no bound
	// requestMemory is that of Options, of daemons that are started from now on.
	requestMemory *membudget.Budget
	peers         Peers // connects the daemons, nil if they can't reach each other

	mu        sync.Mutex
	published map[string]int64 // weights version by model
}

func newTestCluster(t *testing.T, seed uint64, vms, engines int, models ...string) *testCluster {
	return newTestClusterWithPolicy(t, DefaultPolicy(policy.Set{}), seed, 4, vms, engines, models...)
}

func newTestClusterWithPolicy(t *testing.T, policy Policy, seed uint64, parts, vms, engines int, models ...string) *testCluster {
	return newTestClusterWithOptions(t, clusterOptions{policy: policy, seed: seed, parts: parts, vms: vms, engines: engines, models: models})
}

// clusterOptions of a testCluster.
type clusterOptions struct {
	memory *membudget.Budget
	// requestMemory is that of Options.
	requestMemory *membudget.Budget
	policy        Policy // the zero Policy stands for Ours
	seed          uint64
	parts         int // number of partitions of a topic
	vms           int
	engines       int
	models        []string
	peers         *clusterPeers // nil if the daemons can't reach each other
	// services that the engines are divided among in turn, one "engines" by default. All serve all
	// models. A second one gets the batches below splitPath.
	services []string
}

func newTestClusterWithOptions(t *testing.T, o clusterOptions) *testCluster {
	if o.policy.PlanSamples == nil {
		o.policy = DefaultPolicy(policy.Set{})
	}
	w := &testCluster{t: t, policy: o.policy, memory: o.memory, requestMemory: o.requestMemory, parts: o.parts, start: time.Now(), store: metastore.New(o.parts), models: o.models, services: o.services, published: map[string]int64{}}
	if len(w.services) == 0 {
		w.services = []string{"engines"}
	}
	if o.peers != nil {
		o.peers.w = w
		w.peers = o.peers
	}
	w.engines = newFakeEngines(t, o.seed, o.engines, o.models)
	w.scorer = &fakeScorer{t: t, engines: w.engines, callDuration: scoreDuration, failuresLeft: map[string]int{}}
	w.engines.onRestart = w.registerEngine
	for i := range o.vms {
		v := &testVM{name: "vm" + strconv.Itoa(i), client: metastore.NewClient(w.store, callTimeout)}
		v.client.SetFaults(metastore.Faults{Latency: storeLatency})
		w.vms = append(w.vms, v)
		w.startDaemon(v)
	}
	return w
}

func (w *testCluster) now() time.Duration { return time.Since(w.start) }

// startDaemon starts a new daemon on a VM.
func (w *testCluster) startDaemon(v *testVM) {
	view := fleet.New(w.now)
	view.SetConfig(w.config(1))
	view.UpdateUpstreams(func(r *registry.Registry, now time.Duration) {
		for _, id := range w.engines.ids() {
			r.Put(w.registryEntry(id))
		}
	})
	w.mu.Lock()
	for m, version := range w.published {
		view.SetPublished(m, version)
	}
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s := New(Options{
		VM: v.name, Policy: w.policy, Log: v.client, Membership: v.client, Engines: w.engines, Scorer: w.scorer, View: view, Suspects: health.NewSuspects(), Partitions: w.parts,
		Address: v.name, Peers: w.peers, RecordBytes: 4096, CallBytes: 1 << 20, TextMemory: w.memory, RequestMemory: w.requestMemory, MemberTTL: 1500 * time.Millisecond, ClaimLease: testLease,
		Now: w.now, Logger: zerolog.Nop(),
	})
	v.mu.Lock()
	v.service, v.cancel, v.stopped = s, cancel, make(chan struct{})
	stopped := v.stopped
	v.mu.Unlock()
	go func() {
		s.Run(ctx)
		close(stopped)
	}()
}

// config returns the configuration of a version.
func (w *testCluster) config(version int64) *routes.Config {
	rules := []routes.Route{
		{Name: "rewards", Host: testHost, PathPrefix: rewardPath, Kind: routes.Safe, MaxAttempts: 4, Services: []routes.WeightedService{{Service: "scorers", Weight: 1}}},
	}
	var services []routes.Service
	for i, name := range w.services {
		services = append(services, routes.Service{Name: name, Engine: &routes.Engine{Slots: 8, Models: w.models}})
		rules = append(rules, routes.Route{Host: testHost, PathPrefix: []string{testPath, splitPath}[i], Kind: routes.Batch, Services: []routes.WeightedService{{Service: name, Weight: 1}}})
	}
	return routes.New(version, rules, services, routes.Limits{}, nil)
}

// serviceOf returns the service of an engine, by its ID: e0, e1 and so on.
func (w *testCluster) serviceOf(engine string) string {
	n, err := strconv.Atoi(engine[1:])
	if err != nil {
		return w.services[0]
	}
	return w.services[n%len(w.services)]
}

// registerEngine gives all daemons the current registry entry of an engine.
func (w *testCluster) registerEngine(id string) {
	for _, v := range w.vms {
		if s := v.daemon(); s != nil {
			s.options.View.UpdateUpstreams(func(r *registry.Registry, _ time.Duration) { r.Put(w.registryEntry(id)) })
		}
	}
}

func (w *testCluster) registryEntry(id string) registry.Upstream {
	return registry.Upstream{ID: id, Started: w.engines.startTimeOf(id), Service: w.serviceOf(id), Address: id, Slots: 8, Models: w.engines.versionsOf(id)}
}

// kill stops a VM's daemon and keeps it from writing anything to the store meanwhile.
func (w *testCluster) kill(v *testVM) {
	v.client.SetFaults(metastore.Faults{Unreachable: true})
	v.mu.Lock()
	cancel, stopped := v.cancel, v.stopped
	v.service = nil
	v.mu.Unlock()
	cancel()
	<-stopped
}

// restart starts a daemon again on a VM where it was killed.
func (w *testCluster) restart(v *testVM) {
	v.client.SetFaults(metastore.Faults{Latency: storeLatency})
	w.startDaemon(v)
}

// publish publishes a new weights version, as trainers do.
func (w *testCluster) publish(model string, version int64) {
	w.mu.Lock()
	w.published[model] = version
	w.mu.Unlock()
	for _, v := range w.vms {
		if s := v.daemon(); s != nil {
			s.options.View.SetPublished(model, version)
		}
	}
}

func (w *testCluster) stop() {
	for _, v := range w.vms {
		if v.daemon() != nil {
			w.kill(v)
		}
	}
	time.Sleep(20 * time.Second) // operations in progress end
}

// submitBatch submits a new batch with the ID "b" to the first VM and returns its samples.
func (w *testCluster) submitBatch(g Gomega, model, id string, groups, size int, minVersion int64) []batch.Item {
	head, items, requests := newBatch(model, id, groups, size, minVersion)
	g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
	return items
}

// newBatch returns a batch with samples that no other batch has.
func newBatch(model, id string, groups, size int, minVersion int64) (batch.Header, []batch.Item, []batch.Request) {
	head := batch.Header{
		Host: testHost, Path: testPath, Model: model, MinVersion: minVersion, WantedGroups: groups,
		MaxAttempts: 3, RetentionMS: 40_000, TargetMS: 7500,
	}
	var items []batch.Item
	for g := range groups {
		for n := range size {
			items = append(items, batch.Item{ID: fmt.Sprintf("%s-%s-%d-%d", model, id, g, n), Group: strconv.Itoa(g)})
		}
	}
	if model == scoredModel {
		head.Customer = testCustomer
		for i := range items {
			items[i].RewardCallID = rewardCallID(items[i].ID)
		}
	}
	return head, items, requestsOf(items)
}

// scoredModel is the model whose samples have reward calls.
const scoredModel = "m1"

// requestsOf returns the samples' requests, which fakeEngines checks.
func requestsOf(items []batch.Item) []batch.Request {
	var out []batch.Request
	for _, i := range items {
		r := batch.Request{Path: "/run/" + i.ID, Header: map[string]string{"H": i.ID}, Body: []byte("body of " + i.ID)}
		if i.RewardCallID != "" {
			r.RewardCall = &batch.RewardCall{ID: i.RewardCallID, Host: testHost, Path: rewardPath + i.ID, Body: []byte("score " + i.ID)}
		}
		out = append(out, r)
	}
	return out
}

// countGivenUp counts the results of samples that were given up.
func countGivenUp(results []Result) int {
	return len(slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.State != batch.GivenUp }))
}
