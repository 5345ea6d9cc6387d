package membership_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
)

// ownersPerKey counts, by key, the running daemons that consider themselves its owner.
func (s *simulatedFleet) ownersPerKey(dc ident.DataCentre, keys int) map[int]int {
	counts := map[int]int{}
	for key := range keys {
		counts[key] = 0
		for vm, view := range s.views {
			if !s.dead[vm] && view.Fleet().OwnsIn(dc, fmt.Sprint("engine-", key)) {
				counts[key]++
			}
		}
	}
	return counts
}

// newConvergedFleet returns a fleet whose daemons know each other, and the milliseconds
// of simulated time that this took.
func newConvergedFleet(vms, dataCentres int) (*simulatedFleet, int) {
	s, ms := newSimulatedFleet(vms, dataCentres), 0
	for range 8 {
		ms += 500
		s.exchange(after(ms))
	}
	return s, ms
}

var _ = Describe("a key of a data centre", func() {
	// Guards against several owners of a key in a partial mesh, here of 69 daemons in 23
	// data centres: rendezvous hashing over the daemons that each one knows would give
	// an engine 23 owners.
	It("has exactly one owner in a large fleet, a daemon of that data centre", func() {
		s, _ := newConvergedFleet(69, 23)
		Expect(s.ownersPerKey("dc07", 40)).To(HaveEach(1))
		for _, c := range s.contacts {
			f := s.views[c.VM].Fleet()
			Expect(f.PartialMesh).To(BeTrue())
			Expect(f.VMsIn(c.DataCentre)).To(HaveLen(3))
			Expect(f.MayOwnIn("dc07")).To(Equal(c.DataCentre == "dc07"))
		}
		Expect(s.ownersPerKey("without-daemons", 40)).To(HaveEach(1))
	})

	// Guards against engines without an owner: when all daemons of a data centre fail
	// and its engines keep running, another daemon must load new weights into them.
	It("is owned by another data centre's daemon when all of its own have failed", func() {
		s, ms := newConvergedFleet(6, 3)
		Expect(s.ownersPerKey("dc01", 40)).To(HaveEach(1))
		s.dead["vm001"], s.dead["vm004"] = true, true
		for range 8 {
			ms += 500
			s.exchange(after(ms))
			for vm, view := range s.views {
				if !s.dead[vm] {
					view.Step(membership.Tick{}, after(ms))
				}
			}
		}
		Expect(s.ownersPerKey("dc01", 40)).To(HaveEach(1))
		Expect(s.ownersPerKey("dc02", 40)).To(HaveEach(1))
	})

	It("isn't owned by a draining daemon", func() {
		m := membership.New(membership.Config{Self: "vm00", DataCentre: "dc0"})
		Expect(m.Fleet().OwnsIn("dc0", "e")).To(BeTrue())
		m.Step(membership.DrainStarted{}, after(0))
		Expect(m.Fleet().OwnsIn("dc0", "e")).To(BeFalse())
	})
})
