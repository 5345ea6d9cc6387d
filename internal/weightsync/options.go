package weightsync

import (
	"cmp"
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/weights"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// EngineState is what dispatch knows of an engine.
type EngineState struct {
	Name          ident.Upstream
	Address       string // ip:port
	DataCentre    ident.DataCentre
	ChecksFencing bool
	Serving       map[ident.Model]ident.Version
	Loaded        map[ident.Model][]ident.Version
	Up            bool
	Leaving       bool
}

// Engines lists the engines of a group.
type Engines interface {
	Engines(group string) []EngineState
}

// Orderer sends one order to an engine; *upstream.Client is one.
type Orderer interface {
	Order(ctx context.Context, to upstream.Target, order wire.Order) (wire.OrderResult, error)
}

// Owners says which engines this daemon looks after: those of its own data centre
// that fall to it, and those of data centres without daemons.
type Owners interface {
	Owns(engine ident.Upstream, dc ident.DataCentre) bool
	// Follows says whether this daemon may come to own engines of a data centre, and
	// has to follow their leases.
	Follows(dc ident.DataCentre) bool
}

// Target is a model of the configuration and the group that serves it.
type Target struct {
	Model           ident.Model
	Group           string
	StalenessWeight float64
	// StalenessBound is the smallest bound, in versions, of the jobs that sample the
	// model; nil: unknown, so that no switch counts as waited for.
	StalenessBound *int64
}

// needed is the oldest version that a sample begun now may name, 0 when unknown.
func (t Target) needed(newest ident.Version) ident.Version {
	if t.StalenessBound == nil {
		return 0
	}
	return max(newest-ident.Version(*t.StalenessBound), 0)
}

// Options configures a Syncer. The first block is required, zero values of the
// rest take the defaults.
type Options struct {
	Self    ident.VM
	Log     infra.Log
	Store   infra.WeightStore
	Engines Engines
	Orderer Orderer
	Owners  Owners
	Targets func() []Target // from the newest configuration
	// Configured says whether an upstream is in the configuration: in a large group
	// Engines lists only some.
	Configured func(ident.Upstream) bool

	// Applied hears of an engine that carried out an order, so that its load report
	// can be asked for at once; default none.
	Applied func(group string, engine ident.Upstream)
	Logger  zerolog.Logger
	// StartSpread spreads the first reads of daemons that start together; 0: none.
	StartSpread time.Duration
	// PollInterval between reads of one model's versions, default 1 s, jittered.
	PollInterval time.Duration
	// PollBudget is what all daemons together read from the weight store, default 20 a second.
	// With many daemons each polls less often and hears from its peers.
	PollBudget float64
	// Daemons returns how many daemons poll, default 1.
	Daemons func() int
	// StepInterval between looks at the engines, default 200 ms.
	StepInterval time.Duration
	// LeaseDuration, default 15 s. OrderDeadline, default 2 s: an engine that hasn't begun
	// an order by then drops it. Margin, default 1 s, see package lease.
	LeaseDuration time.Duration
	OrderDeadline time.Duration
	Margin        time.Duration
	// LoadTimeout and SwitchTimeout bound the wait for an order's answer,
	// defaults 5 min and 30 s.
	LoadTimeout   time.Duration
	SwitchTimeout time.Duration
	// CallTimeout bounds one call of the log or the store, default 2 s.
	CallTimeout time.Duration
	// PollWait is how long the log may hold a read open, default 5 s.
	PollWait time.Duration
	// Planner's options.
	Planner weights.Options
}

// Defaults of Options.
const (
	defaultPollInterval  = time.Second
	defaultPollBudget    = 20
	defaultStepInterval  = 200 * time.Millisecond
	defaultLeaseDuration = 15 * time.Second
	defaultOrderDeadline = 2 * time.Second
	defaultMargin        = time.Second
	defaultLoadTimeout   = 5 * time.Minute
	defaultSwitchTimeout = 30 * time.Second
	defaultCallTimeout   = 2 * time.Second
	defaultPollWait      = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.PollBudget = cmp.Or(o.PollBudget, defaultPollBudget)
	o.StepInterval = cmp.Or(o.StepInterval, defaultStepInterval)
	o.LeaseDuration = cmp.Or(o.LeaseDuration, defaultLeaseDuration)
	o.OrderDeadline = cmp.Or(o.OrderDeadline, defaultOrderDeadline)
	o.Margin = cmp.Or(o.Margin, defaultMargin)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, defaultLoadTimeout)
	o.SwitchTimeout = cmp.Or(o.SwitchTimeout, defaultSwitchTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.PollWait = cmp.Or(o.PollWait, defaultPollWait)
	if o.Applied == nil {
		o.Applied = func(string, ident.Upstream) {}
	}
	if o.Daemons == nil {
		o.Daemons = func() int { return 1 }
	}
	return o
}
