package limits

import "time"

// Options configures a Queue or a Controller. Each uses only its own fields.
type Options struct {
	// ProductionReserve is the fraction of a Queue's slots that rollouts never use, from
	// 0 to 0.9. 0 means no reserve; values below 0 select the default.
	ProductionReserve float64
	// MaxQueue is the maximum number of entries in a Queue over all teams (for
	// exceptions see refusalReason); 0 selects the default.
	MaxQueue int

	// Initial, Min and Max are the initial, lowest and highest limit of a Controller, in
	// requests; 0 selects the default.
	Initial, Min, Max int
	// Tolerance is the highest acceptable time per token of production requests, as a
	// multiple of the unloaded one. Larger batches slow down each request but increase
	// the total throughput. Values of 1 or less select the default.
	Tolerance float64
	// RolloutTolerance is the same for rollouts. Nobody waits for their tokens, so larger
	// batches are preferable.
	RolloutTolerance float64
	// Window is the minimum time between changes of the limit; 0 selects the default.
	Window time.Duration
	// BaselineTTL is how long the baseline, the unloaded token time, is kept without
	// being observed again; 0 selects the default.
	BaselineTTL time.Duration
}

// withControllerDefaults returns the options of a Controller with defaults and bounds
// applied.
func (o Options) withControllerDefaults() Options {
	o.Min = orDefault(o.Min, DefaultMin)
	o.Max = max(o.Min, orDefault(o.Max, DefaultMax))
	o.Initial = min(o.Max, max(o.Min, orDefault(o.Initial, DefaultInitial)))
	if o.Tolerance <= 1 {
		o.Tolerance = DefaultTolerance
	}
	if o.RolloutTolerance <= 1 {
		o.RolloutTolerance = DefaultRolloutTolerance
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.BaselineTTL <= 0 {
		o.BaselineTTL = DefaultBaselineTTL
	}
	return o
}

// orDefault returns n, or fallback if n is not positive.
func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}

// withQueueDefaults returns the options of a Queue with defaults and bounds applied.
func (o Options) withQueueDefaults() Options {
	if o.ProductionReserve < 0 {
		o.ProductionReserve = DefaultProductionReserve
	}
	o.ProductionReserve = min(MaxProductionReserve, o.ProductionReserve)
	o.MaxQueue = orDefault(o.MaxQueue, DefaultMaxQueue)
	return o
}
