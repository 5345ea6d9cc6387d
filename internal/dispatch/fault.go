package dispatch

import (
	"errors"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// firstServerErrorStatus is the lowest HTTP status of a server error (5xx), which may be
// transient.
const firstServerErrorStatus = 500

// fault is a client error as dispatch classifies it.
type fault struct {
	kind         upstream.Fault
	outcome      outcome.Outcome
	leaving      bool
	transient    bool // the upstream answered a server error: a retry may succeed
	callerFailed bool // the caller's onChunk failed, not the upstream
	retryAfter   time.Duration
	err          error
}

func classifyError(err error) fault {
	if errors.Is(err, errCallerFailed) {
		return fault{kind: upstream.Cancelled, outcome: outcome.Unknown, callerFailed: true, err: err}
	}
	var upstreamErr *upstream.Error
	if !errors.As(err, &upstreamErr) {
		return fault{kind: upstream.Malformed, outcome: outcome.Unknown, err: err}
	}
	return fault{
		kind:       upstreamErr.Fault,
		outcome:    upstreamErr.Outcome,
		leaving:    upstreamErr.Leaving,
		transient:  upstreamErr.Fault == upstream.Status && upstreamErr.StatusCode >= firstServerErrorStatus,
		retryAfter: upstreamErr.RetryAfter,
		err:        err,
	}
}

// suggestsDeath reports whether the death of the upstream process may have caused the
// fault.
func (f fault) suggestsDeath() bool {
	if f.outcome == outcome.NotRun {
		return false
	}
	return f.kind == upstream.Reset || f.kind == upstream.Truncated || f.kind == upstream.Silent
}

// healthKind returns the fault's kind for package health, false if the fault says
// nothing about the upstream's health.
func (f fault) healthKind() (health.FaultKind, bool) {
	switch f.kind {
	case upstream.Refused:
		return health.Refused, true
	case upstream.Reset, upstream.Truncated:
		return health.Reset, true
	case upstream.Silent:
		return health.Silent, true
	case upstream.Crossed, upstream.Malformed:
		return health.Malformed, !f.callerFailed
	case upstream.Status:
		return health.Malformed, f.transient
	}
	return 0, false
}
