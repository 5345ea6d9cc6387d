package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
)

// Policy selects how requests are placed and retried.
type Policy string

// The policies. PolicyFull is the one for production. PolicyNaive is the baseline of
// benchmarks: round robin over live upstreams, no admission limits, one retry of
// idempotent requests, and no resuming, hedging, priorities or quarantine.
const (
	PolicyFull  Policy = "ours"
	PolicyNaive Policy = "naive"
)

// Options configure a Dispatcher. Zero values take the defaults.
type Options struct {
	Self       ident.VM
	DataCentre ident.DataCentre
	Client     Client // required
	Policy     Policy // default PolicyFull
	Log        zerolog.Logger
	Recorder   Recorder         // nil: no timeline is recorded
	Now        func() time.Time // default time.Now
	Seed       uint64           // of routing's random choices

	BusyPoll     time.Duration // interval between load reports of an upstream with requests in flight; default 500 ms
	IdlePoll     time.Duration // the same for an idle upstream; default 1.5 s, below the 3 s within which leaving must be noticed
	ProbeTimeout time.Duration // timeout of one load report; default 1 s
	// QuarantineWait is how long a suspect waits for other work on its upstream to end;
	// default 1 s.
	QuarantineWait time.Duration
	// DigestTTL is how long a peer's digest stays valid; default 3 s.
	DigestTTL time.Duration
	// HedgeAfter is the shortest time that a straggler runs before it is hedged; default
	// 400 ms.
	HedgeAfter time.Duration
	// NoUpstreamWait is how long a request that may already have run waits for an upstream
	// to come back before it fails; default 5 s.
	NoUpstreamWait time.Duration
	// QueueTimeout bounds the queueing time of a production request without a deadline;
	// default 60 s.
	QueueTimeout time.Duration

	Health      health.Options
	Retry       retry.Options
	RetryBudget retry.BudgetOptions
	HedgeBudget retry.BudgetOptions // default 5% of traffic, 1 per second
}

func (opts Options) withDefaults() Options {
	if opts.Policy == "" {
		opts.Policy = PolicyFull
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	setDefault(&opts.BusyPoll, 500*time.Millisecond)
	setDefault(&opts.IdlePoll, 1500*time.Millisecond)
	setDefault(&opts.ProbeTimeout, time.Second)
	setDefault(&opts.QuarantineWait, time.Second)
	setDefault(&opts.DigestTTL, 3*time.Second)
	setDefault(&opts.HedgeAfter, 400*time.Millisecond)
	setDefault(&opts.NoUpstreamWait, 5*time.Second)
	setDefault(&opts.QueueTimeout, time.Minute)
	if opts.HedgeBudget == (retry.BudgetOptions{}) {
		opts.HedgeBudget = retry.GenerationHedgeBudget()
	}
	return opts
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}
