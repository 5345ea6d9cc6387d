// Package weights plans which engine of a group loads and serves which weight version of one
// model, and when. It is pure: the observed engines, the newest published version and the
// time go in, orders come out.
//
// Engines load a version as soon as it is published, at the pace that the rate-limited weight
// store allows; see pacer. A version is ready once a certain share of the group holds it. The
// engines then switch to it in turns, so that the group keeps its capacity. If too many
// engines serve versions that are too old for any new sample (Input.MinVersion), trainers
// wait for them. A newer version is then ready as soon as one engine holds it, and no switch
// is delayed. If an order fails, the engine keeps serving its old version, and the order is
// retried with a backoff.
//
// Several daemons plan for one group without communicating. Each sends orders only to the
// engines whose leases it holds. They agree on the turns, because these follow from the
// engines' names and the versions that the engines report.
//
// Invariants: an engine has at most one order in flight. No order names a version below the
// one that its engine serves. No order goes to an engine that is leaving or down.
package weights

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Options of a Planner. Zero values take the defaults.
type Options struct {
	MaxLoads          int           // most concurrent loads of this daemon, default 4
	PauseMin          time.Duration // first pause between loads after a failure, default 200 ms
	SpreadShare       float64       // fraction of the publication interval over which loads may be spread, default 0.5
	MaxSpread         time.Duration // upper bound on the spread of loads, default 5 min
	ReadyShare        float64       // fraction of a group that must hold a version for it to be ready, default 0.75
	SwitchShare       float64       // fraction of a group that may switch at a time, default 0.25
	SwitchAllAfter    time.Duration // time from the start of the switches after which all engines may switch, default 10 s
	TurnTimeout       time.Duration // time after which an unused turn no longer keeps others from switching, default 2 s
	UrgentSwitchShare float64       // SwitchShare while trainers wait for switches, default 0.5
	MaxSwitchDelay    time.Duration // longest delay for running steps, at StalenessWeight 0; default 20 s, at most half a publication interval
	ReadyTimeout      time.Duration // age at which a version is ready even if few engines hold it; default 10 min, at most a publication interval
	BackoffMin        time.Duration // delay before the first retry of a failed order, default 1 s
	BackoffMax        time.Duration // longest delay before a retry, and longest pause between loads, default 1 min
	SettleTime        time.Duration // an applied order isn't repeated within it, since reports lag; default 5 s
}

// Defaults of Options.
const (
	defaultMaxLoads          = 4
	defaultPauseMin          = 200 * time.Millisecond
	defaultSpreadShare       = 0.5
	defaultMaxSpread         = 5 * time.Minute
	defaultReadyShare        = 0.75
	defaultSwitchShare       = 0.25
	defaultUrgentSwitchShare = 0.5
	defaultSwitchAllAfter    = 10 * time.Second
	defaultTurnTimeout       = 2 * time.Second
	defaultMaxSwitchDelay    = 20 * time.Second
	defaultReadyTimeout      = 10 * time.Minute
	defaultBackoffMin        = time.Second
	defaultBackoffMax        = time.Minute
	defaultSettleTime        = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.MaxLoads = cmp.Or(o.MaxLoads, defaultMaxLoads)
	o.PauseMin = cmp.Or(o.PauseMin, defaultPauseMin)
	o.SpreadShare = cmp.Or(o.SpreadShare, defaultSpreadShare)
	o.MaxSpread = cmp.Or(o.MaxSpread, defaultMaxSpread)
	o.ReadyShare = cmp.Or(o.ReadyShare, defaultReadyShare)
	o.SwitchShare = cmp.Or(o.SwitchShare, defaultSwitchShare)
	o.UrgentSwitchShare = cmp.Or(o.UrgentSwitchShare, defaultUrgentSwitchShare)
	o.SwitchAllAfter = cmp.Or(o.SwitchAllAfter, defaultSwitchAllAfter)
	o.TurnTimeout = cmp.Or(o.TurnTimeout, defaultTurnTimeout)
	o.MaxSwitchDelay = cmp.Or(o.MaxSwitchDelay, defaultMaxSwitchDelay)
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, defaultReadyTimeout)
	o.BackoffMin = cmp.Or(o.BackoffMin, defaultBackoffMin)
	o.BackoffMax = cmp.Or(o.BackoffMax, defaultBackoffMax)
	o.SettleTime = cmp.Or(o.SettleTime, defaultSettleTime)
	return o
}

