package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

var _ = Describe("the demand for a reserve", func() {
	It("counts production of all daemons by a moving mean, and step-critical rollouts at once", func() {
		demand := reserveDemand{daemons: 4}
		table := routing.NewTable(routing.Options{})
		production := &slot{}
		demand.add(production, routing.Request{Class: routing.ClassProduction}, table)
		Expect(demand.update()).To(BeZero(), "a single call reserves nothing")
		for range 200 {
			demand.update()
		}
		Expect(demand.update()).To(BeNumerically("~", 4, 0.1))
		straggler, ordinary := &slot{}, &slot{}
		demand.add(straggler, routing.Request{Class: routing.ClassRollout, Straggler: true}, table)
		demand.add(ordinary, routing.Request{Class: routing.ClassRollout}, table)
		Expect(demand.update()).To(BeNumerically("~", 5, 0.1))
		demand.remove(straggler)
		demand.remove(production)
		for range 400 {
			demand.update()
		}
		Expect(demand.update()).To(BeZero())
	})
})

var _ = Describe("the moving mean of latencies", func() {
	It("rises faster than it falls", func() {
		Expect(updateMean(time.Second, 2*time.Second)).To(Equal(1400 * time.Millisecond))
		Expect(updateMean(2*time.Second, time.Second)).To(Equal(1900 * time.Millisecond))
	})
})
