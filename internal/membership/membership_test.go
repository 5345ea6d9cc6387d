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

// after returns the moment so many milliseconds into a session.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func heard(i int, seq uint64) membership.Heard {
	return membership.Heard{Contact: contact(i), Incarnation: 1, Seq: seq}
}

var _ = Describe("stories", func() {
	var m *membership.Members
	BeforeEach(func() { m = membership.New(membership.Config{Self: "vm00", DataCentre: "dc0"}) })

	// A VM freezes: its connections stay open and nothing comes. Three seconds
	// later its keys belong to others. When it thaws, what it sends brings it back.
	It("lets a frozen VM go by time and takes it back", func() {
		m.Step(heard(1, 1), after(0))
		Expect(m.Step(membership.Tick{}, after(3000))).To(BeEmpty())
		Expect(m.Step(membership.Tick{}, after(3001))).To(Equal([]membership.Action{membership.Left{VM: "vm01", Reason: membership.Silent}}))
		Expect(m.Step(heard(1, 2), after(9000))).To(Equal([]membership.Action{membership.Joined{VM: "vm01"}}))
	})

	// Two halves of the fleet are parted: each sees the other's connections fail
	// and owns every key itself. After the cut both see everyone, and agree again.
	It("owns all keys while parted and agrees afterwards", func() {
		other := membership.New(membership.Config{Self: "vm01", DataCentre: "dc1"})
		m.Step(heard(1, 1), after(0))
		other.Step(heard(0, 1), after(0))
		m.Step(membership.StreamFailed{VM: "vm01", Incarnation: 1}, after(10))
		other.Step(membership.StreamFailed{VM: "vm00", Incarnation: 1}, after(10))
		for i := range 50 {
			_, here := m.Owner(fmt.Sprint(i))
			_, there := other.Owner(fmt.Sprint(i))
			Expect([]bool{here, there}).To(Equal([]bool{true, true}))
		}
		m.Step(heard(1, 2), after(5000))
		other.Step(heard(0, 2), after(5000))
		for i := range 50 {
			a, _ := m.Owner(fmt.Sprint(i))
			b, _ := other.Owner(fmt.Sprint(i))
			Expect(a).To(Equal(b))
		}
	})

	// The list of VMs is minutes old: a new VM isn't on it but talks to us, a dead
	// one still is. Work goes to the one that talks.
	It("believes heartbeats over a stale list", func() {
		m.Step(membership.Listed{Entries: []membership.ListEntry{{Contact: contact(2)}}}, after(0))
		m.Step(heard(1, 1), after(0))
		Expect(m.Live()).To(Equal([]ident.VM{"vm01"}))
	})

	// A former process of a VM thaws after its successor started; its late
	// heartbeat mustn't undo that the successor drains.
	It("ignores a former process", func() {
		successor := heard(1, 1)
		successor.Incarnation, successor.Draining = 2, true
		m.Step(successor, after(0))
		m.Step(heard(1, 900), after(100))
		Expect(m.Live()).To(BeEmpty())
	})

	// An operator drains this VM: new keys go to the others at once.
	It("hands its keys over when draining", func() {
		m.Step(heard(1, 1), after(0))
		m.Step(membership.Drained{}, after(0))
		for i := range 20 {
			_, self := m.Owner(fmt.Sprint(i))
			Expect(self).To(BeFalse())
		}
	})

	It("moves only the lost VM's keys, and spreads them", func() {
		for i := 1; i < 13; i++ {
			m.Step(heard(i, 1), after(0))
		}
		before, share := map[string]ident.VM{}, map[ident.VM]int{}
		for i := range 2600 {
			vm, _ := m.Owner(fmt.Sprint(i))
			before[fmt.Sprint(i)] = vm
			share[vm]++
		}
		Expect(share).To(HaveLen(13))
		Expect(share).To(HaveEach(And(BeNumerically(">", 120), BeNumerically("<", 300)))) // fair is 200
		m.Step(membership.StreamFailed{VM: "vm07", Incarnation: 1}, after(1))
		for key, vm := range before {
			now, _ := m.Owner(key)
			if vm != "vm07" {
				Expect(now).To(Equal(vm))
			}
		}
	})
})

