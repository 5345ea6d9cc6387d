package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

var _ = Describe("Fold", func() {
	// Two operators set a model's bound at the same time, both based on version 2, and
	// both appends succeed. Without the check of the base, the second change would
	// overwrite the first, whose operator was told that it was accepted.
	It("accepts the first of two changes on one version and rejects the second", func() {
		s, verdicts := applyChanges(baseState(),
			newChange("ayu", "teams/coop", 2, "models/clerk/staleness_bound", "5"),
			newChange("budi", "teams/coop", 2, "models/clerk/staleness_bound", "9"))
		Expect(verdicts[0]).To(Equal(config.Verdict{ChangeID: "ayu", Accepted: true, Version: 3}))
		Expect(verdicts[1].Accepted).To(BeFalse())
		Expect(verdicts[1].Reason).To(ContainSubstring("version 3 is newer"))
		Expect(s.Tree().Teams["coop"].Models["clerk"].StalenessBound).To(BeEquivalentTo(5))
		Expect(s.Version()).To(BeEquivalentTo(3))
		Expect(s.AppliedOffset()).To(BeEquivalentTo(4))
	})

	// The response to an append is lost, and the operator's tool appends the change
	// again. In between another operator has changed the branch.
	It("ignores a duplicate change and returns its first verdict", func() {
		first := newChange("ayu", "teams/coop", 2, "staleness_weight", "0.9")
		s, verdicts := applyChanges(baseState(), first,
			newChange("budi", "teams/coop", 3, "staleness_weight", "0.1"), first)
		Expect(verdicts[2]).To(Equal(verdicts[0]))
		Expect(s.Tree().Teams["coop"].StalenessWeight).To(Equal(0.1))
		Expect(s.Version()).To(BeEquivalentTo(4))
	})

	// An operator deletes a group that a team's model uses. If that were accepted, the
	// team's requests would have no upstream.
	It("rejects a change to the fleet that would make a team's branch invalid", func() {
		s := baseState()
		next, verdicts := applyChanges(s, newChange("oops", "fleet", 1, "groups/clerks", ""))
		Expect(verdicts[0].Path).To(Equal("teams/coop/models/clerk/group"))
		Expect(next.Tree()).To(BeIdenticalTo(s.Tree()))
		_, verdicts = applyChanges(s, newChange("oops", "fleet", 1, "groups/judge/kind", `"engine"`))
		Expect(verdicts[0].Path).To(Equal("teams/coop/jobs/nightly/scorer"))
	})

	It("rejects an operation outside its branch", func() {
		for _, path := range []string{"../other", "models/../../fleet", "/models", "models//clerk", "models/clerk/..", "."} {
			_, verdicts := applyChanges(baseState(), newChange("escape", "teams/coop", 2, path, "{}"))
			Expect(verdicts[0].Accepted).To(BeFalse(), path)
			Expect(verdicts[0].Path).To(HavePrefix("teams/coop"), path)
		}
		for _, branch := range []config.Branch{"", "teams", "teams/", "teams/a/b", "teams/..", "other"} {
			Expect(config.Empty().Check(newChange("escape", branch, 0, "", "{}"))).NotTo(Succeed(), "%q", branch)
		}
	})

	It("doesn't modify the previous state", func() {
		s := baseState()
		before := marshal(s)
		applyChanges(s, newChange("a", "teams/coop", 2, "models/clerk/max_tokens", "64"))
		applyChanges(s, newChange("b", "fleet", 1, "groups/clerks/upstreams/e2", `{"address":"10.0.0.9:1","data_centre":"x"}`))
		Expect(marshal(s)).To(Equal(before))
	})

	// A team is deleted, and an operator publishes a file that was made before the team
	// existed. The team must not be recreated.
	It("doesn't recreate a deleted branch from an outdated change", func() {
		s, verdicts := applyChanges(baseState(), newChange("bye", "teams/coop", 2, "", ""),
			newChange("old", "teams/coop", 0, "", teamValue), newChange("new", "teams/coop", 3, "", teamValue))
		Expect([]bool{verdicts[0].Accepted, verdicts[1].Accepted, verdicts[2].Accepted}).To(Equal([]bool{true, false, true}))
		Expect(s.BranchVersion("teams/coop")).To(BeEquivalentTo(5))
	})

	It("skips records that can't be decoded", func() {
		s, _ := baseState().Apply(3, []byte("{broken"))
		s, _ = s.Apply(4, []byte(`{"change":{"ID":"case"}}`))
		Expect(s.AppliedOffset()).To(BeEquivalentTo(4))
		Expect(s.Version()).To(BeEquivalentTo(2))
		same, _ := s.Apply(4, nil)
		Expect(same).To(BeIdenticalTo(s))
	})

	It("fills in defaults, and keeps an explicit zero where it is a valid value", func() {
		t := baseState().Tree()
		Expect(t.Fleet.ProductionReserve).To(Equal(0.3))
		Expect(t.Teams["coop"].Limits).To(Equal(config.Limits{Weight: 1, MaxQueue: 1000, MaxBodyBytes: 1 << 20}))
		s, _ := applyChanges(baseState(), newChange("z", "fleet", 1, "production_reserve", "0"))
		Expect(s.Tree().Fleet.ProductionReserve).To(BeZero())
		s, _ = applyChanges(s, newChange("d", "fleet", 3, "production_reserve", ""))
		Expect(s.Tree().Fleet.ProductionReserve).To(Equal(0.3))
	})
})

