package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

var _ = Describe("the need for a reserve", func() {
	It("counts production of all daemons by a mean, and what decides a step at once", func() {
		n := reserveNeed{daemons: 4}
		t := routing.NewTable(routing.Options{})
		production := &slot{}
		n.began(production, routing.Request{Class: routing.ClassProduction}, t)
		Expect(n.tick()).To(BeZero(), "one call is no traffic")
		for range 200 {
			n.tick()
		}
		Expect(n.tick()).To(BeNumerically("~", 4, 0.1))
		straggler, bulk := &slot{}, &slot{}
		n.began(straggler, routing.Request{Class: routing.ClassRollout, Straggler: true}, t)
		n.began(bulk, routing.Request{Class: routing.ClassRollout}, t)
		Expect(n.tick()).To(BeNumerically("~", 5, 0.1))
		n.ended(straggler)
		n.ended(production)
		for range 400 {
			n.tick()
		}
		Expect(n.tick()).To(BeZero())
	})
})

var _ = Describe("the mean time of answers", func() {
	It("follows an overload faster than its end", func() {
		Expect(follow(time.Second, 2*time.Second)).To(Equal(1400 * time.Millisecond))
		Expect(follow(2*time.Second, time.Second)).To(Equal(1900 * time.Millisecond))
	})
})
