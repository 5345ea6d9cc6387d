package health

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

const groupSize = 7

func upstream(i int) ident.Upstream { return ident.Upstream(fmt.Sprint("u", i)) }

func newGroup() *Group {
	g := New(Options{})
	for i := range groupSize {
		g.Step(Added{upstream(i)}, epoch)
		g.Step(Reported{upstream(i), "1", false}, epoch)
	}
	return g
}

// randomEvent returns a random event; faults and reports are more frequent than others.
func randomEvent(random *rand.Rand) Event {
	u := upstream(random.IntN(groupSize))
	switch random.IntN(9) {
	case 0, 1:
		return Faulted{u, FaultKind(random.IntN(4))}
	case 2:
		return ProbeFailed{u, random.IntN(2) == 0}
	case 3, 4:
		return Reported{u, fmt.Sprint(1 + random.IntN(2)), random.IntN(12) == 0}
	case 5:
		return Succeeded{u}
	case 6:
		return SaidLeaving{u, [...]Source{FromVMList, FromAnswer, FromPeer}[random.IntN(3)]}
	case 7:
		return Doubted{u}
	}
	return Tick{}
}

// referenceUpstream keeps all events of one upstream and computes its state from all of them
// each time. It knows neither the rest of the group nor actions.
type referenceUpstream struct {
	history []timedEvent
}

type timedEvent struct {
	event Event
	at    time.Time
}

func (r *referenceUpstream) state(now time.Time) (state State, leaving bool) {
	bootID, leavingBootID := "", ""
	silentFaults, malformedFaults := 0, 0
	var holdUntil, slowStartSince, restartedAt time.Time
	setLeaving := func(peer bool, at time.Time) {
		if !leaving && !(peer && !restartedAt.IsZero() && at.Sub(restartedAt) < 30*time.Second) {
			leaving, leavingBootID = true, bootID
		}
	}
	for _, past := range r.history {
		if state == SlowStart && past.at.Sub(slowStartSince) >= 5*time.Second {
			state = Up
		}
		suspect := func() {
			if state != Down {
				state = Suspect
			}
		}
		switch e := past.event.(type) {
		case Succeeded:
			silentFaults, malformedFaults = 0, 0
		case Faulted:
			switch e.Kind {
			case Refused:
				state = Down
			case Silent:
				if silentFaults++; silentFaults > 1 {
					holdUntil = past.at.Add(time.Second << min(silentFaults-2, 4))
				}
				suspect()
			case Malformed:
				if malformedFaults++; malformedFaults >= 3 {
					suspect()
				}
			case Reset:
				suspect()
			}
		case ProbeFailed:
			if e.Refused || state == Suspect {
				state = Down
			}
			suspect()
		case SaidLeaving:
			setLeaving(e.Source == FromPeer, past.at)
		case Reported:
			restarted := bootID != "" && bootID != e.BootID
			if restarted {
				restartedAt = past.at
			}
			bootID = e.BootID
			if e.Leaving {
				setLeaving(false, past.at)
			} else if leaving && leavingBootID != e.BootID {
				leaving = false
			}
			if state == Down || restarted {
				state, slowStartSince, silentFaults, malformedFaults, holdUntil = SlowStart, past.at, 0, 0, time.Time{}
			} else if state == Suspect && !past.at.Before(holdUntil) {
				state, malformedFaults = Up, 0
			}
		}
	}
	if state == SlowStart && now.Sub(slowStartSince) >= 5*time.Second {
		state = Up
	}
	return state, leaving
}

// excludedSuspects counts the suspects that get no new work, given which upstreams do.
func excludedSuspects(g *Group, eligible func(ident.Upstream) bool) int {
	excluded := 0
	for i := range groupSize {
		v, _ := g.View(upstream(i))
		if v.State == Suspect && !v.Leaving && !eligible(upstream(i)) {
			excluded++
		}
	}
	return excluded
}

var _ = Describe("Group", func() {
	It("agrees with a reference model and keeps its invariants in random sessions", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			g := newGroup()
			reference := map[ident.Upstream]*referenceUpstream{}
			for i := range groupSize {
				reference[upstream(i)] = &referenceUpstream{[]timedEvent{{Reported{upstream(i), "1", false}, epoch}}}
			}
			ineligible := map[ident.Upstream]bool{} // according to the actions
			now := epoch
			for range 400 {
				now = now.Add(time.Duration(random.IntN(700)) * time.Millisecond)
				e := randomEvent(random)
				for _, a := range g.Step(e, now) {
					if s, ok := a.(SetEligible); ok {
						ineligible[s.Upstream] = !s.Eligible
					}
				}
				if r := reference[upstreamOf(e)]; r != nil {
					r.history = append(r.history, timedEvent{e, now})
				}
				for i := range groupSize {
					v, _ := g.View(upstream(i))
					state, leaving := reference[upstream(i)].state(now)
					Expect(v.State).To(Equal(state), "seed %d after %#v", seed, e)
					Expect(v.Leaving).To(Equal(leaving), "seed %d after %#v", seed, e)
					Expect(v.Eligible).To(Equal(!ineligible[upstream(i)]))
					Expect(v.Eligible && (leaving || state == Down)).To(BeFalse())
				}
				eligible := func(u ident.Upstream) bool { return !ineligible[u] }
				Expect(excludedSuspects(g, eligible)).To(BeNumerically("<=", groupSize*34/100))
			}
		}
	})

	// More than half of a group resets connections at the same time, as when a network
	// switch restarts. The rest couldn't carry the load, so most suspects must still get
	// work.
	It("negative control: excluding every suspect exceeds the bound", func() {
		g := newGroup()
		for i := range 5 {
			g.Step(Faulted{upstream(i), Reset}, epoch)
		}
		byGroup := func(u ident.Upstream) bool { v, _ := g.View(u); return v.Eligible }
		excludingAllSuspects := func(u ident.Upstream) bool { v, _ := g.View(u); return v.State == Up }
		Expect(excludedSuspects(g, byGroup)).To(Equal(2))
		Expect(excludedSuspects(g, excludingAllSuspects)).To(BeNumerically(">", 2))
	})

	It("starts an upstream slowly that was down, and reports the death of its previous process", func() {
		g := newGroup()
		g.Step(Faulted{"u0", Refused}, epoch)
		Expect(g.Step(Reported{"u0", "2", false}, epoch)).To(ContainElement(Died{"u0", "1"}))
		last := 0.0
		for ms := 0; ms < 5000; ms += 100 {
			g.Step(Tick{}, epoch.Add(time.Duration(ms)*time.Millisecond))
			v, _ := g.View("u0")
			Expect(v.Weight).To(And(BeNumerically(">=", last), BeNumerically("<", 1)))
			last = v.Weight
		}
		g.Step(Tick{}, epoch.Add(5*time.Second))
		v, _ := g.View("u0")
		Expect(v.Weight).To(Equal(1.0))
	})

	It("acts as in the golden file", func() {
		var out strings.Builder
		random := rand.New(rand.NewPCG(5, 5))
		g := newGroup()
		now := epoch
		for range 120 {
			now = now.Add(time.Duration(random.IntN(700)) * time.Millisecond)
			e := randomEvent(random)
			fmt.Fprintf(&out, "%v %#v\n", now.Sub(epoch), e)
			for _, a := range g.Step(e, now) {
				if p, ok := a.(ProbeAt); ok {
					fmt.Fprintf(&out, "  probe %s at %v\n", p.Upstream, p.At.Sub(epoch))
					continue
				}
				fmt.Fprintf(&out, "  %#v\n", a)
			}
		}
		golden.Expect("session.golden", out.String())
	})
})
