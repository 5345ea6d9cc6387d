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

// EngineState is the state of one engine.
type EngineState struct {
	Name          ident.Upstream
	Address       string // ip:port
	DataCentre    ident.DataCentre
	ChecksFencing bool                            // it rejects orders with an old fencing token
	Serving       map[ident.Model]ident.Version   // version served, by model
	Loaded        map[ident.Model][]ident.Version // versions held in memory, by model
	Up            bool
	Leaving       bool
}

// Engines lists the engines of a group.
type Engines interface {
	Engines(group string) []EngineState
}

// Orderer sends an order to an engine. *upstream.Client implements it.
type Orderer interface {
	Order(ctx context.Context, to upstream.Target, order wire.Order) (wire.OrderResult, error)
}

// Owners decides which engines this daemon is responsible for: the engines of its own data
// centre that are assigned to it, and those of data centres without daemons.
type Owners interface {
	// Owns reports whether this daemon is responsible for an engine.
	Owns(engine ident.Upstream, dc ident.DataCentre) bool
	// Follows reports whether this daemon may become responsible for engines of a data centre,
	// and so has to follow their leases.
	Follows(dc ident.DataCentre) bool
}

// Target is a configured model and the group that serves it.
type Target struct {
	Model           ident.Model
	Group           string
	StalenessWeight float64 // from 0, let running steps finish, to 1, switch at once
	// StalenessBound is the smallest staleness bound, in versions, of the jobs that sample the
	// model. If it is nil, the bound is unknown and no switch is urgent.
	StalenessBound *int64
}

// minVersion returns the oldest version that a new sample may use, 0 if unknown. newest is the
// newest published version.
func (t Target) minVersion(newest ident.Version) ident.Version {
	if t.StalenessBound == nil {
		return 0
	}
	return max(newest-ident.Version(*t.StalenessBound), 0)
}

// Options configures a Syncer. The fields of the first block are required. Zero values of the
// others stand for the defaults.
type Options struct {
	Self    ident.VM // this daemon's VM
	Log     infra.Log
	Store   infra.WeightStore
	Engines Engines
	Orderer Orderer
	Owners  Owners
	Targets func() []Target // returns the targets of the newest configuration
	// Configured reports whether an upstream is in the configuration. In a large group, Engines
	// lists only some.
	Configured func(ident.Upstream) bool

	// OnApplied is called when an engine has applied an order, so that its load report can be
	// requested at once; default none.
	OnApplied func(group string, engine ident.Upstream)
	Logger    zerolog.Logger
	// StartJitter is the time over which daemons that start together spread their first reads
	// of the log, 0 for none.
	StartJitter time.Duration
	// PollInterval is the least time between two polls of a model's versions, default 1 s, with
	// jitter.
	PollInterval time.Duration
	// MaxPollsPerSecond is the rate at which all daemons together poll the weight store, default
	// 20. With many daemons, each polls less often and learns of versions from its peers.
	MaxPollsPerSecond float64
	// Daemons returns the number of daemons that poll, default 1.
	Daemons func() int
	// ReconcileInterval is the time between two plans of leases and orders, default 200 ms.
	ReconcileInterval time.Duration
	// LeaseDuration defaults to 15 s. OrderStartTimeout, default 2 s, is the time after which an
	// engine drops an order that it hasn't begun. TransitMargin defaults to 1 s; see package
	// lease.
	LeaseDuration     time.Duration
	OrderStartTimeout time.Duration
	TransitMargin     time.Duration
	// LoadTimeout and SwitchTimeout bound the wait for the answer to an order, default 5 min and
	// 30 s.
	LoadTimeout   time.Duration
	SwitchTimeout time.Duration
	// CallTimeout bounds one call of the log or the weight store, default 2 s.
	CallTimeout time.Duration
	// PollWait is how long the log may wait for new records in a read, default 5 s.
	PollWait time.Duration
	// Planner configures the planners.
	Planner weights.Options
}

// Defaults of Options.
const (
	defaultPollInterval      = time.Second
	defaultMaxPollsPerSecond = 20
	defaultReconcileInterval = 200 * time.Millisecond
	defaultLeaseDuration     = 15 * time.Second
	defaultOrderStartTimeout = 2 * time.Second
	defaultTransitMargin     = time.Second
	defaultLoadTimeout       = 5 * time.Minute
	defaultSwitchTimeout     = 30 * time.Second
	defaultCallTimeout       = 2 * time.Second
	defaultPollWait          = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.MaxPollsPerSecond = cmp.Or(o.MaxPollsPerSecond, defaultMaxPollsPerSecond)
	o.ReconcileInterval = cmp.Or(o.ReconcileInterval, defaultReconcileInterval)
	o.LeaseDuration = cmp.Or(o.LeaseDuration, defaultLeaseDuration)
	o.OrderStartTimeout = cmp.Or(o.OrderStartTimeout, defaultOrderStartTimeout)
	o.TransitMargin = cmp.Or(o.TransitMargin, defaultTransitMargin)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, defaultLoadTimeout)
	o.SwitchTimeout = cmp.Or(o.SwitchTimeout, defaultSwitchTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.PollWait = cmp.Or(o.PollWait, defaultPollWait)
	if o.OnApplied == nil {
		o.OnApplied = func(string, ident.Upstream) {}
	}
	if o.Daemons == nil {
		o.Daemons = func() int { return 1 }
	}
	return o
}
