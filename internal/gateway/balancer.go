// Package gateway forwards callers' requests to the upstreams of a service. It chooses the
// upstream, decides on retries and hedged requests, and determines the final response to
// the caller.
//
// A call is one attempt of a caller. A send is one transmission of a call to an upstream;
// retries and hedges are further sends of the same call.
package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// balancer chooses upstreams of services by their expected response times. It is safe for
// concurrent use.
//
// All times passed to it are readings of Options.Now.
type balancer struct {
	localDataCentre string // data centre of this VM
	policy          policy.Set
	suspects        *health.Suspects

	mu        sync.Mutex
	picks     int // number of calls of pick, for round robin
	leastWait *routing.LeastWait
}

func newBalancer(dataCentre string, set policy.Set, suspects *health.Suspects) *balancer {
	return &balancer{localDataCentre: dataCentre, policy: set, suspects: suspects,
		leastWait: routing.NewLeastWait(routing.LeastWaitOptions{IgnoreConnections: !set.Enabled(policy.Warm)})}
}

// pick returns the best candidate that is neither leaving nor in tried, and counts a request
// in flight there until release is called. Suspected upstreams are chosen only if there is
// no other. If all are known to be full, it returns the least full one. It reports false if
// no candidate is left. tried is keyed by incarnation.
func (b *balancer) pick(upstreams []registry.Upstream, tried map[string]bool, now time.Duration) (registry.Upstream, bool) {
	return b.pickBy(upstreams, tried, now, false, func(candidates []routing.Candidate) (int, bool) {
		return b.leastWait.Pick(candidates, now, rand.Float64)
	})
}

// pickWithRoom is pick without the upstreams that are known to be full.
func (b *balancer) pickWithRoom(upstreams []registry.Upstream, tried map[string]bool, now time.Duration) (registry.Upstream, bool) {
	return b.pickBy(upstreams, tried, now, true, func(candidates []routing.Candidate) (int, bool) {
		return b.leastWait.Pick(candidates, now, rand.Float64)
	})
}

// pickLate is pick for a call that can't be answered within its latency target any more.
func (b *balancer) pickLate(upstreams []registry.Upstream, tried map[string]bool, timeLeft, now time.Duration, needsRoom bool) (registry.Upstream, bool) {
	return b.pickBy(upstreams, tried, now, needsRoom, func(candidates []routing.Candidate) (int, bool) {
		return b.leastWait.PickLate(candidates, timeLeft, now, rand.Float64)
	})
}

// pickBy picks an upstream by the given function. needsRoom: it must not be known to be full.
func (b *balancer) pickBy(upstreams []registry.Upstream, tried map[string]bool, now time.Duration, needsRoom bool, pick func([]routing.Candidate) (int, bool)) (registry.Upstream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.picks++
	candidates := b.candidates(upstreams, tried, now)
	best := -1
	if b.policy.Enabled(policy.Load) {
		i, room := pick(candidates)
		if room || !needsRoom {
			best = i
		}
	} else {
		for n := range candidates {
			if i := (b.picks + n) % len(candidates); best < 0 && !candidates[i].Tried {
				best = i
			}
		}
	}
	if best < 0 {
		return registry.Upstream{}, false
	}
	b.leastWait.Begin(candidates[best].Key, now)
	return upstreams[best], true
}

// candidates returns a candidate for each upstream. Those that must not be picked are
// marked as tried.
func (b *balancer) candidates(upstreams []registry.Upstream, tried map[string]bool, now time.Duration) []routing.Candidate {
	out := make([]routing.Candidate, len(upstreams))
	for i, u := range upstreams {
		key := u.Incarnation()
		out[i] = routing.Candidate{Key: key, Slots: u.Slots, Remote: u.DataCentre != b.localDataCentre,
			Suspect: b.suspects.IsSuspect(key, now), Tried: u.Leaving || tried[key]}
	}
	return out
}

