package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
)

// naive keeps every event and works the live set out from all of them.
type naive struct {
	events []membership.Event
	at     []time.Time
	// deaf is a fault for the check to catch: failed streams are overlooked.
	deaf bool
}

func (n *naive) live(now time.Time) []ident.VM {
	var live []ident.VM
	for i := range fleet {
		vm := vmName(i)
		if n.alive(vm, now) {
			live = append(live, vm)
		}
	}
	return live
}

func (n *naive) alive(vm ident.VM, now time.Time) bool {
	var last membership.Heard
	var heard time.Time
	failed, leaving := true, false
	for i, event := range n.events {
		switch e := event.(type) {
		case membership.Heard:
			gone := failed || n.at[i].Sub(heard) > membership.DefaultTimeout
			newer := e.Incarnation > last.Incarnation || (e.Incarnation != last.Incarnation && gone)
			if e.VM != vm || !(newer || (e.Incarnation == last.Incarnation && e.Seq > last.Seq)) {
				continue
			}
			last, heard, failed = e, n.at[i], false
		case membership.StreamFailed:
			if e.VM == vm && e.Incarnation == last.Incarnation && !n.deaf {
				failed = true
			}
		case membership.Listed:
			leaving = slices.ContainsFunc(e.Entries, func(l membership.ListEntry) bool { return l.VM == vm && l.Leaving })
		}
	}
	return !failed && !last.Draining && !leaving && now.Sub(heard) <= membership.DefaultTimeout
}

const fleet = 6

func vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm%02d", i)) }

func contact(i int) membership.Contact {
	return membership.Contact{VM: vmName(i), DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%2)), Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

func randomEvent(r *rand.Rand) membership.Event {
	i := r.IntN(fleet)
	incarnation := 1 + r.Int64N(3)
	switch r.IntN(8) {
	case 0:
		return membership.StreamFailed{VM: vmName(i), Incarnation: incarnation}
	case 1:
		var entries []membership.ListEntry
		for j := range r.IntN(fleet) {
			entries = append(entries, membership.ListEntry{Contact: contact(j), Leaving: r.IntN(4) == 0})
		}
		return membership.Listed{Entries: entries}
	case 2:
		return membership.Tick{}
	default:
		return membership.Heard{Contact: contact(i), Incarnation: incarnation, Seq: r.Uint64N(200), Draining: r.IntN(8) == 0}
	}
}

// differ runs random sessions through both versions and returns the first difference.
func differ(deaf bool) string {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 6))
		members := membership.New(membership.Config{Self: "self"})
		reference := &naive{deaf: deaf}
		joined := map[ident.VM]bool{}
		now := time.Unix(1000, 0)
		for range 120 {
			now = now.Add(time.Duration(r.IntN(900)) * time.Millisecond)
			event := randomEvent(r)
			reference.events, reference.at = append(reference.events, event), append(reference.at, now)
			for _, action := range members.Step(event, now) {
				switch a := action.(type) {
				case membership.Joined:
					Expect(joined[a.VM]).To(BeFalse())
					joined[a.VM] = true
				case membership.Left:
					Expect(joined[a.VM]).To(BeTrue())
					delete(joined, a.VM)
				}
			}
			want := reference.live(now)
			if got := members.Live(); !slices.Equal(got, want) || len(joined) != len(want) {
				return fmt.Sprintf("seed %d, %T: live %v, want %v", seed, event, got, want)
			}
		}
	}
	return ""
}

var _ = Describe("the live set", func() {
	It("is the naive version's in random sessions", func() { Expect(differ(false)).To(BeEmpty()) })
	It("differs from a naive version that overlooks failed streams (the check is alive)", func() {
		Expect(differ(true)).NotTo(BeEmpty())
	})
})
