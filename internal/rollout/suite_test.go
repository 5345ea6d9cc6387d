package rollout

import (
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the epoch plus some milliseconds.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func testSpec(groups, size int) Spec {
	spec := Spec{Team: "koperasi", Job: "drafts", Step: 1, Model: "clerk", GroupSize: size, Bound: 2, Scorer: "rolls", TrainerVersion: 5}
	for g := range groups {
		spec.Prompts = append(spec.Prompts, Prompt{Text: "prompt", ExpectedTokens: 10 * (g % 3)})
	}
	return spec
}

func newStep(spec Spec, options Options) *Step {
	s, err := New(spec, options, epoch)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func only[A Action](actions []Action) []A {
	var some []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			some = append(some, a)
		}
	}
	return some
}

// finish brings one attempt through generation by a version and scoring.
func finish(s *Step, now time.Time, g Generate, v ident.Version) {
	s.Step(now, Generated{ID: g.ID, Attempt: g.Attempt, Text: "t", Tokens: 4, Segments: []Segment{{v, 0, 4}}})
	s.Step(now, Scored{ID: g.ID, Attempt: g.Attempt, Reward: 1})
}

func pullOf(v ident.Version, have ...uint32) Pull {
	return Pull{Have: roaring.BitmapOf(have...), TrainerVersion: v}
}

// answer runs a pull and returns its answer and the attempts started with it.
func answer(s *Step, now time.Time, p Pull) (Deliver, []Generate) {
	actions := s.Step(now, p)
	delivers := only[Deliver](actions)
	Expect(delivers).To(HaveLen(1))
	return delivers[0], only[Generate](actions)
}
