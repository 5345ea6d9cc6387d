package membership_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
)

// owners counts, by key, the living daemons that think they own it.
func (s *simulated) owners(dc ident.DataCentre, keys int) map[int]int {
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

func settled(vms, centres int) (*simulated, int) {
	s, ms := newSimulated(vms, centres), 0
	for range 8 {
		ms += 500
		s.round(after(ms))
	}
	return s, ms
}

var _ = Describe("a key of a data centre", func() {
	// 69 daemons of 23 data centres: too many to know everyone. Rendezvous over what
	// each knows would give an engine 23 owners.
	It("has one owner in a large fleet, and that is a daemon there", func() {
		s, _ := settled(69, 23)
		Expect(s.owners("dc07", 40)).To(HaveEach(1))
		for _, c := range s.at {
			f := s.views[c.VM].Fleet()
			Expect(f.Bounded).To(BeTrue())
			Expect(f.Of(c.DataCentre)).To(HaveLen(3))
			Expect(f.MayOwnIn("dc07")).To(Equal(c.DataCentre == "dc07"))
		}
		Expect(s.owners("without-daemons", 40)).To(HaveEach(1))
	})

	// All daemons of a data centre fail, and its engines go on. Somebody must bring
	// them new weights.
	It("falls to the others when nobody of its data centre lives", func() {
		s, ms := settled(6, 3)
		Expect(s.owners("dc01", 40)).To(HaveEach(1))
		s.dead["vm001"], s.dead["vm004"] = true, true
		for range 8 {
			ms += 500
			s.round(after(ms))
			for vm, view := range s.views {
				if !s.dead[vm] {
					view.Step(membership.Tick{}, after(ms))
				}
			}
		}
		Expect(s.owners("dc01", 40)).To(HaveEach(1))
		Expect(s.owners("dc02", 40)).To(HaveEach(1))
	})

	It("isn't a draining daemon's", func() {
		m := membership.New(membership.Config{Self: "vm00", DataCentre: "dc0"})
		Expect(m.Fleet().OwnsIn("dc0", "e")).To(BeTrue())
		m.Step(membership.Drained{}, after(0))
		Expect(m.Fleet().OwnsIn("dc0", "e")).To(BeFalse())
	})
})
