package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// restoreRecord returns a restore from an operator's file that sets only the fleet's
// reserve.
func restoreRecord(id string, off ident.Offset, reserve float64) config.Record {
	GinkgoHelper()
	tree, err := config.ParseTreeFile(fmt.Appendf(nil, `{"fleet":{"production_reserve":%g}}`, reserve))
	Expect(err).NotTo(HaveOccurred())
	return config.Record{Restore: &config.Restore{ID: id, Offset: off, Tree: tree, Author: "ayu"}}
}

func productionReserve(s *config.State) float64 { return s.Tree().Fleet.ProductionReserve }

// expiredLog returns a log whose first three records have expired without a snapshot.
func expiredLog() *fakeLog { return &fakeLog{first: 4, records: make([][]byte, 3)} }

func readAll(r *config.Reader, l *fakeLog) *config.State {
	for r.Next() <= ident.Offset(len(l.records)) {
		r.ApplyPage(l.page(r.Next(), 2))
	}
	return r.State()
}

var _ = Describe("Restore", func() {
	// All daemons were replaced while the log was down, and its records had expired when
	// it came back. Two operators each restore from their own file. Both see 4 as the
	// next offset, and both appends succeed. All daemons must use the same file.
	It("lets the first of two concurrent restores win, for daemons with any state or none", func() {
		l := expiredLog()
		l.append(restoreRecord("ayu", 4, 0.1), restoreRecord("budi", 4, 0.2))
		c := newChange("next", "fleet", 4, "production_reserve", "0.4")
		l.append(config.Record{Change: &c})
		old, _ := applyChanges(config.Empty(), newChange("fleet-1", "fleet", 0, "", fleetValue))
		complete, _ := applyChanges(baseState(), newChange("fleet-2", "fleet", 1, "production_reserve", "0.5"))
		want := readAll(config.NewReader(config.Empty()), l)
		Expect(productionReserve(want)).To(Equal(0.4))
		Expect(want.History("fleet", 9)).To(HaveLen(2))
		for _, s := range []*config.State{old, baseState(), complete} {
			Expect(marshal(readAll(config.NewReader(s), l))).To(Equal(marshal(want)))
		}
	})

	It("sets each branch's version to its own offset, so that no version decreases", func() {
		s, _ := applyChanges(baseState(), newChange("fleet-2", "fleet", 1, "production_reserve", "0.5"))
		s, v := s.Apply(4, encode(restoreRecord("ayu", 4, 0.1)))
		Expect(v).To(Equal(config.Verdict{ChangeID: "ayu", Accepted: true, Version: 4}))
		Expect([]ident.Offset{s.Version(), s.AppliedOffset(), s.BranchVersion("fleet")}).To(HaveEach(BeEquivalentTo(4)))
		Expect(s.Tree().Teams).To(BeEmpty())
		back, err := config.Unmarshal(marshal(s))
		Expect(err).NotTo(HaveOccurred())
		Expect(marshal(back)).To(Equal(marshal(s)))
	})

	// A daemon that was suspended sends its old state to another daemon, after or before
	// that one reads the restore. The restored state must win in both cases.
	It("isn't reverted by a peer's outdated state", func() {
		l := expiredLog()
		l.append(restoreRecord("ayu", 4, 0.1))
		for _, outdated := range []*config.State{baseState(), func() *config.State { s, _ := baseState().Apply(3, nil); return s }()} {
			first, second := config.NewReader(config.Empty()), config.NewReader(config.Empty())
			want := readAll(first, l)
			Expect(first.UpdateIfNewer(outdated)).To(BeFalse())
			second.ApplyPage(config.Page{First: 4, Next: 4})
			Expect(second.UpdateIfNewer(outdated)).To(BeTrue())
			Expect(marshal(readAll(second, l))).To(Equal(marshal(want)))
			Expect(first.InGap() || second.InGap()).To(BeFalse())
		}
	})

	// One daemon still has the configuration and reads the log, but isn't reachable by
	// the daemon that is being restored. It gets a snapshot request through the log. Its
	// snapshot closes the gap, and the restore that is appended meanwhile has no effect.
	It("has no effect if a daemon that has the configuration appends a snapshot first", func() {
		l := expiredLog()
		holder, _ := baseState().Apply(3, nil)
		withState, withoutState := config.NewReader(holder), config.NewReader(config.Empty())
		retention := config.Retention{} // unlimited: a snapshot is due only on request
		withState.ApplyPage(l.page(4, 9))
		l.append(config.Record{SnapshotRequest: &config.SnapshotRequest{ID: "ayu"}})
		readAll(withState, l)
		readAll(withoutState, l)
		Expect(withState.SnapshotDue(epoch, retention)).To(BeTrue())
		Expect(withoutState.SnapshotDue(epoch, retention)).To(BeFalse())
		snap := withState.State().Snapshot()
		l.append(config.Record{Snapshot: &snap}, restoreRecord("ayu", 5, 0.1))
		Expect(marshal(readAll(withoutState, l))).To(Equal(marshal(readAll(withState, l))))
		Expect(withState.SnapshotDue(epoch, retention)).To(BeFalse())
		Expect(withState.State().BranchVersion("teams/coop")).To(BeEquivalentTo(2))
	})

	It("has no effect on any daemon if its tree is invalid", func() {
		l := expiredLog()
		bad := restoreRecord("ayu", 4, 0.1)
		bad.Restore.Tree.Fleet.ProductionReserve = 2
		l.append(bad)
		r := config.NewReader(config.Empty())
		Expect(readAll(r, l).Version()).To(BeZero())
		Expect(r.InGap()).To(BeTrue())
		complete, _ := baseState().Apply(3, nil)
		s, v := complete.Apply(4, l.records[3])
		Expect(v.Path).To(Equal("fleet/production_reserve"))
		Expect(s.Version()).To(Equal(complete.Version()))
	})

	It("accepts the output of config get, with or without --json", func() {
		tree := baseState().Tree()
		plain, _ := json.Marshal(tree)
		wrapped := fmt.Appendf(nil, `{"version":2,"branch_version":0,"tree":%s}`, plain)
		for _, file := range [][]byte{plain, wrapped} {
			got, err := config.ParseTreeFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(json.Marshal(got)).To(Equal(plain))
		}
		for file, path := range map[string]string{
			`{"flet":{}}`: "tree/flet", `{"fleet":{"production_reserve":2}}`: "fleet/production_reserve", `[]`: "file", `{"tree":null}`: "tree",
		} {
			_, err := config.ParseTreeFile([]byte(file))
			Expect(err).To(MatchError(ContainSubstring(path + ":")))
		}
	})

	// Random logs of changes, snapshots and restores, some without effect, are read from
	// any offset with an empty state or that of a peer. Every reader that isn't in a gap
	// must have the state that results from the whole log.
	It("leads to the same state for every reader of random logs", func() {
		effective, ineffective, compared := 0, 0, 0
		for seed := range uint64(40) {
			rng := rand.New(rand.NewPCG(seed, 5))
			l, states := &fakeLog{first: 1}, []*config.State{config.Empty()}
			for id := range 60 {
				s := states[id]
				off := s.AppliedOffset() + 1
				c := randomChange(rng, id, s.BranchVersion)
				snap := s.Snapshot()
				record := []config.Record{{Change: &c}, {Change: &c}, {Snapshot: &snap},
					restoreRecord(fmt.Sprintf("r%d", id-rng.IntN(2)), off-ident.Offset(min(rng.IntN(3), int(off-1))), 0.1)}[rng.IntN(4)]
				l.append(record)
				next, v := s.Apply(off, l.records[off-1])
				states = append(states, next)
				if record.Restore != nil && v.Accepted {
					effective++
				} else if record.Restore != nil {
					ineffective++
				}
				Expect(next.Version()).To(BeNumerically(">=", s.Version()))
			}
			for range 10 {
				l.first = ident.Offset(1 + rng.IntN(60))
				r := config.NewReader(states[rng.IntN(int(l.first))])
				for r.Next() <= 60 {
					r.ApplyPage(l.page(r.Next(), 1+rng.IntN(5)))
					if !r.InGap() {
						compared++
						Expect(marshal(r.State())).To(Equal(marshal(states[r.State().AppliedOffset()])), "seed %d", seed)
					}
				}
			}
		}
		Expect(effective).To(BeNumerically(">", 100))
		Expect(ineffective).To(BeNumerically(">", 100))
		Expect(compared).To(BeNumerically(">", 1000))
	})
})
