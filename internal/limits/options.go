package limits

import "time"

// Options tune a Queue or a Controller; each reads its own part.
type Options struct {
	// ProductionReserve is the share of a Queue's slots that rollouts never take,
	// 0 to 0.9. 0 is no reserve, less than 0 takes the default.
	ProductionReserve float64
	// MaxQueue bounds the entries in a Queue, all teams together (see refuse);
	// 0 takes the default.
	MaxQueue int

	// Initial, Min and Max are a Controller's limits, in requests; 0 takes the
	// default.
	Initial, Min, Max int
	// Tolerance is how much slower than unloaded a token may be: batching makes
	// each slower while the whole gets more done. 1 or less takes the default.
	Tolerance float64
	// RolloutTolerance is the same for a rollout's token, which nobody waits for:
	// a batch of it gets more done.
	RolloutTolerance float64
	// Window is the least time between changes of the limit; 0 takes the default.
	Window time.Duration
	// BaseLife is how long the unloaded token time is remembered unseen; 0 takes
	// the default.
	BaseLife time.Duration
}

func (o Options) forController() Options {
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
	if o.BaseLife <= 0 {
		o.BaseLife = DefaultBaseLife
	}
	return o
}

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}

func (o Options) forQueue() Options {
	if o.ProductionReserve < 0 {
		o.ProductionReserve = DefaultProductionReserve
	}
	o.ProductionReserve = min(MaxProductionReserve, o.ProductionReserve)
	o.MaxQueue = orDefault(o.MaxQueue, DefaultMaxQueue)
	return o
}
