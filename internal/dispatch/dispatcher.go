package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// Dispatcher brings requests to upstreams. Safe for concurrent use.
//
// Locks, in the order in which they may be held: leavingMu, peers.mu, mu, shard.mu,
// poisonMu; copies.mu and flights.mu are held alone. No lock of these is held over a
// call of the client or the caller's onChunk; the recorder is called under a shard's
// lock and must not block.
type Dispatcher struct {
	o Options

	mu     sync.RWMutex // guards the maps, which Apply replaces
	shards map[string]*shard
	models map[modelKey]string // to the group
	teams  map[ident.Team]config.Limits
	fleet  Fleet

	poisonMu sync.Mutex
	keeper   *poison.Keeper
	copies   copies
	flights  flights

	leavingMu      sync.Mutex
	leavingUnknown map[ident.Upstream]string // said to leave, not configured yet

	peers    peerTable
	urgent   chan struct{}
	draining atomic.Bool
}

type modelKey struct {
	team  ident.Team
	model ident.Model
}

// New returns a Dispatcher without upstreams: Apply gives it some, and Run keeps
// watch over them.
func New(o Options) *Dispatcher {
	o = o.withDefaults()
	return &Dispatcher{
		o:      o,
		shards: map[string]*shard{},

		leavingUnknown: map[ident.Upstream]string{},

		keeper:  poison.New(poison.Options{Self: o.Self}),
		copies:  newCopies(),
		flights: newFlights(),
		peers:   newPeerTable(),
		urgent:  make(chan struct{}, 1),
	}
}

// Apply takes the groups, models and limits of a configuration over, live:
// requests on upstreams that left it run on to their end.
func (d *Dispatcher) Apply(s *config.State) { d.applyTree(s.Tree()) }

func (d *Dispatcher) applyTree(t *config.Tree) {
	d.configure(t)
	d.keepGone()
	d.leaveKept()
}

func (d *Dispatcher) configure(t *config.Tree) {
	d.mu.Lock()
	defer d.mu.Unlock()
	shards := make(map[string]*shard, len(t.Fleet.Groups))
	for name, group := range t.Fleet.Groups {
		s := d.shards[name]
		if s == nil {
			s = newShard(d, name)
		}
		s.apply(group, t, d.fleet)
		shards[name] = s
	}
	for name, s := range d.shards {
		if shards[name] == nil {
			s.close()
		}
	}
	d.shards = shards
	d.models = map[modelKey]string{}
	d.teams = map[ident.Team]config.Limits{}
	for team, branch := range t.Teams {
		d.teams[team] = branch.Limits
		for model, m := range branch.Models {
			d.models[modelKey{team, model}] = m.Group
		}
	}
}

// Drain refuses new work as not run. What was accepted goes on to its end.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// shardOf finds the group of a model or a call; nil if it isn't configured.
func (d *Dispatcher) shardOf(group string) *shard {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.shards[group]
}

func (d *Dispatcher) shardOfModel(team ident.Team, model ident.Model) *shard {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.shards[d.models[modelKey{team, model}]]
}

// allShards returns the shards by name.
func (d *Dispatcher) allShards() []*shard {
	d.mu.RLock()
	list := make([]*shard, 0, len(d.shards))
	for _, s := range d.shards {
		list = append(list, s)
	}
	d.mu.RUnlock()
	slices.SortFunc(list, func(a, b *shard) int { return cmp.Compare(a.name, b.name) })
	return list
}

// entry refuses what can't even begin.
func (d *Dispatcher) entry(s *shard) *Error {
	if d.draining.Load() {
		return &Error{Outcome: outcome.NotRun, Reason: Draining, RetryAfter: retryElsewhere}
	}
	if s == nil {
		return &Error{Outcome: outcome.NotRun, Reason: NoUpstream, RetryAfter: retryNoUpstream}
	}
	return nil
}

// tellUrgent wakes whoever pushes digests to peers.
func (d *Dispatcher) tellUrgent() {
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// Urgent yields when peers should get a digest at once.
func (d *Dispatcher) Urgent() <-chan struct{} { return d.urgent }

func (d *Dispatcher) record(kind string, id ident.RequestID, team ident.Team, up ident.Upstream, detail string) {
	if d.o.Recorder != nil {
		d.o.Recorder.Record(kind, id, team, up, detail)
	}
}
