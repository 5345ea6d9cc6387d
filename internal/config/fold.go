package config

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Fold returns the state after the record at an offset. The caller brings the
// records in the log's order and leaves none out (see Reader). A record that is
// folded in already changes nothing; one that can't be decoded is skipped, and
// so is a snapshot, since what it covers is folded in already.
func (s *State) Fold(off ident.Offset, data []byte) (*State, Verdict) {
	record, err := DecodeRecord(data)
	return s.fold(off, record, err)
}

func (s *State) fold(off ident.Offset, record Record, decodeErr error) (*State, Verdict) {
	if off <= s.through {
		return s, Verdict{}
	}
	if decodeErr == nil && record.Restore != nil {
		return s.foldRestore(off, *record.Restore)
	}
	next := *s
	next.through = off
	switch {
	case decodeErr != nil:
		return &next, Verdict{Reason: truncate(decodeErr.Error(), maxVerdictReason)}
	case record.Change == nil:
		return &next, Verdict{}
	}
	verdict := next.foldChange(off, *record.Change)
	return &next, verdict
}

// foldChange works on a fresh shallow copy: it replaces the maps of s and never
// writes into them.
func (s *State) foldChange(off ident.Offset, c Change) Verdict {
	if first, ok := s.Verdict(c.ID); ok {
		return first
	}
	out, fault := s.judge(c)
	if fault != nil {
		verdict := s.rejection(c, fault)
		if changeIDPattern.MatchString(c.ID) {
			s.verdicts = s.verdicts.push(verdict, maxVerdicts)
		}
		return verdict
	}
	s.accept(off, c, out)
	verdict := Verdict{ChangeID: c.ID, Accepted: true, Version: off}
	s.verdicts = s.verdicts.push(verdict, maxVerdicts)
	return verdict
}

func (s *State) rejection(c Change, fault *Error) Verdict {
	return Verdict{
		ChangeID: truncate(c.ID, maxNameBytes+1),
		Version:  s.branches[c.Branch],
		Reason:   truncate(fault.Detail(), maxVerdictReason),
		Path:     truncate(fault.Path, maxVerdictPath),
	}
}

// judged is the tree after a change, and the bytes of the branch's JSON there.
type judged struct {
	tree *Tree
	size int
}

// judge decides on a change without folding it in.
func (s *State) judge(c Change) (judged, *Error) {
	if err := c.validate(); err != nil {
		return judged{}, err
	}
	if err := s.judgeBase(c); err != nil {
		return judged{}, err
	}
	tree, err := apply(s.tree, c.Branch, c.Ops)
	if err != nil {
		return judged{}, err
	}
	if err := validateAfter(tree, c.Branch); err != nil {
		return judged{}, err
	}
	if err := validateStays(s.tree, tree, c.Branch); err != nil {
		return judged{}, err
	}
	if team, ok := c.Branch.Team(); ok {
		tree.keys, err = indexKeys(tree, team)
	}
	if err != nil {
		return judged{}, err
	}
	return s.judgeSize(tree, c.Branch)
}

// judgeBase guards against a lost update: of two changes made on one version,
// the log's order lets the first pass, and the second would overwrite what its
// author never saw.
func (s *State) judgeBase(c Change) *Error {
	current := s.branches[c.Branch]
	switch {
	case c.Base < current:
		return fault(string(c.Branch), fmt.Sprintf("made on version %d, but version %d is newer", c.Base, current))
	case c.Base > current:
		return fault(string(c.Branch), fmt.Sprintf("made on version %d, but the branch is at version %d", c.Base, current))
	}
	return nil
}

// judgeSize keeps a snapshot of the tree within one record of the log.
func (s *State) judgeSize(tree *Tree, branch Branch) (judged, *Error) {
	size := branchBytes(tree, branch)
	total := size - s.sizes[branch]
	for _, bytes := range s.sizes {
		total += bytes
	}
	if total > maxTreeBytes {
		return judged{}, fault(string(branch), fmt.Sprintf("tree would have %d bytes, must have at most %d", total, maxTreeBytes))
	}
	return judged{tree: tree, size: size}, nil
}

func branchBytes(t *Tree, branch Branch) int {
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

func (s *State) accept(off ident.Offset, c Change, out judged) {
	s.version = off
	s.tree = out.tree
	s.branches = maps.Clone(s.branches)
	s.branches[c.Branch] = off
	s.sizes = maps.Clone(s.sizes)
	s.sizes[c.Branch] = out.size
	if out.size == 0 {
		delete(s.sizes, c.Branch)
		s.dropOldTombstone()
	}
	s.history = s.history.push(HistoryEntry{
		Version: off, Branch: c.Branch, ChangeID: c.ID, Author: c.Author, At: c.At, Paths: c.paths(),
	}, maxHistory)
}

// dropOldTombstone bounds the versions kept of deleted branches. Offsets differ,
// so the oldest one is the same at every daemon.
func (s *State) dropOldTombstone() {
	var oldest Branch
	count := 0
	for branch, version := range s.branches {
		if _, exists := s.sizes[branch]; exists {
			continue
		}
		count++
		if oldest == "" || version < s.branches[oldest] {
			oldest = branch
		}
	}
	if count > maxTombstones {
		delete(s.branches, oldest)
	}
}

// Check says what Fold would say of a change now. Error: *Error.
func (s *State) Check(c Change) error {
	if v, ok := s.Verdict(c.ID); ok {
		if v.Accepted {
			return nil
		}
		return fault(v.Path, v.Reason)
	}
	_, err := s.judge(c)
	return asError(err)
}
