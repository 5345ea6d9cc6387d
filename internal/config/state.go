package config

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Bounds on what a State retains, so that a snapshot of it fits into one record.
const (
	maxVerdicts   = 2000
	maxHistory    = 512
	maxTombstones = 1024    // versions of deleted branches
	maxTreeBytes  = 3 << 20 // of the tree's JSON

	maxVerdictReason = 200 // bytes
	maxVerdictPath   = 160 // bytes
	maxHistoryPaths  = 4
)

// Verdict is the outcome of a change or restore.
type Verdict struct {
	ChangeID string `json:"change_id"`
	Accepted bool   `json:"accepted"`
	// Version is the change's own offset if it was accepted, else the version of
	// its branch at the time of the decision.
	Version ident.Offset `json:"version"`
	Reason  string       `json:"reason,omitempty"` // why it was rejected
	Path    string       `json:"path,omitempty"`   // of the invalid setting in the tree
}

// HistoryEntry describes an accepted change, without its values.
type HistoryEntry struct {
	Version  ident.Offset `json:"version"`
	Branch   Branch       `json:"branch"`
	ChangeID string       `json:"change_id"`
	Author   string       `json:"author"`
	At       time.Time    `json:"at"`
	Paths    []string     `json:"paths"` // first maxHistoryPaths changed paths, relative to the branch
}

// State is the configuration after all log records up to an offset were applied.
// It is immutable.
//
// Invariants: the applied offset never decreases from one state to the next; the
// version and every branch version are at most the applied offset; the tree is
// valid.
type State struct {
	appliedOffset  ident.Offset
	version        ident.Offset // offset of the newest accepted change
	tree           *Tree
	branchVersions map[Branch]ident.Offset // includes deleted branches
	branchSizes    map[Branch]int          // bytes of JSON; existing branches only
	verdicts       recentList[Verdict]
	history        recentList[HistoryEntry]
}

// Empty returns the state before the first record.
func Empty() *State {
	tree := defaultTree()
	tree.keys = keyIndex{}
	return &State{tree: tree, branchVersions: map[Branch]ident.Offset{}, branchSizes: map[Branch]int{}}
}

// AppliedOffset returns the offset up to and including which every record is applied.
func (s *State) AppliedOffset() ident.Offset { return s.appliedOffset }

// Version returns the offset of the newest accepted change, 0 for none.
func (s *State) Version() ident.Offset { return s.version }

// BranchVersion returns the offset of the newest accepted change to a branch, 0
// for none. A deleted branch keeps the version of its deletion, so that a change
// based on an earlier version can't recreate it.
func (s *State) BranchVersion(b Branch) ident.Offset { return s.branchVersions[b] }

// Tree returns the tree with defaults filled in. The caller must not modify it.
func (s *State) Tree() *Tree { return s.tree }

// Verdict returns the verdict on a change. The newest 2000 verdicts are kept.
func (s *State) Verdict(changeID string) (Verdict, bool) {
	for v := range s.verdicts.newest(maxVerdicts) {
		if v.ChangeID == changeID {
			return v, true
		}
	}
	return Verdict{}, false
}

// History returns the newest accepted changes to a branch, newest first. The
// newest 512 of all branches are kept; an empty branch means all of them.
func (s *State) History(b Branch, limit int) []HistoryEntry {
	var entries []HistoryEntry
	for entry := range s.history.newest(maxHistory) {
		if len(entries) == limit {
			break
		}
		if b == "" || entry.Branch == b {
			entries = append(entries, entry)
		}
	}
	return entries
}
