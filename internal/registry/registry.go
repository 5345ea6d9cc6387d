// Package registry knows the live upstreams by incarnation: each start of an
// upstream has an ID of its own, while its address may pass on to another
// service. It is pure: time is passed in. Not safe for concurrent use.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReturnGrace is how long an entry that lapsed while the store was away is
// still used after the store's return. Live upstreams are registered anew
// within about two seconds.
const ReturnGrace = 2200 * time.Millisecond

// Upstream is one incarnation of a server.
type Upstream struct {
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	Slots      int
	Leaving    bool             // gets no new work
	Models     map[string]int64 // weight version by model
	// ModelsAt is when Models was learned.
	ModelsAt time.Duration
}

// Registry is the view of all upstreams.
type Registry struct {
	upstreams map[string]Upstream
	// lapsed entries were removed while the store was away.
	lapsed map[string]time.Duration // ID -> when it goes unless registered again
	away   bool
	until  time.Duration // end of the grace after the store's return
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{upstreams: map[string]Upstream{}, lapsed: map[string]time.Duration{}}
}

// Put takes an upstream's entry. Versions of weights only grow within one
// incarnation, so an older entry doesn't hide a load that is known already.
func (r *Registry) Put(u Upstream) {
	delete(r.lapsed, u.ID)
	if old, ok := r.upstreams[u.ID]; ok {
		for model, v := range old.Models {
			if v > u.Models[model] {
				u.Models[model] = v
			}
		}
	}
	r.upstreams[u.ID] = u
}

// Loaded notes that an upstream serves a version, ahead of its next entry.
func (r *Registry) Loaded(id, model string, version int64) {
	u, ok := r.upstreams[id]
	if !ok || u.Models[model] >= version {
		return
	}
	u.Models = maps.Clone(u.Models)
	u.Models[model] = version
	r.upstreams[id] = u
}

// Remove drops an upstream. While the store is away, and for ReturnGrace after
// its return, entries also lapse because their owners couldn't reach the store;
// such an upstream is kept until the grace ends.
func (r *Registry) Remove(id string, now time.Duration) {
	if _, ok := r.upstreams[id]; !ok {
		return
	}
	if r.away || now < r.until {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = r.until
		}
		return
	}
	delete(r.upstreams, id)
}

// Replace takes a whole view: what it lacks is removed.
func (r *Registry) Replace(list []Upstream, now time.Duration) {
	seen := map[string]bool{}
	for _, u := range list {
		seen[u.ID] = true
		r.Put(u)
	}
	for id := range r.upstreams {
		if !seen[id] {
			r.Remove(id, now)
		}
	}
}

// StoreLost notes that the store can't be reached.
func (r *Registry) StoreLost() { r.away = true }

// StoreBack notes that the store answers again.
func (r *Registry) StoreBack(now time.Duration) {
	if !r.away {
		return
	}
	r.away = false
	r.until = now + ReturnGrace
	for id := range r.lapsed {
		r.lapsed[id] = r.until
	}
}

// Expire drops the lapsed entries whose grace has ended.
func (r *Registry) Expire(now time.Duration) {
	if r.away {
		return
	}
	for id, at := range r.lapsed {
		if now >= max(at, r.until) {
			delete(r.lapsed, id)
			delete(r.upstreams, id)
		}
	}
}

// Get returns one upstream.
func (r *Registry) Get(id string) (Upstream, bool) {
	u, ok := r.upstreams[id]
	return u, ok
}

// Of returns the upstreams of a service sorted by ID, leaving ones included.
func (r *Registry) Of(service string) []Upstream {
	var out []Upstream
	for _, u := range r.upstreams {
		if u.Service == service {
			out = append(out, u)
		}
	}
	return sorted(out)
}

// All returns every live upstream, by ID.
func (r *Registry) All() []Upstream {
	return sorted(slices.Collect(maps.Values(r.upstreams)))
}

func sorted(list []Upstream) []Upstream {
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
