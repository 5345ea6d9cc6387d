// Package locate decides how a daemon finds out where a batch is: which owners of
// partitions it asks, when it asks them again, and when it reads the log itself. It is
// pure: time and what happened go in, what to do next comes out.
//
// A daemon follows only the partitions that it owns, so that what a fleet reads of the
// log doesn't grow with its daemons times the partitions. A call on a batch may reach any
// daemon; it costs a question or two to the owners, whatever the fleet's size.
package locate

import (
	"maps"
	"slices"
	"time"
)

const (
	// Patience is how long owners are looked for before the log is read here. An owner
	// that died is replaced when its membership's timeout has passed, 1.5 s; most calls
	// meet the later part of it, and a trainer waits 1.5 s beyond what it asks for.
	Patience = 600 * time.Millisecond
	// RoundPause is between two rounds of questions.
	RoundPause = 100 * time.Millisecond
)

// Action is what to do next.
type Action interface{ action() }

// ReadOwners: read who owns which partition, and tell Owners.
type ReadOwners struct{}

// Ask these daemons whether they hold the batch; Answered tells each outcome.
type Ask struct {
	Addresses []string // sorted
	// Confirm: partitions that don't have it are to be brought up to date first.
	Confirm bool
}

// Pause before the next action.
type Pause struct{ For time.Duration }

// Follow these partitions here and look there; Followed tells the outcome.
type Follow struct{ Parts []int }

// Found: the batch is held at an address.
type Found struct{ Address string }

// FoundHere: the batch is in a partition that is followed here.
type FoundHere struct{}

// Nowhere: certain, no partition has the batch.
type Nowhere struct{}

// Unsure: it can't be told.
type Unsure struct{}

func (ReadOwners) action() {}
func (Ask) action()        {}
func (Pause) action()      {}
func (Follow) action()     {}
func (Found) action()      {}
func (FoundHere) action()  {}
func (Nowhere) action()    {}
func (Unsure) action()     {}

// Answer is what one daemon said.
type Answer struct {
	Found     bool
	Confirmed []int // partitions that certainly don't have the batch
}

// stage is how far a daemon was asked in a round.
type stage int

const (
	unasked   stage = iota
	asked           // and has nothing at hand
	confirmed       // also after it brought its partitions up to date
	failed          // it can't be reached
)

// Search looks for one batch. It isn't safe for concurrent use.
//
// Invariant: Nowhere comes only after each partition was confirmed, by its owner or by
// reading the log here.
type Search struct {
	began    time.Duration
	missing  map[int]bool   // partitions that may have the batch
	owners   map[int]string // address by partition; nil: to be read
	stages   map[string]stage
	followed bool
	end      Action
}

// New returns a search over the partitions that may have the batch. owners are the
// addresses by partition as they are known, nil if they aren't.
func New(parts []int, owners map[int]string, now time.Duration) *Search {
	s := &Search{began: now, missing: map[int]bool{}, owners: owners, stages: map[string]stage{}}
	for _, p := range parts {
		s.missing[p] = true
	}
	return s
}

// Next returns what to do now.
func (s *Search) Next(now time.Duration) Action {
	switch {
	case s.end != nil:
		return s.end
	case len(s.missing) == 0:
		return Nowhere{}
	case s.followed:
		return Unsure{}
	case s.owners == nil:
		return ReadOwners{}
	}
	if at := s.at(unasked); len(at) > 0 {
		return Ask{Addresses: at}
	}
	if at := s.at(asked); len(at) > 0 {
		return Ask{Addresses: at, Confirm: true}
	}
	if now-s.began >= Patience {
		return Follow{Parts: slices.Sorted(maps.Keys(s.missing))}
	}
	s.nextRound()
	return Pause{For: RoundPause}
}

// nextRound has the owners read anew and all of them asked again.
func (s *Search) nextRound() {
	s.owners = nil
	clear(s.stages)
}

// at returns the owners of missing partitions that are at a stage of this round.
func (s *Search) at(want stage) []string {
	set := map[string]bool{}
	for part := range s.missing {
		if address := s.owners[part]; address != "" && s.stages[address] == want {
			set[address] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// Owners takes the addresses by partition, as far as they are known.
func (s *Search) Owners(byPart map[int]string) {
	s.owners = map[int]string{}
	maps.Copy(s.owners, byPart)
}

// Answered takes a daemon's answer.
func (s *Search) Answered(address string, confirm bool, a Answer) {
	if a.Found {
		s.end = Found{Address: address}
		return
	}
	s.stages[address] = asked
	if confirm {
		s.stages[address] = confirmed
		s.confirm(a.Confirmed)
	}
}

// Unreachable: a daemon didn't answer.
func (s *Search) Unreachable(address string) { s.stages[address] = failed }

// Followed takes the outcome of reading the log here.
func (s *Search) Followed(found bool, confirmed []int) {
	s.followed = true
	if found {
		s.end = FoundHere{}
		return
	}
	s.confirm(confirmed)
}

func (s *Search) confirm(parts []int) {
	for _, p := range parts {
		delete(s.missing, p)
	}
}
