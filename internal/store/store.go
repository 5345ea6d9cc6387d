// Package store is the interface to the log that all daemons share and that outlives every VM.
// Data that must survive the loss of all daemons is a record in it. When daemons compete, the
// order of their records decides.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that every call may return. Some calls may also return one of the error types below,
// which mean that the call was refused for the reason they give.
var (
	// ErrNotDone means that the call certainly had no effect and never will.
	ErrNotDone = errors.New("store: call refused, nothing was done")
	// ErrUnknown means that the call was sent and no response came. It may have taken effect,
	// or may do so seconds later.
	ErrUnknown = errors.New("store: no answer, the call may have taken effect")
	// ErrRejected means that the store considers the call malformed. A retry is useless.
	ErrRejected = errors.New("store: call rejected")
)

// ConflictError means that the partition didn't end where a conditional append required.
type ConflictError struct{ End int64 } // offset after the partition's last record

// Error returns a message with the end of the partition.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: partition ends at %d", e.End)
}

// TrimmedError means that requested records are past the retention and no longer exist.
type TrimmedError struct{ First int64 } // oldest offset that is kept

// Error returns a message with the oldest offset that is kept.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("store: records before offset %d are gone", e.First)
}

// Page is the result of a read.
type Page struct {
	Records [][]byte // consecutive, from the requested offset on
	End     int64    // offset after the partition's last record
}

// Bytes returns the size of the page's records.
func (p Page) Bytes() int {
	n := 0
	for _, r := range p.Records {
		n += len(r)
	}
	return n
}

// ReadOptions holds the parameters of a read.
type ReadOptions struct {
	Offset   int64         // of the first record to return
	MaxBytes int           // limit on the size of all records, 0: the store's default
	Wait     time.Duration // how long to wait for a record if there is none
}

// Entry is the newest record of a key in a keyed topic.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// NewestPage is a page of the newest records of a partition's keys, sorted by key. Together the
// pages aren't a snapshot: the entries of each one are at least as new as its own End.
type NewestPage struct {
	Entries []Entry
	More    bool  // more keys follow
	End     int64 // offset after the partition's last record when the page was read
}

// LastKey returns the last key of the page, "" if the page is empty.
func (p NewestPage) LastKey() string {
	if len(p.Entries) == 0 {
		return ""
	}
	return p.Entries[len(p.Entries)-1].Key
}

// Log is a set of topics that are divided into numbered partitions.
type Log interface {
	// Append appends the records, all or none, and returns the offset of the first.
	Append(ctx context.Context, topic string, partition int, records [][]byte) (int64, error)
	// AppendAt is Append on the condition that the partition ends at offset end.
	// Otherwise it returns a *ConflictError.
	AppendAt(ctx context.Context, topic string, partition int, end int64, records [][]byte) (int64, error)
	// Read returns the records from an offset on. It may return a *TrimmedError.
	Read(ctx context.Context, topic string, partition int, from ReadOptions) (Page, error)
	// Newest returns the newest record of each key in a partition of a keyed topic, in the
	// order of the keys and from the first key that follows after. The store chooses how many
	// it returns at once.
	Newest(ctx context.Context, topic string, partition int, after string) (NewestPage, error)
}

// Assignment is the set of partitions that are assigned to a member of a group.
type Assignment struct {
	Generation int64 // grows with each change of the group
	Partitions []int // partitions of the group's topic, sorted
}

// PartitionOwner is a partition and the group member that owns it.
type PartitionOwner struct {
	Partition int
	Member    string // name
}

// Membership assigns the partitions of a topic to the live members of a group.
type Membership interface {
	// Join makes a member join a group or remain in it, and must be called again within ttl.
	// generation is that of the member's last assignment. A partition that is taken from the
	// member is assigned to its next owner once the member has joined with the generation
	// that took it away, or hasn't joined for ttl.
	Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (Assignment, error)
	// Owners returns the partitions of the group that have an owner now.
	Owners(ctx context.Context, group string) ([]PartitionOwner, error)
	// Leave removes a member from the group, so that its partitions are free at once.
	Leave(ctx context.Context, group, member string) error
}