// hasRoom reports whether some upstream that is neither leaving nor in tried is not known to be
// full.
func (b *balancer) hasRoom(upstreams []registry.Upstream, tried map[string]bool, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leastWait.HasRoom(b.candidates(upstreams, tried, now), now)
}

// isSlow reports whether an upstream takes several times as long as the others of its service.
func (b *balancer) isSlow(incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leastWait.IsSlow(incarnation)
}

// room returns what is known of the room at a service's upstreams.
func (b *balancer) room(upstreams []registry.Upstream, now time.Duration) admission.Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(upstreams, nil, now)
	out := admission.Room{Free: b.leastWait.HasRoom(candidates, now)}
	reported, present := false, false
	for _, c := range candidates {
		if c.Tried {
			continue // it is leaving
		}
		present = true
		slots := c.Slots
		if report, _, ok := b.leastWait.LastReport(c.Key, now); ok {
			reported, slots = true, report.Slots
		}
		out.Slots += slots
		if out.RunTime == 0 {
			out.RunTime = b.leastWait.ServiceRunTime([]string{c.Key})
		}
	}
	if !reported {
		// Without load reports it is not known whether a refusal was for a full queue, and calls
		// don't wait.
		out.Slots = 0
	}
	if !present {
		out.Free = true
	}
	out.FreeSlots = b.leastWait.FreeSlots(candidates, now)
	if !out.Free {
		out.ExpiresAt = b.leastWait.KnownFullUntil(candidates, now)
	}
	return out
}

// expectedWait implements waitEstimator for the last call that pick returned an upstream for.
func (b *balancer) expectedWait(incarnation string, now time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leastWait.LastSendQueueTime(incarnation, now)
}

// serviceLoad returns what is known of a service's upstreams, given their incarnations.
func (b *balancer) serviceLoad(incarnations []string, now time.Duration) admission.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	queueTime, age, known := b.leastWait.ServiceQueueTime(incarnations, now)
	return admission.Load{QueueTime: queueTime, RunTime: b.leastWait.ServiceRunTime(incarnations), Age: age, Known: known}
}

// lastLoad returns the load that an upstream last reported and the age of that report. The
// load is -1 if there is none.
func (b *balancer) lastLoad(incarnation string, now time.Duration) (load int, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	report, age, ok := b.leastWait.LastReport(incarnation, now)
	if !ok {
		return -1, 0
	}
	return report.Load(), age
}

// release ends a request that pick counted as in flight.
func (b *balancer) release(incarnation string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leastWait.End(incarnation, now)
}

// recordSuccess notes a response and clears suspicion of the upstream.
func (b *balancer) recordSuccess(incarnation string, o routing.Observation, now time.Duration) {
	b.suspects.Succeeded(incarnation)
	b.observe(incarnation, o, now)
}

// observe notes a response, or the beginning of one.
func (b *balancer) observe(incarnation string, o routing.Observation, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leastWait.Observe(incarnation, o, now)
}

// observation returns what a response, received this long after its call was sent, says
// about the upstream.
func observation(r *Response, responseTime time.Duration) routing.Observation {
	// A failed request may end early, and status 421 comes from another incarnation, which
	// says nothing about a queue.
	if r.Status >= http.StatusInternalServerError || r.Status == http.StatusMisdirectedRequest {
		responseTime = 0
	}
	return routing.Observation{Load: r.Load, ResponseTime: responseTime, Ran: !r.NotRun || r.Status == http.StatusMisdirectedRequest}
}

// recordFailure marks an upstream as suspected.
func (b *balancer) recordFailure(incarnation string, now time.Duration) {
	if b.policy.Enabled(policy.Suspicion) {
		b.suspects.Failed(incarnation, now)
	}
}

// trim drops the state of upstreams that are gone.
func (b *balancer) trim(now time.Duration) {
	b.suspects.DropExpired(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leastWait.Trim(now)
}
