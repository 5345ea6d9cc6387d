// Package registry keeps the live upstreams by incarnation. An incarnation is an ID together
// with the start time of the upstream's process. A restarted process may keep its ID, but has
// none of the state of the one before. An address may pass to an upstream of another service.
//
// The package does no I/O, and the caller passes in the time. A Registry is not safe for
// concurrent use.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// RecoveryGrace is how long after an outage of the store an upstream is kept whose entry was
// removed during the outage. Live upstreams register again within about two seconds.
const RecoveryGrace = 2200 * time.Millisecond

// removedStartTTL is how long the newest start time of an ID is remembered after its entry
// was removed: an entry of the incarnation before may still arrive within that time.
const removedStartTTL = 10 * time.Minute

// Upstream is one incarnation of a server.
type Upstream struct {
	ID string
	// Started is the start time of its process in Unix ms, as the process reports it, 0 if it
	// does not. Data without a start time is attributed to the newest known incarnation.
	Started    int64
	Service    string
	Address    string // ip:port
	DataCentre string
	Slots      int              // requests that it runs at a time
	Leaving    bool             // it must not get new work
	Spot       bool             // a spot instance: may be taken away at short notice
	Models     map[string]int64 // weight version by model
}

// Incarnation returns a name of the upstream's process. It is the key of all state that is
// lost or void when the process ends, such as requests in flight, measured speed and
// suspicion.
func (u Upstream) Incarnation() string {
	if u.Started == 0 {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started, 10)
}

// newestStart is the newest known start time of an ID.
type newestStart struct {
	startedMS int64         // Unix ms
	removedAt time.Duration // when the entry of the ID was removed, 0: it has one
	// earlierMS is the start time of the last entries in a row that name an earlier start, and
	// earlierEntries is their number.
	earlierMS      int64
	earlierEntries int
}

// maxEarlierEntries is how many entries in a row of an earlier start show that the newest known start
// is wrong. A process that has ended leaves one entry at most that arrives late.
const maxEarlierEntries = 3

// isSuperseded reports whether an entry is of an earlier start than the newest known one.
func (s *newestStart) isSuperseded(started int64) bool {
	if started >= s.startedMS {
		return false
	}
	if started != s.earlierMS {
		s.earlierMS, s.earlierEntries = started, 0
	}
	s.earlierEntries++
	return s.earlierEntries < maxEarlierEntries
}

// removedStart is an ID whose entry was removed.
type removedStart struct {
	id        string
	removedAt time.Duration
}

// Registry is the set of all live upstreams. All times passed to it are readings of one
// monotonic clock.
type Registry struct {
	upstreams     map[string]Upstream
	starts        map[string]newestStart // by ID, of upstreams that report a start time
	removedStarts []removedStart         // by time of removal, oldest first
	// pendingRemovals holds, by ID, when upstreams are dropped whose entry was removed during
	// an outage of the store, unless they register again.
	pendingRemovals map[string]time.Duration
	storeLost       bool
	graceEnd        time.Duration // end of RecoveryGrace after the last outage of the store

	changes  uint64 // number of changes of upstreams
	services map[string]*members
	// maxConnections is how many connections an upstream accepts, by service, as far as it is known.
	maxConnections map[string]int
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{upstreams: map[string]Upstream{}, starts: map[string]newestStart{}, pendingRemovals: map[string]time.Duration{}, services: map[string]*members{}}
}

// Changes returns the number of changes of upstreams so far. While it is the same, so are the
// upstreams.
func (r *Registry) Changes() uint64 { return r.changes }

// set replaces the state of an upstream.
func (r *Registry) set(u Upstream) {
	old, known := r.upstreams[u.ID]
	if known && old.equal(u) {
		return
	}
	if known && old.Service != u.Service {
		r.membersOf(old.Service).remove(old)
		known = false
	}
	r.upstreams[u.ID] = u
	r.membersOf(u.Service).set(old, known, u)
	r.changes++
}

func (r *Registry) membersOf(service string) *members {
	m := r.services[service]
	if m == nil {
		m = &members{byID: map[string]Upstream{}}
		r.services[service] = m
	}
	return m
}

func (u Upstream) equal(other Upstream) bool {
	return u.equalExceptModels(other) && maps.Equal(u.Models, other.Models)
}

// equalExceptModels reports whether two states of an upstream differ in Models at most.
func (u Upstream) equalExceptModels(other Upstream) bool {
	return u.ID == other.ID && u.Started == other.Started && u.Service == other.Service && u.Address == other.Address &&
		u.DataCentre == other.DataCentre && u.Slots == other.Slots && u.Leaving == other.Leaving && u.Spot == other.Spot
}

// Put registers an upstream or updates it with a new entry. It reports false, and changes
// nothing, if the entry is of an earlier start than the newest known one. Several such entries in a
// row replace that one: a wrong start time would otherwise hide the upstream for good.
//
// Within one incarnation weight versions only increase, so an older entry does not undo a
// load that is known already. The entry of a new incarnation replaces all versions.
func (r *Registry) Put(u Upstream) bool {
	newest := r.starts[u.ID]
	if u.Started == 0 {
		u.Started = newest.startedMS
	}
	if newest.isSuperseded(u.Started) {
		r.starts[u.ID] = newest
		return false
	}
	delete(r.pendingRemovals, u.ID)
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
		r.starts[u.ID] = newestStart{startedMS: u.Started}
	}
	return true
}

