package command

import (
	"errors"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/keyed"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

var keyedKinds = map[keyed.Reason]Kind{
	keyed.InvalidKey:      Invalid,
	keyed.InProgress:      InProgress,
	keyed.Conflict:        Invalid,
	keyed.ResponseNotKept: Conflict,
	keyed.LogUnavailable:  Unavailable,
	keyed.Overloaded:      Overloaded,
	keyed.ClaimTooOld:     Unavailable,
	keyed.Cancelled:       TimedOut,
	keyed.Stopped:         Unavailable,
}

func turnKeyed(e *keyed.Error) *Error {
	return &Error{Kind: keyedKinds[e.Reason], Outcome: e.Outcome, RetryAfter: e.RetryAfter, Detail: "Idempotency-Key: " + e.Reason.String(), Err: e}
}

var rolloutKinds = map[rollouts.Kind]Kind{
	rollouts.Unavailable: Unavailable,
	rollouts.UnknownJob:  NotFound,
	rollouts.UnknownStep: NotFound,
	rollouts.Conflict:    Conflict,
	rollouts.Forbidden:   Forbidden,
	rollouts.Draining:    Unavailable,
	rollouts.BadRequest:  Invalid,
	rollouts.TooLarge:    TooLarge,
	rollouts.Cancelled:   Conflict,
}

func turnRollouts(e *rollouts.Error) *Error {
	detail := e.Kind.String()
	if e.Reason != "" {
		detail += ": " + e.Reason
	}
	return &Error{Kind: rolloutKinds[e.Kind], Outcome: outcome.NotRun, RetryAfter: e.RetryAfter, Detail: detail, Err: e}
}

func turnPublish(err error) error {
	var p *confsync.PublishError
	if !errors.As(err, &p) {
		return turn(err)
	}
	out := &Error{Kind: Unavailable, Outcome: p.Outcome, RetryAfter: p.RetryAfter, Detail: p.Error(), Err: err}
	if invalid := (*config.Error)(nil); errors.As(err, &invalid) {
		out.Kind, out.Detail = Invalid, invalid.Error()
	}
	return out
}

// TurnRead makes an *Error of what a query's layer below returned, so that both
// sides of the API state their failures alike.
func TurnRead(err error) error { return turn(err) }
