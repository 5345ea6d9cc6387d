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
