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

// pollRecorder is a world that records which upstreams are asked for a load report.
type pollRecorder struct {
	*world
	mu     sync.Mutex
	polled map[ident.Upstream]bool
}

func (p *pollRecorder) Load(ctx context.Context, t upstream.Target) (wire.LoadReport, error) {
	p.mu.Lock()
	p.polled[t.Name] = true
	p.mu.Unlock()
	return p.world.Load(ctx, t)
}

// polledUpstreams records for 5 s and returns the upstreams that were polled.
func (p *pollRecorder) polledUpstreams() map[ident.Upstream]bool {
	time.Sleep(2 * time.Second) // polls in progress end
	p.mu.Lock()
	p.polled = map[ident.Upstream]bool{}
	p.mu.Unlock()
	time.Sleep(5 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.polled)
}

func vmNames(n int) (list []ident.VM) {
	for i := range n {
		list = append(list, ident.VM(fmt.Sprint("vm", i)))
	}
	return list
}

// withLargeGroup returns a test body with a daemon, vm1 in data centre "here", and a group
// of n engines that are spread evenly over the data centres.
func withLargeGroup(n int, dataCentres []ident.DataCentre, body func(g Gomega, p *pollRecorder, d *Dispatcher, tree *config.Tree)) func() {
	return inBubble(func(g Gomega) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := &pollRecorder{world: newWorld(n), polled: map[ident.Upstream]bool{}}
		tree := p.tree()
		for i := range n {
			name := ident.Upstream(fmt.Sprint("e", i))
			u := tree.Fleet.Groups["g"].Upstreams[name]
			u.DataCentre = dataCentres[i%len(dataCentres)]
			tree.Fleet.Groups["g"].Upstreams[name] = u
		}
		d := New(Options{Self: "vm1", DataCentre: "here", Client: p})
		go d.Run(ctx)
		body(g, p, d, tree)
	})
}

func usedUpstreams(d *Dispatcher) map[ident.Upstream]bool {
	s := d.shardOf("g")
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[ident.Upstream]bool{}
	for _, m := range s.used {
		names[m.target.Name] = true
	}
	return names
}

var onlyHere = []ident.DataCentre{"here"}

var _ = Describe("a group of hundreds of upstreams", func() {
	It("is used and polled in part, and owned engines are polled too", withLargeGroup(300, onlyHere, func(g Gomega, p *pollRecorder, d *Dispatcher, tree *config.Tree) {
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20)})
		d.applyTree(tree)
		mine := usedUpstreams(d)
		g.Expect(len(mine)).To(And(BeNumerically(">=", 30), BeNumerically("<=", 90)))
		g.Expect(p.polledUpstreams()).To(Equal(mine))
		owned := map[ident.Upstream]bool{}
		for i := 0; len(owned) < 17; i++ {
			if name := ident.Upstream(fmt.Sprint("e", i)); !mine[name] {
				owned[name] = true
			}
		}
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20), OwnedEngines: owned})
		d.applyTree(tree)
		g.Expect(usedUpstreams(d)).To(Equal(mine), "owned engines get no requests")
		g.Expect(p.polledUpstreams()).To(HaveLen(len(mine) + len(owned)))
		g.Expect(d.Engines("g")).To(HaveLen(len(mine) + len(owned)))
		for _, e := range d.Engines("g") {
			g.Expect(e.Up).To(BeTrue(), string(e.Name))
		}
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20)})
		d.applyTree(tree)
		g.Expect(p.polledUpstreams()).To(Equal(mine))
	}))

	// A daemon joins and takes over some of the upstreams. Requests that are running there
	// must not be affected.
	It("loses upstreams to another daemon, but no requests in flight there", withLargeGroup(300, onlyHere, func(g Gomega, p *pollRecorder, d *Dispatcher, tree *config.Tree) {
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20)})
		d.applyTree(tree)
		time.Sleep(2 * time.Second)
		var group sync.WaitGroup
		answers := make([]Completion, 40)
		errs := make([]error, len(answers))
		for i := range answers {
			group.Go(func() { answers[i], _, errs[i] = generate(d, fmt.Sprint(i)) })
		}
		time.Sleep(3 * tokenTime)
		busy := p.busyEngines()
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(40)})
		d.applyTree(tree)
		after, left := usedUpstreams(d), 0
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
		g.Expect(inFlight).To(Equal(len(answers)), "the digest still counts all requests")
		group.Wait()
		for i, a := range answers {
			g.Expect(errs[i]).NotTo(HaveOccurred())
			g.Expect(a.Upstreams).To(HaveLen(1))
		}
		g.Expect(p.polledUpstreams()).To(Equal(after))
	}))

	It("is used in its own data centre, and in others only if there are too few upstreams", withLargeGroup(300, []ident.DataCentre{"here", "there", "nobody's"}, func(g Gomega, _ *pollRecorder, d *Dispatcher, tree *config.Tree) {
		count := func() map[ident.DataCentre]int {
			d.applyTree(tree)
			by := map[ident.DataCentre]int{}
			for name := range usedUpstreams(d) {
				by[tree.Fleet.Groups["g"].Upstreams[name].DataCentre]++
			}
			return by
		}
		g.Expect(count()).To(Equal(map[ident.DataCentre]int{"here": 50}), "no other daemon is known yet")
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(2), OtherDataCentres: map[ident.DataCentre]bool{"there": true, "nobody's": true}})
		g.Expect(count()).To(Equal(map[ident.DataCentre]int{"here": 100}), "otherwise some would be unused")
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20), OtherDataCentres: map[ident.DataCentre]bool{"there": true}})
		g.Expect(count()).To(And(HaveKey(ident.DataCentre("nobody's")), Not(HaveKey(ident.DataCentre("there")))))
		d.options.DataCentre = "new"
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(2), OtherDataCentres: map[ident.DataCentre]bool{"here": true, "there": true, "nobody's": true}})
		total := 0
		for _, n := range count() {
			total += n
		}
		g.Expect(total).To(Equal(subsetSize))
	}))

	// The VM list reports once that an upstream is leaving. The upstream is dropped from the
	// subset and added again later.
	It("remembers which upstreams are leaving", withLargeGroup(300, onlyHere, func(g Gomega, _ *pollRecorder, d *Dispatcher, tree *config.Tree) {
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20)})
		d.applyTree(tree)
		before := usedUpstreams(d)
		for name := range before {
			d.SetLeaving(name, "vm list")
		}
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(60)})
		d.applyTree(tree)
		g.Expect(len(usedUpstreams(d))).To(BeNumerically("<", len(before)))
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20)})
		d.applyTree(tree)
		for _, s := range d.Upstreams() {
			g.Expect(s.Leaving).To(BeTrue(), string(s.Name))
		}
	}))

	It("is used as a whole if it has at most 64", withLargeGroup(maxWholeGroupSize, onlyHere, func(g Gomega, p *pollRecorder, d *Dispatcher, tree *config.Tree) {
		d.SetDaemonView(DaemonView{LocalDaemons: vmNames(20)})
		d.applyTree(tree)
		g.Expect(p.polledUpstreams()).To(HaveLen(maxWholeGroupSize))
		g.Expect(usedUpstreams(d)).To(HaveLen(maxWholeGroupSize))
	}))
})