var _ = DescribeTable("the error for a rejected value has its path",
	func(branch config.Branch, path, value, wantPath, wantReason string) {
		s := baseState()
		err := s.Check(newChange("x", branch, s.BranchVersion(branch), path, value))
		var validationErr *config.Error
		Expect(err).To(BeAssignableToTypeOf(validationErr))
		Expect(err.(*config.Error).Path).To(Equal(wantPath))
		Expect(err.Error()).To(ContainSubstring(wantReason))
	},
	rejectionEntry("teams/coop", "models/clerk/staleness_bound", "-1", "teams/coop/models/clerk/staleness_bound", "-1: must be 0 to 1000000"),
	rejectionEntry("teams/coop", "models/clerk/bound", "1", "teams/coop/models/clerk/bound", "unknown field"),
	rejectionEntry("teams/coop", "models/new", `{"group":"clerks","Staleness_bound":1}`, "teams/coop/models/new/Staleness_bound", "unknown field"),
	rejectionEntry("teams/coop", "models/new/max_tokens", "1", "teams/coop/models/new", "no such entry"),
	rejectionEntry("teams/coop", "models/Big", `{"group":"clerks"}`, "teams/coop/models/Big", "must match"),
	rejectionEntry("teams/coop", "models/clerk/group", `"counter"`, "teams/coop/models/clerk/group", "kind engine"),
	rejectionEntry("teams/coop", "models/clerk/group", `null`, "teams/coop/models/clerk/group", "must be a string"),
	rejectionEntry("teams/coop", "models/clerk", "", "teams/coop/jobs/nightly/model", "one of the team's models"),
	rejectionEntry("teams/coop", "jobs/nightly/max_tokens", "5000", "teams/coop/jobs/nightly/max_tokens", "must be 1 to 4096"),
	rejectionEntry("teams/coop", "routes/b2", `{"path":"/bookings","methods":["GET","POST"],"group":"counter"}`, "teams/coop/routes/book", "ambiguous"),
	rejectionEntry("teams/coop", "routes/book/path", `"/v1/jobs/x"`, "teams/coop/routes/book/path", "the daemon's own path"),
	rejectionEntry("teams/coop", "routes/book/path", `"/a/../b"`, "teams/coop/routes/book/path", "segment"),
	rejectionEntry("teams/coop", "routes/book/methods", `["FETCH"]`, "teams/coop/routes/book/methods/0", "must be one of GET"),
	rejectionEntry("teams/coop", "limits/weight", "0", "teams/coop/limits/weight", "more than 0"),
	rejectionEntry("teams/coop", "staleness_weight", "1.5", "teams/coop/staleness_weight", "must be 0 to 1"),
	rejectionEntry("fleet", "groups/clerks/upstreams/e1/address", `"engine.local:80"`, "fleet/groups/clerks/upstreams/e1/address", "must be ip:port"),
	rejectionEntry("fleet", "groups/clerks/upstreams/e1/data_centre", `"x"`, "fleet/groups/clerks/upstreams/e1/data_centre", "must stay semarang"),
	rejectionEntry("fleet", "groups/judge/upstreams/e1", `{"address":"10.0.0.2:1","data_centre":"x"}`, "fleet/groups/judge/upstreams/e1", "another name"),
	rejectionEntry("fleet", "production_reserve", "0.95", "fleet/production_reserve", "must be 0 to 0.9"),
)

func rejectionEntry(branch config.Branch, path, value, wantPath, wantReason string) TableEntry {
	return Entry(string(branch)+"/"+path+" "+value, branch, path, value, wantPath, wantReason)
}

