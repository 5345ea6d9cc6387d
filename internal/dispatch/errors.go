package dispatch

import (
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Reason says why a request failed.
type Reason int

// The reasons.
const (
	UpstreamFailed Reason = iota
	NoUpstream
	Overloaded
	QueueTimeout
	Poison
	Draining
	Cancelled
	Deadline
)

var reasonNames = [...]string{
	UpstreamFailed: "upstream failed",
	NoUpstream:     "no upstream",
	Overloaded:     "overloaded",
	QueueTimeout:   "queue timeout",
	Poison:         "poison",
	Draining:       "draining",
	Cancelled:      "cancelled",
	Deadline:       "deadline",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown reason"
	}
	return reasonNames[r]
}

// Error is every failure that this package returns. RetryAfter is when a
// client may usefully come back, 0 if that isn't known. Err is the cause in
// the layer below and may be nil.
type Error struct {
	Outcome    outcome.Outcome
	Reason     Reason
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("dispatch: %s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("dispatch: %s (%s): %v", e.Reason, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
