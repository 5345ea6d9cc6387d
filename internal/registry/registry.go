// Package registry knows the live upstreams by incarnation. An incarnation is an ID
// and the start of the upstream's process: one that starts again may keep its ID, and
// holds and knows nothing of before. Its address may pass on to another service. The
// package is pure: time is passed in. Not safe for concurrent use.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// ReturnGrace is how long an entry that lapsed while the store was away is
// still used after the store's return. Live upstreams are registered anew
// within about two seconds.
const ReturnGrace = 2200 * time.Millisecond

// startMemory is how long the newest start of an ID without an entry is remembered:
// an entry of the incarnation before may still be on its way then.
const startMemory = 10 * time.Minute

// Upstream is one incarnation of a server.
type Upstream struct {
	ID string
	// Started is the start of its process by its own word, in Unix ms. 0: it doesn't
	// say; what comes without a start belongs to the newest one known.
	Started    int64
	Service    string
	Address    string // ip:port
	DataCentre string
	Slots      int
	Leaving    bool             // gets no new work
	Spot       bool             // may be taken away at short notice
	Models     map[string]int64 // weight version by model
}

// Incarnation names the upstream's process for state that ends with it: what it runs,
// its pace, suspicions against it.
func (u Upstream) Incarnation() string {
	if u.Started == 0 {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started, 10)
}

// start is the newest known start of an ID.
type start struct {
	at   int64         // Unix ms
	gone time.Duration // when its entry was removed, 0: it has one
}

// goneStart is an ID whose entry was removed.
type goneStart struct {
	id string
	at time.Duration
}

// Registry is the view of all upstreams.
type Registry struct {
	upstreams map[string]Upstream
	starts    map[string]start // by ID, of those that tell theirs
	gone      []goneStart      // in the order of time, to be forgotten
	// lapsed entries were removed while the store was away.
	lapsed map[string]time.Duration // ID -> when it goes unless registered again
	away   bool
	until  time.Duration // end of the grace after the store's return

	changes  uint64 // of the upstreams
	services map[string]*members
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{upstreams: map[string]Upstream{}, starts: map[string]start{}, lapsed: map[string]time.Duration{}, services: map[string]*members{}}
}

// Changes counts the changes of the upstreams: while it stays the same, so do they.
func (r *Registry) Changes() uint64 { return r.changes }

// set takes an upstream as it is now.
func (r *Registry) set(u Upstream) {
	old, known := r.upstreams[u.ID]
	if known && old.equal(u) {
		return
	}
	if known && old.Service != u.Service {
		r.of(old.Service).remove(old)
		known = false
	}
	r.upstreams[u.ID] = u
	r.of(u.Service).set(old, known, u)
	r.changes++
}

func (r *Registry) of(service string) *members {
	m := r.services[service]
	if m == nil {
		m = &members{byID: map[string]Upstream{}}
		r.services[service] = m
	}
	return m
}

func (u Upstream) equal(o Upstream) bool { return u.samePlace(o) && maps.Equal(u.Models, o.Models) }

// samePlace reports whether two states of an upstream differ by weights at most.
func (u Upstream) samePlace(o Upstream) bool {
	return u.ID == o.ID && u.Started == o.Started && u.Service == o.Service && u.Address == o.Address &&
		u.DataCentre == o.DataCentre && u.Slots == o.Slots && u.Leaving == o.Leaving && u.Spot == o.Spot
}

// Put takes an upstream's entry. It reports false for one that is older than the newest
// known start, which changes nothing. Versions of weights only grow within one
// incarnation, so an older entry doesn't hide a load that is known already; the next
// one's are what it says.
func (r *Registry) Put(u Upstream) bool {
	known := r.starts[u.ID].at
	if u.Started == 0 {
		u.Started = known
	}
	if u.Started < known {
		return false
	}
	delete(r.lapsed, u.ID)
	if old, ok := r.upstreams[u.ID]; ok && old.Started == u.Started {
		if u.Models == nil {
			u.Models = map[string]int64{}
		}
		for model, v := range old.Models {
			if v > u.Models[model] {
				u.Models[model] = v
			}
		}
	}
	r.set(u)
	if u.Started != 0 {
		r.starts[u.ID] = start{at: u.Started}
	}
	return true
}

// Restarted notes what an upstream says of itself beside its entries: its start, and the
// weights that it serves. It reports whether that is a newer start than the known one.
func (r *Registry) Restarted(id string, started int64, models map[string]int64) bool {
	u, ok := r.upstreams[id]
	if !ok || started <= r.starts[id].at {
		return false
	}
	u.Started = started
	u.Models = maps.Clone(models)
	r.set(u)
	r.starts[id] = start{at: started}
	return true
}

// Loaded notes that an incarnation serves a version, ahead of its next entry. What
// comes without a start holds for the newest one.
func (r *Registry) Loaded(id string, started int64, model string, version int64) {
	u, ok := r.upstreams[id]
	if !ok || started != 0 && started != u.Started || u.Models[model] >= version {
		return
	}
	r.setVersion(u, model, version)
}

// Serves notes the version that an incarnation's answer to a request began with. Unlike
// an entry it is never older than the request, so it may also lower a version: an
// upstream that started again without saying so lacks what it had loaded.
func (r *Registry) Serves(id string, started int64, model string, version int64) {
	u, ok := r.upstreams[id]
	if !ok || started != u.Started || u.Models[model] == version {
		return
	}
	r.setVersion(u, model, version)
}

func (r *Registry) setVersion(u Upstream, model string, version int64) {
	u.Models = maps.Clone(u.Models)
	u.Models[model] = version
	r.set(u)
}

// Reject drops an upstream whose newest entry can't be its own: such an entry names no
// server to use, and the one before doesn't hold any more.
func (r *Registry) Reject(id string, now time.Duration) {
	delete(r.lapsed, id)
	r.drop(id, now)
}

func (r *Registry) drop(id string, now time.Duration) {
	if u, ok := r.upstreams[id]; ok {
		delete(r.upstreams, id)
		r.of(u.Service).remove(u)
		r.changes++
	}
	if s, ok := r.starts[id]; ok {
		s.gone = now
		r.starts[id] = s
		r.gone = append(r.gone, goneStart{id, now})
	}
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
	r.drop(id, now)
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
			r.drop(id, now)
		}
	}
	for len(r.gone) > 0 && now-r.gone[0].at > startMemory {
		if first := r.gone[0]; r.starts[first.id].gone == first.at {
			delete(r.starts, first.id)
		}
		r.gone = r.gone[1:]
	}
}

// Count counts the upstreams.
func (r *Registry) Count() int { return len(r.upstreams) }

// Get returns one upstream.
func (r *Registry) Get(id string) (Upstream, bool) {
	u, ok := r.upstreams[id]
	return u, ok
}

// Of returns the upstreams of a service sorted by ID, leaving ones included. The list
// may be given to others too and must not be changed.
func (r *Registry) Of(service string) []Upstream { return r.of(service).all() }

// Members counts the changes of a service's upstreams but for those of their weights: while
// it stays the same, so does what Sample returns, weights aside.
func (r *Registry) Members(service string) uint64 { return r.of(service).changes }

// Sample returns so many of a service's upstreams that aren't leaving, one for each address:
// the same ones at every daemon that knows the same upstreams, and few others after a change.
func (r *Registry) Sample(service string, n int) []Upstream { return r.of(service).sample(n) }

// All returns every live upstream, by ID.
func (r *Registry) All() []Upstream {
	return sorted(slices.Collect(maps.Values(r.upstreams)))
}

func sorted(list []Upstream) []Upstream {
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
