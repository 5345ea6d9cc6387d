package membership_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

var start = time.Unix(1000, 0)

// after returns the time ms milliseconds after the start of a session.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func heartbeat(i int, seq uint64) membership.Heard {
	return membership.Heard{Contact: contact(i), Incarnation: 1, Seq: seq}
}

var _ = Describe("stories", func() {
	var m *membership.Members
	BeforeEach(func() { m = membership.New(membership.Config{Self: "vm00", DataCentre: "dc0"}) })

	// Guards against a frozen VM that keeps its keys: its connections stay open but no
	// heartbeats arrive. After 3 s other VMs own its keys; its next heartbeat makes it
	// live again.
	It("removes a frozen VM after the timeout and adds it again at its next heartbeat", func() {
		m.Step(heartbeat(1, 1), after(0))
		Expect(m.Step(membership.Tick{}, after(3000))).To(BeEmpty())
		Expect(m.Step(membership.Tick{}, after(3001))).To(Equal([]membership.Action{membership.Left{VM: "vm01", Reason: membership.Silent}}))
		Expect(m.Step(heartbeat(1, 2), after(9000))).To(Equal([]membership.Action{membership.Joined{VM: "vm01"}}))
	})

	// Guards against keys without an owner during a network partition: each side sees
	// the connections to the other fail and owns every key itself. Once the partition
	// ends, both see all daemons and agree again.
	It("owns all keys during a network partition and agrees on owners afterwards", func() {
		other := membership.New(membership.Config{Self: "vm01", DataCentre: "dc1"})
		m.Step(heartbeat(1, 1), after(0))
		other.Step(heartbeat(0, 1), after(0))
		m.Step(membership.StreamFailed{VM: "vm01", Incarnation: 1}, after(10))
		other.Step(membership.StreamFailed{VM: "vm00", Incarnation: 1}, after(10))
		for i := range 50 {
			_, mine := m.Owner(fmt.Sprint(i))
			_, others := other.Owner(fmt.Sprint(i))
			Expect([]bool{mine, others}).To(Equal([]bool{true, true}))
		}
		m.Step(heartbeat(1, 2), after(5000))
		other.Step(heartbeat(0, 2), after(5000))
		for i := range 50 {
			a, _ := m.Owner(fmt.Sprint(i))
			b, _ := other.Owner(fmt.Sprint(i))
			Expect(a).To(Equal(b))
		}
	})

	// Guards against work for a dead VM while the VM list is minutes old: it still has
	// the dead VM and lacks a new one that sends heartbeats.
	It("trusts heartbeats over a stale VM list", func() {
		m.Step(membership.Listed{Entries: []membership.ListEntry{{Contact: contact(2)}}}, after(0))
		m.Step(heartbeat(1, 1), after(0))
		Expect(m.Live()).To(Equal([]ident.VM{"vm01"}))
	})

	// Guards against a late heartbeat from a VM's previous process, which was frozen
	// while its successor started, that cancels the successor's draining.
	It("ignores heartbeats of a previous process", func() {
		successor := heartbeat(1, 1)
		successor.Incarnation, successor.Draining = 2, true
		m.Step(successor, after(0))
		m.Step(heartbeat(1, 900), after(100))
		Expect(m.Live()).To(BeEmpty())
	})

	// Guards against new work for a VM that an operator drains.
	It("gives up ownership of all keys when draining starts", func() {
		m.Step(heartbeat(1, 1), after(0))
		m.Step(membership.DrainStarted{}, after(0))
		for i := range 20 {
			_, self := m.Owner(fmt.Sprint(i))
			Expect(self).To(BeFalse())
		}
	})

	It("moves only the keys of a lost VM and spreads keys evenly", func() {
		for i := 1; i < 13; i++ {
			m.Step(heartbeat(i, 1), after(0))
		}
		before, share := map[string]ident.VM{}, map[ident.VM]int{}
		for i := range 2600 {
			vm, _ := m.Owner(fmt.Sprint(i))
			before[fmt.Sprint(i)] = vm
			share[vm]++
		}
		Expect(share).To(HaveLen(13))
		Expect(share).To(HaveEach(And(BeNumerically(">", 120), BeNumerically("<", 300)))) // an even share is 200
		m.Step(membership.StreamFailed{VM: "vm07", Incarnation: 1}, after(1))
		for key, vm := range before {
			now, _ := m.Owner(key)
			if vm != "vm07" {
				Expect(now).To(Equal(vm))
			}
		}
	})
})