// Kind is the kind of an order.
type Kind string

// The kinds of order.
const (
	Load   Kind = "load"
	Switch Kind = "switch"
)

// Order tells an engine to load or to serve a version.
type Order struct {
	Kind    Kind
	Engine  ident.Upstream
	Version ident.Version
}

// orderState is the state of one engine's orders.
type orderState struct {
	inFlight        *Order        // nil if none
	failures        int           // failed orders in a row
	retryAt         time.Time     // earliest time of the next order after a failure
	lastApplied     Order         // newest order that the engine confirmed
	settlesAt       time.Time     // time from which reports show lastApplied
	lastSwitched    ident.Version // newest version that the engine confirmed to serve
	switchSettlesAt time.Time     // time from which reports show lastSwitched
}

// confirm records an order that the engine applied. settled is the time from which reports
// show it.
func (s *orderState) confirm(o Order, settled time.Time) {
	s.failures = 0
	s.lastApplied = o
	s.settlesAt = settled
	if o.Kind == Switch {
		s.lastSwitched = o.Version
		s.switchSettlesAt = settled
	}
}

// switchOutdated reports whether the engine has already confirmed to serve v or a newer
// version, although reports may not show that yet. Once they should, the reports count: the
// engine may have restarted with an older version.
func (s *orderState) switchOutdated(v ident.Version, now time.Time) bool {
	return v <= s.lastSwitched && now.Before(s.switchSettlesAt)
}

// Planner plans the orders for one model on one group. It is not safe for concurrent use.
type Planner struct {
	opts         Options
	orderStates  map[ident.Upstream]*orderState
	publishedAt  map[ident.Version]time.Time // when each version was first seen
	newest       ident.Version               // newest version seen
	pacer        pacer
	readyVersion ident.Version // 0 if none is ready
	readyAt      time.Time     // when readyVersion became ready
	// switchPendingSince is the time since which some engine has been waiting to switch. A
	// newer version that becomes ready doesn't reset it. Otherwise versions published faster
	// than the switch delay would never be served.
	switchPendingSince time.Time
	// turns holds the latest turn of each engine that was given one.
	turns map[ident.Upstream]turn
}

// New returns a planner.
func New(opts Options) *Planner {
	return &Planner{
		opts:        opts.withDefaults(),
		orderStates: map[ident.Upstream]*orderState{},
		publishedAt: map[ident.Version]time.Time{},
		pacer:       pacer{window: initialWindow},
		turns:       map[ident.Upstream]turn{},
	}
}

// Plan returns the orders to send now. Each order is in flight until its result is passed to
// FinishOrder.
func (p *Planner) Plan(in Input, now time.Time) []Order {
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(string(a.Name), string(b.Name)) })
	p.prune(engines, in.Newest)
	if in.Newest == 0 {
		return nil
	}
	p.addConfirmedLoads(engines, now)
	p.recordPublication(in, now)
	p.updateReadyVersion(engines, in, now)
	orders := p.planSwitches(engines, in, now)
	return append(orders, p.planLoads(engines, in, now)...)
}

// FinishOrder records the result of an order. ok reports whether the engine applied it.
func (p *Planner) FinishOrder(o Order, ok bool, now time.Time) {
	state := p.orderStateOf(o.Engine)
	if state.inFlight == nil || *state.inFlight != o {
		return
	}
	state.inFlight = nil
	p.updatePacer(o, ok, now)
	if ok {
		state.confirm(o, now.Add(p.opts.SettleTime))
		return
	}
	state.failures++
	state.retryAt = now.Add(p.backoff(o.Engine, state.failures))
}

