package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Restore starts the configuration anew from a whole tree, for when retention
// took records that no snapshot and no daemon makes up for: readers then stay in
// their gap for ever.
//
// It is in force if, and only if, it stands at Offset, which its author states as
// the log's next one. So whether it is follows from the record alone, and what
// was folded before doesn't matter: daemons with a state, with an old one and
// with none come to the same state behind it. Of two restores that race, or of a
// restore and a snapshot or change, the first in the log moves the other one off
// its offset.
//
// Nothing falls: its version, and that of every branch, is its own offset.
type Restore struct {
	ID     string       `json:"id"` // as of a Change
	Offset ident.Offset `json:"offset"`
	Tree   Tree         `json:"tree"`
	Author string       `json:"author"`
	Time   time.Time    `json:"time"` // for people only
}

// Ask has every daemon that holds the configuration, and knows no reason to leave
// it to another, append a snapshot. It comes before a Restore: a daemon with a
// state that hears the log, though not its peers, gets to answer, and the answer
// fills the gap in the restore's place.
type Ask struct {
	ID string `json:"id"`
}

// preset gives an absent tree its defaults, as for a Snapshot.
func (r *Restore) preset() { r.Tree = *defaultTree() }

// Check says whether the restore may be in force at its offset. Error: *Error.
func (r Restore) Check() error {
	_, err := r.state(r.Offset)
	return asError(err)
}

// state is what the restore makes of any state at an offset.
func (r Restore) state(off ident.Offset) (*State, *Error) {
	if off != r.Offset {
		return nil, fault("restore/offset", fmt.Sprintf("made for offset %d, but another record came first", r.Offset))
	}
	if err := r.validate(); err != nil {
		return nil, err
	}
	tree := r.Tree
	s := &State{through: off, version: off, tree: &tree, branches: map[Branch]ident.Offset{}, sizes: map[Branch]int{}}
	var err *Error
	if tree.keys, err = indexKeys(&tree, ""); err != nil {
		return nil, err
	}
	total := 0
	for _, branch := range tree.existing() {
		s.branches[branch] = off
		s.sizes[branch] = branchBytes(&tree, branch)
		total += s.sizes[branch]
		s.history = s.history.push(HistoryEntry{
			Version: off, Branch: branch, ChangeID: r.ID, Author: r.Author, At: r.Time, Paths: []string{""},
		}, maxHistory)
	}
	if total > maxTreeBytes {
		return nil, fault("tree", fmt.Sprintf("has %d bytes, must have at most %d", total, maxTreeBytes))
	}
	s.verdicts = s.verdicts.push(Verdict{ChangeID: r.ID, Accepted: true, Version: off}, maxVerdicts)
	return s, nil
}

func (r Restore) validate() *Error {
	if !changeIDPattern.MatchString(r.ID) {
		return valueFault("restore/id", r.ID, "must be 1 to 64 letters, digits, dots, dashes or underscores")
	}
	if r.Offset <= 0 {
		return valueFault("restore/offset", r.Offset, "must be 1 or more")
	}
	if len(r.Author) > maxAuthorBytes {
		return valueFault("restore/author", r.Author, fmt.Sprintf("must have at most %d bytes", maxAuthorBytes))
	}
	var invalid *Error
	if errors.As(r.Tree.Validate(), &invalid) {
		return invalid
	}
	return nil
}

// existing lists the tree's branches, the fleet's first.
func (t *Tree) existing() []Branch {
	branches := []Branch{FleetBranch}
	for _, team := range slices.Sorted(maps.Keys(t.Teams)) {
		branches = append(branches, TeamBranch(team))
	}
	return branches
}

// foldRestore returns the state behind a restore, s itself but for Through if it
// isn't in force.
func (s *State) foldRestore(off ident.Offset, r Restore) (*State, Verdict) {
	restored, err := r.state(off)
	if err == nil {
		verdict, _ := restored.Verdict(r.ID)
		return restored, verdict
	}
	next := *s
	next.through = off
	return &next, Verdict{
		ChangeID: truncate(r.ID, maxNameBytes+1), Version: s.version,
		Reason: truncate(err.Detail(), maxVerdictReason), Path: truncate(err.Path, maxVerdictPath),
	}
}