var _ = Describe("the connection targets", func() {
	list := func(vms, dataCentres int) membership.Listed {
		var l membership.Listed
		for i := range vms {
			c := membership.Contact{VM: ident.VM(fmt.Sprintf("vm%03d", i)), DataCentre: ident.DataCentre(fmt.Sprintf("dc%02d", i%dataCentres)), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
			l.Entries = append(l.Entries, membership.ListEntry{Contact: c})
		}
		return l
	}

	It("include every other daemon in a fleet of 13", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00"})
		m.Step(list(13, 3), start)
		Expect(m.Targets(start)).To(HaveLen(12))
	})

	It("are limited to local peers and a few remote ones in a fleet of 690", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00"})
		m.Step(list(690, 23), start)
		Expect(m.Targets(start)).To(HaveLen(membership.DefaultLocalPeers + membership.DefaultMaxRemotePeers))
	})

	It("include two daemons of each other data centre if there are few data centres", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00", MaxRemotePeers: 9})
		m.Step(list(90, 3), start)
		Expect(m.Targets(start)).To(HaveLen(membership.DefaultLocalPeers + 4))
	})

	// Guards against losing sight of a data centre when both daemons picked there die:
	// for a minute others are picked instead.
	It("replace unreachable daemons for a minute", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00", MaxRemotePeers: 99})
		m.Step(list(690, 23), start)
		remote := func(now time.Time) (vms []ident.VM) {
			for _, c := range m.Targets(now) {
				if c.DataCentre == "dc01" {
					vms = append(vms, c.VM)
				}
			}
			return vms
		}
		first := remote(start)
		for _, vm := range first {
			m.Step(membership.Unreachable{VM: vm}, start)
		}
		Expect(remote(start)).To(HaveLen(2))
		Expect(remote(start)).NotTo(ContainElement(BeElementOf(first)))
		Expect(remote(start.Add(2 * time.Minute))).To(Equal(first))
	})

	It("include each seed until a daemon answers for it, and never this daemon", func() {
		m := membership.New(membership.Config{Self: "vm00", Address: "10.0.0.0:1", Seeds: []string{"10.0.0.1:1", "10.0.0.0:1"}})
		Expect(m.Step(membership.Tick{}, start)).To(Equal([]membership.Action{membership.Dial{Contact: membership.Contact{Address: "10.0.0.1:1"}}}))
		Expect(m.Step(heartbeat(1, 1), start)).To(Equal([]membership.Action{
			membership.Joined{VM: "vm01"}, membership.Close{Contact: membership.Contact{Address: "10.0.0.1:1"}}, membership.Dial{Contact: contact(1)},
		}))
	})
})

var _ = It("returns the expected actions for a recorded session", func() {
	m := membership.New(membership.Config{Self: "vm00", DataCentre: "dc0", Seeds: []string{"10.0.0.1:1"}})
	draining := heartbeat(3, 2)
	draining.Draining = true
	session := []struct {
		ms    int
		event membership.Event
	}{
		{0, membership.Tick{}},
		{40, heartbeat(1, 1)},
		{50, membership.Vouched{By: "vm01", Contacts: []membership.Contact{contact(2), contact(3), contact(0)}}},
		{90, heartbeat(2, 1)},
		{95, heartbeat(3, 1)},
		{400, membership.Listed{Entries: []membership.ListEntry{{Contact: contact(2), Leaving: true}, {Contact: contact(4)}}}},
		{500, membership.Unreachable{VM: "vm04"}},
		{900, draining},
		{1000, heartbeat(1, 2)},
		{1200, membership.StreamFailed{VM: "vm01", Incarnation: 1}},
		{1500, heartbeat(1, 3)},
		{4501, membership.Tick{}},
		{4600, membership.Listed{}},
		{9000, heartbeat(2, 9)},
		{3600_000, membership.Tick{}},
		{3600_001, membership.Tick{}},
	}
	var out strings.Builder
	for _, s := range session {
		fmt.Fprintf(&out, "%d %T%+v\n", s.ms, s.event, s.event)
		for _, action := range m.Step(s.event, after(s.ms)) {
			fmt.Fprintf(&out, "\t%T%+v\n", action, action)
		}
		owner, self := m.Owner("key")
		fmt.Fprintf(&out, "\tlive %v owner %s %v\n", m.Live(), owner, self)
	}
	golden.Expect("session.golden", out.String())
})
