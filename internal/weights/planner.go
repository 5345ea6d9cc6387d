// Package weights plans which engine of a group loads and serves which version
// of one model, and when. It is pure: the observed engines, the newest published
// version and the time go in, orders come out.
//
// Loads begin when a version is published, at the pace that the rate-limited weight
// store lets through, see pacer. A version is ready once a share of the group holds
// it; then engines switch in turn, so that the group keeps capacity. While too many
// engines serve versions too old for any new sample (Input.Needed), trainers wait
// for them: then one engine that holds a newer version makes that ready, and nothing
// is put off. A failed order leaves the old version serving and is tried again
// with backoff.
//
// Several daemons plan for one group without talking to each other, each giving
// orders only to the engines it holds the lease of. They agree on the turn
// because it follows from the engines' names and what they report to serve.
//
// Invariants: an engine has at most one order at a time; no order names a version
// below the one the engine serves; none goes to an engine that is leaving or down.
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
	MaxLoads       int           // most loads of this daemon at a time, default 4
	PauseMin       time.Duration // first pause of loads after some failed, default 200 ms
	SpreadShare    float64       // part of the publish interval that loads may be spread over, default 0.5
	MaxSpread      time.Duration // bound on that, default 5 min
	ReadyShare     float64       // share of a group that has to hold a version, default 0.75
	SwitchShare    float64       // share of a group that may switch at a time, default 0.25
	SwitchWithin   time.Duration // from ready on, all may switch after it, default 10 s
	TurnTimeout    time.Duration // others pass an engine that doesn't use its turn, default 2 s
	UrgentShare    float64       // the same while trainers wait for it, default 0.5
	MaxSwitchDelay time.Duration // for running steps at StalenessWeight 0, default 20 s, half an interval at most
	ReadyTimeout   time.Duration // from publication on, a version is ready without its share; default 10 min, an interval at most
	BackoffMin     time.Duration // default 1 s
	BackoffMax     time.Duration // default 1 min
	SettleTime     time.Duration // an applied order isn't repeated within it, reports lag; default 5 s
}

// Defaults of Options.
const (
	defaultMaxLoads       = 4
	defaultPauseMin       = 200 * time.Millisecond
	defaultSpreadShare    = 0.5
	defaultMaxSpread      = 5 * time.Minute
	defaultReadyShare     = 0.75
	defaultSwitchShare    = 0.25
	defaultUrgentShare    = 0.5
	defaultSwitchWithin   = 10 * time.Second
	defaultTurnTimeout    = 2 * time.Second
	defaultMaxSwitchDelay = 20 * time.Second
	defaultReadyTimeout   = 10 * time.Minute
	defaultBackoffMin     = time.Second
	defaultBackoffMax     = time.Minute
	defaultSettleTime     = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.MaxLoads = cmp.Or(o.MaxLoads, defaultMaxLoads)
	o.PauseMin = cmp.Or(o.PauseMin, defaultPauseMin)
	o.SpreadShare = cmp.Or(o.SpreadShare, defaultSpreadShare)
	o.MaxSpread = cmp.Or(o.MaxSpread, defaultMaxSpread)
	o.ReadyShare = cmp.Or(o.ReadyShare, defaultReadyShare)
	o.SwitchShare = cmp.Or(o.SwitchShare, defaultSwitchShare)
	o.UrgentShare = cmp.Or(o.UrgentShare, defaultUrgentShare)
	o.SwitchWithin = cmp.Or(o.SwitchWithin, defaultSwitchWithin)
	o.TurnTimeout = cmp.Or(o.TurnTimeout, defaultTurnTimeout)
	o.MaxSwitchDelay = cmp.Or(o.MaxSwitchDelay, defaultMaxSwitchDelay)
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, defaultReadyTimeout)
	o.BackoffMin = cmp.Or(o.BackoffMin, defaultBackoffMin)
	o.BackoffMax = cmp.Or(o.BackoffMax, defaultBackoffMax)
	o.SettleTime = cmp.Or(o.SettleTime, defaultSettleTime)
	return o
}

// Kind is what an order asks for.
type Kind string

// The kinds of order.
const (
	Load   Kind = "load"
	Switch Kind = "switch"
)

// Order asks an engine to load or to serve a version.
type Order struct {
	Kind    Kind
	Engine  ident.Upstream
	Version ident.Version
}

// attempt is an engine's orders so far.
type attempt struct {
	flight   *Order
	failures int
	retryAt  time.Time
	applied  Order // newest that the engine confirmed
	settled  time.Time
	switched ident.Version // newest that the engine confirmed to serve
	shown    time.Time     // until when reports may not show that yet
}

// confirmed takes an applied order.
func (a *attempt) confirmed(o Order, settled time.Time) {
	a.failures = 0
	a.applied = o
	a.settled = settled
	if o.Kind == Switch {
		a.switched = o.Version
		a.shown = settled
	}
}

// outdated says whether a switch to v would go below what the engine serves, though
// reports don't show it yet. Later than that, it may have been started anew.
func (a *attempt) outdated(v ident.Version, now time.Time) bool {
	return v <= a.switched && now.Before(a.shown)
}

