package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/retry"
)

var _ = Describe("Backoff", func() {
	backoff := retry.Backoff{Initial: 50 * time.Millisecond, Max: 400 * time.Millisecond}

	It("doubles the bound of the delay up to the largest", func() {
		for failures, bound := range map[int]time.Duration{
			1: 50 * time.Millisecond, 2: 100 * time.Millisecond, 4: 400 * time.Millisecond, 5: 400 * time.Millisecond, 1000: 400 * time.Millisecond,
		} {
			Expect(backoff.Delay(failures, 0)).To(BeZero())
			Expect(backoff.Delay(failures, 0.5)).To(Equal(bound / 2))
		}
	})

	// The store is unreachable for seconds, and the calls of 690 daemons fail at the same
	// time, again and again. The next calls must not all come at the same time: the store,
	// which has just recovered, would refuse most of them, and the rest of the fleet would
	// recover only seconds later.
	It("spreads the calls of daemons whose calls failed at the same time", func() {
		const daemons, slots = 690, 8
		random := rand.New(rand.NewPCG(1, 5))
		var counts [slots]int
		for range daemons {
			delay := backoff.Delay(5, random.Float64())
			counts[int(delay*slots/backoff.Max)]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", 2*daemons/slots))
		}
	})
})
