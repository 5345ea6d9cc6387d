package dispatch

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// polls is a world that notes which upstreams are asked for their load.
type polls struct {
	*world
	mu    sync.Mutex
	asked map[ident.Upstream]bool
}

func (p *polls) Load(ctx context.Context, t upstream.Target) (wire.LoadReport, error) {
	p.mu.Lock()
	p.asked[t.Name] = true
	p.mu.Unlock()
	return p.world.Load(ctx, t)
}

// since starts anew and returns who was asked in 5 s.
func (p *polls) since() map[ident.Upstream]bool {
	time.Sleep(2 * time.Second) // polls under way end
	p.mu.Lock()
	p.asked = map[ident.Upstream]bool{}
	p.mu.Unlock()
	time.Sleep(5 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.asked)
}

func vms(n int) (list []ident.VM) {
	for i := range n {
		list = append(list, ident.VM(fmt.Sprint("vm", i)))
	}
	return list
}

// large has a daemon, vm1 of data centre "here", before n engines in data centres
// by turns.
func large(n int, centres []ident.DataCentre, body func(g Gomega, p *polls, d *Dispatcher, tree *config.Tree)) func() {
	return bubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := &polls{world: newWorld(n), asked: map[ident.Upstream]bool{}}
		tree := p.tree()
		for i := range n {
			name := ident.Upstream(fmt.Sprint("e", i))
			u := tree.Fleet.Groups["g"].Upstreams[name]
			u.DataCentre = centres[i%len(centres)]
			tree.Fleet.Groups["g"].Upstreams[name] = u
		}
		d := New(Options{Self: "vm1", DataCentre: "here", Client: p})
		go d.Run(ctx)
		body(g, p, d, tree)
	})
}

func used(d *Dispatcher) map[ident.Upstream]bool {
	s := d.shardOf("g")
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[ident.Upstream]bool{}
	for _, m := range s.order {
		names[m.target.Name] = true
	}
	return names
}

var here = []ident.DataCentre{"here"}

var _ = Describe("a group of hundreds of upstreams", func() {
	It("is polled and used in part, and the engines owned are polled too", large(300, here, func(g Gomega, p *polls, d *Dispatcher, tree *config.Tree) {
		d.SetFleet(Fleet{Daemons: vms(20)})
		d.applyTree(tree)
		mine := used(d)
		g.Expect(len(mine)).To(And(BeNumerically(">=", 30), BeNumerically("<=", 90)))
		g.Expect(p.since()).To(Equal(mine))
		owned := map[ident.Upstream]bool{}
		for i := 0; len(owned) < 17; i++ {
			if name := ident.Upstream(fmt.Sprint("e", i)); !mine[name] {
				owned[name] = true
			}
		}
		d.SetFleet(Fleet{Daemons: vms(20), Owned: owned})
		d.applyTree(tree)
		g.Expect(used(d)).To(Equal(mine), "orders need no requests there")
		g.Expect(p.since()).To(HaveLen(len(mine) + len(owned)))
		g.Expect(d.Engines("g")).To(HaveLen(len(mine) + len(owned)))
		for _, e := range d.Engines("g") {
			g.Expect(e.Up).To(BeTrue(), string(e.Name))
		}
		d.SetFleet(Fleet{Daemons: vms(20)})
		d.applyTree(tree)
		g.Expect(p.since()).To(Equal(mine))
	}))

	// A daemon comes up, and upstreams move to it. What runs there must not notice.
	It("loses what moves to another daemon, but nothing in flight there", large(300, here, func(g Gomega, p *polls, d *Dispatcher, tree *config.Tree) {
		d.SetFleet(Fleet{Daemons: vms(20)})
		d.applyTree(tree)
		time.Sleep(2 * time.Second)
		var group sync.WaitGroup
		answers := make([]Generated, 40)
		errs := make([]error, len(answers))
		for i := range answers {
			group.Go(func() { answers[i], _, errs[i] = ask(d, fmt.Sprint(i)) })
		}
		time.Sleep(3 * tokenTime)
		busy := p.busy()
		d.SetFleet(Fleet{Daemons: vms(40)})
		d.applyTree(tree)
		after, left := used(d), 0
		for _, e := range busy {
			if !after[e.name] {
				left++
			}
		}
		g.Expect(left).To(BeNumerically(">", 0))
		inFlight := 0
		for _, n := range d.Digest().InFlight {
			inFlight += n
		}
		g.Expect(inFlight).To(Equal(len(answers)), "peers still hear of all")
		group.Wait()
		for i, a := range answers {
			g.Expect(errs[i]).NotTo(HaveOccurred())
			g.Expect(a.Upstreams).To(HaveLen(1))
		}
		g.Expect(p.since()).To(Equal(after))
	}))

	It("is used where it is near, and elsewhere only to fill up", large(300, []ident.DataCentre{"here", "there", "nobody's"}, func(g Gomega, _ *polls, d *Dispatcher, tree *config.Tree) {
		count := func() map[ident.DataCentre]int {
			d.applyTree(tree)
			by := map[ident.DataCentre]int{}
			for name := range used(d) {
				by[tree.Fleet.Groups["g"].Upstreams[name].DataCentre]++
			}
			return by
		}
		g.Expect(count()).To(Equal(map[ident.DataCentre]int{"here": 50}), "nobody was met yet")
		d.SetFleet(Fleet{Daemons: vms(2), Elsewhere: map[ident.DataCentre]bool{"there": true, "nobody's": true}})
		g.Expect(count()).To(Equal(map[ident.DataCentre]int{"here": 100}), "else some would be unused")
		d.SetFleet(Fleet{Daemons: vms(20), Elsewhere: map[ident.DataCentre]bool{"there": true}})
		g.Expect(count()).To(And(HaveKey(ident.DataCentre("nobody's")), Not(HaveKey(ident.DataCentre("there")))))
		d.o.DataCentre = "new"
		d.SetFleet(Fleet{Daemons: vms(2), Elsewhere: map[ident.DataCentre]bool{"here": true, "there": true, "nobody's": true}})
		total := 0
		for _, n := range count() {
			total += n
		}
		g.Expect(total).To(Equal(subsetSize))
	}))

	// The list of VMs says once that an upstream leaves, and it leaves the subset.
	It("remembers who is leaving", large(300, here, func(g Gomega, _ *polls, d *Dispatcher, tree *config.Tree) {
		d.SetFleet(Fleet{Daemons: vms(20)})
		d.applyTree(tree)
		before := used(d)
		for name := range before {
			d.SetLeaving(name, "vm list")
		}
		d.SetFleet(Fleet{Daemons: vms(60)})
		d.applyTree(tree)
		g.Expect(len(used(d))).To(BeNumerically("<", len(before)))
		d.SetFleet(Fleet{Daemons: vms(20)})
		d.applyTree(tree)
		for _, s := range d.Upstreams() {
			g.Expect(s.Leaving).To(BeTrue(), string(s.Name))
		}
	}))

	It("is used whole up to 64 of them", large(wholeUpTo, here, func(g Gomega, p *polls, d *Dispatcher, tree *config.Tree) {
		d.SetFleet(Fleet{Daemons: vms(20)})
		d.applyTree(tree)
		g.Expect(p.since()).To(HaveLen(wholeUpTo))
		g.Expect(used(d)).To(HaveLen(wholeUpTo))
	}))
})
