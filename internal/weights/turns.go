package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// loads returns loads of the newest version. Loads of older versions that weren't
// begun are left out: a newer one overtakes them. An engine that holds what it is
// time to switch to waits for its turn, since it carries out one order at a time:
// with loads back to back it would never switch.
func (p *Planner) loads(engines []Engine, in Input, now time.Time) []Order {
	since := now.Sub(p.published[in.Newest])
	running := p.running(Load)
	due := p.ready != 0 && !now.Before(p.switchFrom(engines, in))
	var orders []Order
	for _, e := range furthestBehind(engines) {
		switchesFirst := due && p.switchesNext(e, now)
		early := since < p.pace.begin(e.Name, in.Newest)
		if e.holds(in.Newest) || switchesFirst || early || !p.free(Load, e, in.Newest, now) {
			continue
		}
		if !p.pace.allows(running, now) {
			break
		}
		running++
		orders = append(orders, p.order(Load, e, in.Newest))
	}
	return orders
}

// furthestBehind orders engines by the newest version that they could serve. Loads
// that the store refuses would else leave out the same engines each time.
func furthestBehind(engines []Engine) []*Engine {
	order := make([]*Engine, len(engines))
	for i := range engines {
		order[i] = &engines[i]
	}
	slices.SortStableFunc(order, func(a, b *Engine) int { return cmp.Compare(a.newest(), b.newest()) })
	return order
}

// switchesNext reports whether an engine's next order is a switch, once it has its turn.
func (p *Planner) switchesNext(e *Engine, now time.Time) bool {
	a := p.attempt(e.Name)
	v := e.target(p.ready)
	return v != 0 && a.failures == 0 && !a.outdated(v, now)
}

func (p *Planner) running(kind Kind) int {
	n := 0
	for _, a := range p.attempts {
		if a.flight != nil && a.flight.Kind == kind {
			n++
		}
	}
	return n
}

// findReady moves ready to the newest published version that enough usable
// engines hold, or that has waited long enough for them.
func (p *Planner) findReady(engines []Engine, in Input, now time.Time) {
	best := p.ready
	urgent := p.urgent(engines, in)
	for v, seen := range p.published {
		overdue := urgent || now.Sub(seen) >= p.readyTimeout(in.Interval)
		if v > best && p.isReady(engines, v, overdue) {
			best = v
		}
	}
	if best == p.ready {
		return
	}
	if p.waitsSince.IsZero() || !p.behind(engines) {
		p.waitsSince = now
	}
	p.ready = best
	p.readyAt = now
}

// behind reports whether some usable engine that could serve the ready version
// doesn't yet, other than one whose orders fail.
func (p *Planner) behind(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.usable() && e.target(p.ready) != 0 && p.attempt(e.Name).failures == 0
	})
}

// urgent reports whether trainers wait for a switch: more engines than a ready
// version may do without serve what no new sample may name. An engine or two whose
// swaps fail don't make it so, or they would end the rolling of switches for all.
func (p *Planner) urgent(engines []Engine, in Input) bool {
	usable, old := 0, 0
	for i := range engines {
		if !engines[i].usable() {
			continue
		}
		usable++
		if engines[i].Serving < in.Needed {
			old++
		}
	}
	return float64(old) > (1-p.opts.ReadyShare)*float64(usable)
}

// readyTimeout is an interval at most: engines that hold a version don't fall a
// whole version behind because others can't get it (the log is down and they
// ignore fencing, or their loads fail).
func (p *Planner) readyTimeout(interval time.Duration) time.Duration {
	if interval <= 0 {
		return p.opts.ReadyTimeout
	}
	return min(interval, p.opts.ReadyTimeout)
}

func (p *Planner) isReady(engines []Engine, v ident.Version, overdue bool) bool {
	usable, holding := 0, 0
	for i := range engines {
		if !engines[i].usable() {
			continue
		}
		usable++
		if engines[i].reaches(v) {
			holding++
		}
	}
	if holding == 0 {
		return false
	}
	return float64(holding) >= p.opts.ReadyShare*float64(usable) || overdue
}

// switches returns switches to the ready version for engines that have their turn.
func (p *Planner) switches(engines []Engine, in Input, now time.Time) []Order {
	if p.ready == 0 || now.Before(p.switchFrom(engines, in)) {
		return nil
	}
	var orders []Order
	for _, e := range p.turns(engines, in, now) {
		v := e.target(p.ready)
		if !p.attempt(e.Name).outdated(v, now) && p.free(Switch, e, v, now) {
			orders = append(orders, p.order(Switch, e, v))
		}
	}
	return orders
}

// switchFrom is when engines may begin to switch to the ready version. The delay
// lets running steps finish on the version that they began with.
func (p *Planner) switchFrom(engines []Engine, in Input) time.Time {
	if p.urgent(engines, in) {
		return p.readyAt
	}
	return later(p.readyAt, p.waitsSince.Add(p.delay(in)))
}

func (p *Planner) delay(in Input) time.Duration {
	most := p.opts.MaxSwitchDelay
	if in.Interval > 0 {
		most = min(most, in.Interval/2)
	}
	w := min(max(in.StalenessWeight, 0), 1)
	return time.Duration((1 - w) * float64(most))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// turns returns the engines that may switch now: those that were given their turn
// and haven't switched, and then as many more as SwitchShare allows, the oldest
// serving version first, or some would be overtaken each time. An
// engine that leaves its turn unused for TurnTimeout (its holder is down, its
// switch fails) no longer blocks the others; it keeps its own turn.
//
// Daemons see reports at slightly different moments, so together they may exceed
// the share by the engines whose reports are on the way.
func (p *Planner) turns(engines []Engine, in Input, now time.Time) []*Engine {
	limit := p.turnLimit(engines, in)
	if !now.Before(p.switchFrom(engines, in).Add(p.opts.SwitchWithin)) {
		limit = len(engines)
	}
	taken := 0
	var mayNow, waiting []*Engine
	for i := range engines {
		e := &engines[i]
		given := p.given[e.Name]
		switch {
		case !e.usable() || e.target(p.ready) == 0:
		case given.at.IsZero() || given.serving != e.Serving:
			// An engine that loads can't use a turn, and would keep others from theirs.
			if p.attempt(e.Name).flight == nil {
				waiting = append(waiting, e)
			}
		default:
			mayNow = append(mayNow, e)
			if p.blocks(e, now) {
				taken++
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Engine) int { return cmp.Compare(a.Serving, b.Serving) })
	for _, e := range waiting[:min(max(limit-taken, 0), len(waiting))] {
		p.given[e.Name] = turn{now, e.Serving}
		mayNow = append(mayNow, e)
	}
	return mayNow
}

// turn is leave to switch. It lasts until the engine serves another version, also
// when a newer one gets ready meanwhile.
type turn struct {
	at      time.Time
	serving ident.Version // by the engine when it was given
}

// blocks reports whether an engine that has its turn still counts as switching.
func (p *Planner) blocks(e *Engine, now time.Time) bool {
	return p.attempt(e.Name).flight != nil || now.Before(p.given[e.Name].at.Add(p.opts.TurnTimeout))
}

// turnLimit is at least one, or a small group would never switch.
func (p *Planner) turnLimit(engines []Engine, in Input) int {
	share := p.opts.SwitchShare
	if p.urgent(engines, in) {
		share = p.opts.UrgentShare
	}
	usable := 0
	for i := range engines {
		if engines[i].usable() {
			usable++
		}
	}
	return max(1, int(math.Floor(share*float64(usable))))
}