var _ = Describe("the peer set", func() {
	list := func(vms, centres int) membership.Listed {
		var l membership.Listed
		for i := range vms {
			c := membership.Contact{VM: ident.VM(fmt.Sprintf("vm%03d", i)), DataCentre: ident.DataCentre(fmt.Sprintf("dc%02d", i%centres)), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
			l.Entries = append(l.Entries, membership.ListEntry{Contact: c})
		}
		return l
	}

	It("is everyone at today's size", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00"})
		m.Step(list(13, 3), start)
		Expect(m.Targets(start)).To(HaveLen(12))
	})

	It("is bounded at 690, near ones and a few far", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00"})
		m.Step(list(690, 23), start)
		Expect(m.Targets(start)).To(HaveLen(membership.DefaultNearPicks + membership.DefaultFarCap))
	})

	It("is two of each other data centre where there are few", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00", FarCap: 9})
		m.Step(list(90, 3), start)
		Expect(m.Targets(start)).To(HaveLen(membership.DefaultNearPicks + 4))
	})

	// Both daemons picked in another data centre die; for a minute others are
	// picked there, so that it isn't out of sight.
	It("picks others in place of those that can't be reached", func() {
		m := membership.New(membership.Config{Self: "vm000", DataCentre: "dc00", FarCap: 99})
		m.Step(list(690, 23), start)
		far := func(now time.Time) (vms []ident.VM) {
			for _, c := range m.Targets(now) {
				if c.DataCentre == "dc01" {
					vms = append(vms, c.VM)
				}
			}
			return vms
		}
		first := far(start)
		for _, vm := range first {
			m.Step(membership.Unreachable{VM: vm}, start)
		}
		Expect(far(start)).To(HaveLen(2))
		Expect(far(start)).NotTo(ContainElement(BeElementOf(first)))
		Expect(far(start.Add(2 * time.Minute))).To(Equal(first))
	})

	It("dials seeds until a daemon answers for them, never itself", func() {
		m := membership.New(membership.Config{Self: "vm00", Address: "10.0.0.0:1", Seeds: []string{"10.0.0.1:1", "10.0.0.0:1"}})
		Expect(m.Step(membership.Tick{}, start)).To(Equal([]membership.Action{membership.Dial{Contact: membership.Contact{Address: "10.0.0.1:1"}}}))
		Expect(m.Step(heard(1, 1), start)).To(Equal([]membership.Action{
			membership.Joined{VM: "vm01"}, membership.Close{Contact: membership.Contact{Address: "10.0.0.1:1"}}, membership.Dial{Contact: contact(1)},
		}))
	})
})

var _ = It("replays a recorded session to the byte", func() {
	m := membership.New(membership.Config{Self: "vm00", DataCentre: "dc0", Seeds: []string{"10.0.0.1:1"}})
	draining := heard(3, 2)
	draining.Draining = true
	session := []struct {
		ms    int
		event membership.Event
	}{
		{0, membership.Tick{}},
		{40, heard(1, 1)},
		{50, membership.Vouched{By: "vm01", Contacts: []membership.Contact{contact(2), contact(3), contact(0)}}},
		{90, heard(2, 1)},
		{95, heard(3, 1)},
		{400, membership.Listed{Entries: []membership.ListEntry{{Contact: contact(2), Leaving: true}, {Contact: contact(4)}}}},
		{500, membership.Unreachable{VM: "vm04"}},
		{900, draining},
		{1000, heard(1, 2)},
		{1200, membership.StreamFailed{VM: "vm01", Incarnation: 1}},
		{1500, heard(1, 3)},
		{4501, membership.Tick{}},
		{4600, membership.Listed{}},
		{9000, heard(2, 9)},
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
