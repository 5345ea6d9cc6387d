package app

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

var _ = Describe("a sample that is refused because engines died under it", func() {
	// The refusal failed the whole group for good, although the step was accepted.
	It("is tried again when it may run alone", func() {
		err := workError(&dispatch.Error{Reason: dispatch.ReasonPoison, RetryAfter: 3 * time.Second})
		var attempt *rollouts.AttemptError
		Expect(errors.As(err, &attempt)).To(BeTrue())
		Expect(attempt.Failure.Kind).To(Equal(rollout.Transient))
		Expect(attempt.Failure.RetryAfter).To(Equal(3 * time.Second))
	})
})
