package locate

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fleet simulates the daemons that a search queries. At most one partition has the batch.
type fleet struct {
	owners         map[int]string   // addresses by partition
	loaded         map[string][]int // partitions that the daemon at an address has read
	batchPartition int              // partition with the batch, -1: none
	dead           map[string]bool  // by address
	storeDown      bool             // this daemon cannot reach the store
	now            time.Duration
	queries        int
}

// run executes the actions of a search and returns its result, nil if it does not end.
func (f *fleet) run(s *Search) Action {
	for range 200 {
		switch a := s.Next(f.now).(type) {
		case ReadOwners:
			f.now += 4 * time.Millisecond
			if f.storeDown {
				s.SetOwners(nil)
				continue
			}
			s.SetOwners(f.owners)
		case Ask:
			f.now += 2 * time.Millisecond
			for _, address := range a.Addresses {
				f.queries++
				f.ask(s, address, a.Confirm)
			}
		case Pause:
			f.now += a.Duration
		case Follow:
			f.follow(s, a.Partitions)
		default:
			return a
		}
	}
	return nil
}

func (f *fleet) ask(s *Search, address string, confirm bool) {
	if f.dead[address] {
		s.RecordUnreachable(address)
		return
	}
	answer := Answer{}
	for _, p := range f.loaded[address] {
		answer.Found = answer.Found || p == f.batchPartition
		if confirm && p != f.batchPartition {
			answer.Confirmed = append(answer.Confirmed, p)
		}
	}
	s.RecordAnswer(address, confirm, answer)
}

func (f *fleet) follow(s *Search, partitions []int) {
	if f.storeDown {
		s.RecordFollow(false, nil)
		return
	}
	found := false
	var confirmed []int
	for _, p := range partitions {
		if p == f.batchPartition {
			found = true
		} else {
			confirmed = append(confirmed, p)
		}
	}
	s.RecordFollow(found, confirmed)
}

// readAllLocally returns the result of reading every partition locally.
func (f *fleet) readAllLocally() Action {
	switch {
	case f.storeDown:
		return Unsure{}
	case f.batchPartition >= 0:
		return FoundLocally{}
	}
	return NotFound{}
}

// A call on a batch may reach any daemon, while owners are dead, cut off or being replaced.
// Guards against a wrong "no such batch", which makes a trainer drop a step that was accepted,
// and against a needless "unsure", which makes it wait. Compares with reading all partitions
// locally.
func TestSearchAgreesWithReadingAllLocally(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := &fleet{owners: map[int]string{}, loaded: map[string][]int{}, dead: map[string]bool{}, batchPartition: random.IntN(5) - 1, storeDown: random.IntN(5) == 0}
		partitions := []int{0, 1, 2, 3}
		for _, p := range partitions {
			owner := string(rune('a' + random.IntN(3)))
			if random.IntN(5) > 0 {
				f.owners[p] = owner // else it has no owner
			}
			if random.IntN(5) > 0 {
				f.loaded[owner] = append(f.loaded[owner], p) // else the owner has not read it yet
			}
			f.dead[owner] = random.IntN(4) == 0
		}
		var known map[int]string
		if random.IntN(2) == 0 {
			known = map[int]string{0: "gone", 1: "b"} // out of date
			f.dead["gone"] = true
		}
		got, want := f.run(New(partitions, known, f.now)), f.readAllLocally()
		switch got := got.(type) {
		case Found:
			g.Expect(f.batchPartition).To(BeNumerically(">=", 0), "seed %d", seed)
			g.Expect(f.loaded[got.Address]).To(ContainElement(f.batchPartition), "seed %d", seed)
		case NotFound:
			g.Expect(f.batchPartition).To(Equal(-1), "seed %d", seed)
		case Unsure:
			g.Expect(want).To(Equal(Unsure{}), "seed %d", seed)
		default:
			g.Expect(got).To(Equal(want), "seed %d", seed)
		}
		g.Expect(f.now).To(BeNumerically("<=", OwnerTimeout+RoundPause+20*time.Millisecond), "seed %d", seed)
	}
}

// While all owners are alive, a batch is found with one query to each, and its absence is
// confirmed with two, within 10 ms and without reading partitions locally.
func TestSearchTakesOneOrTwoQueriesPerOwner(t *testing.T) {
	for _, c := range []struct {
		batchPartition int
		queries        int
		want           Action
	}{
		{batchPartition: 1, queries: 2, want: Found{Address: "b"}},
		{batchPartition: -1, queries: 4, want: NotFound{}},
	} {
		g := NewWithT(t)
		f := &fleet{owners: map[int]string{0: "a", 1: "b"}, loaded: map[string][]int{"a": {0}, "b": {1}}, batchPartition: c.batchPartition}
		g.Expect(f.run(New([]int{0, 1}, nil, 0))).To(Equal(c.want))
		g.Expect(f.queries).To(Equal(c.queries))
		g.Expect(f.now).To(BeNumerically("<", 10*time.Millisecond))
	}
}

// After an owner is killed, its partition has none until its membership has timed out. The
// daemon that searches must not read the partition at once, since dozens of others would do
// so in the same moment, and must not wait until the trainer has given up either.
func TestSearchReadsLocallyOnlyAfterOwnerTimeout(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{owners: map[int]string{0: "a"}, loaded: map[string][]int{"a": {0}}, batchPartition: 0, dead: map[string]bool{"a": true}}
	s := New([]int{0}, nil, 0)
	g.Expect(f.run(s)).To(Equal(FoundLocally{}))
	g.Expect(f.now).To(And(BeNumerically(">=", OwnerTimeout), BeNumerically("<", OwnerTimeout+2*RoundPause)))
}
