package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const (
	fleetValue = `{"groups":{
		"clerks":{"kind":"engine","upstreams":{"e1":{"address":"10.0.0.1:8000","data_centre":"semarang","checks_fencing":true}}},
		"counter":{"kind":"service","upstreams":{"s1":{"address":"[::1]:9000","data_centre":"bandung"}}},
		"judge":{"kind":"scorer","upstreams":{"j1":{"address":"10.0.0.3:8000","data_centre":"surabaya"}}}}}`
	teamValue = `{"models":{"clerk":{"group":"clerks","staleness_bound":2}},
		"routes":{"book":{"path":"/bookings","methods":["POST"],"group":"counter"}},
		"jobs":{"nightly":{"model":"clerk","scorer":"judge","group_size":8,"max_tokens":64}}}`
)

// newChange returns a change with one operation that sets path to value, or deletes it
// if value is "".
func newChange(id string, branch config.Branch, base ident.Offset, path, value string) config.Change {
	op := config.Op{Path: path, Value: json.RawMessage(value), Delete: value == ""}
	return config.Change{ID: id, Branch: branch, Base: base, Ops: []config.Op{op}, Author: "ayu"}
}

func encode(r config.Record) []byte {
	GinkgoHelper()
	data, err := config.EncodeRecord(r)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// applyChanges applies changes at the offsets after the state.
func applyChanges(s *config.State, changes ...config.Change) (*config.State, []config.Verdict) {
	GinkgoHelper()
	var verdicts []config.Verdict
	for _, c := range changes {
		var v config.Verdict
		s, v = s.Apply(s.AppliedOffset()+1, encode(config.Record{Change: &c}))
		verdicts = append(verdicts, v)
	}
	return s, verdicts
}

// baseState returns a state with the fleet at version 1 and the team coop at version 2.
func baseState() *config.State {
	GinkgoHelper()
	s, verdicts := applyChanges(config.Empty(),
		newChange("fleet-1", "fleet", 0, "", fleetValue),
		newChange("coop-1", "teams/coop", 0, "", teamValue))
	for _, v := range verdicts {
		Expect(v.Accepted).To(BeTrue(), "%+v", v)
	}
	return s
}

func marshal(s *config.State) []byte {
	GinkgoHelper()
	data, err := s.Marshal()
	Expect(err).NotTo(HaveOccurred())
	return data
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
