package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

// RemoteError is a peer's error that isn't one of the rollouts package: to the
// caller it is as if the peer hadn't been reached.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: answered with an error: " + e.Message }

// otherFault marks errors that have no kind of rollouts.
const otherFault = "other"

// knownKinds are the kinds that cross, by name, so that daemons of two
// releases understand each other when kinds are renumbered.
var knownKinds = map[string]rollouts.Kind{
	"unavailable":  rollouts.Unavailable,
	"unknown_job":  rollouts.UnknownJob,
	"unknown_step": rollouts.UnknownStep,
	"conflict":     rollouts.Conflict,
	"forbidden":    rollouts.Forbidden,
	"draining":     rollouts.Draining,
	"bad_request":  rollouts.BadRequest,
	"too_large":    rollouts.TooLarge,
	"cancelled":    rollouts.Cancelled,
}

func encodeFault(err error) *peerpb.StepFault {
	var typed *rollouts.Error
	if !errors.As(err, &typed) {
		return &peerpb.StepFault{Kind: otherFault, Message: err.Error()}
	}
	message := typed.Reason
	if typed.Err != nil {
		message = fmt.Sprintf("%s: %v", message, typed.Err)
	}
	return &peerpb.StepFault{
		Kind: kindName(typed.Kind), Message: message, RetryAfterMs: typed.RetryAfter.Milliseconds(),
	}
}

func kindName(kind rollouts.Kind) string {
	for name, k := range knownKinds {
		if k == kind {
			return name
		}
	}
	return otherFault
}

func decodeFault(fault *peerpb.StepFault) error {
	kind, ok := knownKinds[fault.GetKind()]
	if !ok {
		return &RemoteError{Message: fault.GetMessage()}
	}
	return &rollouts.Error{
		Kind: kind, Reason: fault.GetMessage(),
		RetryAfter: time.Duration(fault.GetRetryAfterMs()) * time.Millisecond,
	}
}
