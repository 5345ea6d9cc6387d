package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Snapshot is the serialized form of a State. In the log it replaces every record up
// to and including LastOffset.
type Snapshot struct {
	LastOffset ident.Offset            `json:"covers"`
	Version    ident.Offset            `json:"version"`
	Tree       Tree                    `json:"tree"`
	Branches   map[Branch]ident.Offset `json:"branches"`
	Verdicts   []Verdict               `json:"verdicts"` // newest first
	History    []HistoryEntry          `json:"history"`  // newest first
}

// setDefaults sets the default tree, for a record without one: nil maps would be
// encoded differently from empty ones.
func (snap *Snapshot) setDefaults() { snap.Tree = *defaultTree() }

// Snapshot returns the state as a snapshot. It shares its maps with the state, so
// the caller must not modify them.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		LastOffset: s.appliedOffset,
		Version:    s.version,
		Tree:       *s.tree,
		Branches:   s.branchVersions,
		Verdicts:   slices.AppendSeq([]Verdict{}, s.verdicts.newest(maxVerdicts)),
		History:    slices.AppendSeq([]HistoryEntry{}, s.history.newest(maxHistory)),
	}
}

// FromSnapshot validates a snapshot and returns its state. A daemon must not use a
// tree that it would have rejected as a change. Error: *Error.
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
		appliedOffset:  snap.LastOffset,
		version:        snap.Version,
		tree:           &tree,
		branchVersions: maps.Clone(snap.Branches),
		branchSizes:    map[Branch]int{},
		verdicts:       newRecentList(snap.Verdicts),
		history:        newRecentList(snap.History),
	}
	for branch := range s.branchVersions {
		if size := encodedBranchSize(&tree, branch); size > 0 {
			s.branchSizes[branch] = size
		}
	}
	return s, nil
}

func (snap Snapshot) validate() error {
	if snap.Version < 0 || snap.Version > snap.LastOffset {
		return newValueError("snapshot/version", snap.Version, fmt.Sprintf("must be 0 to %d, the last offset of the snapshot", snap.LastOffset))
	}
	if len(snap.Verdicts) > maxVerdicts || len(snap.History) > maxHistory {
		return newError("snapshot", fmt.Sprintf("must hold at most %d verdicts and %d changes", maxVerdicts, maxHistory))
	}
	if err := snap.validateBranches(); err != nil {
		return err
	}
	return snap.Tree.Validate()
}

func (snap Snapshot) validateBranches() error {
	if len(snap.Branches) > maxTeams+maxTombstones+1 {
		return newError("snapshot/branches", "holds too many versions")
	}
	for _, branch := range slices.Sorted(maps.Keys(snap.Branches)) {
		version := snap.Branches[branch]
		if err := branch.validate(); err != nil {
			return err
		}
		if version <= 0 || version > snap.Version {
			return newValueError("snapshot/branches/"+string(branch), version, fmt.Sprintf("must be 1 to %d", snap.Version))
		}
	}
	for _, team := range slices.Sorted(maps.Keys(snap.Tree.Teams)) {
		if snap.Branches[TeamBranch(team)] == 0 {
			return newError("snapshot/branches", "must hold a version of "+string(TeamBranch(team)))
		}
	}
	return nil
}

// Marshal encodes the state for a peer. Equal states have equal bytes.
func (s *State) Marshal() ([]byte, error) {
	snap := s.Snapshot()
	return EncodeRecord(Record{Snapshot: &snap})
}

// Unmarshal decodes and validates a peer's state. Errors: *Error, ErrNotSnapshot,
// ErrTooLarge.
func Unmarshal(data []byte) (*State, error) {
	record, err := DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	if record.Snapshot == nil {
		return nil, ErrNotSnapshot
	}
	return FromSnapshot(*record.Snapshot)
}