var _ = Describe("Authenticate", func() {
	It("finds the team and role of a secret by its hash", func() {
		s, _ := applyChanges(baseState(), newChange("k", "teams/coop", 2, "keys/ops", `{"sha256":"`+hashOf("s3cret")+`","role":"operator"}`))
		team, role, ok := s.Tree().Authenticate("s3cret")
		Expect([]any{team, role, ok}).To(Equal([]any{ident.Team("coop"), config.RoleOperator, true}))
		_, _, ok = s.Tree().Authenticate("other")
		Expect(ok).To(BeFalse())
		_, verdicts := applyChanges(s, newChange("k2", "teams/a", 0, "keys/ops", `{"sha256":"`+hashOf("s3cret")+`","role":"caller"}`))
		Expect(verdicts[0].Path).To(Equal("teams/a/keys/ops/sha256"))
		Expect(config.RoleTrainer.Allows(config.RoleCaller)).To(BeTrue())
		Expect(config.RoleTrainer.Allows(config.RoleOperator)).To(BeFalse())
	})

	// An operator enters the secret in place of its hash.
	It("never includes a key's invalid value in the error", func() {
		err := baseState().Check(newChange("k", "teams/coop", 2, "keys/ops", `{"sha256":"my-plain-secret","role":"my-plain-secret"}`))
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("plain-secret"))
	})
})

var _ = Describe("size limits", func() {
	It("allow a snapshot of the planned fleet in one record", func() {
		s := baseState()
		for g := range 24 {
			upstreams := map[string]config.Upstream{}
			for i := range 500 {
				name := fmt.Sprintf("engine-%02d-%03d", g, i)
				upstreams[name] = config.Upstream{Address: fmt.Sprintf("10.%d.%d.%d:8000", g, i/250, i%250), DataCentre: "sapporo-a"}
			}
			value, _ := json.Marshal(map[string]any{"kind": "engine", "upstreams": upstreams})
			var verdicts []config.Verdict
			id := fmt.Sprintf("g-%d", g)
			s, verdicts = applyChanges(s, newChange(id, "fleet", s.BranchVersion("fleet"), "groups/"+id, string(value)))
			Expect(verdicts[0].Accepted).To(BeTrue(), "%+v", verdicts[0])
		}
		GinkgoWriter.Println("snapshot of 12,000 upstreams:", len(marshal(s)), "bytes")
		back, err := config.Unmarshal(marshal(s))
		Expect(err).NotTo(HaveOccurred())
		Expect(marshal(back)).To(Equal(marshal(s)))
	})

	It("reject oversized input before allocating memory for it", func() {
		bomb, err := config.EncodeRecord(config.Record{Change: &config.Change{Author: strings.Repeat("a", 7<<20)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(bomb)).To(BeNumerically("<", 10_000))
		s, v := config.Empty().Apply(1, bomb)
		Expect(v.Accepted).To(BeFalse())
		Expect(s.AppliedOffset()).To(BeEquivalentTo(1))
		_, err = config.DecodeRecord(make([]byte, config.MaxRecordBytes+1))
		Expect(err).To(MatchError(config.ErrTooLarge))
		_, err = config.DecodeRecord([]byte(`{"snapshot":{"verdicts":[` + strings.Repeat("{},", 300_001) + `{}]}}`))
		Expect(err).To(MatchError(ContainSubstring("300000 values")))
	})
})

var _ = Describe("a fixed sequence of changes", func() {
	It("always gives the same verdicts and the same bytes of state", func() {
		at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		session := []config.Change{
			newChange("fleet-1", "fleet", 0, "", fleetValue),
			newChange("coop-1", "teams/coop", 0, "", teamValue),
			newChange("ayu", "teams/coop", 2, "models/clerk/staleness_bound", "5"),
			newChange("budi", "teams/coop", 2, "models/clerk/staleness_bound", "9"),
			newChange("ayu", "teams/coop", 2, "models/clerk/staleness_bound", "5"),
			newChange("clash", "fleet", 1, "groups/clerks", ""),
			newChange("kita", "teams/kitakaze", 0, "limits/weight", "3"),
			newChange("bye", "teams/kitakaze", 7, "", ""),
		}
		var out strings.Builder
		s := config.Empty()
		for _, c := range session {
			c.At = at
			var v config.Verdict
			s, v = s.Apply(s.AppliedOffset()+1, encode(config.Record{Change: &c}))
			line, _ := json.Marshal(v)
			fmt.Fprintf(&out, "%d %s\n", s.AppliedOffset(), line)
		}
		snap, _ := json.MarshalIndent(s.Snapshot(), "", "  ")
		out.Write(append(snap, '\n'))
		golden.Expect("session.golden", out.String())
	})
})
