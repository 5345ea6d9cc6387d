package config

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Bounds on what a State remembers. A snapshot of it must fit into one record.
const (
	maxVerdicts   = 2000
	maxHistory    = 512
	maxTombstones = 1024    // versions of deleted branches
	maxTreeBytes  = 3 << 20 // of the tree's JSON

	maxVerdictReason = 200 // bytes
	maxVerdictPath   = 160 // bytes
	maxHistoryPaths  = 4
)

// Verdict is what the fold said of a change.
type Verdict struct {
	ChangeID string `json:"change_id"`
	Accepted bool   `json:"accepted"`
	// Version is the change's own when it was accepted, else the branch's
	// version that it was judged against.
	Version ident.Offset `json:"version"`
	Reason  string       `json:"reason,omitempty"` // why it was rejected
	Path    string       `json:"path,omitempty"`   // in the tree, where the fault is
}

// HistoryEntry is an accepted change, without its values.
type HistoryEntry struct {
	Version  ident.Offset `json:"version"`
	Branch   Branch       `json:"branch"`
	ChangeID string       `json:"change_id"`
	Author   string       `json:"author"`
	At       time.Time    `json:"at"`
	Paths    []string     `json:"paths"` // the first few that it touched, below the branch
}

// State is the fold of the log up to an offset. It is immutable.
//
// Invariants: Through never falls from one state to the next; Version and every
// branch's version are at most Through; the tree is valid.
type State struct {
	through  ident.Offset
	version  ident.Offset
	tree     *Tree
	branches map[Branch]ident.Offset // of deleted branches too
	sizes    map[Branch]int          // bytes of JSON, of existing branches
	verdicts recent[Verdict]
	history  recent[HistoryEntry]
}

// Empty returns the state before the first record.
func Empty() *State {
	tree := defaultTree()
	tree.keys = keyIndex{}
	return &State{tree: tree, branches: map[Branch]ident.Offset{}, sizes: map[Branch]int{}}
}

// Through returns the offset up to which every record is folded in.
func (s *State) Through() ident.Offset { return s.through }

// Version returns the offset of the newest accepted change, 0 for none.
func (s *State) Version() ident.Offset { return s.version }

// BranchVersion returns the offset of the newest accepted change to a branch, 0
// for none. A deleted branch keeps the version of its deletion, so that a change
// made before can't bring it back.
func (s *State) BranchVersion(b Branch) ident.Offset { return s.branches[b] }

// Tree returns the tree, with defaults filled in. It must not be changed.
func (s *State) Tree() *Tree { return s.tree }

// Verdict returns what was said of a change. The newest 2000 are kept.
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
