package health

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// referenceSuspect keeps all failures of one incarnation since its last success.
type referenceSuspect struct{ failedAt []time.Duration }

func (r *referenceSuspect) holds(now time.Duration) bool {
	if len(r.failedAt) == 0 {
		return false
	}
	d := 300 * time.Millisecond
	for range len(r.failedAt) - 1 {
		d = min(2*d, 4*time.Second)
	}
	return now < r.failedAt[len(r.failedAt)-1]+d
}

var _ = Describe("Suspects", func() {
	It("agrees with a reference model in random sessions", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 2))
			suspects, reference := NewSuspects(), map[string]*referenceSuspect{"a": {}, "b": {}}
			now := time.Duration(0)
			for range 300 {
				now += time.Duration(random.IntN(1500)) * time.Millisecond
				id := [...]string{"a", "b"}[random.IntN(2)]
				if random.IntN(3) == 0 {
					suspects.Succeeded(id)
					reference[id].failedAt = nil
				} else {
					suspects.Failed(id, now)
					reference[id].failedAt = append(reference[id].failedAt, now)
				}
				askedAt := now + time.Duration(random.IntN(5000))*time.Millisecond
				Expect(suspects.IsSuspect(id, askedAt)).To(Equal(reference[id].holds(askedAt)), "seed %d, %s at %v", seed, id, askedAt)
			}
		}
	})

	// An engine stops answering while it streams a sample. Reward calls and callers' calls
	// that would go to the same process must not each wait for their own timeout there.
	// The next process at the address is another incarnation and gets work at once.
	It("shares a failure among all senders, by incarnation", func() {
		s := NewSuspects()
		s.Failed("engine/1", 0)
		Expect(s.IsSuspect("engine/1", MinSuspicion-1)).To(BeTrue())
		Expect(s.IsSuspect("engine/1", MinSuspicion)).To(BeFalse())
		Expect(s.IsSuspect("engine/2", 0)).To(BeFalse())
	})

	It("drops only incarnations that failed long ago", func() {
		s := NewSuspects()
		s.Failed("old", 0)
		s.Failed("new", suspectTTL)
		s.DropExpired(suspectTTL + MinSuspicion + 1)
		Expect(s.byIncarnation).To(HaveLen(1))
		Expect(s.byIncarnation).To(HaveKey("new"))
	})
})
