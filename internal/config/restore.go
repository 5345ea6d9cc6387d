package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Restore replaces the whole configuration by a tree. It is for the case that
// records expired from the log and neither a snapshot nor any daemon's state
// replaces them: readers would otherwise stay in the gap forever.
//
// A restore takes effect if and only if its record is at Offset, which its author
// sets to the log's next offset. That depends on the record alone and not on any
// earlier state, so daemons with a current state, an outdated one or none reach
// the same state after it. If a restore races with another restore, a snapshot or
// a change, the first record in the log takes the offset and the restore behind it
// has no effect.
//
// No version decreases: the version of the state and of every branch becomes the
// restore's own offset.
type Restore struct {
	ID     string       `json:"id"` // same format as Change.ID
	Offset ident.Offset `json:"offset"`
	Tree   Tree         `json:"tree"`
	Author string       `json:"author"`
	At     time.Time    `json:"time"` // informational, not used in any decision
}

// SnapshotRequest asks every daemon that holds the configuration and may write
// snapshots to append one. It is sent before a Restore: a daemon that still has the
// state and can reach the log, but not its peers, then writes a snapshot, which
// closes the gap and makes the restore unnecessary.
type SnapshotRequest struct {
	ID string `json:"id"`
}

// setDefaults sets the default tree, for a record without one.
func (r *Restore) setDefaults() { r.Tree = *defaultTree() }

// Check returns why the restore can't take effect at its offset, nil if it can.
// Error: *Error.
func (r Restore) Check() error {
	_, err := r.newState(r.Offset)
	return asError(err)
}

// newState returns the state after the restore at offset off.
func (r Restore) newState(off ident.Offset) (*State, *Error) {
	if off != r.Offset {
		return nil, newError("restore/offset", fmt.Sprintf("made for offset %d, but another record was appended first", r.Offset))
	}
	if err := r.validate(); err != nil {
		return nil, err
	}
	tree := r.Tree
	s := &State{appliedOffset: off, version: off, tree: &tree, branchVersions: map[Branch]ident.Offset{}, branchSizes: map[Branch]int{}}
	var err *Error
	if tree.keys, err = indexKeys(&tree, ""); err != nil {
		return nil, err
	}
	total := 0
	for _, branch := range tree.branches() {
		s.branchVersions[branch] = off
		s.branchSizes[branch] = encodedBranchSize(&tree, branch)
		total += s.branchSizes[branch]
		s.history = s.history.push(HistoryEntry{
			Version: off, Branch: branch, ChangeID: r.ID, Author: r.Author, At: r.At, Paths: []string{""},
		}, maxHistory)
	}
	if total > maxTreeBytes {
		return nil, newError("tree", fmt.Sprintf("has %d bytes, must have at most %d", total, maxTreeBytes))
	}
	s.verdicts = s.verdicts.push(Verdict{ChangeID: r.ID, Accepted: true, Version: off}, maxVerdicts)
	return s, nil
}

func (r Restore) validate() *Error {
	if !changeIDPattern.MatchString(r.ID) {
		return newValueError("restore/id", r.ID, "must be 1 to 64 letters, digits, dots, dashes or underscores")
	}
	if r.Offset <= 0 {
		return newValueError("restore/offset", r.Offset, "must be 1 or more")
	}
	if len(r.Author) > maxAuthorBytes {
		return newValueError("restore/author", r.Author, fmt.Sprintf("must have at most %d bytes", maxAuthorBytes))
	}
	var invalid *Error
	if errors.As(r.Tree.Validate(), &invalid) {
		return invalid
	}
	return nil
}

// branches returns the tree's branches, the fleet's first.
func (t *Tree) branches() []Branch {
	branches := []Branch{FleetBranch}
	for _, team := range slices.Sorted(maps.Keys(t.Teams)) {
		branches = append(branches, TeamBranch(team))
	}
	return branches
}

// applyRestore returns the state after a restore at offset off. If the restore has
// no effect, only the applied offset differs from s.
func (s *State) applyRestore(off ident.Offset, r Restore) (*State, Verdict) {
	restored, err := r.newState(off)
	if err == nil {
		verdict, _ := restored.Verdict(r.ID)
		return restored, verdict
	}
	next := *s
	next.appliedOffset = off
	return &next, Verdict{
		ChangeID: truncate(r.ID, maxNameBytes+1), Version: s.version,
		Reason: truncate(err.Detail(), maxVerdictReason), Path: truncate(err.Path, maxVerdictPath),
	}
}
