package dispatch

import (
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Reason is why a request failed.
type Reason int

// The reasons, named after their cause.
const (
	ReasonUpstreamFailed Reason = iota
	ReasonNoUpstream
	ReasonOverloaded
	ReasonQueueTimeout
	ReasonPoison
	ReasonDraining
	ReasonCancelled
	ReasonDeadline
)

var reasonNames = [...]string{
	ReasonUpstreamFailed: "upstream failed",
	ReasonNoUpstream:     "no upstream",
	ReasonOverloaded:     "overloaded",
	ReasonQueueTimeout:   "queue timeout",
	ReasonPoison:         "poison",
	ReasonDraining:       "draining",
	ReasonCancelled:      "cancelled",
	ReasonDeadline:       "deadline",
}

// String returns the reason's name in lower case.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown reason"
	}
	return reasonNames[r]
}

// Error is the type of all errors that this package returns. RetryAfter is when the
// client may usefully try again, 0 if unknown. Err is the underlying error and may be
// nil.
type Error struct {
	Outcome    outcome.Outcome
	Reason     Reason
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("dispatch: %s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("dispatch: %s (%s): %v", e.Reason, e.Outcome, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
