package peer

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

var _ = Describe("the list of steps", func() {
	// One daemon is stopped hard. The list must have what the others hold, and must
	// say whose steps it lacks, or an operator takes them for done.
	It("is of all daemons, and names those that didn't answer", func() {
		a, _ := startDaemon("a", nil)
		startDaemon("b", nil, a.Address())
		c, stopC := startDaemon("c", nil, a.Address())
		Eventually(a.live, generous, often).Should(ConsistOf(ident.VM("b"), ident.VM("c")))
		held, missing := a.CollectSteps(context.Background(), "coop")
		Expect(missing).To(BeEmpty())
		Expect(held).To(HaveLen(3))
		for i, vm := range []ident.VM{"a", "b", "c"} {
			Expect(held[i]).To(And(HaveField("VM", vm), HaveField("Team", ident.Team("coop")), HaveField("Job", ident.Job("clerk"))))
		}
		stopC()
		held, missing = a.CollectSteps(context.Background(), "coop")
		Expect(held).To(HaveLen(2))
		Expect(missing).To(ConsistOf(c.options.Self))
	})
})