// addConfirmedLoads adds versions to the engines' reports that this daemon's engines have
// confirmed to hold but don't report yet. Confirmed switches aren't added: a switch frees a
// turn, and daemons that pass turns on at different times would together exceed the share of
// engines that may switch.
func (p *Planner) addConfirmedLoads(engines []Engine, now time.Time) {
	for i := range engines {
		e := &engines[i]
		state, ok := p.orderStates[e.Name]
		if !ok || !now.Before(state.settlesAt) || e.holds(state.lastApplied.Version) {
			continue
		}
		e.Loaded = append(slices.Clone(e.Loaded), state.lastApplied.Version)
	}
}

// recordPublication records the newest version if it is seen for the first time.
func (p *Planner) recordPublication(in Input, now time.Time) {
	if in.Newest <= p.newest {
		return
	}
	if p.newest != 0 {
		bound := min(time.Duration(p.opts.SpreadShare*float64(in.Interval)), p.opts.MaxSpread)
		p.pacer.startVersion(p.publishedAt[p.newest], bound)
	}
	p.newest = in.Newest
	p.publishedAt[in.Newest] = now
}

// PauseLoads starts no load of this daemon before the given time, at the request of an
// engine. It applies to all engines, since they share one weight store.
func (p *Planner) PauseLoads(until time.Time) {
	p.pacer.pausedUntil = later(p.pacer.pausedUntil, until)
}

// updatePacer passes the result of a load to the pacer.
func (p *Planner) updatePacer(o Order, ok bool, now time.Time) {
	switch {
	case o.Kind != Load:
	case ok:
		p.pacer.loadSucceeded(p.opts.MaxLoads)
	default:
		p.pacer.loadFailed(hashFraction(o.Engine, o.Version), &p.opts, now)
	}
}

// backoff returns the delay before the next order after some failures in a row. It doubles
// from BackoffMin up to BackoffMax, less up to a quarter that depends on the engine, so that
// engines that failed together aren't retried together.
func (p *Planner) backoff(name ident.Upstream, failures int) time.Duration {
	d := p.opts.BackoffMin
	for i := 1; i < failures && d < p.opts.BackoffMax; i++ {
		d *= 2
	}
	d = min(d, p.opts.BackoffMax)
	return d - time.Duration(hashFraction(name, ident.Version(failures))*float64(d)/4)
}

func (p *Planner) orderStateOf(name ident.Upstream) *orderState {
	state, ok := p.orderStates[name]
	if !ok {
		state = &orderState{}
		p.orderStates[name] = state
	}
	return state
}

// mayOrder reports whether an engine may get an order now.
func (p *Planner) mayOrder(kind Kind, e *Engine, v ident.Version, now time.Time) bool {
	if !e.MayOrder || !e.usable() {
		return false
	}
	state := p.orderStateOf(e.Name)
	if state.lastApplied == (Order{kind, e.Name, v}) && now.Before(state.settlesAt) {
		return false
	}
	return state.inFlight == nil && !now.Before(state.retryAt)
}

// startOrder returns an order and marks it as in flight.
func (p *Planner) startOrder(kind Kind, e *Engine, v ident.Version) Order {
	o := Order{Kind: kind, Engine: e.Name, Version: v}
	p.orderStateOf(e.Name).inFlight = &o
	return o
}

// prune removes the state of engines that have left the group and of versions that are no
// longer needed.
func (p *Planner) prune(engines []Engine, newest ident.Version) {
	for name, state := range p.orderStates {
		known := slices.ContainsFunc(engines, func(e Engine) bool { return e.Name == name })
		if !known && state.inFlight == nil {
			delete(p.orderStates, name)
			delete(p.turns, name)
		}
	}
	for v := range p.publishedAt {
		if v < p.readyVersion && v != newest && v != p.newest {
			delete(p.publishedAt, v)
		}
	}
}

// hashFraction maps engines evenly to [0, 1), differently for each version.
func hashFraction(name ident.Upstream, v ident.Version) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(strconv.FormatInt(int64(v), 10)))
	x := h.Sum64()
	x ^= x >> 33 // FNV mixes the upper bits badly for short names
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
