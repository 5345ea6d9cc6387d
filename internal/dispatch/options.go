package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
)

// Policy selects how work is placed and repeated.
type Policy string

// The policies. Naive is the bench's yardstick: round robin over live
// upstreams, dispatch at once without limits, one retry of what is idempotent,
// no resume, hedging, priorities or quarantine.
const (
	Ours  Policy = "ours"
	Naive Policy = "naive"
)

// Options of a Dispatcher. Zero values take the defaults.
type Options struct {
	Self       ident.VM
	DataCentre ident.DataCentre
	Client     Client // required
	Policy     Policy // default Ours
	Log        zerolog.Logger
	Recorder   Recorder         // nil: no timeline
	Now        func() time.Time // default time.Now
	Seed       uint64           // of routing's random choices

	BusyPoll     time.Duration // between load reports of an upstream at work; default 500 ms
	IdlePoll     time.Duration // of an idle one; default 1.5 s, below the 3 s for leaving
	ProbeTimeout time.Duration // default 1 s
	// QuarantineWait is how long a suspect waits for its upstream to be free of
	// other work; default 1 s.
	QuarantineWait time.Duration
	// PeerLife is how long a peer's digest counts; default 3 s.
	PeerLife time.Duration
	// HedgeAfter is the shortest run of a straggler before a copy; default 400 ms.
	HedgeAfter time.Duration
	// NoUpstreamWait is how long a request that began waits for an upstream to
	// come back before it fails; default 5 s.
	NoUpstreamWait time.Duration
	// QueueTimeout bounds the wait of a request without a deadline; default 60 s.
	QueueTimeout time.Duration

	Health      health.Options
	Retry       retry.Options
	RetryBudget retry.BudgetOptions
	HedgeBudget retry.BudgetOptions // default 5% of traffic, 1 a second
}

func (o Options) withDefaults() Options {
	if o.Policy == "" {
		o.Policy = Ours
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	setDuration(&o.BusyPoll, 500*time.Millisecond)
	setDuration(&o.IdlePoll, 1500*time.Millisecond)
	setDuration(&o.ProbeTimeout, time.Second)
	setDuration(&o.QuarantineWait, time.Second)
	setDuration(&o.PeerLife, 3*time.Second)
	setDuration(&o.HedgeAfter, 400*time.Millisecond)
	setDuration(&o.NoUpstreamWait, 5*time.Second)
	setDuration(&o.QueueTimeout, time.Minute)
	if o.HedgeBudget == (retry.BudgetOptions{}) {
		o.HedgeBudget = retry.GenerationHedges()
	}
	return o
}

func setDuration(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}
