// Package weights plans which engine of a group loads and serves which version
// of one model, and when. It is pure: the observed engines, the newest published
// version and the time go in, orders come out.
//
// Loads are spread over a part of the publish interval, because the weight store
// is rate-limited. A version is ready once a share of the group holds it; then
// engines switch in turn, so that the group keeps capacity. A failed order
// leaves the old version serving and is tried again with backoff.
//
// Several daemons plan for one group without talking to each other, each giving
// orders only to the engines it holds the lease of. They agree on the turn
// because it follows from the engines' names and what they report to serve.
//
// Invariants: an engine has at most one order at a time; no order names a version
// below the one the engine serves; none goes to an engine that is leaving or down.
package weights

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Options of a Planner. Zero values take the defaults.
type Options struct {
	MaxLoads       int           // loads of this daemon at a time, default 2
	SpreadShare    float64       // part of the publish interval that loads are spread over, default 0.5
	MaxSpread      time.Duration // bound on that, default 5 min
	ReadyShare     float64       // share of a group that has to hold a version, default 0.75
	SwitchShare    float64       // share of a group that may switch at a time, default 0.25
	SwitchWithin   time.Duration // from ready on, all may switch after it, default 10 s
	TurnTimeout    time.Duration // others pass an engine that doesn't use its turn, default 2 s
	MaxSwitchDelay time.Duration // for running steps at StalenessWeight 0, default 20 s
	ReadyTimeout   time.Duration // from publication on, a version is ready without its share; default 10 min, an interval at most
	BackoffMin     time.Duration // default 1 s
	BackoffMax     time.Duration // default 1 min
	SettleTime     time.Duration // an applied order isn't repeated within it, reports lag; default 5 s
}

// Defaults of Options.
const (
	defaultMaxLoads       = 2
	defaultSpreadShare    = 0.5
	defaultMaxSpread      = 5 * time.Minute
	defaultReadyShare     = 0.75
	defaultSwitchShare    = 0.25
	defaultSwitchWithin   = 10 * time.Second
	defaultTurnTimeout    = 2 * time.Second
	defaultMaxSwitchDelay = 20 * time.Second
	defaultReadyTimeout   = 10 * time.Minute
	defaultBackoffMin     = time.Second
	defaultBackoffMax     = time.Minute
	defaultSettleTime     = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxLoads, defaultMaxLoads)
	setDefault(&o.SpreadShare, defaultSpreadShare)
	setDefault(&o.MaxSpread, defaultMaxSpread)
	setDefault(&o.ReadyShare, defaultReadyShare)
	setDefault(&o.SwitchShare, defaultSwitchShare)
	setDefault(&o.SwitchWithin, defaultSwitchWithin)
	setDefault(&o.TurnTimeout, defaultTurnTimeout)
	setDefault(&o.MaxSwitchDelay, defaultMaxSwitchDelay)
	setDefault(&o.ReadyTimeout, defaultReadyTimeout)
	setDefault(&o.BackoffMin, defaultBackoffMin)
	setDefault(&o.BackoffMax, defaultBackoffMax)
	setDefault(&o.SettleTime, defaultSettleTime)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is what is known of one engine of the group.
type Engine struct {
	Name    ident.Upstream
	Serving ident.Version   // 0: none
	Loaded  []ident.Version // held in memory
	Up      bool
	Leaving bool
	Mine    bool // this daemon may order it
}

// holds reports whether the engine could serve version v or serves a newer one.
func (e *Engine) holds(v ident.Version) bool {
	return e.Serving >= v || slices.Contains(e.Loaded, v)
}

func (e *Engine) usable() bool { return e.Up && !e.Leaving }

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

// Input is what one step looks at.
type Input struct {
	Engines         []Engine      // the whole group, any order
	Newest          ident.Version // published; only grows
	Interval        time.Duration // between publications, estimated; 0 unknown
	StalenessWeight float64       // 0: let steps finish, 1: switch at once
}

// attempt is an engine's orders so far.
type attempt struct {
	flight   *Order
	failures int
	retryAt  time.Time
	applied  Order // newest that the engine confirmed
	settled  time.Time
}

// Planner plans for one model on one group. Not safe for concurrent use.
type Planner struct {
	opts      Options
	attempts  map[ident.Upstream]*attempt
	published map[ident.Version]time.Time // first seen
	ready     ident.Version
	readyAt   time.Time
	turnAt    map[ident.Upstream]time.Time // since when an engine has had its turn for ready
}

// New returns a planner.
func New(opts Options) *Planner {
	return &Planner{
		opts:      opts.withDefaults(),
		attempts:  map[ident.Upstream]*attempt{},
		published: map[ident.Version]time.Time{},
		turnAt:    map[ident.Upstream]time.Time{},
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
	if _, seen := p.published[in.Newest]; !seen {
		p.published[in.Newest] = now
	}
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
	if ok {
		a.failures = 0
		a.applied = o
		a.settled = now.Add(p.opts.SettleTime)
		return
	}
	a.failures++
	a.retryAt = now.Add(p.backoff(o.Engine, a.failures))
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
		}
	}
	for v := range p.published {
		if v < p.ready && v != newest {
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
