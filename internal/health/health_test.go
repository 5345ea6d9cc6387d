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

// randomEvent favours what makes things interesting.
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

// naive remembers one upstream's whole past and reads its state from it again at
// each question; it knows nothing of the rest of the group, nor of actions.
type naive struct {
	past []moment
}

type moment struct {
	event Event
	at    time.Time
}

func (n *naive) state(now time.Time) (state State, leaving bool) {
	boot, leavingBoot := "", ""
	silences, garbled := 0, 0
	var hold, slow, restarted time.Time
	say := func(peer bool, at time.Time) {
		if !leaving && !(peer && !restarted.IsZero() && at.Sub(restarted) < 30*time.Second) {
			leaving, leavingBoot = true, boot
		}
	}
	for _, m := range n.past {
		if state == SlowStart && m.at.Sub(slow) >= 5*time.Second {
			state = Up
		}
		suspect := func() {
			if state != Down {
				state = Suspect
			}
		}
		switch e := m.event.(type) {
		case Succeeded:
			silences, garbled = 0, 0
		case Faulted:
			switch e.Kind {
			case Refused:
				state = Down
			case Silent:
				if silences++; silences > 1 {
					hold = m.at.Add(time.Second << min(silences-2, 4))
				}
				suspect()
			case Garbled:
				if garbled++; garbled >= 3 {
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
			say(e.Source == FromPeer, m.at)
		case Reported:
			again := boot != "" && boot != e.BootID
			if again {
				restarted = m.at
			}
			boot = e.BootID
			if e.Leaving {
				say(false, m.at)
			} else if leaving && leavingBoot != e.BootID {
				leaving = false
			}
			if state == Down || again {
				state, slow, silences, garbled, hold = SlowStart, m.at, 0, 0, time.Time{}
			} else if state == Suspect && !m.at.Before(hold) {
				state, garbled = Up, 0
			}
		}
	}
	if state == SlowStart && now.Sub(slow) >= 5*time.Second {
		state = Up
	}
	return state, leaving
}

// outBySuspicion counts suspects without work, given who is eligible.
func outBySuspicion(g *Group, eligible func(ident.Upstream) bool) int {
	out := 0
	for i := range groupSize {
		v, _ := g.View(upstream(i))
		if v.State == Suspect && !v.Leaving && !eligible(upstream(i)) {
			out++
		}
	}
	return out
}

var _ = Describe("Group", func() {
	It("agrees with a naive reading of the past, and keeps its invariants", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			g := newGroup()
			past := map[ident.Upstream]*naive{}
			for i := range groupSize {
				past[upstream(i)] = &naive{[]moment{{Reported{upstream(i), "1", false}, epoch}}}
			}
			told := map[ident.Upstream]bool{} // by actions
			now := epoch
			for range 400 {
				now = now.Add(time.Duration(random.IntN(700)) * time.Millisecond)
				e := randomEvent(random)
				for _, a := range g.Step(e, now) {
					if s, ok := a.(SetEligible); ok {
						told[s.Upstream] = !s.Eligible
					}
				}
				if n := past[nameOf(e)]; n != nil {
					n.past = append(n.past, moment{e, now})
				}
				for i := range groupSize {
					v, _ := g.View(upstream(i))
					state, leaving := past[upstream(i)].state(now)
					Expect(v.State).To(Equal(state), "seed %d after %#v", seed, e)
					Expect(v.Leaving).To(Equal(leaving), "seed %d after %#v", seed, e)
					Expect(v.Eligible).To(Equal(!told[upstream(i)]))
					Expect(v.Eligible && (leaving || state == Down)).To(BeFalse())
				}
				eligible := func(u ident.Upstream) bool { return !told[u] }
				Expect(outBySuspicion(g, eligible)).To(BeNumerically("<=", groupSize*34/100))
			}
		}
	})

	// Half of a group resets connections at once, as when a switch restarts: the
	// rest couldn't carry the load, so most suspects stay in.
	It("red alive: taking every suspect out breaks the bound", func() {
		g := newGroup()
		for i := range 5 {
			g.Step(Faulted{upstream(i), Reset}, epoch)
		}
		ours := func(u ident.Upstream) bool { v, _ := g.View(u); return v.Eligible }
		everySuspectOut := func(u ident.Upstream) bool { v, _ := g.View(u); return v.State == Up }
		Expect(outBySuspicion(g, ours)).To(Equal(2))
		Expect(outBySuspicion(g, everySuspectOut)).To(BeNumerically(">", 2))
	})

	It("brings a dead upstream back slowly, and knows that its process is another", func() {
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

	It("acts as in the golden session", func() {
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
