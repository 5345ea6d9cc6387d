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

// Dispatcher sends requests to upstreams. It is safe for concurrent use.
//
// Lock order: leavingMu, peers.mu, mu, shard.mu, poisonMu. copies.mu and stoppable.mu
// are never held together with another lock. None of these locks is held
// during a call of the client or of the caller's onChunk. The recorder is called with a
// shard's lock held and must not block.
type Dispatcher struct {
	options Options

	mu      sync.RWMutex // guards the maps, which Apply replaces, and daemons
	shards  map[string]*shard
	models  map[modelKey]string // group that serves the model
	teams   map[ident.Team]config.Limits
	daemons DaemonView

	poisonMu     sync.Mutex
	suspectMarks *poison.Tracker
	copies       copyPlacement
	stoppable    stoppableAttempts

	leavingMu           sync.Mutex
	leavingUnconfigured map[ident.Upstream]string // source of a leaving notice, by upstreams without a shard member

	peers        peerTable
	urgentDigest chan struct{}
	draining     atomic.Bool
}

type modelKey struct {
	team  ident.Team
	model ident.Model
}

// New returns a Dispatcher without upstreams. Apply configures them, and Run polls
// them.
func New(opts Options) *Dispatcher {
	opts = opts.withDefaults()
	return &Dispatcher{
		options: opts,
		shards:  map[string]*shard{},

		leavingUnconfigured: map[ident.Upstream]string{},

		suspectMarks: poison.New(poison.Options{Self: opts.Self}),
		copies:       newCopyPlacement(),
		stoppable:    newStoppableAttempts(),
		peers:        newPeerTable(),
		urgentDigest: make(chan struct{}, 1),
	}
}

// Apply puts a configuration's groups, models and limits into force. Requests that
// are running on removed upstreams continue to their end.
func (d *Dispatcher) Apply(s *config.State) { d.applyTree(s.Tree()) }

func (d *Dispatcher) applyTree(tree *config.Tree) {
	d.configure(tree)
	d.keepDroppedLeaving()
	d.applyKeptLeaving()
}

func (d *Dispatcher) configure(tree *config.Tree) {
	d.mu.Lock()
	defer d.mu.Unlock()
	shards := make(map[string]*shard, len(tree.Fleet.Groups))
	for name, group := range tree.Fleet.Groups {
		s := d.shards[name]
		if s == nil {
			s = newShard(d, name)
		}
		s.apply(group, tree, d.daemons)
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
	for team, teamConfig := range tree.Teams {
		d.teams[team] = teamConfig.Limits
		for model, modelConfig := range teamConfig.Models {
			d.models[modelKey{team, model}] = modelConfig.Group
		}
	}
}

// Drain makes the dispatcher refuse new requests with the outcome NotRun. Accepted
// requests continue to their end.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// shardOf returns the shard of a group, nil if the group isn't configured.
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

// allShards returns the shards sorted by group name.
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

// checkAccepting returns the error for a request that arrives while the dispatcher
// drains, or whose group isn't configured (s is nil).
func (d *Dispatcher) checkAccepting(s *shard) *Error {
	if d.draining.Load() {
		return &Error{Outcome: outcome.NotRun, Reason: ReasonDraining, RetryAfter: retryAfterDraining}
	}
	if s == nil {
		return &Error{Outcome: outcome.NotRun, Reason: ReasonNoUpstream, RetryAfter: retryAfterNoUpstream}
	}
	return nil
}

// signalUrgentDigest asks for a digest to be sent to the peers at once.
func (d *Dispatcher) signalUrgentDigest() {
	select {
	case d.urgentDigest <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that receives a value when a digest should be sent to the
// peers at once.
func (d *Dispatcher) Urgent() <-chan struct{} { return d.urgentDigest }

func (d *Dispatcher) recordEvent(kind string, id ident.RequestID, team ident.Team, upstreamName ident.Upstream, detail string) {
	if d.options.Recorder != nil {
		d.options.Recorder.Record(kind, id, team, upstreamName, detail)
	}
}
