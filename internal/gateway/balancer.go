// Package gateway forwards callers' requests to the upstreams of a service. It chooses the
// upstream, decides on retries and hedged requests, and determines the final response to
// the caller.
//
// A call is one attempt of a caller. A send is one transmission of a call to an upstream;
// retries and hedges are further sends of the same call.
package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// reportedLoadTTL is how long a load reported by an upstream is used. Requests take tens
// of milliseconds, so an older figure says nothing.
const reportedLoadTTL = 300 * time.Millisecond

// balancer chooses upstreams of services. It is safe for concurrent use.
//
// All times passed to it are readings of Options.Now.
type balancer struct {
	localDataCentre string // data centre of this VM
	policy          policy.Set
	suspects        *health.Suspects
	picks           int // number of calls of pick, for round robin
	mu              sync.Mutex
	// states is keyed by incarnation: a restarted upstream has no request in flight.
	states map[string]*upstreamState
}

// upstreamState is what this daemon knows of one incarnation of an upstream.
type upstreamState struct {
	inFlight       int           // requests sent by this daemon without an outcome yet
	reportedLoad   int           // requests running and queued, as last reported by the upstream
	reportedAt     time.Duration // when it reported reportedLoad, 0: never
	lastSeenAt     time.Duration // when it was last used or considered
	lastResponseAt time.Duration // when it last responded to this daemon, 0: never
}

func newBalancer(dataCentre string, set policy.Set, suspects *health.Suspects) *balancer {
	return &balancer{localDataCentre: dataCentre, policy: set, suspects: suspects, states: map[string]*upstreamState{}}
}

func (b *balancer) stateLocked(incarnation string, now time.Duration) *upstreamState {
	state := b.states[incarnation]
	if state == nil {
		state = &upstreamState{}
		b.states[incarnation] = state
	}
	state.lastSeenAt = now
	return state
}

// pick returns the candidate with the lowest cost that is neither leaving nor in tried,
// and counts a request in flight there until release is called. Suspected upstreams are
// chosen only if there is no other. It reports false if no candidate is left. tried is
// keyed by incarnation.
func (b *balancer) pick(candidates []registry.Upstream, tried map[string]bool, now time.Duration) (registry.Upstream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestCost := -1, 0.0
	b.picks++
	for i, u := range candidates {
		if u.Leaving || tried[u.Incarnation()] {
			continue
		}
		cost := b.costLocked(u, now)
		if !b.policy.Enabled(policy.Load) {
			cost = float64((i + b.picks) % len(candidates))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return registry.Upstream{}, false
	}
	b.stateLocked(candidates[best].Incarnation(), now).inFlight++
	return candidates[best], true
}

// Costs are in units of one request in flight.
const (
	suspectCost = 1e6 // higher than the cost of any upstream that is not suspected
	remoteCost  = 0.5 // round trip to another data centre
	tieSpread   = 0.2 // upper bound of a random cost, so that daemons break ties differently
	// coldCost is added for an upstream that has not responded to this daemon within
	// warmDuration: a new connection costs a round trip and briefly occupies a slot at the
	// upstream. Without it, a daemon with a call every few seconds and dozens of upstreams
	// would open a connection for each call. It is below the cost of another data centre,
	// and far below that of one request in flight.
	coldCost = 0.3
	// warmDuration is how long idle connections are kept to servers that announce a
	// keep-alive timeout of ten seconds.
	warmDuration = 8 * time.Second
)

func (b *balancer) costLocked(u registry.Upstream, now time.Duration) float64 {
	state := b.stateLocked(u.Incarnation(), now)
	cost := float64(state.inFlight) + tieSpread*rand.Float64()
	if now-state.reportedAt < reportedLoadTTL {
		cost = max(cost, float64(state.reportedLoad))
	}
	if b.policy.Enabled(policy.Warm) && (state.lastResponseAt == 0 || now-state.lastResponseAt > warmDuration) {
		cost += coldCost
	}
	if u.DataCentre != b.localDataCentre {
		cost += remoteCost
	}
	if b.suspects.IsSuspect(u.Incarnation(), now) {
		cost += suspectCost
	}
	return cost
}

// lastLoad returns the load that an upstream last reported and the age of that report. The
// load is -1 if there is none.
func (b *balancer) lastLoad(incarnation string, now time.Duration) (load int, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.stateLocked(incarnation, now)
	if state.reportedAt == 0 {
		return -1, 0
	}
	return state.reportedLoad, now - state.reportedAt
}

// release ends a request that pick counted as in flight.
func (b *balancer) release(incarnation string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateLocked(incarnation, now).inFlight--
}

// recordSuccess notes a response and clears suspicion of the upstream. load is the load
// reported with the response, nil if there was none.
func (b *balancer) recordSuccess(incarnation string, load *loadreport.Report, now time.Duration) {
	b.suspects.Succeeded(incarnation)
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.stateLocked(incarnation, now)
	state.lastResponseAt = now
	if load != nil {
		state.reportedLoad, state.reportedAt = load.Load(), now
	}
}

// recordFailure marks an upstream as suspected.
func (b *balancer) recordFailure(incarnation string, now time.Duration) {
	if b.policy.Enabled(policy.Suspicion) {
		b.suspects.Failed(incarnation, now)
	}
}

// idleStateTTL is how long the state of an upstream is kept that is no longer a candidate.
const idleStateTTL = time.Minute

// trim drops the state of upstreams that are gone.
func (b *balancer) trim(now time.Duration) {
	b.suspects.DropExpired(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, state := range b.states {
		if state.inFlight == 0 && now-state.lastSeenAt > idleStateTTL {
			delete(b.states, incarnation)
		}
	}
}
