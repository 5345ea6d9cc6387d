package timeline

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// shardCount is the number of shards, each of which has its own lock, so that concurrent
// writers rarely wait. All events of a request are in one shard.
const shardCount = 16

// DefaultCapacity is the number of events that a recorder keeps by default. They take some
// 4 MB.
const DefaultCapacity = 16_384

// Recorder keeps the newest events of this VM. Safe for concurrent use.
type Recorder struct {
	vm     ident.VM
	clock  *Clock
	shards [shardCount]ring
}

// ring is a ring buffer with the newest events of one shard.
type ring struct {
	mu     sync.Mutex
	events []Event
	next   int // index of the oldest event, once the ring is full
	limit  int // capacity in events
}

// New returns a recorder for a VM that keeps about capacity events, or DefaultCapacity if
// capacity is 0.
func New(vm ident.VM, capacity int) *Recorder {
	return NewWithClock(vm, capacity, NewClock(time.Now))
}

// NewWithClock is New with a given clock.
func NewWithClock(vm ident.VM, capacity int, clock *Clock) *Recorder {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	r := &Recorder{vm: vm, clock: clock}
	for i := range r.shards {
		r.shards[i].limit = max(1, capacity/shardCount)
	}
	return r
}

// Clock returns the clock that stamps the events. Digests between daemons carry its stamps.
func (r *Recorder) Clock() *Clock { return r.clock }

// Add records an event of this VM. The detail is truncated to 200 bytes.
func (r *Recorder) Add(e Event) {
	e.VM = r.vm
	e.Detail = truncate(e.Detail)
	if e.HLC == 0 {
		e.HLC = r.clock.Now()
	}
	r.shard(&e).add(e)
}

// Record adds an event about a request.
func (r *Recorder) Record(kind string, id ident.RequestID, team ident.Team, up ident.Upstream, detail string) {
	r.Add(Event{Kind: kind, Request: id, Team: team, Upstream: up, Detail: detail})
}

// Query returns the newest events of this VM that the filter selects, ordered by stamp.
func (r *Recorder) Query(f Filter) []Event {
	lists := make([][]Event, len(r.shards))
	for i := range r.shards {
		lists[i] = r.shards[i].query(f)
	}
	return f.Newest(Merge(lists))
}

// shard returns the shard of an event.
func (r *Recorder) shard(e *Event) *ring {
	key := string(e.Request) + e.Sample
	if key == "" {
		key = string(e.Upstream)
	}
	return &r.shards[xxhash.Sum64String(key)%shardCount]
}

func (r *ring) add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < r.limit {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.limit
}

func (r *ring) query(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := range r.events {
		if f.Match(&r.events[i]) {
			found = append(found, r.events[i])
		}
	}
	return found
}
