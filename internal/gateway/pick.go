// Package gateway passes callers' requests on to services: which upstream, what
// after a failure, when a second copy is worth sending, and what is told to the
// caller in the end.
package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// loadLife is how long a reported load counts. Work takes tens of ms.
const loadLife = 300 * time.Millisecond

// pool chooses upstreams of services. It is safe for concurrent use.
type pool struct {
	local    string // data centre of this VM
	policy   policy.Set
	suspects *health.Suspects
	turn     int
	mu       sync.Mutex
	// members by incarnation: one that started again has no request in flight.
	members map[string]*member
}

type member struct {
	inFlight int
	reported int // requests that it runs and queues, by its own word
	at       time.Duration
	seen     time.Duration
	answered time.Duration // when it last did, 0: never
}

func newPool(dataCentre string, set policy.Set, suspects *health.Suspects) *pool {
	return &pool{local: dataCentre, policy: set, suspects: suspects, members: map[string]*member{}}
}

func (p *pool) memberLocked(incarnation string, now time.Duration) *member {
	m := p.members[incarnation]
	if m == nil {
		m = &member{}
		p.members[incarnation] = m
	}
	m.seen = now
	return m
}

// pick takes the cheapest of the candidates that isn't in tried, and counts the
// request there until release. Upstreams under suspicion are the last resort.
func (p *pool) pick(candidates []registry.Upstream, tried map[string]bool, now time.Duration) (registry.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := -1, 0.0
	p.turn++
	for i, u := range candidates {
		if u.Leaving || tried[u.Incarnation()] {
			continue
		}
		cost := p.costLocked(u, now)
		if !p.policy.On(policy.Load) {
			cost = float64((i + p.turn) % len(candidates))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return registry.Upstream{}, false
	}
	p.memberLocked(candidates[best].Incarnation(), now).inFlight++
	return candidates[best], true
}

const (
	suspectCost = 1e6 // any other upstream goes first
	remoteCost  = 0.5 // of one request in flight: the way to another data centre and back
	tieSpread   = 0.2 // keeps daemons from choosing alike
	// coldCost is that of an upstream that hasn't answered this daemon within warmTime:
	// a new connection takes a place there for a moment, and the way to make it. A daemon
	// with a call every few seconds and dozens of upstreams would make one for each call.
	// Below the cost of another data centre, and far below that of one request in flight.
	coldCost = 0.3
	// warmTime is for how long an idle connection is kept by servers that state ten seconds.
	warmTime = 8 * time.Second
)

func (p *pool) costLocked(u registry.Upstream, now time.Duration) float64 {
	m := p.memberLocked(u.Incarnation(), now)
	cost := float64(m.inFlight) + tieSpread*rand.Float64()
	if now-m.at < loadLife {
		cost = max(cost, float64(m.reported))
	}
	if p.policy.On(policy.Warm) && (m.answered == 0 || now-m.answered > warmTime) {
		cost += coldCost
	}
	if u.DataCentre != p.local {
		cost += remoteCost
	}
	if p.suspects.Holds(u.Incarnation(), now) {
		cost += suspectCost
	}
	return cost
}

// known is the load that an upstream reported last and that figure's age, -1 for none.
func (p *pool) known(incarnation string, now time.Duration) (load int, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.memberLocked(incarnation, now)
	if m.at == 0 {
		return -1, 0
	}
	return m.reported, now - m.at
}

func (p *pool) release(incarnation string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memberLocked(incarnation, now).inFlight--
}

// succeeded clears suspicion; load is what the upstream reported, -1 if nothing.
func (p *pool) succeeded(incarnation string, load int, now time.Duration) {
	p.suspects.Worked(incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.memberLocked(incarnation, now)
	m.answered = now
	if load >= 0 {
		m.reported, m.at = load, now
	}
}

// failed puts an upstream under suspicion.
func (p *pool) failed(incarnation string, now time.Duration) {
	if p.policy.On(policy.Suspicion) {
		p.suspects.Failed(incarnation, now)
	}
}

// memberLife is how long an upstream that isn't met any more is remembered.
const memberLife = time.Minute

// trim forgets upstreams that left.
func (p *pool) trim(now time.Duration) {
	p.suspects.Trim(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, m := range p.members {
		if m.inFlight == 0 && now-m.seen > memberLife {
			delete(p.members, id)
		}
	}
}
