package config_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
)

// addSeedRecords adds valid and almost valid records to the corpus.
func addSeedRecords(f *testing.F) {
	RegisterTestingT(f)
	s := baseState()
	c := newChange("c", "fleet", 0, "", fleetValue)
	f.Add(encode(config.Record{Change: &c}))
	f.Add(marshal(s))
	f.Add(marshal(config.Empty()))
	for _, seed := range []string{"", "z", "z\x00", "{}", "null", `{"change":null}`, `{"change":{},"snapshot":{}}`,
		`{"snapshot":{"covers":9223372036854775807,"tree":{"teams":{"a":{}}}}}`, `{"change":{"id":"a","branch":"teams/a","ops":[{"path":"limits","value":null}]}}`} {
		f.Add([]byte(seed))
	}
}

// FuzzDecodeRecord applies arbitrary log data to a state.
func FuzzDecodeRecord(f *testing.F) {
	addSeedRecords(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		RegisterTestingT(t)
		s, _ := baseState().Apply(3, data)
		g.Expect(s.AppliedOffset()).To(BeEquivalentTo(3))
		g.Expect(s.Tree().Validate()).To(Succeed())
		again, _ := baseState().Apply(3, data)
		g.Expect(marshal(again)).To(Equal(marshal(s)))
	})
}

// FuzzUnmarshal decodes arbitrary data as a peer's state.
func FuzzUnmarshal(f *testing.F) {
	addSeedRecords(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		s, err := config.Unmarshal(data)
		if err != nil {
			return
		}
		g.Expect(s.Tree().Validate()).To(Succeed())
		g.Expect(s.Version()).To(BeNumerically("<=", s.AppliedOffset()))
		first, err := s.Marshal()
		g.Expect(err).NotTo(HaveOccurred())
		back, err := config.Unmarshal(first)
		g.Expect(err).NotTo(HaveOccurred())
		second, err := back.Marshal()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second).To(Equal(first))
	})
}

// FuzzParseBranchFile parses arbitrary data as an operator's file.
func FuzzParseBranchFile(f *testing.F) {
	for _, seed := range []string{fleetValue, teamValue, "groups:\n  g: {kind: engine}\n", "a: &x [1]\nb: *x", "a: 1\na: 2", "? [1]\n: 2", "x: .nan", "x: 0x1f", "- 1", "", "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		ops, err := config.ParseBranchFile(data)
		if err != nil {
			return
		}
		g.Expect(ops).To(HaveLen(1))
		c := config.Change{ID: "c", Branch: "teams/coop", Ops: ops}
		s := config.Empty()
		if s.Check(c) == nil {
			_, v := s.Apply(1, must(config.EncodeRecord(config.Record{Change: &c})))
			g.Expect(v.Accepted).To(BeTrue())
		}
	})
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
