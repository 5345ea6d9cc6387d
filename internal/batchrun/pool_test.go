package batchrun

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// submitSplitBatches submits two batches of one model, the second one to the split route.
func submitSplitBatches(g Gomega, w *testCluster) (whole, split []batch.Item) {
	for _, b := range []struct {
		id, path string
		items    *[]batch.Item
	}{{"b", testPath + "a/", &whole}, {"b2", splitPath, &split}} {
		head, items, requests := newBatch("m0", b.id, 8, 8, 1)
		head.Path = b.path
		g.Expect(w.vms[0].daemon().Submit(context.Background(), b.id, head, items, requests)).To(Succeed())
		*b.items = items
	}
	return whole, split
}

// Guards against samples that run at the service of another batch of their model: with batches of one
// model open on routes to two services, all waiting samples went to the service of the last one.
func TestSamplesRunAtTheServiceOfTheirOwnRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 4, vms: 2, engines: 6, models: []string{"m0", "m1"}, services: []string{"engines", "others"}})
		defer w.stop()
		time.Sleep(2 * time.Second)
		whole, split := submitSplitBatches(g, w)
		time.Sleep(7 * time.Second)
		serviceOf := map[string]string{}
		for _, item := range whole {
			serviceOf[item.ID] = "engines"
		}
		for _, item := range split {
			serviceOf[item.ID] = "others"
		}
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		g.Expect(len(w.engines.runs)).To(BeNumerically(">=", len(whole)+len(split)))
		for _, run := range w.engines.runs {
			g.Expect(w.serviceOf(run.engine)).To(Equal(serviceOf[run.sample]), run.sample)
		}
	})
}

// Guards against batch routes with several services of which only the first one gets samples, whatever
// the weights, also after the operator has moved them.
func TestSamplesFollowTheWeightsOfTheirRoute(t *testing.T) {
	for _, c := range []struct {
		name     string
		weights  [2]int
		min, max int // groups of 64 at the first service
	}{
		{"all at the first", [2]int{100, 0}, 64, 64},
		{"all moved to the second", [2]int{0, 100}, 0, 0},
		{"half each", [2]int{50, 50}, 20, 44},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 4, vms: 2, engines: 6, models: []string{"m0"}, services: []string{"engines", "others"}})
				defer w.stop()
				services := slices.Collect(maps.Values(w.config(2).Services))
				route := routes.Route{Host: testHost, PathPrefix: testPath, Kind: routes.Batch, Services: []routes.WeightedService{{Service: "engines", Weight: c.weights[0]}, {Service: "others", Weight: c.weights[1]}}}
				for _, v := range w.vms {
					v.daemon().options.View.SetConfig(routes.New(2, []routes.Route{route}, services, routes.Limits{}, nil))
				}
				time.Sleep(2 * time.Second)
				items := w.submitBatch(g, "m0", "x", 64, 2, 1)
				time.Sleep(12 * time.Second)
				g.Expect(results(g, w.vms[1])).To(HaveLen(len(items)))
				groupOf, first := map[string]string{}, map[string]bool{}
				for _, item := range items {
					groupOf[item.ID] = item.Group
				}
				w.engines.mu.Lock()
				defer w.engines.mu.Unlock()
				for _, run := range w.engines.runs {
					atFirst := w.serviceOf(run.engine) == "engines"
					group := groupOf[run.sample]
					before, seen := first[group]
					g.Expect(!seen || before == atFirst).To(BeTrue(), "group %s runs at two services", group)
					first[group] = atFirst
				}
				n := 0
				for _, atFirst := range first {
					if atFirst {
						n++
					}
				}
				g.Expect(n).To(And(BeNumerically(">=", c.min), BeNumerically("<=", c.max)))
			})
		})
	}
}

// Guards against samples that wait beside idle engines because another batch of their model goes to a
// service that has none.
func TestSamplesRunWhileAnotherServiceOfTheirModelHasNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 4, vms: 2, engines: 6, models: []string{"m0"}, services: []string{"engines", "others"}})
		defer w.stop()
		for _, v := range w.vms {
			v.daemon().options.View.UpdateUpstreams(func(r *registry.Registry, now time.Duration) {
				for _, id := range w.engines.ids() {
					if w.serviceOf(id) == "others" {
						r.Remove(id, now)
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		whole, _ := submitSplitBatches(g, w)
		time.Sleep(7 * time.Second)
		g.Expect(results(g, w.vms[1])).To(HaveLen(len(whole)))
	})
}

// Guards against an owner that judges a batch by an older configuration than the daemon that accepted
// it: it gave the samples up where the route was new, and ran them at the former service where it had moved.
func TestBatchWaitsForTheConfigurationThatAcceptedIt(t *testing.T) {
	for name, known := range map[string][]routes.Route{
		"route is new":    nil,
		"route has moved": {{Host: testHost, PathPrefix: testPath, Kind: routes.Batch, Services: []routes.WeightedService{{Service: "others", Weight: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := newTestClusterWithOptions(t, clusterOptions{seed: 1, parts: 4, vms: 2, engines: 6, models: []string{"m0"}, services: []string{"engines", "others"}})
				defer w.stop()
				services := slices.Collect(maps.Values(w.config(2).Services))
				for _, v := range w.vms {
					v.daemon().options.View.SetConfig(routes.New(2, known, services, routes.Limits{}, nil))
				}
				time.Sleep(2 * time.Second)
				head, items, requests := newBatch("m0", "new", 4, 4, 1)
				head.ConfigVersion = 3
				g.Expect(w.vms[0].daemon().Submit(context.Background(), "b", head, items, requests)).To(Succeed())
				time.Sleep(time.Second)
				for _, v := range w.vms {
					v.daemon().options.View.SetConfig(w.config(3))
				}
				time.Sleep(7 * time.Second)
				got := results(g, w.vms[1])
				g.Expect(got).To(HaveLen(len(items)))
				g.Expect(countGivenUp(got)).To(BeZero())
				w.engines.mu.Lock()
				defer w.engines.mu.Unlock()
				for _, run := range w.engines.runs {
					g.Expect(w.serviceOf(run.engine)).To(Equal("engines"))
				}
			})
		})
	}
}
