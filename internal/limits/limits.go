// Package limits decides how many requests may run at once and which ones.
//
// Engines know no priority and admit everything, so the queues live in the
// daemons. Three parts:
//
//   - Controller finds one upstream's concurrency limit by its token time.
//   - Share splits an upstream's limit between daemons that hear of each other late.
//   - Queue admits requests to an upstream group: production first, rollouts by
//     step deadline behind a reserve, teams by weight, and refuses early.
//
// The package is pure: time is passed in, there is no clock, lock or goroutine,
// and results don't depend on the order of a map. Nothing here is safe for
// concurrent use. A request refused or expired here was never sent: its outcome
// is "not run".
package limits

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// Ticket names an entry; the caller chooses it, unique within a Queue.
type Ticket uint64

// Entry is a request that wants to start.
type Entry struct {
	Ticket Ticket
	Team   ident.Team
	Class  routing.Class
	// Deadline is when it must have started at the latest; zero for never.
	Deadline time.Time
	// StepDeadline orders a team's rollouts, earliest first; zero comes last.
	StepDeadline time.Time
	// Cost is the work expected, in tokens; less than 1 counts as 1.
	Cost float64
	// Straggler puts it before its team's others of the class.
	Straggler bool
}

// RefuseReason says why an entry wasn't taken.
type RefuseReason uint8

const (
	// RefuseNone means that it was taken.
	RefuseNone RefuseReason = iota
	// RefuseTeamFull means that the team's queue for the class is full.
	RefuseTeamFull
	// RefuseFull means that the whole queue is full and the team has its part.
	RefuseFull
	// RefuseDeadline means that it couldn't start before its deadline.
	RefuseDeadline
	// RefuseDuplicate means that the ticket is queued or running already.
	RefuseDuplicate
)

var reasonNames = [...]string{"none", "team-full", "full", "deadline", "duplicate"}

// String names the reason.
func (r RefuseReason) String() string { return reasonNames[r] }

// Decision answers Enqueue. Exactly one of Admit, Queued and Refused is set.
type Decision struct {
	// Admit means that it may start now and counts as running.
	Admit bool
	// Queued means that a later Next names it, as a start or as expired.
	Queued bool
	// Refused says why it was neither.
	Refused RefuseReason
	// RetryAfter is when a refused caller should try again.
	RetryAfter time.Duration
}

// Expired is an entry that missed its deadline in the queue.
type Expired struct {
	Ticket     Ticket
	RetryAfter time.Duration
}

// Defaults and bounds.
const (
	DefaultProductionReserve = 0.3
	MaxProductionReserve     = 0.9
	DefaultMaxQueue          = 10000
	DefaultTeamQueue         = 1000
	DefaultWeight            = 1.0

	// MinRetryAfter and MaxRetryAfter bound every RetryAfter.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 60 * time.Second
	// unknownRetryAfter is given while the drain rate isn't known.
	unknownRetryAfter = time.Second
)
