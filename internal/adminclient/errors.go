package adminclient

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Error is a problem document that a daemon answered. Outcome is the document's,
// or NotRun for a call that only reads.
type Error struct {
	Problem httpapi.Problem
	Outcome outcome.Outcome
}

// Error describes the problem in one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s", e.Problem.Status, e.Problem.Title)
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	if e.Problem.RetryAfter > 0 {
		text += fmt.Sprintf(" (come back in %d s)", e.Problem.RetryAfter)
	}
	return text
}

// TransportError says that no whole answer came back.
type TransportError struct {
	Base    string // URL of the daemon
	Outcome outcome.Outcome
	Err     error
}

// Error describes the failure and what to look at.
func (e *TransportError) Error() string {
	cause := e.Err
	if wrapped := (*url.Error)(nil); errors.As(e.Err, &wrapped) {
		cause = wrapped.Err // without the method and URL
	}
	return fmt.Sprintf("no whole answer from %s: %v", e.Base, cause)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// OutcomeOf reads what a failed call's error says of its effect. An error from
// before the call is NotRun.
func OutcomeOf(err error) outcome.Outcome {
	var problem *Error
	var transport *TransportError
	switch {
	case errors.As(err, &problem):
		return problem.Outcome
	case errors.As(err, &transport):
		return transport.Outcome
	}
	return outcome.NotRun
}

// StatusOf is the HTTP status of a problem document, 0 for any other error.
func StatusOf(err error) int {
	var problem *Error
	if errors.As(err, &problem) {
		return problem.Problem.Status
	}
	return 0
}
