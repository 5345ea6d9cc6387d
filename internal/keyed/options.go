package keyed

import (
	"cmp"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// Options configures a Service. Log and VM are required, zero values of the
// others take the defaults.
type Options struct {
	Log    infra.Log
	VM     ident.VM
	Logger zerolog.Logger

	// BatchInterval is how long a claim waits for neighbours, default 5 ms.
	BatchInterval time.Duration
	// AppendBudget is what all daemons together append, default 200 a second.
	AppendBudget float64
	// Daemons returns how many daemons append claims, default 1.
	Daemons func() int
	// MaxClaimAge bounds the time between a claim's first append and its dispatch,
	// default 10 s. It must be far below the retention of the claims stream.
	MaxClaimAge time.Duration
	// AppendTimeout bounds one append, default 2 s.
	AppendTimeout time.Duration
	// PollWait is how long the log may hold a read open, default 2 s.
	PollWait time.Duration
	// MaxKeys bounds the keys held in memory, default 200,000. Beyond it new keys are
	// refused as not run, never old ones forgotten.
	MaxKeys int
	// MaxAnswerBytes bounds the answers held for replay, default 64 MiB.
	MaxAnswerBytes int
	// MaxPending bounds the claims that wait for the log, default 10,000.
	MaxPending int
	// StartSpread spreads the first reads of daemons that start together; 0: none.
	StartSpread time.Duration
	// OutcomeOf says what an error of a run means. The default knows
	// *upstream.Error and takes everything else as Unknown.
	OutcomeOf func(error) outcome.Outcome
}

// Defaults of Options.
const (
	defaultBatchInterval  = 5 * time.Millisecond
	defaultAppendBudget   = 200
	defaultMaxClaimAge    = 10 * time.Second
	defaultAppendTimeout  = 2 * time.Second
	defaultPollWait       = 2 * time.Second
	defaultMaxKeys        = 200_000
	defaultMaxAnswerBytes = 64 << 20
	defaultMaxPending     = 10_000
)

func (o Options) withDefaults() Options {
	o.BatchInterval = cmp.Or(o.BatchInterval, defaultBatchInterval)
	o.AppendBudget = cmp.Or(o.AppendBudget, defaultAppendBudget)
	o.MaxClaimAge = cmp.Or(o.MaxClaimAge, defaultMaxClaimAge)
	o.AppendTimeout = cmp.Or(o.AppendTimeout, defaultAppendTimeout)
	o.PollWait = cmp.Or(o.PollWait, defaultPollWait)
	o.MaxKeys = cmp.Or(o.MaxKeys, defaultMaxKeys)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, defaultMaxAnswerBytes)
	o.MaxPending = cmp.Or(o.MaxPending, defaultMaxPending)
	if o.Daemons == nil {
		o.Daemons = func() int { return 1 }
	}
	if o.OutcomeOf == nil {
		o.OutcomeOf = upstreamOutcome
	}
	return o
}

func upstreamOutcome(err error) outcome.Outcome {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}
