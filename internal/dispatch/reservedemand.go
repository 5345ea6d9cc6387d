package dispatch

import "github.com/dogwoodflow/dogwoodflow/internal/routing"

// reserveDemand estimates how many sensitive requests of a group are in flight, over all
// daemons (see routing.Table.UpdateReserve). Production is extrapolated from this daemon's,
// since the platform's load balancer spreads callers evenly over the daemons. Of rollouts
// only this daemon's own count, those that decide when their step ends.
type reserveDemand struct {
	daemons        int // that use the group, including this one
	production     int // this daemon's production requests in flight
	stepCritical   int // this daemon's rollouts in flight that decide when their step ends
	meanProduction float64
}

const (
	// demandMeanRate is the weight of one tick in the moving mean, which is a time
	// constant of about 1.5 s.
	demandMeanRate = 1.0 / 30
	// minReserveDemand is the demand below which nothing is reserved.
	minReserveDemand = 0.3
)

func (d *reserveDemand) add(sl *slot, route routing.Request, table *routing.Table) {
	sl.class, sl.sensitive = route.Class, table.LatencySensitive(route)
	d.adjust(sl, 1)
}

func (d *reserveDemand) remove(sl *slot) { d.adjust(sl, -1) }

func (d *reserveDemand) adjust(sl *slot, delta int) {
	switch {
	case !sl.sensitive:
	case sl.class == routing.ClassProduction:
		d.production += delta
	default:
		d.stepCritical += delta
	}
}

// update advances the moving mean by one tick and returns the demand in requests in
// flight. Step-critical rollouts count at once, not by the mean: they are sent at the start
// of a step, and the bulk of the step follows right behind them.
func (d *reserveDemand) update() float64 {
	production := float64(d.production * max(1, d.daemons))
	d.meanProduction += demandMeanRate * (production - d.meanProduction)
	demand := d.meanProduction + float64(d.stepCritical)
	if demand < minReserveDemand {
		return 0
	}
	return demand
}
