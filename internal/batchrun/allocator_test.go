package batchrun

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

func engineAt(i int, version int64) registry.Upstream {
	return registry.Upstream{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprint("10.0.0.", i), Slots: i % 3, Models: map[string]int64{"m0": version}}
}

// Guards against a cached allocation that is out of date while engines join, leave, load and
// restart: its owner would send samples to engines that have left, or send orders to engines
// of another model. Compares the cached allocation with one computed from scratch.
func TestCachedAllocationEqualsNewOne(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 4))
		view := fleet.New(func() time.Duration { return 0 })
		allocator := newEngineAllocator(view)
		allSettings := []*routes.Engine{{Slots: 8, Models: []string{"m0", "m1"}}, {Slots: 4, Models: []string{"m0", "m1", "m2"}}}
		settings, demand := allSettings[0], map[string]int{"m0": 10, "m1": 20}
		for range 200 {
			i := random.IntN(12)
			view.UpdateUpstreams(func(r *registry.Registry, now time.Duration) {
				switch random.IntN(7) {
				case 0, 1:
					r.Put(engineAt(i, int64(random.IntN(3))))
				case 2:
					r.Remove(engineAt(i, 1).ID, now)
				case 3:
					r.RecordLoad(engineAt(i, 1).ID, 0, "m1", int64(random.IntN(5)))
				case 4:
					u := engineAt(i, 1)
					u.Leaving = true
					r.Put(u)
				case 5:
					u := engineAt(i, 1)
					u.ID += "-next" // at the address of one whose entry hasn't expired
					r.Put(u)
				}
			})
			if random.IntN(20) == 0 {
				settings = allSettings[random.IntN(2)]
			}
			if random.IntN(20) == 0 {
				demand = map[string]int{"m0": 1 + random.IntN(3), "m1": 20}
			}
			for _, m := range settings.Models {
				g.Expect(allocator.enginesFor("engines", settings, demand, m)).To(Equal(newEngineAllocator(view).enginesFor("engines", settings, demand, m)), "seed %d", seed)
			}
		}
	}
}

// BenchmarkEnginesFor measures the lookup that an owner makes in each reconcile pass, while no
// engine changes. Its time must not grow with the number of engines.
func BenchmarkEnginesFor(b *testing.B) {
	for _, engines := range []int{50, 1000, 12000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			view := fleet.New(func() time.Duration { return 0 })
			view.UpdateUpstreams(func(r *registry.Registry, _ time.Duration) {
				for i := range engines {
					r.Put(engineAt(i, 1))
				}
			})
			settings := &routes.Engine{Slots: 8, Models: []string{"m0", "m1", "m2"}}
			s := newEngineAllocator(view)
			for b.Loop() {
				s.enginesFor("engines", settings, nil, "m0")
			}
		})
	}
}

// Guards against a lookup that walks every engine of the fleet because the weights of one have
// changed, or because one that the owner doesn't use has joined or left: with thousands of
// loads and hundreds of replaced engines its samples would wait for that. Neither the
// allocations of a lookup nor the number of splits may grow with the number of engines.
func TestAllocationCostDoesNotGrowWithTheFleet(t *testing.T) {
	const models, samples, slots = 8, 160, 6
	allocsPerCall := map[int]float64{}
	for _, engines := range []int{10_000, 20_000} {
		g := NewWithT(t)
		view := fleet.New(func() time.Duration { return 0 })
		at := func(i int) registry.Upstream {
			return registry.Upstream{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255), Slots: slots, Models: map[string]int64{"m0": 1}}
		}
		view.UpdateUpstreams(func(r *registry.Registry, _ time.Duration) {
			for i := range engines {
				r.Put(at(i))
			}
		})
		settings, demand := &routes.Engine{Slots: slots}, map[string]int{}
		for i := range models {
			m := fmt.Sprint("m", i)
			settings.Models, demand[m] = append(settings.Models, m), samples
		}
		s := newEngineAllocator(view)
		first := s.enginesFor("engines", settings, demand, "m0")
		g.Expect(first).To(HaveLen(loads.MaxUsefulEngines([]string{"m0"}, demand, slots)))
		version := int64(1)
		allocsPerCall[engines] = testing.AllocsPerRun(100, func() {
			version++
			view.UpdateUpstreams(func(r *registry.Registry, _ time.Duration) { r.RecordLoad("e17", 0, "m0", version) })
			s.enginesFor("engines", settings, demand, "m0")
		})
		g.Expect(allocsPerCall[engines]).To(BeNumerically("<", 100), "after a load on another engine, %d engines", engines)

		before := s.splitsComputed
		const replaced = 200 // few of these engines are used by the models
		for i := range replaced {
			view.UpdateUpstreams(func(r *registry.Registry, now time.Duration) {
				r.Remove(fmt.Sprint("e", i), now)
				r.Put(at(engines + i))
			})
			s.enginesFor("engines", settings, demand, "m0")
		}
		used := float64(models*len(first)) / float64(engines)
		// Each replacement of a used engine removes one address and adds another.
		g.Expect(float64(s.splitsComputed-before)).To(BeNumerically("<", 2*2*replaced*used), "%d engines", engines)
	}
	NewWithT(t).Expect(allocsPerCall[20_000]).To(BeNumerically("<=", allocsPerCall[10_000]+1))
}
