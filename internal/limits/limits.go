// Package limits implements admission control: how many requests may run at once, and
// which ones.
//
// Engines have no priorities and accept every request, so requests are queued in the
// daemons. The package has three parts:
//
//   - Controller adapts the concurrency limit of one upstream to its token times.
//   - Share divides the limit of an upstream between daemons that learn of each other's
//     requests with a delay.
//   - Queue admits requests to an upstream group. Production comes first, in order of
//     level. Rollouts are ordered by step deadline and leave a reserve free for
//     production. Teams share capacity by weight. Requests that cannot start in time are
//     refused early.
//
// The package is deterministic: callers pass the time in, there are no clock reads,
// locks or goroutines, and results do not depend on map order. Nothing in it is safe for
// concurrent use. A request that is refused or expires here was never sent, so its
// outcome is "not run".
package limits

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// Ticket identifies an entry. It is chosen by the caller and unique within a Queue.
type Ticket uint64

// Entry is a request to be admitted.
type Entry struct {
	Ticket Ticket
	Team   ident.Team
	Class  routing.Class
	// Level orders production, 0 first; values below 0 count as 0. A level that waits gets
	// at least one of 16 starts. Rollouts have no levels. A Queue keeps the shares of the
	// teams in each level used, so the number of different levels should be small.
	Level int
	// Deadline is the latest time at which the request may start; zero for none.
	Deadline time.Time
	// StepDeadline orders the rollouts of a team, earliest first; zero comes last.
	StepDeadline time.Time
	// LatestStart is the latest time at which a start is useful. It orders the requests of
	// a team and level with equal StepDeadline, earliest first; zero comes last. Only
	// Deadline causes a request to be refused.
	LatestStart time.Time
	// Cost is the expected work in tokens. Values below 1 count as 1.
	Cost float64
	// Straggler orders the request before its team's other requests of the class and
	// level.
	Straggler bool
}

// RefuseReason is the reason why an entry was refused.
type RefuseReason uint8

const (
	// RefuseNone means that the entry was admitted or queued.
	RefuseNone RefuseReason = iota
	// RefuseTeamFull means that the queue of the team for the class is full.
	RefuseTeamFull
	// RefuseFull means that the whole queue is full and that the team has used up its
	// share of it.
	RefuseFull
	// RefuseDeadline means that the entry could not start before its deadline.
	RefuseDeadline
	// RefuseDuplicate means that the ticket is already queued or running.
	RefuseDuplicate
)

var reasonNames = [...]string{"none", "team-full", "full", "deadline", "duplicate"}

// String returns the name of the reason.
func (r RefuseReason) String() string { return reasonNames[r] }

// Decision is the result of Enqueue. Exactly one of Admit, Queued and Refused is set.
type Decision struct {
	// Admit means that the request may start now. It counts as running.
	Admit bool
	// Queued means that a later call of Next returns the ticket, to start or as expired.
	Queued bool
	// Refused is the reason if the request was neither admitted nor queued.
	Refused RefuseReason
	// RetryAfter is how long a refused caller should wait before it tries again.
	RetryAfter time.Duration
}

// Expired is an entry whose deadline passed while it was queued.
type Expired struct {
	Ticket Ticket
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Defaults and bounds of a Queue.
const (
	DefaultProductionReserve = 0.3
	MaxProductionReserve     = 0.9
	DefaultMaxQueue          = 10000
	DefaultTeamQueue         = 1000
	DefaultWeight            = 1.0

	// MinRetryAfter and MaxRetryAfter are the bounds of RetryAfter.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 60 * time.Second
	// defaultRetryAfter is used while the drain rate is unknown.
	defaultRetryAfter = time.Second
)
