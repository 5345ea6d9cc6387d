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

// restore is made from an operator's file with the fleet's branch alone.
func restore(id string, off ident.Offset, reserve float64) config.Record {
	GinkgoHelper()
	tree, err := config.ParseTreeFile(fmt.Appendf(nil, `{"fleet":{"production_reserve":%g}}`, reserve))
	Expect(err).NotTo(HaveOccurred())
	return config.Record{Restore: &config.Restore{ID: id, Offset: off, Tree: tree, Author: "ayu"}}
}

func reserveOf(s *config.State) float64 { return s.Tree().Fleet.ProductionReserve }

// forgotten is a log whose first records are gone, and no snapshot of them is left.
func forgotten() *stream { return &stream{first: 4, records: make([][]byte, 3)} }

func readAll(r *config.Reader, l *stream) *config.State {
	for r.Next() <= ident.Offset(len(l.records)) {
		r.Step(l.page(r.Next(), 2))
	}
	return r.State()
}

var _ = Describe("Restore", func() {
	// All daemons were replaced while the log was down, and it came back empty. Two
	// operators each restore from their own file; both are told that the next offset
	// is 4, and both appends succeed. One file is in force, everywhere the same one.
	It("of two at once lets the first in the log win, for a daemon with any state or none", func() {
		l := forgotten()
		l.append(restore("ayu", 4, 0.1), restore("budi", 4, 0.2))
		c := change("next", "fleet", 4, "production_reserve", "0.4")
		l.append(config.Record{Change: &c})
		old, _ := fold(config.Empty(), change("fleet-1", "fleet", 0, "", fleetValue))
		whole, _ := fold(base(), change("fleet-2", "fleet", 1, "production_reserve", "0.5"))
		want := readAll(config.NewReader(config.Empty()), l)
		Expect(reserveOf(want)).To(Equal(0.4))
		Expect(want.History("fleet", 9)).To(HaveLen(2))
		for _, s := range []*config.State{old, base(), whole} {
			Expect(marshal(readAll(config.NewReader(s), l))).To(Equal(marshal(want)))
		}
	})

	It("has its own offset for the version of each branch, so that none falls", func() {
		s, _ := fold(base(), change("fleet-2", "fleet", 1, "production_reserve", "0.5"))
		s, v := s.Fold(4, encode(restore("ayu", 4, 0.1)))
		Expect(v).To(Equal(config.Verdict{ChangeID: "ayu", Accepted: true, Version: 4}))
		Expect([]ident.Offset{s.Version(), s.Through(), s.BranchVersion("fleet")}).To(HaveEach(BeEquivalentTo(4)))
		Expect(s.Tree().Teams).To(BeEmpty())
		back, err := config.Unmarshal(marshal(s))
		Expect(err).NotTo(HaveOccurred())
		Expect(marshal(back)).To(Equal(marshal(s)))
	})

	// A daemon that slept through it all offers its old state to a daemon that has
	// just been restored, or gets there first. Neither way may the old one stay, nor
	// may a daemon that has the restore go back.
	It("isn't undone by a late peer's state", func() {
		l := forgotten()
		l.append(restore("ayu", 4, 0.1))
		for _, late := range []*config.State{base(), func() *config.State { s, _ := base().Fold(3, nil); return s }()} {
			first, second := config.NewReader(config.Empty()), config.NewReader(config.Empty())
			want := readAll(first, l)
			Expect(first.Adopt(late)).To(BeFalse())
			second.Step(config.Page{First: 4, Next: 4})
			Expect(second.Adopt(late)).To(BeTrue())
			Expect(marshal(readAll(second, l))).To(Equal(marshal(want)))
			Expect(first.InGap() || second.InGap()).To(BeFalse())
		}
	})

	// A daemon still holds the configuration and reads the log, but no peer of it
	// can be reached by the one that is being restored. It is asked through the log;
	// its snapshot fills the gap, and the restore, made meanwhile, is void.
	It("gives way to a daemon that still holds the configuration", func() {
		l := forgotten()
		holder, _ := base().Fold(3, nil)
		with, without := config.NewReader(holder), config.NewReader(config.Empty())
		keep := config.Retention{} // none is due by itself
		with.Step(l.page(4, 9))
		l.append(config.Record{Ask: &config.Ask{ID: "ayu"}})
		readAll(with, l)
		readAll(without, l)
		Expect(with.SnapshotDue(epoch, keep)).To(BeTrue())
		Expect(without.SnapshotDue(epoch, keep)).To(BeFalse())
		snap := with.State().Snapshot()
		l.append(config.Record{Snapshot: &snap}, restore("ayu", 5, 0.1))
		Expect(marshal(readAll(without, l))).To(Equal(marshal(readAll(with, l))))
		Expect(with.SnapshotDue(epoch, keep)).To(BeFalse())
		Expect(with.State().BranchVersion("teams/coop")).To(BeEquivalentTo(2))
	})

	It("is void everywhere when its tree breaks the schema", func() {
		l := forgotten()
		bad := restore("ayu", 4, 0.1)
		bad.Restore.Tree.Fleet.ProductionReserve = 2
		l.append(bad)
		r := config.NewReader(config.Empty())
		Expect(readAll(r, l).Version()).To(BeZero())
		Expect(r.InGap()).To(BeTrue())
		whole, _ := base().Fold(3, nil)
		s, v := whole.Fold(4, l.records[3])
		Expect(v.Path).To(Equal("fleet/production_reserve"))
		Expect(s.Version()).To(Equal(whole.Version()))
	})

	It("takes the tree as config get prints it, with --json or without", func() {
		tree := base().Tree()
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

	// Changes, snapshots and restores, in force and void, in any order; readers begin
	// at any offset, with no state or with a peer's. At each offset whoever has no
	// gap must hold what the fold of the whole log holds.
	It("keeps the fold the same for every reader of random logs", func() {
		inForce, void, compared := 0, 0, 0
		for seed := range uint64(40) {
			rng := rand.New(rand.NewPCG(seed, 5))
			l, states := &stream{first: 1}, []*config.State{config.Empty()}
			for id := range 60 {
				s := states[id]
				off := s.Through() + 1
				c := randomChange(rng, id, s.BranchVersion)
				snap := s.Snapshot()
				record := []config.Record{{Change: &c}, {Change: &c}, {Snapshot: &snap},
					restore(fmt.Sprintf("r%d", id-rng.IntN(2)), off-ident.Offset(min(rng.IntN(3), int(off-1))), 0.1)}[rng.IntN(4)]
				l.append(record)
				next, v := s.Fold(off, l.records[off-1])
				states = append(states, next)
				if record.Restore != nil && v.Accepted {
					inForce++
				} else if record.Restore != nil {
					void++
				}
				Expect(next.Version()).To(BeNumerically(">=", s.Version()))
			}
			for range 10 {
				l.first = ident.Offset(1 + rng.IntN(60))
				r := config.NewReader(states[rng.IntN(int(l.first))])
				for r.Next() <= 60 {
					r.Step(l.page(r.Next(), 1+rng.IntN(5)))
					if !r.InGap() {
						compared++
						Expect(marshal(r.State())).To(Equal(marshal(states[r.State().Through()])), "seed %d", seed)
					}
				}
			}
		}
		Expect(inForce).To(BeNumerically(">", 100))
		Expect(void).To(BeNumerically(">", 100))
		Expect(compared).To(BeNumerically(">", 1000))
	})
})
