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

// Options configures a Service. Log and VM are required. The zero values of the
// other fields stand for their defaults.
type Options struct {
	Log    infra.Log
	VM     ident.VM // of this daemon
	Logger zerolog.Logger

	// BatchInterval is how long a claim waits for others to be appended with it, by default
	// 5 ms.
	BatchInterval time.Duration
	// AppendBudget is the number of appends per second of all daemons together, by default
	// 200.
	AppendBudget float64
	// Daemons returns the number of daemons that share AppendBudget, by default 1.
	Daemons func() int
	// MaxClaimAge limits the time from queueing a claim to the dispatch of its request, by
	// default 10 s. It must be far below the retention of the claims stream.
	MaxClaimAge time.Duration
	// AppendTimeout is the timeout of one append, by default 2 s.
	AppendTimeout time.Duration
	// PollWait is how long the log may hold a read until there are records, by default 2 s.
	PollWait time.Duration
	// MaxKeys limits the keys held in memory, by default 200,000. Above the limit requests
	// with new keys are refused with the outcome NotRun. Keys are never evicted.
	MaxKeys int
	// MaxResponseBytes limits the responses held in memory for replay, by default 64 MiB.
	MaxResponseBytes int
	// MaxPending limits the claims that wait to be appended, by default 10,000.
	MaxPending int
	// StartJitter is the longest random delay before the first read, so that daemons that
	// start together don't read at once. 0: no delay.
	StartJitter time.Duration
	// OutcomeOf returns the outcome that an error of RunFunc stands for. The default knows
	// *upstream.Error and returns outcome.Unknown for any other error.
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
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, defaultMaxAnswerBytes)
	o.MaxPending = cmp.Or(o.MaxPending, defaultMaxPending)
	if o.Daemons == nil {
		o.Daemons = func() int { return 1 }
	}
	if o.OutcomeOf == nil {
		o.OutcomeOf = upstreamOutcome
	}
	return o
}

// upstreamOutcome is the default of Options.OutcomeOf.
func upstreamOutcome(err error) outcome.Outcome {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}
