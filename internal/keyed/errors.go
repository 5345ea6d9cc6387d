package keyed

import (
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Reason says why Do has no answer.
type Reason int

// The reasons, each with its outcome.
const (
	InvalidKey     Reason = iota // key or scope out of bounds: NotRun
	InProgress                   // another attempt holds the key: Unknown
	Conflict                     // the key was used with another body (422): NotRun for this body
	AnswerNotKept                // the request ran, its answer can't be replayed (409): Ran
	LogUnavailable               // no claim could be written or read back: NotRun
	Overloaded                   // too many keys or claims: NotRun
	ClaimTooOld                  // read back too late to be acted on: NotRun
	Cancelled                    // the caller's context ended before the dispatch: NotRun
	Stopped                      // the service is shutting down: NotRun
)

var reasonNames = [...]string{
	InvalidKey: "invalid key", InProgress: "in progress", Conflict: "key used with another body",
	AnswerNotKept: "ran, answer not kept", LogUnavailable: "log unavailable", Overloaded: "overloaded",
	ClaimTooOld: "claim too old", Cancelled: "cancelled", Stopped: "stopped",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}

// Error says that Do didn't run the request itself. Errors of the run function
// are returned as they are.
type Error struct {
	Outcome    outcome.Outcome
	Reason     Reason
	RetryAfter time.Duration // 0: coming back with the same key won't help
	Err        error         // cause, may be nil
}

// Error describes the reason and the outcome.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("idempotency key: %s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("idempotency key: %s (%s): %v", e.Reason, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// notRun is a refusal before any dispatch.
func notRun(reason Reason, retryAfter time.Duration, cause error) *Error {
	return &Error{Outcome: outcome.NotRun, Reason: reason, RetryAfter: retryAfter, Err: cause}
}