// RecordRestart records the start time (Unix ms) and the weight versions by model that an
// upstream reports outside its entries. It reports whether the start is newer than the known
// one; otherwise nothing changes.
func (r *Registry) RecordRestart(id string, started int64, models map[string]int64) bool {
	u, ok := r.upstreams[id]
	if !ok || started <= r.starts[id].startedMS {
		return false
	}
	u.Started = started
	u.Models = maps.Clone(models)
	r.set(u)
	r.starts[id] = newestStart{startedMS: started}
	return true
}

// RecordLoad records that an incarnation has loaded a weight version, before its next entry says
// so. started is the start time of the incarnation in Unix ms, 0 for the newest.
func (r *Registry) RecordLoad(id string, started int64, model string, version int64) {
	u, ok := r.upstreams[id]
	if !ok || started != 0 && started != u.Started || u.Models[model] >= version {
		return
	}
	r.setVersion(u, model, version)
}

// RecordServed records the weight version with which an incarnation began its response to a
// request. Unlike an entry, a response is never older than the request. It may therefore also
// lower the version: an upstream that restarted without reporting it lacks the weights that
// it had loaded before.
func (r *Registry) RecordServed(id string, started int64, model string, version int64) {
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

// Reject drops an upstream whose newest entry is invalid, such as one from another writer.
// That entry names no usable server, and the entry before it is no longer valid.
func (r *Registry) Reject(id string, now time.Duration) {
	delete(r.pendingRemovals, id)
	r.drop(id, now)
}

func (r *Registry) drop(id string, now time.Duration) {
	if u, ok := r.upstreams[id]; ok {
		delete(r.upstreams, id)
		r.membersOf(u.Service).remove(u)
		r.changes++
	}
	if s, ok := r.starts[id]; ok {
		s.removedAt = now
		r.starts[id] = s
		r.removedStarts = append(r.removedStarts, removedStart{id, now})
	}
}

// Remove drops an upstream whose entry was removed. During an outage of the store, and for
// RecoveryGrace afterwards, entries also expire because live upstreams could not renew them.
// The upstream is then kept until the grace ends.
func (r *Registry) Remove(id string, now time.Duration) {
	if _, ok := r.upstreams[id]; !ok {
		return
	}
	if r.storeLost || now < r.graceEnd {
		if _, ok := r.pendingRemovals[id]; !ok {
			r.pendingRemovals[id] = r.graceEnd
		}
		return
	}
	r.drop(id, now)
}

// Replace puts all upstreams of a complete list, and removes those that it lacks.
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

// StoreLost records that the store cannot be reached.
func (r *Registry) StoreLost() { r.storeLost = true }

// StoreRecovered records that the store can be reached again.
func (r *Registry) StoreRecovered(now time.Duration) {
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.graceEnd = now + RecoveryGrace
	for id := range r.pendingRemovals {
		r.pendingRemovals[id] = r.graceEnd
	}
}

// Expire drops the upstreams whose pending removal is due, and forgets start times after
// removedStartTTL.
func (r *Registry) Expire(now time.Duration) {
	if r.storeLost {
		return
	}
	for id, removeAt := range r.pendingRemovals {
		if now >= max(removeAt, r.graceEnd) {
			delete(r.pendingRemovals, id)
			r.drop(id, now)
		}
	}
	for len(r.removedStarts) > 0 && now-r.removedStarts[0].removedAt > removedStartTTL {
		if first := r.removedStarts[0]; r.starts[first.id].removedAt == first.removedAt {
			delete(r.starts, first.id)
		}
		r.removedStarts = r.removedStarts[1:]
	}
}

// Count returns the number of upstreams.
func (r *Registry) Count() int { return len(r.upstreams) }

// Get returns the upstream with an ID.
func (r *Registry) Get(id string) (Upstream, bool) {
	u, ok := r.upstreams[id]
	return u, ok
}

// ByService returns the upstreams of a service sorted by ID, including those that are leaving. The
// list may be shared with other callers and must not be modified.
func (r *Registry) ByService(service string) []Upstream { return r.membersOf(service).all() }

// MemberChanges returns the number of changes of a service's upstreams so far, those of Models not
// counted. While it is the same, so is the result of Sample except for Models.
func (r *Registry) MemberChanges(service string) uint64 { return r.membersOf(service).changes }

// Sample returns up to n of a service's upstreams that are not leaving, one for each address.
// All daemons that know the same upstreams get the same ones, and a change of the upstreams
// replaces only few of them.
func (r *Registry) Sample(service string, n int) []Upstream { return r.membersOf(service).sample(n) }

// All returns all upstreams sorted by ID.
func (r *Registry) All() []Upstream {
	return sortByID(slices.Collect(maps.Values(r.upstreams)))
}

func sortByID(list []Upstream) []Upstream {
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
