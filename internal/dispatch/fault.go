package dispatch

import (
	"errors"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// firstServerError is where HTTP's 5xx begin: failures that may pass.
const firstServerError = 500

// fault is what dispatching reads in a client's error.
type fault struct {
	kind       upstream.Fault
	outcome    outcome.Outcome
	leaving    bool
	transient  bool // an answered failure that may pass
	ours       bool // the caller's onChunk failed, the upstream didn't
	retryAfter time.Duration
	err        error
}

func faultOf(err error) fault {
	if errors.Is(err, errCaller) {
		return fault{kind: upstream.Cancelled, outcome: outcome.Unknown, ours: true, err: err}
	}
	var ue *upstream.Error
	if !errors.As(err, &ue) {
		return fault{kind: upstream.Malformed, outcome: outcome.Unknown, err: err}
	}
	return fault{
		kind:       ue.Fault,
		outcome:    ue.Outcome,
		leaving:    ue.Leaving,
		transient:  ue.Fault == upstream.Status && ue.Code >= firstServerError,
		retryAfter: ue.RetryAfter,
		err:        err,
	}
}

// dead says whether the fault may come from the end of the process.
func (f fault) dead() bool {
	if f.outcome == outcome.NotRun {
		return false
	}
	return f.kind == upstream.Reset || f.kind == upstream.Truncated || f.kind == upstream.Silent
}

// health sorts the fault for health, false if it says nothing about it.
func (f fault) health() (health.FaultKind, bool) {
	switch f.kind {
	case upstream.Refused:
		return health.Refused, true
	case upstream.Reset, upstream.Truncated:
		return health.Reset, true
	case upstream.Silent:
		return health.Silent, true
	case upstream.Crossed, upstream.Malformed:
		return health.Garbled, !f.ours
	case upstream.Status:
		return health.Garbled, f.transient
	}
	return 0, false
}
