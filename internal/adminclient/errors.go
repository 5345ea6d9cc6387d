package adminclient

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Error is returned if a daemon answered with an error status.
type Error struct {
	Problem httpapi.Problem
	Outcome outcome.Outcome // the problem's, or NotRun for a read
}

// Error describes the problem in one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s", e.Problem.Status, e.Problem.Title)
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	if e.Problem.RetryAfter > 0 {
		text += fmt.Sprintf(" (retry in %d s)", e.Problem.RetryAfter)
	}
	return text
}

// TransportError is returned if no complete response was received.
type TransportError struct {
	Base    string // base URL of the daemon
	Outcome outcome.Outcome
	Err     error
}

// Error names the daemon and the cause.
func (e *TransportError) Error() string {
	cause := e.Err
	if urlErr := (*url.Error)(nil); errors.As(e.Err, &urlErr) {
		cause = urlErr.Err // without the method and URL
	}
	return fmt.Sprintf("no complete response from %s: %v", e.Base, cause)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome of the failed call that err describes. It is NotRun for an error
// that wraps neither an *Error nor a *TransportError.
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

// StatusOf returns the HTTP status of an *Error, 0 for any other error.
func StatusOf(err error) int {
	var problem *Error
	if errors.As(err, &problem) {
		return problem.Problem.Status
	}
	return 0
}