// Planner plans for one model on one group. Not safe for concurrent use.
type Planner struct {
	opts      Options
	attempts  map[ident.Upstream]*attempt
	published map[ident.Version]time.Time // first seen
	newest    ident.Version
	pace      pacer
	ready     ident.Version
	readyAt   time.Time
	// waitsSince is since when some engine has had to wait for a switch. A newer
	// version that gets ready doesn't put it off again: versions that follow each
	// other faster than the delay would never be served.
	waitsSince time.Time
	given      map[ident.Upstream]turn
}

// New returns a planner.
func New(opts Options) *Planner {
	return &Planner{
		opts:      opts.withDefaults(),
		attempts:  map[ident.Upstream]*attempt{},
		published: map[ident.Version]time.Time{},
		pace:      pacer{window: firstWindow},
		given:     map[ident.Upstream]turn{},
	}
}

// Step returns the orders to send now. Every order is in flight until Finished.
func (p *Planner) Step(in Input, now time.Time) []Order {
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(string(a.Name), string(b.Name)) })
	p.forget(engines, in.Newest)
	if in.Newest == 0 {
		return nil
	}
	p.advance(engines, now)
	p.publish(in, now)
	p.findReady(engines, in, now)
	orders := p.switches(engines, in, now)
	return append(orders, p.loads(engines, in, now)...)
}

// Finished takes the result of an order: ok when the engine applied it.
func (p *Planner) Finished(o Order, ok bool, now time.Time) {
	a := p.attempt(o.Engine)
	if a.flight == nil || *a.flight != o {
		return
	}
	a.flight = nil
	p.pacing(o, ok, now)
	if ok {
		a.confirmed(o, now.Add(p.opts.SettleTime))
		return
	}
	a.failures++
	a.retryAt = now.Add(p.backoff(o.Engine, a.failures))
}

// advance takes what this daemon's engines have confirmed to hold into reports that
// are older than that. That they serve it waits for the report: switches pass the turn
// on, and daemons that pass it on at different moments would together exceed the
// share.
func (p *Planner) advance(engines []Engine, now time.Time) {
	for i := range engines {
		e := &engines[i]
		a, ok := p.attempts[e.Name]
		if !ok || !now.Before(a.settled) || e.holds(a.applied.Version) {
			continue
		}
		e.Loaded = append(slices.Clone(e.Loaded), a.applied.Version)
	}
}

// publish notes a version that is seen for the first time.
func (p *Planner) publish(in Input, now time.Time) {
	if in.Newest <= p.newest {
		return
	}
	if p.newest != 0 {
		bound := min(time.Duration(p.opts.SpreadShare*float64(in.Interval)), p.opts.MaxSpread)
		p.pace.nextVersion(p.published[p.newest], bound)
	}
	p.newest = in.Newest
	p.published[in.Newest] = now
}

// HoldLoads takes an engine's word on when to come back with a load: no load of
// this daemon begins before, since its engines share one store.
func (p *Planner) HoldLoads(until time.Time) { p.pace.until = later(p.pace.until, until) }

func (p *Planner) pacing(o Order, ok bool, now time.Time) {
	switch {
	case o.Kind != Load:
	case ok:
		p.pace.applied(p.opts.MaxLoads)
	default:
		p.pace.failed(fraction(o.Engine, o.Version), &p.opts, now)
	}
}

// backoff doubles from BackoffMin on, less up to a quarter that depends on the engine, so that
// engines that failed together don't come back together.
func (p *Planner) backoff(name ident.Upstream, failures int) time.Duration {
	d := p.opts.BackoffMin
	for i := 1; i < failures && d < p.opts.BackoffMax; i++ {
		d *= 2
	}
	d = min(d, p.opts.BackoffMax)
	return d - time.Duration(fraction(name, ident.Version(failures))*float64(d)/4)
}

func (p *Planner) attempt(name ident.Upstream) *attempt {
	a, ok := p.attempts[name]
	if !ok {
		a = &attempt{}
		p.attempts[name] = a
	}
	return a
}

// free reports whether the engine may get that order now.
func (p *Planner) free(kind Kind, e *Engine, v ident.Version, now time.Time) bool {
	if !e.Mine || !e.usable() {
		return false
	}
	a := p.attempt(e.Name)
	if a.applied == (Order{kind, e.Name, v}) && now.Before(a.settled) {
		return false
	}
	return a.flight == nil && !now.Before(a.retryAt)
}

func (p *Planner) order(kind Kind, e *Engine, v ident.Version) Order {
	o := Order{Kind: kind, Engine: e.Name, Version: v}
	p.attempt(e.Name).flight = &o
	return o
}

// forget drops what concerns engines that are gone and versions of the past.
func (p *Planner) forget(engines []Engine, newest ident.Version) {
	for name, a := range p.attempts {
		known := slices.ContainsFunc(engines, func(e Engine) bool { return e.Name == name })
		if !known && a.flight == nil {
			delete(p.attempts, name)
			delete(p.given, name)
		}
	}
	for v := range p.published {
		if v < p.ready && v != newest && v != p.newest {
			delete(p.published, v)
		}
	}
}

// fraction spreads engines evenly over [0, 1), differently for each version.
func fraction(name ident.Upstream, v ident.Version) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(strconv.FormatInt(int64(v), 10)))
	x := h.Sum64()
	x ^= x >> 33 // FNV's upper bits mix badly on short names
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
