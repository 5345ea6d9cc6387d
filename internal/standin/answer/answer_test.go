package answer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
)

func TestAnswer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answer")
}

const prompt = "seat for two, tokens=4"

var _ = Describe("Check", func() {
	g := answer.NewGenerator(prompt, 7)
	text := g.Text(0, 2, 1) + g.Text(2, 4, 2)
	labels := []answer.Segment{{Version: 1, From: 0, To: 2}, {Version: 2, From: 2, To: 4}}

	It("accepts a complete completion with correct labels", func() {
		Expect(answer.Check(prompt, text, labels)).To(Succeed())
		Expect(answer.CheckComplete(prompt, text, 100)).To(Succeed())
		Expect(answer.SegmentsOf(prompt, text)).To(Equal(labels))
	})

	DescribeTable("rejects",
		func(text string, labels []answer.Segment, want error) {
			Expect(answer.Check(prompt, text, labels)).To(MatchError(want))
		},
		Entry("a wrong label", text, []answer.Segment{{Version: 1, From: 0, To: 4}}, answer.ErrLabel),
		Entry("a gap in the labels", text, []answer.Segment{{Version: 1, From: 0, To: 1}, {Version: 2, From: 2, To: 4}}, answer.ErrLabel),
		Entry("labels that end early", text, labels[:1], answer.ErrLabel),
		Entry("the completion of another prompt", answer.Text("other", 7, 4, 1), labels, answer.ErrWrongCompletion),
		Entry("a change of seed", g.Text(0, 2, 1)+answer.NewGenerator(prompt, 8).Text(2, 4, 2), labels, answer.ErrWrongCompletion),
		Entry("a duplicated token", g.Text(0, 2, 1)+g.Text(1, 3, 2), labels, answer.ErrOrder),
		Entry("a text that ends within a token", text[:len(text)-1], labels, answer.ErrMalformed),
	)

	It("detects by the length that the text ends between two tokens", func() {
		Expect(answer.CheckComplete(prompt, g.Text(0, 3, 1), 100)).To(MatchError(answer.ErrLength))
	})
})
