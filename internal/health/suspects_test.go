package health

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// naiveSuspects keeps the whole past of one incarnation and reads it again at each question.
type naiveSuspects struct{ failedAt []time.Duration }

func (n *naiveSuspects) holds(now time.Duration) bool {
	if len(n.failedAt) == 0 {
		return false
	}
	d := 300 * time.Millisecond
	for range len(n.failedAt) - 1 {
		d = min(2*d, 4*time.Second)
	}
	return now < n.failedAt[len(n.failedAt)-1]+d
}

var _ = Describe("Suspects", func() {
	It("agrees with a naive reading of the past", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 2))
			ours, past := NewSuspects(), map[string]*naiveSuspects{"a": {}, "b": {}}
			now := time.Duration(0)
			for range 300 {
				now += time.Duration(random.IntN(1500)) * time.Millisecond
				id := [...]string{"a", "b"}[random.IntN(2)]
				if random.IntN(3) == 0 {
					ours.Worked(id)
					past[id].failedAt = nil
				} else {
					ours.Failed(id, now)
					past[id].failedAt = append(past[id].failedAt, now)
				}
				ask := now + time.Duration(random.IntN(5000))*time.Millisecond
				Expect(ours.Holds(id, ask)).To(Equal(past[id].holds(ask)), "seed %d, %s at %v", seed, id, ask)
			}
		}
	})

	// An engine falls silent under a sample's stream. The reward calls and callers' calls
	// that go to the same process must not each wait for their own timeout there; the
	// process that follows it at the address is another one and gets work at once.
	It("shares what one sender met, by incarnation", func() {
		s := NewSuspects()
		s.Failed("engine/1", 0)
		Expect(s.Holds("engine/1", FirstSuspicion-1)).To(BeTrue())
		Expect(s.Holds("engine/1", FirstSuspicion)).To(BeFalse())
		Expect(s.Holds("engine/2", 0)).To(BeFalse())
	})

	It("forgets only what failed long ago", func() {
		s := NewSuspects()
		s.Failed("old", 0)
		s.Failed("new", suspectLife)
		s.Trim(suspectLife + FirstSuspicion + 1)
		Expect(s.byIncarnation).To(HaveLen(1))
		Expect(s.byIncarnation).To(HaveKey("new"))
	})
})
