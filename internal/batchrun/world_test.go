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
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// The tests of this package run several daemons' Services over the stand-in store
// and these engines, on testing/synctest's clock.

const (
	testHost    = "h"
	testPath    = "/b/"
	testLease   = 3 * time.Second
	storeAnswer = 4 * time.Millisecond
	callTimeout = 1500 * time.Millisecond
	loadTakes   = 900 * time.Millisecond
	eventTakes  = 30 * time.Millisecond
	scoreTakes  = 200 * time.Millisecond
	rewardPath  = "/rewards/"
)

// vm is one VM of the world: its way to the store, and its daemon while it runs.
type vm struct {
	name    string
	client  *metastore.Client
	mu      sync.Mutex
	service *Service
	cancel  context.CancelFunc
	stopped chan struct{}
}

// current is the daemon that runs now, nil while there is none.
func (v *vm) current() *Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service
}

// world is a fleet.
type world struct {
	t       *testing.T
	start   time.Time
	store   *metastore.Store
	engines *fakeEngines
	scorer  *fakeScorer
	models  []string
	vms     []*vm
	policy  Policy // of the daemons that start from now on
	parts   int    // partitions of a topic
	peers   Peers  // between the daemons, nil: none

	mu        sync.Mutex
	published map[string]int64
}

func newWorld(t *testing.T, seed uint64, vms, engines int, models ...string) *world {
	return newWorldWith(t, Ours(policy.Set{}), seed, 4, vms, engines, models...)
}

func newWorldWith(t *testing.T, policy Policy, seed uint64, parts, vms, engines int, models ...string) *world {
	return newWorldOf(t, worldOptions{policy: policy, seed: seed, parts: parts, vms: vms, engines: engines, models: models})
}

// worldOptions say of what a world is made.
type worldOptions struct {
	policy  Policy // none: ours
	seed    uint64
	parts   int // partitions of a topic
	vms     int
	engines int
	models  []string
	peers   *worldPeers // nil: the daemons don't reach each other
}

func newWorldOf(t *testing.T, o worldOptions) *world {
	if o.policy.Plan == nil {
		o.policy = Ours(policy.Set{})
	}
	w := &world{t: t, policy: o.policy, parts: o.parts, start: time.Now(), store: metastore.New(o.parts), models: o.models, published: map[string]int64{}}
	if o.peers != nil {
		o.peers.w = w
		w.peers = o.peers
	}
	w.engines = newFakeEngines(t, o.seed, o.engines, o.models)
	w.scorer = &fakeScorer{t: t, engines: w.engines, takes: scoreTakes, fails: map[string]int{}}
	w.engines.back = w.register
	for i := range o.vms {
		v := &vm{name: "vm" + strconv.Itoa(i), client: metastore.NewClient(w.store, callTimeout)}
		v.client.SetFaults(metastore.Faults{Latency: storeAnswer})
		w.vms = append(w.vms, v)
		w.boot(v)
	}
	return w
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// boot starts a VM's daemon with nothing in memory.
func (w *world) boot(v *vm) {
	view := fleet.New(w.now)
	view.SetConfig(routes.New(1, []routes.Route{
		{Host: testHost, PathPrefix: testPath, Kind: routes.Batch, Services: []routes.Share{{Service: "engines", Weight: 1}}},
		{Name: "rewards", Host: testHost, PathPrefix: rewardPath, Kind: routes.Safe, MaxAttempts: 4, Services: []routes.Share{{Service: "scorers", Weight: 1}}},
	}, []routes.Service{{Name: "engines", Engine: &routes.Engine{Slots: 8, Models: w.models}}}, routes.Limits{}, nil))
	view.Upstreams(func(r *registry.Registry, now time.Duration) {
		for id := range w.engines.engines {
			r.Put(w.entryOf(id))
		}
	})
	w.mu.Lock()
	for m, version := range w.published {
		view.Publish(m, version)
	}
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s := New(Options{
		VM: v.name, Policy: w.policy, Log: v.client, Membership: v.client, Engines: w.engines, Scorer: w.scorer, View: view, Suspects: health.NewSuspects(), Parts: w.parts,
		Address: v.name, Peers: w.peers, RecordBytes: 4096, CallBytes: 1 << 20, MemberTTL: 1500 * time.Millisecond, OrderLease: testLease,
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

// register has the daemons read an engine's newest entry.
func (w *world) register(id string) {
	for _, v := range w.vms {
		if s := v.current(); s != nil {
			s.options.View.Upstreams(func(r *registry.Registry, _ time.Duration) { r.Put(w.entryOf(id)) })
		}
	}
}

func (w *world) entryOf(id string) registry.Upstream {
	return registry.Upstream{ID: id, Started: w.engines.startOf(id), Service: "engines", Address: id, Slots: 8, Models: w.engines.versionsOf(id)}
}

// kill ends a VM's daemon without letting it write anything more.
func (w *world) kill(v *vm) {
	v.client.SetFaults(metastore.Faults{Cut: true})
	v.mu.Lock()
	cancel, stopped := v.cancel, v.stopped
	v.service = nil
	v.mu.Unlock()
	cancel()
	<-stopped
}

func (w *world) restart(v *vm) {
	v.client.SetFaults(metastore.Faults{Latency: storeAnswer})
	w.boot(v)
}

// publish names new weights, as trainers do.
func (w *world) publish(model string, version int64) {
	w.mu.Lock()
	w.published[model] = version
	w.mu.Unlock()
	for _, v := range w.vms {
		if s := v.current(); s != nil {
			s.options.View.Publish(model, version)
		}
	}
}

func (w *world) stop() {
	for _, v := range w.vms {
		if v.current() != nil {
			w.kill(v)
		}
	}
	time.Sleep(20 * time.Second) // what was on its way ends
}

// sampleBatch makes a batch of samples that no other batch has.
// accept hands batch "b" in at the first VM and returns its samples.
func (w *world) accept(g Gomega, model, id string, groups, size int, minVersion int64) []batch.Item {
	head, items, requests := sampleBatch(model, id, groups, size, minVersion)
	g.Expect(w.vms[0].current().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
	return items
}

func sampleBatch(model, id string, groups, size int, minVersion int64) (batch.Head, []batch.Item, []batch.Request) {
	head := batch.Head{
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
		for i := range items {
			items[i].Reward = rewardOf(items[i].ID)
		}
	}
	return head, items, requestsOf(items)
}

// scoredModel is the one whose samples have reward calls.
const scoredModel = "m1"

func requestsOf(items []batch.Item) []batch.Request {
	var out []batch.Request
	for _, i := range items {
		r := batch.Request{Path: "/run/" + i.ID, Header: map[string]string{"H": i.ID}, Body: []byte("body of " + i.ID)}
		if i.Reward != "" {
			r.Reward = &batch.RewardCall{ID: i.Reward, Host: testHost, Path: rewardPath + i.ID, Body: []byte("score " + i.ID)}
		}
		out = append(out, r)
	}
	return out
}

// dead counts the samples that a batch lists as given up.
func dead(results []Result) int {
	return len(slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.State != batch.Dead }))
}
