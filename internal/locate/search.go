// Package locate decides how a daemon finds the daemon that holds a batch: which owners of
// log partitions it queries, when it queries them again, and when it reads the partitions
// itself. It does no I/O: the caller passes in the time and the results, and gets the next
// action.
//
// A daemon reads only the partitions that it owns, so that the log traffic of the fleet does
// not grow with the number of daemons times the number of partitions. A call on a batch may
// reach any daemon; locating the batch takes one or two queries to each owner, independent of
// the number of daemons.
package locate

import (
	"maps"
	"slices"
	"time"
)

const (
	// OwnerTimeout is how long a search queries owners before it reads the partitions
	// itself. The partitions of an owner that died get a new one when its membership has
	// timed out after 1.5 s. It need not be that long: most calls arrive in the later part of
	// that time, and a trainer waits only 1.5 s longer than the wait that it requests.
	OwnerTimeout = 600 * time.Millisecond
	// RoundPause is the pause between two rounds of queries.
	RoundPause = 100 * time.Millisecond
)

// Action is the next action of a search, or its result.
type Action interface{ action() }

// ReadOwners means: read which daemon owns which partition, and pass that to the Search.
type ReadOwners struct{}

// Ask means: query these daemons for the batch, and record the reply of each or its lack.
type Ask struct {
	Addresses []string // sorted
	// Confirm tells the daemons to catch up with the log first in the partitions where they
	// do not find the batch.
	Confirm bool
}

// Pause means: wait, then call Next again.
type Pause struct{ Duration time.Duration }

// Follow means: read these partitions locally, and record the result.
type Follow struct{ Partitions []int }

// Found is a result: the daemon at Address holds the batch.
type Found struct{ Address string }

// FoundLocally is a result: the batch is in a partition that this daemon reads.
type FoundLocally struct{}

// NotFound is a result: certainly no partition has the batch.
type NotFound struct{}

// Unsure is a result: whether a partition has the batch could not be determined.
type Unsure struct{}

func (ReadOwners) action()   {}
func (Ask) action()          {}
func (Pause) action()        {}
func (Follow) action()       {}
func (Found) action()        {}
func (FoundLocally) action() {}
func (NotFound) action()     {}
func (Unsure) action()       {}

// Answer is a daemon's reply to a query.
type Answer struct {
	Found     bool
	Confirmed []int // partitions that certainly do not have the batch
}

// stage is the state of a daemon within a round of queries.
type stage int

const (
	notAsked    stage = iota
	notFound          // it did not find the batch in what it has read of its partitions
	confirmed         // as notFound, after it caught up with the log
	unreachable       // it did not reply
)

// Search locates one batch. It is not safe for concurrent use.
//
// Invariant: that no partition has the batch is the result only if this was confirmed for
// each partition, by its owner or by reading it locally.
type Search struct {
	startedAt   time.Duration
	unconfirmed map[int]bool     // partitions that may have the batch
	owners      map[int]string   // addresses by partition; nil: to be read
	stages      map[string]stage // by address, in this round
	followed    bool             // the partitions were read locally
	result      Action           // nil: not found yet
}

// New returns a search over the partitions that may have the batch. owners holds the known
// owners' addresses by partition, nil if they are not known. All times passed to a Search
// are readings of one monotonic clock.
func New(partitions []int, owners map[int]string, now time.Duration) *Search {
	s := &Search{startedAt: now, unconfirmed: map[int]bool{}, owners: owners, stages: map[string]stage{}}
	for _, p := range partitions {
		s.unconfirmed[p] = true
	}
	return s
}

// Next returns the next action, or the result.
func (s *Search) Next(now time.Duration) Action {
	switch {
	case s.result != nil:
		return s.result
	case len(s.unconfirmed) == 0:
		return NotFound{}
	case s.followed:
		return Unsure{}
	case s.owners == nil:
		return ReadOwners{}
	}
	if addresses := s.ownersAt(notAsked); len(addresses) > 0 {
		return Ask{Addresses: addresses}
	}
	if addresses := s.ownersAt(notFound); len(addresses) > 0 {
		return Ask{Addresses: addresses, Confirm: true}
	}
	if now-s.startedAt >= OwnerTimeout {
		return Follow{Partitions: slices.Sorted(maps.Keys(s.unconfirmed))}
	}
	s.startRound()
	return Pause{Duration: RoundPause}
}

// startRound makes the search read the owners again and query all of them.
func (s *Search) startRound() {
	s.owners = nil
	clear(s.stages)
}

// ownersAt returns the sorted addresses of the owners of unconfirmed partitions that are at a
// stage.
func (s *Search) ownersAt(want stage) []string {
	set := map[string]bool{}
	for partition := range s.unconfirmed {
		if address := s.owners[partition]; address != "" && s.stages[address] == want {
			set[address] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// SetOwners sets the owners' addresses by partition, as far as they are known.
func (s *Search) SetOwners(byPartition map[int]string) {
	s.owners = map[int]string{}
	maps.Copy(s.owners, byPartition)
}

// RecordAnswer records a daemon's reply to Ask. confirm is Ask.Confirm.
func (s *Search) RecordAnswer(address string, confirm bool, a Answer) {
	if a.Found {
		s.result = Found{Address: address}
		return
	}
	s.stages[address] = notFound
	if confirm {
		s.stages[address] = confirmed
		s.markConfirmed(a.Confirmed)
	}
}

// RecordUnreachable records that a daemon did not reply to Ask.
func (s *Search) RecordUnreachable(address string) { s.stages[address] = unreachable }

// RecordFollow records the result of reading partitions locally: whether the batch was found, and
// which partitions certainly do not have it.
func (s *Search) RecordFollow(found bool, confirmed []int) {
	s.followed = true
	if found {
		s.result = FoundLocally{}
		return
	}
	s.markConfirmed(confirmed)
}

// markConfirmed notes that partitions certainly do not have the batch.
func (s *Search) markConfirmed(partitions []int) {
	for _, p := range partitions {
		delete(s.unconfirmed, p)
	}
}
