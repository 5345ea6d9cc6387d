package locate

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fleet answers a search. A daemon holds some partitions; one of them may have the batch.
type fleet struct {
	owners map[int]string
	holds  map[string][]int
	has    int // partition with the batch, -1: none
	dead   map[string]bool
	cut    bool // the store doesn't answer this daemon
	now    time.Duration
	calls  int
}

func (f *fleet) run(s *Search) Action {
	for range 200 {
		switch a := s.Next(f.now).(type) {
		case ReadOwners:
			f.now += 4 * time.Millisecond
			if f.cut {
				s.Owners(nil)
				continue
			}
			s.Owners(f.owners)
		case Ask:
			f.now += 2 * time.Millisecond
			for _, address := range a.Addresses {
				f.calls++
				f.ask(s, address, a.Confirm)
			}
		case Pause:
			f.now += a.For
		case Follow:
			f.follow(s, a.Parts)
		default:
			return a
		}
	}
	return nil
}

func (f *fleet) ask(s *Search, address string, confirm bool) {
	if f.dead[address] {
		s.Unreachable(address)
		return
	}
	answer := Answer{}
	for _, p := range f.holds[address] {
		answer.Found = answer.Found || p == f.has
		if confirm && p != f.has {
			answer.Confirmed = append(answer.Confirmed, p)
		}
	}
	s.Answered(address, confirm, answer)
}

func (f *fleet) follow(s *Search, parts []int) {
	if f.cut {
		s.Followed(false, nil)
		return
	}
	found := false
	var confirmed []int
	for _, p := range parts {
		if p == f.has {
			found = true
		} else {
			confirmed = append(confirmed, p)
		}
	}
	s.Followed(found, confirmed)
}

// naive reads every partition here.
func (f *fleet) naive() Action {
	switch {
	case f.cut:
		return Unsure{}
	case f.has >= 0:
		return FoundHere{}
	}
	return Nowhere{}
}

// A call on a batch reaches any daemon, whatever is dead, cut off or handed over at the
// moment. A wrong "no such batch" makes a trainer drop a step that was accepted; "can't
// tell" for no reason makes it wait. Compared with reading all of the log here.
func TestSearchAgreesWithReadingAllHere(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := &fleet{owners: map[int]string{}, holds: map[string][]int{}, dead: map[string]bool{}, has: random.IntN(5) - 1, cut: random.IntN(5) == 0}
		parts := []int{0, 1, 2, 3}
		for _, p := range parts {
			owner := string(rune('a' + random.IntN(3)))
			if random.IntN(5) > 0 {
				f.owners[p] = owner // else nobody owns it
			}
			if random.IntN(5) > 0 {
				f.holds[owner] = append(f.holds[owner], p) // else it hasn't read it yet
			}
			f.dead[owner] = random.IntN(4) == 0
		}
		var known map[int]string
		if random.IntN(2) == 0 {
			known = map[int]string{0: "gone", 1: "b"} // out of date
			f.dead["gone"] = true
		}
		got, want := f.run(New(parts, known, f.now)), f.naive()
		switch got := got.(type) {
		case Found:
			g.Expect(f.has).To(BeNumerically(">=", 0), "seed %d", seed)
			g.Expect(f.holds[got.Address]).To(ContainElement(f.has), "seed %d", seed)
		case Nowhere:
			g.Expect(f.has).To(Equal(-1), "seed %d", seed)
		case Unsure:
			g.Expect(want).To(Equal(Unsure{}), "seed %d", seed)
		default:
			g.Expect(got).To(Equal(want), "seed %d", seed)
		}
		g.Expect(f.now).To(BeNumerically("<=", Patience+RoundPause+20*time.Millisecond), "seed %d", seed)
	}
}

// All owners live: a batch is found with one question to each, and its absence with two,
// in some ms and without a read of the log here.
func TestSearchCostsAQuestionOrTwo(t *testing.T) {
	for _, c := range []struct {
		has   int
		calls int
		want  Action
	}{
		{has: 1, calls: 2, want: Found{Address: "b"}},
		{has: -1, calls: 4, want: Nowhere{}},
	} {
		g := NewWithT(t)
		f := &fleet{owners: map[int]string{0: "a", 1: "b"}, holds: map[string][]int{"a": {0}, "b": {1}}, has: c.has}
		g.Expect(f.run(New([]int{0, 1}, nil, 0))).To(Equal(c.want))
		g.Expect(f.calls).To(Equal(c.calls))
		g.Expect(f.now).To(BeNumerically("<", 10*time.Millisecond))
	}
}

// The owner is killed and its partition has none until its membership has timed out. The
// daemon that is asked doesn't read the log at once, as dozens of others would in the same
// moment, and doesn't wait until the trainer has given up either.
func TestSearchReadsHereOnlyAfterItsPatience(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{owners: map[int]string{0: "a"}, holds: map[string][]int{"a": {0}}, has: 0, dead: map[string]bool{"a": true}}
	s := New([]int{0}, nil, 0)
	g.Expect(f.run(s)).To(Equal(FoundHere{}))
	g.Expect(f.now).To(And(BeNumerically(">=", Patience), BeNumerically("<", Patience+2*RoundPause)))
}
