package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Snapshot is a whole State. In the log it stands for every record up to Covers.
type Snapshot struct {
	Covers   ident.Offset            `json:"covers"`
	Version  ident.Offset            `json:"version"`
	Tree     Tree                    `json:"tree"`
	Branches map[Branch]ident.Offset `json:"branches"`
	Verdicts []Verdict               `json:"verdicts"` // newest first
	History  []HistoryEntry          `json:"history"`  // newest first
}

// preset gives an absent tree its defaults: a nil map would have other bytes.
func (snap *Snapshot) preset() { snap.Tree = *defaultTree() }

// Snapshot returns the whole state. Its parts are shared and must not be changed.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Covers:   s.through,
		Version:  s.version,
		Tree:     *s.tree,
		Branches: s.branches,
		Verdicts: slices.AppendSeq([]Verdict{}, s.verdicts.newest(maxVerdicts)),
		History:  slices.AppendSeq([]HistoryEntry{}, s.history.newest(maxHistory)),
	}
}

// FromSnapshot returns the state that a snapshot holds, after checking all of
// it: a daemon must not act on a tree that the fold would have refused. Error:
// *Error.
func FromSnapshot(snap Snapshot) (*State, error) {
	if err := snap.validate(); err != nil {
		return nil, err
	}
	tree := snap.Tree
	index, err := indexKeys(&tree, "")
	if err != nil {
		return nil, err
	}
	tree.keys = index
	s := &State{
		through:  snap.Covers,
		version:  snap.Version,
		tree:     &tree,
		branches: maps.Clone(snap.Branches),
		sizes:    map[Branch]int{},
		verdicts: recentOf(snap.Verdicts),
		history:  recentOf(snap.History),
	}
	for branch := range s.branches {
		if size := branchBytes(&tree, branch); size > 0 {
			s.sizes[branch] = size
		}
	}
	return s, nil
}

func (snap Snapshot) validate() error {
	if snap.Version < 0 || snap.Version > snap.Covers {
		return valueFault("snapshot/version", snap.Version, fmt.Sprintf("must be 0 to %d, the offset covered", snap.Covers))
	}
	if len(snap.Verdicts) > maxVerdicts || len(snap.History) > maxHistory {
		return fault("snapshot", fmt.Sprintf("must hold at most %d verdicts and %d changes", maxVerdicts, maxHistory))
	}
	if err := snap.validateBranches(); err != nil {
		return err
	}
	return snap.Tree.Validate()
}

func (snap Snapshot) validateBranches() error {
	if len(snap.Branches) > maxTeams+maxTombstones+1 {
		return fault("snapshot/branches", "must hold fewer versions")
	}
	for _, branch := range slices.Sorted(maps.Keys(snap.Branches)) {
		version := snap.Branches[branch]
		if err := branch.validate(); err != nil {
			return err
		}
		if version <= 0 || version > snap.Version {
			return valueFault("snapshot/branches/"+string(branch), version, fmt.Sprintf("must be 1 to %d", snap.Version))
		}
	}
	for _, team := range slices.Sorted(maps.Keys(snap.Tree.Teams)) {
		if snap.Branches[TeamBranch(team)] == 0 {
			return fault("snapshot/branches", "must hold a version of "+string(TeamBranch(team)))
		}
	}
	return nil
}

// Marshal returns the state for a peer. Equal states have equal bytes.
func (s *State) Marshal() ([]byte, error) {
	snap := s.Snapshot()
	return EncodeRecord(Record{Snapshot: &snap})
}

// Unmarshal reads a peer's state. Errors: *Error, ErrNoSnapshot, ErrTooLarge.
func Unmarshal(data []byte) (*State, error) {
	record, err := DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	if record.Snapshot == nil {
		return nil, ErrNoSnapshot
	}
	return FromSnapshot(*record.Snapshot)
}
