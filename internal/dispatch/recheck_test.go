package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// A step waits for an engine to switch to a version that it may use. The engine is
// idle, so its load report is asked for every 1.5 s only, and a switch that was
// confirmed at once is seen that much later: the trainer idles meanwhile.
var _ = Describe("an idle engine that carried out an order", func() {
	const seen = 3 * tick // an order's confirmation, a tick, a report

	serves := func(recheck bool) func() {
		return session(1, Ours, func(g Gomega, w *world, d *Dispatcher) {
			for untilNextReport(d, "g", "e0") <= seen {
				time.Sleep(tick)
			}
			w.mu.Lock()
			w.engines["e0"].version = 7
			w.mu.Unlock()
			if recheck {
				d.Recheck("g", "e0")
			}
			time.Sleep(seen)
			g.Expect(d.Newest("m") == 7).To(Equal(recheck))
		})
	}

	It("is seen to serve the new version within ticks", serves(true))
	It("red alive: is seen late when nobody asks", serves(false))
})

// untilNextReport is how long an upstream's next regular report is away.
func untilNextReport(d *Dispatcher, group string, name ident.Upstream) time.Duration {
	s := d.shardOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.members[name].nextProbe)
}
