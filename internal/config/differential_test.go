package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// referenceConfig is a simple reference implementation with flat settings. Without
// checksBase the last write wins.
type referenceConfig struct {
	checksBase bool
	settings   map[string]string // JSON value by path
	versions   map[config.Branch]ident.Offset
	verdicts   map[string]bool // accepted, by change ID
}

func newReferenceConfig(checksBase bool) *referenceConfig {
	return &referenceConfig{checksBase, map[string]string{}, map[config.Branch]ident.Offset{}, map[string]bool{}}
}

func (n *referenceConfig) apply(off ident.Offset, c config.Change) bool {
	if first, ok := n.verdicts[c.ID]; ok {
		return first
	}
	next := map[string]string{}
	for path, value := range n.settings {
		next[path] = value
	}
	ok := !n.checksBase || c.Base == n.versions[c.Branch]
	for _, op := range c.Ops {
		path := string(c.Branch) + "/" + op.Path
		_, exists := next[path]
		ok = ok && !(op.Delete && !exists)
		delete(next, path)
		if !op.Delete {
			next[path] = string(op.Value)
		}
	}
	ok = ok && validSettings(next)
	n.verdicts[c.ID] = ok
	if ok {
		n.settings, n.versions[c.Branch] = next, off
	}
	return ok
}

// validSettings implements the validation rules for the settings that randomChange sets.
func validSettings(settings map[string]string) bool {
	for path, value := range settings {
		parts := strings.Split(path, "/")
		if parts[0] != "teams" {
			continue
		}
		var entry struct {
			Group, Model, Scorer string
			Bound                int `json:"staleness_bound"`
		}
		if json.Unmarshal([]byte(value), &entry) != nil || entry.Bound < 0 {
			return false
		}
		if parts[2] == "models" && !strings.Contains(settings["fleet/groups/"+entry.Group], "engine") {
			return false
		}
		if parts[2] == "jobs" {
			_, known := settings["teams/"+parts[1]+"/models/"+entry.Model]
			if !known || !strings.Contains(settings["fleet/groups/"+entry.Scorer], "scorer") {
				return false
			}
		}
	}
	return true
}

// randomChange returns a change based on the branch's version, or sometimes on an
// older one.
func randomChange(rng *rand.Rand, id int, version func(config.Branch) ident.Offset) config.Change {
	group := func() string { return fmt.Sprintf("g%d", rng.IntN(4)) }
	branch, path, value := config.FleetBranch, "groups/"+group(), `{"kind":"engine"}`
	if rng.IntN(2) == 0 {
		value = `{"kind":"scorer"}`
	}
	if rng.IntN(3) > 0 {
		branch = config.Branch(fmt.Sprintf("teams/t%d", rng.IntN(3)))
		path = fmt.Sprintf("models/m%d", rng.IntN(2))
		value = fmt.Sprintf(`{"group":"%s","staleness_bound":%d}`, group(), rng.IntN(6)-1)
		if rng.IntN(3) == 0 {
			path = fmt.Sprintf("jobs/j%d", rng.IntN(2))
			value = fmt.Sprintf(`{"model":"m%d","scorer":"%s","group_size":2,"max_tokens":8}`, rng.IntN(2), group())
		}
	}
	if rng.IntN(6) == 0 {
		value = ""
	}
	base := version(branch)
	if rng.IntN(4) == 0 {
		base = max(0, base-ident.Offset(rng.IntN(4)))
	}
	return newChange(fmt.Sprintf("c%d", id-rng.IntN(2)*rng.IntN(2)), branch, base, path, value)
}

// expectTreeMatches compares the entries of a tree with flat settings.
func expectTreeMatches(t *config.Tree, settings map[string]string) {
	GinkgoHelper()
	count := len(t.Fleet.Groups)
	for name, group := range t.Fleet.Groups {
		Expect(settings["fleet/groups/"+name]).To(ContainSubstring(string(group.Kind)))
	}
	for team, branch := range t.Teams {
		count += len(branch.Models) + len(branch.Jobs)
		for name, model := range branch.Models {
			want := fmt.Sprintf(`{"group":"%s","staleness_bound":%d}`, model.Group, model.StalenessBound)
			Expect(settings[fmt.Sprintf("teams/%s/models/%s", team, name)]).To(Equal(want))
		}
		for name, job := range branch.Jobs {
			want := fmt.Sprintf(`{"model":"%s","scorer":"%s",`, job.Model, job.Scorer)
			Expect(settings[fmt.Sprintf("teams/%s/jobs/%s", team, name)]).To(HavePrefix(want))
		}
	}
	Expect(count).To(Equal(len(settings)))
}

