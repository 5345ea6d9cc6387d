package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// Topics of the shared log, and the group that divides their partitions.
const (
	batchTopic           = "batches"                        // records of batches, followed by the partition's owner
	textTopic            = "texts"                          // blobs that these records refer to
	claimsTopic          = "claims"                         // claims on engines and duties, and delegated loads, followed by owners
	modelPartitionsTopic = store.KeyedTopicPrefix + "homes" // partition of each model, followed by every daemon
	ownersGroup          = "batch-owners"
)

// Errors of a Service's calls.
var (
	// ErrNotRun means that the batch was not accepted, and never will be by this call.
	ErrNotRun = errors.New("batchrun: not accepted")
	// ErrUnknown means that the outcome is unknown: the call may take effect later.
	ErrUnknown = errors.New("batchrun: outcome unknown")
	// ErrTooLarge means that the batch exceeds the store's limits.
	ErrTooLarge = errors.New("batchrun: batch too large")
	// ErrNotFound means that certainly no such batch or sample was accepted.
	ErrNotFound = errors.New("batchrun: no such batch")
	// ErrUnsure means that this daemon's view may not be up to date.
	ErrUnsure = errors.New("batchrun: view not up to date")
)

// Options of a Service.
type Options struct {
	VM          string // name of this VM
	Log         store.Log
	Membership  store.Membership
	Engines     Engines
	Scorer      Scorer
	View        *fleet.View
	Upstreams   Upstreams        // nil if View always has every upstream
	Suspects    *health.Suspects // shared with all other senders to upstreams
	Policy      Policy
	Small       bool              // this VM owns partitions only while no larger one does
	Partitions  int               // number of partitions of a topic
	RecordBytes int               // size limit of a record
	CallBytes   int               // size limit of an append
	TextMemory  *membudget.Budget // for texts until they are in the log, nil: no bound
	// RequestMemory is for the requests of the open batches of owned partitions, nil: no bound. It
	// must have room for those of the largest batch.
	RequestMemory *membudget.Budget
	// ReaderMemory is for the texts of results that are read, nil: no bound.
	ReaderMemory *membudget.Budget
	MemberTTL    time.Duration // silence after which an owner's partitions are reassigned
	ClaimLease   time.Duration // within which an engine must not get orders of two VMs
	Address      string        // ip:port where other daemons' Peers reach this one, "" for none
	Peers        Peers
	Now          func() time.Duration // a clock that keeps running while the VM is suspended
	Logger       zerolog.Logger
}

// Upstreams lets a Service request that View has every upstream, not only those that calls
// go to.
type Upstreams interface {
	// Hold has all upstreams read until release is called.
	Hold() (release func())
	// Loaded reports whether all upstreams are known.
	Loaded() bool
}

// Service accepts trainers' batches and answers calls about them. It is safe for concurrent
// use.
type Service struct {
	options         Options
	partitions      []*partition
	blobs           *blobCache
	texts           *textMemory
	loader          *loader
	modelPartitions *modelPartitions
	owner           *owner
	directory       *directory
	allocator       *engineAllocator
}

// New returns a Service that hasn't read anything yet.
func New(o Options) *Service {
	s := &Service{options: o, blobs: newBlobCache(o.Log, o.Partitions), texts: newTextMemory(o.TextMemory)}
	for n := range o.Partitions {
		s.partitions = append(s.partitions, newPartition(n, o))
	}
	s.loader = newLoader(o)
	s.modelPartitions = newModelPartitions(o)
	s.owner = newOwner(s)
	s.loader.ownsNothing = s.owner.ownsNothing
	s.directory = newDirectory(o.Membership)
	s.allocator = newEngineAllocator(o.View)
	return s
}

// Run keeps this daemon in the owners group, and runs the batches of the partitions that it
// owns, until the context ends.
func (s *Service) Run(ctx context.Context) {
	var g errgroup.Group
	for _, p := range s.partitions {
		g.Go(func() error { p.follower.Run(ctx); return nil })
	}
	g.Go(func() error { s.modelPartitions.follower.Run(ctx); return nil })
	g.Go(func() error { s.loader.follower.Run(ctx); return nil })
	g.Go(func() error { s.owner.run(ctx); return nil })
	g.Go(func() error { s.discardOld(ctx); return nil })
	_ = g.Wait() // none of them returns an error
}

// Claim claims a duty for this VM, as an engine is claimed before an order. Other VMs can't
// claim it until calls made under the permit can no longer arrive.
func (s *Service) Claim(ctx context.Context, duty string) (loads.Permit, error) {
	return s.loader.claimer.claim(ctx, duty)
}

// BlockedFor returns for how long another VM's claim still keeps this VM from claiming a duty, 0
// if none does.
func (s *Service) BlockedFor(duty string) time.Duration { return s.loader.claimBlockedFor(duty) }

// Demand returns the number of samples in a batch by model, for the models where it is known.
func (s *Service) Demand() map[string]int { return s.modelPartitions.demand() }

// Drain hands the owned partitions over to other daemons.
func (s *Service) Drain(ctx context.Context) { s.owner.drain(ctx) }

const (
	// batchKeepTime is how long a batch is kept after its record was read: its results must
	// be readable for two minutes after submission.
	batchKeepTime   = 150 * time.Second
	discardInterval = 10 * time.Second
)

// discardOld regularly drops old batches and claims.
func (s *Service) discardOld(ctx context.Context) {
	pause.Every(ctx, discardInterval, func() {
		for _, p := range s.partitions {
			p.mu.Lock()
			p.state.Forget(s.options.Now() - batchKeepTime)
			p.mu.Unlock()
		}
		s.loader.discardOldClaims()
	})
}

// Lag returns the largest lag of the views that this daemon needs.
func (s *Service) Lag() time.Duration {
	largest := s.modelPartitions.follower.Lag()
	if s.loader.follower.InUse() && s.loader.follower.Loaded() {
		largest = max(largest, s.loader.follower.Lag())
	}
	for _, p := range s.partitions {
		if p.follower.InUse() && p.follower.Loaded() {
			largest = max(largest, p.follower.Lag())
		}
	}
	return largest
}

// Loaded reports whether the models' partitions are known, so that any call about a batch can
// be answered or forwarded.
func (s *Service) Loaded() bool { return s.modelPartitions.follower.Loaded() }

// partitionForModel returns a model's partition, nil if none is assigned. It is the same for
// all batches of the model, so that one daemon runs them, and samples that come again find
// their earlier text.
func (s *Service) partitionForModel(model string) *partition {
	part, ok := s.modelPartitions.lookup(model)
	if !ok {
		return nil
	}
	return s.partitions[part]
}

// partitionForBatch returns the partition that a known batch is in, nil if it isn't known.
func (s *Service) partitionForBatch(id string) *partition {
	for _, p := range s.partitions {
		if p.hasBatch(id) {
			return p
		}
	}
	return nil
}
