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
	// A peer reports that it has filled e0, and then nothing more. Its requests must count
	// for three seconds.
	It("stays valid until it expires", withDaemon(2, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		peers := func() int {
			s := d.shardOf("g")
			s.mu.Lock()
			defer s.mu.Unlock()
			u, _ := s.routingTable.Member("e0")
			return u.PeersInFlight
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
	// An upstream is removed from its group while requests are running on it. They must end
	// there, and all slots must be released.
	It("interrupts no request and releases all slots", withDaemon(3, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
		var group sync.WaitGroup
		answers := make([]Completion, 9)
		for i := range answers {
			group.Go(func() { answers[i], _, _ = generate(d, fmt.Sprint("r", i)) })
		}
		time.Sleep(3 * tokenTime)
		tree := w.tree()
		delete(tree.Fleet.Groups["g"].Upstreams, "e1")
		d.applyTree(tree)
		group.Wait()
		for _, answer := range answers {
			g.Expect(answer.Text).To(Equal(fullAnswer()))
			g.Expect(answer.Upstreams).To(HaveLen(1))
		}
		g.Expect(d.Upstreams()).To(HaveLen(2))
		for _, u := range d.Upstreams() {
			g.Expect(u.InFlight).To(Equal(0))
		}
		s := d.shardOf("g")
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.admission.queue.Running(routing.ClassProduction)).To(Equal(0))
		g.Expect(s.quarantine.attempts).To(BeEmpty())
	}))
})
