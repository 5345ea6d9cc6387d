package dispatch

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

var _ = Describe("a peer's digest", func() {
	// A peer says that it fills e0 and is heard of no more: its requests count for
	// three seconds.
	It("counts until it expires", session(2, Ours, func(g Gomega, w *world, d *Dispatcher) {
		peers := func() int {
			s := d.shardOf("g")
			s.mu.Lock()
			defer s.mu.Unlock()
			u, _ := s.table.Member("e0")
			return u.Peers
		}
		d.Merge("vm2", Digest{InFlight: map[ident.Upstream]int{"e0": 9}})
		g.Expect(peers()).To(Equal(9))
		time.Sleep(2900 * time.Millisecond)
		g.Expect(peers()).To(Equal(9))
		time.Sleep(200 * time.Millisecond)
		g.Expect(peers()).To(Equal(0))
	}))
})

var _ = Describe("a change of configuration", func() {
	// An upstream leaves its group while requests run on it: they end there, and
	// no place is left taken in the books.
	It("cuts nothing off and loses no place", session(3, Ours, func(g Gomega, w *world, d *Dispatcher) {
		var group sync.WaitGroup
		answers := make([]Generated, 9)
		for i := range answers {
			group.Go(func() { answers[i], _, _ = ask(d, fmt.Sprint("r", i)) })
		}
		time.Sleep(3 * tokenTime)
		tree := w.tree()
		delete(tree.Fleet.Groups["g"].Upstreams, "e1")
		d.applyTree(tree)
		group.Wait()
		for _, answer := range answers {
			g.Expect(answer.Text).To(Equal(whole()))
			g.Expect(answer.Upstreams).To(HaveLen(1))
		}
		g.Expect(d.Upstreams()).To(HaveLen(2))
		for _, u := range d.Upstreams() {
			g.Expect(u.InFlight).To(Equal(0))
		}
		s := d.shardOf("g")
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.gate.queue.Running(routing.ClassProduction)).To(Equal(0))
		g.Expect(s.lanes.running).To(BeEmpty())
	}))
})
