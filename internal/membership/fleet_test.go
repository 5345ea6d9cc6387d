package membership_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
)

// simulatedFleet is a fleet whose Members exchange messages over the connections that
// each of them asks for.
type simulatedFleet struct {
	views    map[ident.VM]*membership.Members
	contacts []membership.Contact
	dead     map[ident.VM]bool
	seq      uint64
}

func newSimulatedFleet(vms, dataCentres int) *simulatedFleet {
	s := &simulatedFleet{views: map[ident.VM]*membership.Members{}, dead: map[ident.VM]bool{}}
	var list membership.Listed
	for i := range vms {
		c := membership.Contact{VM: ident.VM(fmt.Sprintf("vm%03d", i)), DataCentre: ident.DataCentre(fmt.Sprintf("dc%02d", i%dataCentres)), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		s.contacts = append(s.contacts, c)
		list.Entries = append(list.Entries, membership.ListEntry{Contact: c})
	}
	for _, c := range s.contacts {
		s.views[c.VM] = membership.New(membership.Config{Self: c.VM, DataCentre: c.DataCentre})
		s.views[c.VM].Step(list, start)
	}
	return s
}

// exchange sends a heartbeat and a Vouched event over every connection in both
// directions, and returns the number of connections by VM.
func (s *simulatedFleet) exchange(now time.Time) (links map[ident.VM]int) {
	s.seq++
	links = map[ident.VM]int{}
	targets := map[ident.VM][]membership.Contact{}
	for vm, view := range s.views {
		targets[vm] = view.Targets(now)
	}
	for _, from := range s.contacts {
		if s.dead[from.VM] {
			continue
		}
		for _, to := range targets[from.VM] {
			mutual := to.VM < from.VM && slices.ContainsFunc(targets[to.VM], func(c membership.Contact) bool { return c.VM == from.VM })
			if s.dead[to.VM] {
				s.views[from.VM].Step(membership.Unreachable{VM: to.VM}, now)
			} else if !mutual {
				links[from.VM]++
				links[to.VM]++
				s.deliver(from, to, now)
				s.deliver(to, from, now)
			}
		}
	}
	return links
}

func (s *simulatedFleet) deliver(from, to membership.Contact, now time.Time) {
	s.views[to.VM].Step(membership.Heard{Contact: from, Incarnation: 1, Seq: s.seq}, now)
	s.views[to.VM].Step(membership.Vouched{By: from.VM, Contacts: s.views[from.VM].DirectlyLive(now)}, now)
}

// ownerAgreement returns the share of the data centre's daemons that name the same
// owner as most of them do, over 100 keys.
func (s *simulatedFleet) ownerAgreement(dc ident.DataCentre) float64 {
	agreed, total := 0, 0
	for key := range 100 {
		votes, mostVotes := map[ident.VM]int{}, 0
		for _, c := range s.contacts {
			if c.DataCentre == dc && !s.dead[c.VM] {
				owner, _ := s.views[c.VM].Owner(fmt.Sprint(key))
				votes[owner]++
				mostVotes = max(mostVotes, votes[owner])
				total++
			}
		}
		agreed += mostVotes
	}
	return float64(agreed) / float64(total)
}

var _ = Describe("a fleet of 120 in 4 data centres", func() {
	It("keeps the number of connections low and agrees on owners within a data centre", func() {
		s := newSimulatedFleet(120, 4)
		now, maxLinks, totalLinks := start, 0, 0
		for range 4 {
			now = now.Add(time.Second)
			links := s.exchange(now)
			maxLinks, totalLinks = 0, 0
			for _, n := range links {
				maxLinks, totalLinks = max(maxLinks, n), totalLinks+n
			}
		}
		AddReportEntry("connections per daemon", fmt.Sprintf("mean %.1f, most %d", float64(totalLinks)/120, maxLinks))
		AddReportEntry("agreement on owners", s.ownerAgreement("dc03"))
		Expect(float64(totalLinks) / 120).To(BeNumerically("<", 18))
		Expect(maxLinks).To(BeNumerically("<", 32))
		Expect(s.ownerAgreement("dc03")).To(BeNumerically(">", 0.9))
	})

	// Guards against a dead VM that stays live. Daemons connected to it notice its
	// death at once, the others when the last peer stops vouching for it.
	It("removes a dead VM from every daemon's live set", func() {
		s := newSimulatedFleet(120, 4)
		for i := range 4 {
			s.exchange(start.Add(time.Duration(i) * time.Second))
		}
		s.dead["vm003"] = true
		for i := 4; i < 11; i++ {
			s.exchange(start.Add(time.Duration(i) * time.Second))
		}
		for vm, view := range s.views {
			if vm != "vm003" {
				Expect(view.Live()).NotTo(ContainElement(ident.VM("vm003")))
			}
		}
	})
})
