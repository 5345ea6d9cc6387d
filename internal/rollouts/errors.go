package rollouts

import (
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Kind classifies the errors that a trainer can get.
type Kind int

// Kinds of Error.
const (
	Unavailable Kind = iota // retry after RetryAfter
	UnknownJob
	UnknownStep // submit the step again
	Conflict    // the step was submitted with different content
	Forbidden
	Draining   // this daemon is stopping; send the call to another one
	BadRequest // the request is invalid
	TooLarge   // the request exceeds a limit of the API
	Cancelled  // the job or the step was cancelled
)

var kindNames = [...]string{
	"unavailable", "unknown job", "step unknown, submit it again", "conflict",
	"forbidden", "draining", "bad request", "too large", "cancelled",
}

// String returns the name of the kind, as used in the title of a problem document.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown kind"
	}
	return kindNames[k]
}

// Error is the error type of all methods of Manager. A call that fails with it has not
// started a step, so for the trainer its outcome is "not run".
type Error struct {
	Kind       Kind
	RetryAfter time.Duration // delay before a retry, 0 for none
	Reason     string
	Err        error // cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	text := "rollouts: " + e.Kind.String()
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Err != nil {
		text = fmt.Sprintf("%s: %v", text, e.Err)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// defaultRetryAfter is the RetryAfter of errors for which no better value is known.
const defaultRetryAfter = time.Second

func unknownStepError(k stepKey) *Error {
	return &Error{Kind: UnknownStep, Reason: fmt.Sprintf("job %s step %d isn't held here", k.job, k.step)}
}

func unknownJobError(job ident.Job) *Error {
	return &Error{Kind: UnknownJob, Reason: string(job)}
}

func drainingError() *Error { return &Error{Kind: Draining, RetryAfter: defaultRetryAfter} }
