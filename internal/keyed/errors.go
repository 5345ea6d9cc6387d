package keyed

import (
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Reason says why Do returned no response.
type Reason int

// The reasons, each with its outcome.
const (
	InvalidKey      Reason = iota // key empty, key or scope too long or not UTF-8: NotRun
	InProgress                    // another attempt holds the key: Unknown
	Conflict                      // the key was used with another body (422): NotRun for this body
	ResponseNotKept               // the request ran, its response can't be replayed (409): Ran
	LogUnavailable                // the claim couldn't be appended or read back: NotRun
	Overloaded                    // too many keys or claims: NotRun
	ClaimTooOld                   // the claim was read back too late for a dispatch: NotRun
	Cancelled                     // the caller's context ended before the dispatch: NotRun
	Stopped                       // the service is shutting down: NotRun
)

var reasonNames = [...]string{
	InvalidKey: "invalid key", InProgress: "in progress", Conflict: "key used with another body",
	ResponseNotKept: "ran, answer not kept", LogUnavailable: "log unavailable", Overloaded: "overloaded",
	ClaimTooOld: "claim too old", Cancelled: "cancelled", Stopped: "stopped",
}

// String returns the reason in words, as callers get it.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}

// Error says that Do didn't run the request. Errors of the run function are returned
// unchanged.
type Error struct {
	Outcome    outcome.Outcome // whether the request ran
	Reason     Reason
	RetryAfter time.Duration // 0: a retry with the same key won't help
	Err        error         // cause, may be nil
}

// Error returns the reason, the outcome and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("idempotency key: %s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("idempotency key: %s (%s): %v", e.Reason, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// notRun returns the error for a request that was refused before any dispatch.
func notRun(reason Reason, retryAfter time.Duration, cause error) *Error {
	return &Error{Outcome: outcome.NotRun, Reason: reason, RetryAfter: retryAfter, Err: cause}
}
