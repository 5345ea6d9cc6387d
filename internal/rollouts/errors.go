package rollouts

import (
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Kind sorts the errors that a trainer can get.
type Kind int

// The kinds of Error.
const (
	Unavailable Kind = iota // try again after RetryAfter
	UnknownJob
	UnknownStep // submit it again
	Conflict    // the step was submitted with other content
	Forbidden
	Draining   // this daemon stops; another one takes the call
	BadRequest // the request itself is wrong
	TooLarge   // over a limit of the API
	Cancelled  // the job or the step was cancelled
)

var kindNames = [...]string{
	"unavailable", "unknown job", "step unknown, submit it again", "conflict",
	"forbidden", "draining", "bad request", "too large", "cancelled",
}

// String returns the kind's name as in a problem document's title.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown kind"
	}
	return kindNames[k]
}

// Error is what every method of Manager fails with. None of the calls that fail
// with it began a step, so to its trainer each one is "not run".
type Error struct {
	Kind       Kind
	RetryAfter time.Duration // 0: don't wait
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

// retryDelay is what a trainer is told to wait where nothing better is known.
const retryDelay = time.Second

func unknownStep(k stepKey) *Error {
	return &Error{Kind: UnknownStep, Reason: fmt.Sprintf("job %s step %d isn't held here", k.job, k.step)}
}

func unknownJob(job ident.Job) *Error {
	return &Error{Kind: UnknownJob, Reason: string(job)}
}

func draining() *Error { return &Error{Kind: Draining, RetryAfter: retryDelay} }