var _ = Describe("random sequences of changes", func() {
	It("give the reference result, also with states from peers and snapshots", func() {
		accepted, rejected := 0, 0
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 3))
			state, reference := config.Empty(), newReferenceConfig(true)
			viaPeer := state
			l := &fakeLog{first: 1}
			for id := range 150 {
				c := randomChange(rng, id, state.BranchVersion)
				before, off := state, state.AppliedOffset()+1
				l.append(config.Record{Change: &c})
				var verdict config.Verdict
				checked := before.Check(c)
				state, verdict = state.Apply(off, l.records[off-1])
				viaPeer, _ = viaPeer.Apply(off, l.records[off-1])
				Expect(verdict.Accepted).To(Equal(reference.apply(off, c)), "seed %d change %+v verdict %+v", seed, c, verdict)
				Expect(checked == nil).To(Equal(verdict.Accepted))
				Expect(state.Tree().Validate()).To(Succeed())
				expectTreeMatches(state.Tree(), reference.settings)
				expectDiffApplies(before, state, c.Branch)
				if verdict.Accepted {
					accepted++
				} else {
					rejected++
				}
				if rng.IntN(20) == 0 {
					var err error
					viaPeer, err = config.Unmarshal(marshal(viaPeer))
					Expect(err).NotTo(HaveOccurred())
					snap := state.Snapshot()
					l.append(config.Record{Snapshot: &snap})
					l.first = max(l.first, snap.LastOffset-ident.Offset(rng.IntN(5)))
					state, _ = state.Apply(state.AppliedOffset()+1, l.records[state.AppliedOffset()])
					viaPeer, _ = viaPeer.Apply(state.AppliedOffset(), l.records[state.AppliedOffset()-1])
				}
			}
			reader := config.NewReader(config.Empty())
			for !reader.CaughtUp() && reader.Next() <= state.AppliedOffset() {
				reader.ApplyPage(l.page(reader.Next(), 1+rng.IntN(20)))
			}
			Expect(marshal(viaPeer)).To(Equal(marshal(state)), "seed %d", seed)
			Expect(marshal(reader.State())).To(Equal(marshal(state)), "seed %d", seed)
		}
		Expect(accepted).To(BeNumerically(">", 500))
		Expect(rejected).To(BeNumerically(">", 500))
	})
})

// expectDiffApplies checks that Diff's operations turn one tree into the next.
func expectDiffApplies(before, after *config.State, branch config.Branch) {
	GinkgoHelper()
	ops := config.Diff(before.Tree(), after.Tree(), branch)
	if len(ops) == 0 {
		return
	}
	c := config.Change{ID: "diff", Branch: branch, Base: before.BranchVersion(branch), Ops: ops}
	got, verdicts := applyChanges(before, c)
	Expect(verdicts[0].Accepted).To(BeTrue(), "%+v", verdicts[0])
	Expect(config.Diff(got.Tree(), after.Tree(), branch)).To(BeEmpty())
}

// lostUpdates counts accepted changes that are not based on the previous accepted
// change to their branch: that one was overwritten by an author who hadn't seen it.
func lostUpdates(changes []config.Change, accepted func(ident.Offset, config.Change) bool) int {
	lost, versions := 0, map[config.Branch]ident.Offset{}
	for i, c := range changes {
		off := ident.Offset(i + 1)
		if !accepted(off, c) {
			continue
		}
		if c.Base != versions[c.Branch] {
			lost++
		}
		versions[c.Branch] = off
	}
	return lost
}

var _ = Describe("concurrent operators", func() {
	// Two operators each read a branch and then write it, with their reads and writes
	// interleaved at random. A lost update is a setting that reverts although its
	// operator was told that it is in effect. The same check finds lost updates under
	// last-write-wins.
	It("never lose an update, unlike under last-write-wins", func() {
		rng := rand.New(rand.NewPCG(1, 4))
		s, lastWriteWins := config.Empty(), newReferenceConfig(false)
		var changes []config.Change
		versions := []ident.Offset{0, 0}
		for id := range 300 {
			operator := rng.IntN(2)
			if rng.IntN(2) == 0 {
				versions[operator] = s.BranchVersion("fleet")
			}
			c := newChange(fmt.Sprintf("c%d", id), "fleet", versions[operator], fmt.Sprintf("groups/g%d", operator), `{"kind":"engine"}`)
			s, _ = applyChanges(s, c)
			changes = append(changes, c)
		}
		replay := config.Empty()
		Expect(lostUpdates(changes, func(_ ident.Offset, c config.Change) bool {
			var verdicts []config.Verdict
			replay, verdicts = applyChanges(replay, c)
			return verdicts[0].Accepted
		})).To(BeZero())
		Expect(lostUpdates(changes, lastWriteWins.apply)).To(BeNumerically(">", 50))
	})
})
