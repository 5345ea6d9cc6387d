package weights

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// loads returns loads of the newest version. Loads of older versions that weren't
// begun are left out: a newer one overtakes them. An engine that trainers wait for
// switches first to what it holds, since it carries out one order at a time.
func (p *Planner) loads(engines []Engine, in Input, now time.Time) []Order {
	since := now.Sub(p.published[in.Newest])
	running := p.running(Load)
	urgent := p.urgent(engines, in)
	var orders []Order
	for i := range engines {
		e := &engines[i]
		switchesFirst := urgent && e.Serving < p.ready && e.holds(p.ready)
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
	p.turnAt = map[ident.Upstream]time.Time{}
}

// behind reports whether some usable engine that could serve the ready version
// doesn't yet, other than one whose orders fail.
func (p *Planner) behind(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.usable() && e.Serving < p.ready && e.holds(p.ready) && p.attempt(e.Name).failures == 0
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
		if engines[i].holds(v) {
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
		if p.free(Switch, e, p.ready, now) {
			orders = append(orders, p.order(Switch, e, p.ready))
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
// and haven't switched, and then, by name, as many more as SwitchShare allows. An
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
	var turn, waiting []*Engine
	for i := range engines {
		e := &engines[i]
		_, given := p.turnAt[e.Name]
		switch {
		case !e.usable() || e.Serving >= p.ready || !e.holds(p.ready):
		case !given:
			waiting = append(waiting, e)
		default:
			turn = append(turn, e)
			if p.blocks(e, now) {
				taken++
			}
		}
	}
	for _, e := range waiting[:min(max(limit-taken, 0), len(waiting))] {
		p.turnAt[e.Name] = now
		turn = append(turn, e)
	}
	return turn
}

// blocks reports whether an engine that has its turn still counts as switching.
func (p *Planner) blocks(e *Engine, now time.Time) bool {
	return p.attempt(e.Name).flight != nil || now.Before(p.turnAt[e.Name].Add(p.opts.TurnTimeout))
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
