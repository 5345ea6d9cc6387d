package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// planLoads returns loads of the newest version. Older versions are no longer loaded, except
// by loads in flight. An engine that holds a version that it is time to switch to gets no
// load before its turn: it carries out one order at a time, and would never switch if one
// load followed another.
func (p *Planner) planLoads(engines []Engine, in Input, now time.Time) []Order {
	since := now.Sub(p.publishedAt[in.Newest])
	running := p.countInFlight(Load)
	due := p.readyVersion != 0 && !now.Before(p.switchStart(engines, in))
	var orders []Order
	for _, e := range oldestFirst(engines) {
		switchesFirst := due && p.nextIsSwitch(e, now)
		early := since < p.pacer.loadDelay(e.Name, in.Newest)
		if e.holds(in.Newest) || switchesFirst || early || !p.mayOrder(Load, e, in.Newest, now) {
			continue
		}
		if !p.pacer.allowsLoad(running, now) {
			break
		}
		running++
		orders = append(orders, p.startOrder(Load, e, in.Newest))
	}
	return orders
}

// oldestFirst returns the engines ordered by the newest version that they hold. In a fixed
// order, loads that the weight store refuses would leave out the same engines each time.
func oldestFirst(engines []Engine) []*Engine {
	order := make([]*Engine, len(engines))
	for i := range engines {
		order[i] = &engines[i]
	}
	slices.SortStableFunc(order, func(a, b *Engine) int { return cmp.Compare(a.newest(), b.newest()) })
	return order
}

// nextIsSwitch reports whether the next order of an engine is a switch, once it has its turn.
func (p *Planner) nextIsSwitch(e *Engine, now time.Time) bool {
	state := p.orderStateOf(e.Name)
	v := e.switchTarget(p.readyVersion)
	return v != 0 && state.failures == 0 && !state.switchOutdated(v, now)
}

// countInFlight returns the number of orders of a kind in flight.
func (p *Planner) countInFlight(kind Kind) int {
	n := 0
	for _, state := range p.orderStates {
		if state.inFlight != nil && state.inFlight.Kind == kind {
			n++
		}
	}
	return n
}

// updateReadyVersion sets readyVersion to the newest published version that enough usable
// engines hold, or that has waited for them long enough.
func (p *Planner) updateReadyVersion(engines []Engine, in Input, now time.Time) {
	best := p.readyVersion
	urgent := p.switchesUrgent(engines, in)
	for v, seen := range p.publishedAt {
		overdue := urgent || now.Sub(seen) >= p.readyTimeout(in.Interval)
		if v > best && p.isReady(engines, v, overdue) {
			best = v
		}
	}
	if best == p.readyVersion {
		return
	}
	if p.switchPendingSince.IsZero() || !p.switchPending(engines) {
		p.switchPendingSince = now
	}
	p.readyVersion = best
	p.readyAt = now
}

// switchPending reports whether some usable engine should still switch because of the ready
// version, apart from engines whose orders fail.
func (p *Planner) switchPending(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.usable() && e.switchTarget(p.readyVersion) != 0 && p.orderStateOf(e.Name).failures == 0
	})
}

// switchesUrgent reports whether trainers wait for switches: more engines than may lack a
// ready version serve one that is too old for any new sample. One or two engines whose
// switches fail don't make it urgent, since that would end the switching in turns for the
// whole group.
func (p *Planner) switchesUrgent(engines []Engine, in Input) bool {
	usable, old := 0, 0
	for i := range engines {
		if !engines[i].usable() {
			continue
		}
		usable++
		if engines[i].Serving < in.MinVersion {
			old++
		}
	}
	return float64(old) > (1-p.opts.ReadyShare)*float64(usable)
}

// readyTimeout returns the time from publication after which a version is ready even if few
// engines hold it. It is at most the publication interval, so that these engines don't fall
// a whole version behind because others can't load it: their loads fail, or the log is down
// and they ignore fencing tokens.
func (p *Planner) readyTimeout(interval time.Duration) time.Duration {
	if interval <= 0 {
		return p.opts.ReadyTimeout
	}
	return min(interval, p.opts.ReadyTimeout)
}

