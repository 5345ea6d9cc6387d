package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// A training step waits for an engine to switch to a version that it may use. The engine is
// idle, so its load report is requested only every 1.5 s. Without Recheck, a switch that the
// engine had already confirmed was noticed that much later, and the trainer was idle.
var _ = Describe("an idle engine that has carried out an order", func() {
	const seen = 3 * tickInterval // the order's confirmation, a tick and a load report

	serves := func(recheck bool) func() {
		return withDaemon(1, PolicyFull, func(g Gomega, w *world, d *Dispatcher) {
			for untilNextReport(d, "g", "e0") <= seen {
				time.Sleep(tickInterval)
			}
			w.mu.Lock()
			w.engines["e0"].version = 7
			w.mu.Unlock()
			if recheck {
				d.PollNow("g", "e0")
			}
			time.Sleep(seen)
			g.Expect(d.Newest("m") == 7).To(Equal(recheck))
		})
	}

	It("is known to serve the new version within a few ticks", serves(true))
	It("negative control: isn't known to serve it in time without Recheck", serves(false))
})

// untilNextReport returns the time until an upstream's next regular load report.
func untilNextReport(d *Dispatcher, group string, name ident.Upstream) time.Duration {
	s := d.shardOf(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.members[name].nextProbe)
}
