// Package command holds what changes things: completions, service calls,
// submitted steps and published configuration. What only reads is in
// internal/query.
package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/keyed"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

// Kind says what a caller can do about an error.
type Kind int

// The kinds of error.
const (
	Invalid     Kind = iota // the request can't be served as it stands
	TooLarge                // the request exceeds a bound on its size
	Forbidden               // the key doesn't open this
	NotFound                // no such model, route, job or step
	Conflict                // another request or change came first
	Overloaded              // limits or queues are full
	Unavailable             // nothing that could serve it, or stopping
	Failed                  // an upstream began and failed
	TimedOut                // the deadline passed
	Poisonous               // the request made upstreams crash
	InProgress              // a request of the same idempotency key is under way
)

// Error is every failure of this layer.
type Error struct {
	Kind       Kind
	Outcome    outcome.Outcome
	RetryAfter time.Duration // 0: coming back doesn't help
	Detail     string        // for the caller
	Err        error
}

// Error describes the failure with its cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return "command: " + e.Detail
	}
	return fmt.Sprintf("command: %s: %v", e.Detail, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// refused is an error for what was turned down before anything ran.
func refused(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome.NotRun, Detail: fmt.Sprintf(format, args...)}
}

var dispatchKinds = map[dispatch.Reason]Kind{
	dispatch.ReasonNoUpstream:     Unavailable,
	dispatch.ReasonOverloaded:     Overloaded,
	dispatch.ReasonQueueTimeout:   Overloaded,
	dispatch.ReasonPoison:         Poisonous,
	dispatch.ReasonUpstreamFailed: Failed,
	dispatch.ReasonDraining:       Unavailable,
	dispatch.ReasonCancelled:      TimedOut,
	dispatch.ReasonDeadline:       TimedOut,
}

// turn makes an Error of what a layer below returned.
func turn(err error) error {
	if err == nil {
		return nil
	}
	if own := (*Error)(nil); errors.As(err, &own) {
		return err
	}
	if e := (*dispatch.Error)(nil); errors.As(err, &e) {
		return &Error{Kind: dispatchKinds[e.Reason], Outcome: e.Outcome, RetryAfter: e.RetryAfter, Detail: e.Reason.String(), Err: err}
	}
	if e := (*keyed.Error)(nil); errors.As(err, &e) {
		return turnKeyed(e)
	}
	if e := (*rollouts.Error)(nil); errors.As(err, &e) {
		return turnRollouts(e)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return &Error{Kind: TimedOut, Detail: "the request was given up", Err: err}
	}
	return &Error{Kind: Failed, Detail: "internal error", Err: err}
}
