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

// Engines come, leave, load and restart. An owner whose share is out of date sends samples
// to engines that left, or orders engines of another model. Compared with dividing anew at
// each look.
func TestShareAgreesWithDividingAnew(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 4))
		view := fleet.New(func() time.Duration { return 0 })
		ours := newShares(view)
		shapes := []*routes.Engine{{Slots: 8, Models: []string{"m0", "m1"}}, {Slots: 4, Models: []string{"m0", "m1", "m2"}}}
		shape, demand := shapes[0], map[string]int{"m0": 10, "m1": 20}
		for range 200 {
			i := random.IntN(12)
			view.Upstreams(func(r *registry.Registry, now time.Duration) {
				switch random.IntN(7) {
				case 0, 1:
					r.Put(engineAt(i, int64(random.IntN(3))))
				case 2:
					r.Remove(engineAt(i, 1).ID, now)
				case 3:
					r.Loaded(engineAt(i, 1).ID, 0, "m1", int64(random.IntN(5)))
				case 4:
					u := engineAt(i, 1)
					u.Leaving = true
					r.Put(u)
				case 5:
					u := engineAt(i, 1)
					u.ID += "-next" // at the address of one whose entry hasn't lapsed
					r.Put(u)
				}
			})
			if random.IntN(20) == 0 {
				shape = shapes[random.IntN(2)]
			}
			if random.IntN(20) == 0 {
				demand = map[string]int{"m0": 1 + random.IntN(3), "m1": 20}
			}
			for _, m := range shape.Models {
				g.Expect(ours.of("engines", shape, demand, m)).To(Equal(newShares(view).of("engines", shape, demand, m)), "seed %d", seed)
			}
		}
	}
}

// BenchmarkShare is an owner's question at each look while no engine changes. Its time
// mustn't grow with the engines.
func BenchmarkShare(b *testing.B) {
	for _, engines := range []int{50, 1000, 12000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			view := fleet.New(func() time.Duration { return 0 })
			view.Upstreams(func(r *registry.Registry, _ time.Duration) {
				for i := range engines {
					r.Put(engineAt(i, 1))
				}
			})
			shape := &routes.Engine{Slots: 8, Models: []string{"m0", "m1", "m2"}}
			s := newShares(view)
			for b.Loop() {
				s.of("engines", shape, nil, "m0")
			}
		})
	}
}

// Guards against a look of an owner that walks every engine of the fleet because the weights
// of one have changed, or because one that it doesn't use has come or gone: at thousands of
// loads and hundreds of replaced engines its samples wait for it. What a look allocates, and
// how often engines are divided, may not grow with the engines.
func TestLookDoesNotGrowWithTheFleet(t *testing.T) {
	const models, samples, slots = 8, 160, 6
	perLook := map[int]float64{}
	for _, engines := range []int{10_000, 20_000} {
		g := NewWithT(t)
		view := fleet.New(func() time.Duration { return 0 })
		at := func(i int) registry.Upstream {
			return registry.Upstream{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255), Slots: slots, Models: map[string]int64{"m0": 1}}
		}
		view.Upstreams(func(r *registry.Registry, _ time.Duration) {
			for i := range engines {
				r.Put(at(i))
			}
		})
		shape, demand := &routes.Engine{Slots: slots}, map[string]int{}
		for i := range models {
			m := fmt.Sprint("m", i)
			shape.Models, demand[m] = append(shape.Models, m), samples
		}
		s := newShares(view)
		first := s.of("engines", shape, demand, "m0")
		g.Expect(first).To(HaveLen(loads.Useful([]string{"m0"}, demand, slots)))
		version := int64(1)
		perLook[engines] = testing.AllocsPerRun(100, func() {
			version++
			view.Upstreams(func(r *registry.Registry, _ time.Duration) { r.Loaded("e17", 0, "m0", version) })
			s.of("engines", shape, demand, "m0")
		})
		g.Expect(perLook[engines]).To(BeNumerically("<", 100), "a load elsewhere, %d engines", engines)

		before := s.divisions
		const replaced = 200 // of which few are among those that the models use
		for i := range replaced {
			view.Upstreams(func(r *registry.Registry, now time.Duration) {
				r.Remove(fmt.Sprint("e", i), now)
				r.Put(at(engines + i))
			})
			s.of("engines", shape, demand, "m0")
		}
		used := float64(models*len(first)) / float64(engines)
		// Each of them leaves one place and takes another.
		g.Expect(float64(s.divisions-before)).To(BeNumerically("<", 2*2*replaced*used), "%d engines", engines)
	}
	NewWithT(t).Expect(perLook[20_000]).To(BeNumerically("<=", perLook[10_000]+1))
}
