package timeline

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// shardCount spreads writers over locks. A request's events share a shard.
const shardCount = 16

// DefaultCapacity is how many events a recorder keeps by default: some 4 MB.
const DefaultCapacity = 16_384

// Recorder keeps this VM's newest events. Safe for concurrent use.
type Recorder struct {
	vm     ident.VM
	clock  *Clock
	shards [shardCount]ring
}

// ring holds the newest events of one shard; the oldest is overwritten.
type ring struct {
	mu     sync.Mutex
	events []Event // grows to limit, then wraps
	next   int
	limit  int
}

// New returns a recorder for a VM that keeps about capacity events (0:
// DefaultCapacity).
func New(vm ident.VM, capacity int) *Recorder {
	return NewWithClock(vm, capacity, NewClock(time.Now))
}

// NewWithClock is New over a given clock.
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

// Clock returns the clock that stamps the events; digests carry and merge it.
func (r *Recorder) Clock() *Clock { return r.clock }

// Add records an event of this VM. The detail is cut to 200 bytes.
func (r *Recorder) Add(e Event) {
	e.VM = r.vm
	e.Detail = cut(e.Detail)
	if e.HLC == 0 {
		e.HLC = r.clock.Now()
	}
	r.shard(&e).add(e)
}

// Record adds an event about a request, for callers that know no more.
func (r *Recorder) Record(kind string, id ident.RequestID, team ident.Team, up ident.Upstream, detail string) {
	r.Add(Event{Kind: kind, Request: id, Team: team, Upstream: up, Detail: detail})
}

// Query returns this VM's newest events that match, in order.
func (r *Recorder) Query(f Filter) []Event {
	lists := make([][]Event, len(r.shards))
	for i := range r.shards {
		lists[i] = r.shards[i].query(f)
	}
	return f.Newest(Merge(lists))
}

func (r *Recorder) shard(e *Event) *ring {
	key := string(e.Request) + e.Sample
	if key == "" {
		key = string(e.Upstream)
	}
	return &r.shards[xxhash.Sum64String(key)%shardCount]
}

func (s *ring) add(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < s.limit {
		s.events = append(s.events, e)
		return
	}
	s.events[s.next] = e
	s.next = (s.next + 1) % s.limit
}

func (s *ring) query(f Filter) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Event
	for i := range s.events {
		if f.Match(&s.events[i]) {
			found = append(found, s.events[i])
		}
	}
	return found
}