// isReady reports whether enough usable engines hold version v or a newer one. One engine is
// enough if the version is overdue.
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

// planSwitches returns switches to the ready version for the engines that have a turn.
func (p *Planner) planSwitches(engines []Engine, in Input, now time.Time) []Order {
	if p.readyVersion == 0 || now.Before(p.switchStart(engines, in)) {
		return nil
	}
	var orders []Order
	for _, e := range p.enginesToSwitch(engines, in, now) {
		v := e.switchTarget(p.readyVersion)
		if !p.orderStateOf(e.Name).switchOutdated(v, now) && p.mayOrder(Switch, e, v, now) {
			orders = append(orders, p.startOrder(Switch, e, v))
		}
	}
	return orders
}

// switchStart returns the time from which engines may switch to the ready version. Its delay
// lets running steps finish on the version that they began with.
func (p *Planner) switchStart(engines []Engine, in Input) time.Time {
	if p.switchesUrgent(engines, in) {
		return p.readyAt
	}
	return later(p.readyAt, p.switchPendingSince.Add(p.switchDelay(in)))
}

// switchDelay returns how long switches are delayed for running steps.
func (p *Planner) switchDelay(in Input) time.Duration {
	maxDelay := p.opts.MaxSwitchDelay
	if in.Interval > 0 {
		maxDelay = min(maxDelay, in.Interval/2)
	}
	weight := min(max(in.StalenessWeight, 0), 1)
	return time.Duration((1 - weight) * float64(maxDelay))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// enginesToSwitch returns the engines that may switch now: those that have a turn and haven't
// switched yet, and as many more as SwitchShare allows. The latter are those that serve the
// oldest versions, since in a fixed order some engines would be overtaken each time. An engine
// that doesn't use its turn within TurnTimeout, because the holder of its lease is down or
// its switch fails, no longer keeps others from switching. It keeps its own turn.
//
// Daemons see reports at slightly different times. Together they may exceed the share by the
// engines whose reports are on the way.
func (p *Planner) enginesToSwitch(engines []Engine, in Input, now time.Time) []*Engine {
	limit := p.maxTurns(engines, in)
	if !now.Before(p.switchStart(engines, in).Add(p.opts.SwitchAllAfter)) {
		limit = len(engines)
	}
	turnsInUse := 0
	var withTurn, waiting []*Engine
	for i := range engines {
		e := &engines[i]
		current := p.turns[e.Name]
		switch {
		case !e.usable() || e.switchTarget(p.readyVersion) == 0:
		case current.givenAt.IsZero() || current.servedThen != e.Serving:
			// An engine with an order in flight can't use a turn, and would keep others from
			// switching.
			if p.orderStateOf(e.Name).inFlight == nil {
				waiting = append(waiting, e)
			}
		default:
			withTurn = append(withTurn, e)
			if p.usesTurn(e, now) {
				turnsInUse++
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Engine) int { return cmp.Compare(a.Serving, b.Serving) })
	for _, e := range waiting[:min(max(limit-turnsInUse, 0), len(waiting))] {
		p.turns[e.Name] = turn{now, e.Serving}
		withTurn = append(withTurn, e)
	}
	return withTurn
}

// turn is the permission of an engine to switch. It lasts until the engine serves another
// version, even if a newer one becomes ready meanwhile.
type turn struct {
	givenAt    time.Time
	servedThen ident.Version // version that the engine served when it got the turn
}

// usesTurn reports whether an engine that has a turn still counts as switching.
func (p *Planner) usesTurn(e *Engine, now time.Time) bool {
	return p.orderStateOf(e.Name).inFlight != nil || now.Before(p.turns[e.Name].givenAt.Add(p.opts.TurnTimeout))
}

// maxTurns returns how many engines may switch at a time. It is at least one, since a small
// group would never switch otherwise.
func (p *Planner) maxTurns(engines []Engine, in Input) int {
	share := p.opts.SwitchShare
	if p.switchesUrgent(engines, in) {
		share = p.opts.UrgentSwitchShare
	}
	usable := 0
	for i := range engines {
		if engines[i].usable() {
			usable++
		}
	}
	return max(1, int(math.Floor(share*float64(usable))))
}
