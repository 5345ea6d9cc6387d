package policy

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestParse(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse("hedge, retain")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Enabled(Hedge)).To(BeFalse())
	g.Expect(s.Enabled(Retain)).To(BeFalse())
	g.Expect(s.Enabled(Moves)).To(BeTrue())
	s, err = Parse("")
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range All() {
		g.Expect(s.Enabled(m)).To(BeTrue())
		g.Expect(Without(All()...).Enabled(m)).To(BeFalse())
	}
	_, err = Parse("hedge,magic")
	g.Expect(err).To(MatchError(ContainSubstring(`"magic"`)))
}
