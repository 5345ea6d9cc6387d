package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/retry"
)

var _ = Describe("Backoff", func() {
	backoff := retry.Backoff{First: 50 * time.Millisecond, Max: 400 * time.Millisecond}

	It("doubles its bound up to the largest", func() {
		for failures, bound := range map[int]time.Duration{
			1: 50 * time.Millisecond, 2: 100 * time.Millisecond, 4: 400 * time.Millisecond, 5: 400 * time.Millisecond, 1000: 400 * time.Millisecond,
		} {
			Expect(backoff.Pause(failures, 0)).To(BeZero())
			Expect(backoff.Pause(failures, 0.5)).To(Equal(bound / 2))
		}
	})

	// The store is away for seconds and 690 daemons fail at one moment, again and again.
	// Their next calls must not fall on one moment: the store, which is just back, would
	// refuse most of them, and the rest of the fleet come back seconds later.
	It("spreads the calls of daemons that failed together", func() {
		const daemons, slices = 690, 8
		random := rand.New(rand.NewPCG(1, 5))
		var slots [slices]int
		for range daemons {
			at := backoff.Pause(5, random.Float64())
			slots[int(at*slices/backoff.Max)]++
		}
		for _, n := range slots {
			Expect(n).To(BeNumerically("<", 2*daemons/slices))
		}
	})
})
