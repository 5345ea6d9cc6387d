package config

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Apply returns the state after the record at offset off was applied. The caller
// must pass records in log order without omissions (see Reader). A record that
// was already applied changes nothing. One that can't be decoded is skipped, and
// so is a snapshot, since the records it covers are already applied.
func (s *State) Apply(off ident.Offset, data []byte) (*State, Verdict) {
	record, err := DecodeRecord(data)
	return s.applyRecord(off, record, err)
}

func (s *State) applyRecord(off ident.Offset, record Record, decodeErr error) (*State, Verdict) {
	if off <= s.appliedOffset {
		return s, Verdict{}
	}
	if decodeErr == nil && record.Restore != nil {
		return s.applyRestore(off, *record.Restore)
	}
	next := *s
	next.appliedOffset = off
	switch {
	case decodeErr != nil:
		return &next, Verdict{Reason: truncate(decodeErr.Error(), maxVerdictReason)}
	case record.Change == nil:
		return &next, Verdict{}
	}
	verdict := next.applyChange(off, *record.Change)
	return &next, verdict
}

// applyChange modifies s, which must be a shallow copy that no reader holds yet.
// It replaces the maps of s and never writes to them.
func (s *State) applyChange(off ident.Offset, c Change) Verdict {
	if first, ok := s.Verdict(c.ID); ok {
		return first
	}
	result, cause := s.evaluate(c)
	if cause != nil {
		verdict := s.rejectedVerdict(c, cause)
		if changeIDPattern.MatchString(c.ID) {
			s.verdicts = s.verdicts.push(verdict, maxVerdicts)
		}
		return verdict
	}
	s.accept(off, c, result)
	verdict := Verdict{ChangeID: c.ID, Accepted: true, Version: off}
	s.verdicts = s.verdicts.push(verdict, maxVerdicts)
	return verdict
}

func (s *State) rejectedVerdict(c Change, cause *Error) Verdict {
	return Verdict{
		ChangeID: truncate(c.ID, maxNameBytes+1),
		Version:  s.branchVersions[c.Branch],
		Reason:   truncate(cause.Detail(), maxVerdictReason),
		Path:     truncate(cause.Path, maxVerdictPath),
	}
}

// changedTree is the tree after a change to one branch.
type changedTree struct {
	tree       *Tree
	branchSize int // bytes of the changed branch's JSON
}

// evaluate validates a change and returns the resulting tree without modifying s.
func (s *State) evaluate(c Change) (changedTree, *Error) {
	if err := c.validate(); err != nil {
		return changedTree{}, err
	}
	if err := s.checkBase(c); err != nil {
		return changedTree{}, err
	}
	tree, err := applyToBranch(s.tree, c.Branch, c.Ops)
	if err != nil {
		return changedTree{}, err
	}
	if err := validateChangedBranch(tree, c.Branch); err != nil {
		return changedTree{}, err
	}
	if err := validateDataCentresUnchanged(s.tree, tree, c.Branch); err != nil {
		return changedTree{}, err
	}
	if team, ok := c.Branch.Team(); ok {
		tree.keys, err = indexKeys(tree, team)
	}
	if err != nil {
		return changedTree{}, err
	}
	return s.checkSize(tree, c.Branch)
}

// checkBase rejects a change that isn't based on the branch's current version.
// Without it, the second of two changes based on one version would overwrite an
// update that its author never saw.
func (s *State) checkBase(c Change) *Error {
	current := s.branchVersions[c.Branch]
	switch {
	case c.Base < current:
		return newError(string(c.Branch), fmt.Sprintf("made on version %d, but version %d is newer", c.Base, current))
	case c.Base > current:
		return newError(string(c.Branch), fmt.Sprintf("made on version %d, but the branch is at version %d", c.Base, current))
	}
	return nil
}

// checkSize bounds the tree's size, so that a snapshot of it fits into one record.
func (s *State) checkSize(tree *Tree, branch Branch) (changedTree, *Error) {
	size := encodedBranchSize(tree, branch)
	total := size - s.branchSizes[branch]
	for _, bytes := range s.branchSizes {
		total += bytes
	}
	if total > maxTreeBytes {
		return changedTree{}, newError(string(branch), fmt.Sprintf("tree would have %d bytes, must have at most %d", total, maxTreeBytes))
	}
	return changedTree{tree: tree, branchSize: size}, nil
}

// encodedBranchSize returns the bytes of a branch's JSON, 0 if it doesn't exist.
func encodedBranchSize(t *Tree, branch Branch) int {
	var value any = t.Fleet
	if team, ok := branch.Team(); ok {
		settings, exists := t.Teams[team]
		if !exists {
			return 0
		}
		value = settings
	}
	data, _ := json.Marshal(value) // cannot fail: the tree holds finite plain values
	return len(data)
}

func (s *State) accept(off ident.Offset, c Change, result changedTree) {
	s.version = off
	s.tree = result.tree
	s.branchVersions = maps.Clone(s.branchVersions)
	s.branchVersions[c.Branch] = off
	s.branchSizes = maps.Clone(s.branchSizes)
	s.branchSizes[c.Branch] = result.branchSize
	if result.branchSize == 0 {
		delete(s.branchSizes, c.Branch)
		s.pruneTombstones()
	}
	s.history = s.history.push(HistoryEntry{
		Version: off, Branch: c.Branch, ChangeID: c.ID, Author: c.Author, At: c.At, Paths: c.paths(),
	}, maxHistory)
}

// pruneTombstones drops the oldest version kept for a deleted branch when there
// are too many of them. Offsets are unique, so every daemon drops the same one.
func (s *State) pruneTombstones() {
	var oldest Branch
	count := 0
	for branch, version := range s.branchVersions {
		if _, exists := s.branchSizes[branch]; exists {
			continue
		}
		count++
		if oldest == "" || version < s.branchVersions[oldest] {
			oldest = branch
		}
	}
	if count > maxTombstones {
		delete(s.branchVersions, oldest)
	}
}

// Check returns the reason why a change is rejected at this state, nil if it is
// accepted. A change whose verdict is known keeps that verdict. Error: *Error.
func (s *State) Check(c Change) error {
	if v, ok := s.Verdict(c.ID); ok {
		if v.Accepted {
			return nil
		}
		return newError(v.Path, v.Reason)
	}
	_, err := s.evaluate(c)
	return asError(err)
}
