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

// referenceModel keeps every event and computes the live set from all of them.
type referenceModel struct {
	events []membership.Event
	times  []time.Time
	// ignoreStreamFailures injects a fault, to test that firstDifference finds it.
	ignoreStreamFailures bool
}

func (n *referenceModel) live(now time.Time) []ident.VM {
	var live []ident.VM
	for i := range fleetSize {
		vm := vmName(i)
		if n.alive(vm, now) {
			live = append(live, vm)
		}
	}
	return live
}

func (n *referenceModel) alive(vm ident.VM, now time.Time) bool {
	var last membership.Heard
	var lastHeartbeat time.Time
	failed, leaving := true, false
	for i, event := range n.events {
		switch e := event.(type) {
		case membership.Heard:
			dead := failed || n.times[i].Sub(lastHeartbeat) > membership.DefaultTimeout
			newer := e.Incarnation > last.Incarnation || (e.Incarnation != last.Incarnation && dead)
			if e.VM != vm || !(newer || (e.Incarnation == last.Incarnation && e.Seq > last.Seq)) {
				continue
			}
			last, lastHeartbeat, failed = e, n.times[i], false
		case membership.StreamFailed:
			if e.VM == vm && e.Incarnation == last.Incarnation && !n.ignoreStreamFailures {
				failed = true
			}
		case membership.Listed:
			leaving = slices.ContainsFunc(e.Entries, func(l membership.ListEntry) bool { return l.VM == vm && l.Leaving })
		}
	}
	return !failed && !last.Draining && !leaving && now.Sub(lastHeartbeat) <= membership.DefaultTimeout
}

const fleetSize = 6

func vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm%02d", i)) }

func contact(i int) membership.Contact {
	return membership.Contact{VM: vmName(i), DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%2)), Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

func randomEvent(r *rand.Rand) membership.Event {
	i := r.IntN(fleetSize)
	incarnation := 1 + r.Int64N(3)
	switch r.IntN(8) {
	case 0:
		return membership.StreamFailed{VM: vmName(i), Incarnation: incarnation}
	case 1:
		var entries []membership.ListEntry
		for j := range r.IntN(fleetSize) {
			entries = append(entries, membership.ListEntry{Contact: contact(j), Leaving: r.IntN(4) == 0})
		}
		return membership.Listed{Entries: entries}
	case 2:
		return membership.Tick{}
	default:
		return membership.Heard{Contact: contact(i), Incarnation: incarnation, Seq: r.Uint64N(200), Draining: r.IntN(8) == 0}
	}
}

// firstDifference applies random sessions to Members and to the reference model, and
// describes the first difference, "" if there is none.
func firstDifference(ignoreStreamFailures bool) string {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 6))
		members := membership.New(membership.Config{Self: "self"})
		reference := &referenceModel{ignoreStreamFailures: ignoreStreamFailures}
		joined := map[ident.VM]bool{}
		now := time.Unix(1000, 0)
		for range 120 {
			now = now.Add(time.Duration(r.IntN(900)) * time.Millisecond)
			event := randomEvent(r)
			reference.events, reference.times = append(reference.events, event), append(reference.times, now)
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
	It("equals the reference model's in random sessions", func() { Expect(firstDifference(false)).To(BeEmpty()) })
	It("differs from a reference model that ignores failed streams (checks the comparison itself)", func() {
		Expect(firstDifference(true)).NotTo(BeEmpty())
	})
})
