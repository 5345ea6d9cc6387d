// Package weightsync brings published weight versions to the engines. It polls
// the weight store, holds leases on engines through the log's streams of leases,
// one a data centre, and sends load and switch orders. What to order is decided by package weights,
// whether an order may be sent by package lease.
//
// While the log is down, engines that check fencing numbers still get orders with
// the highest number known; the others get none once the lease has run out and
// serve their old version. While the weight store is down, nothing newer is
// published to us, and peers may know more: see OfferNewest.
package weightsync

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/weights"
)

// planKey names a planner: a model on a group.
type planKey struct {
	model ident.Model
	group string
}

// Syncer is the runtime around the planners and the lease table.
type Syncer struct {
	opts Options

	mu        sync.Mutex
	newest    map[ident.Model]ident.Version
	intervals map[ident.Model]*weights.Interval
	expected  expectations
	planners  map[planKey]*weights.Planner
	streams   map[ident.DataCentre]*leaseStream
	closing   bool // no order is sent any more
}

// New returns a syncer; the caller starts Run.
func New(opts Options) *Syncer {
	opts = opts.withDefaults()
	return &Syncer{
		opts:      opts,
		newest:    map[ident.Model]ident.Version{},
		intervals: map[ident.Model]*weights.Interval{},
		expected:  newExpectations(),
		planners:  map[planKey]*weights.Planner{},
		streams:   map[ident.DataCentre]*leaseStream{},
	}
}

// newNonce is random: a restarted daemon, or one that follows a stream anew, must not take its predecessor's lease
// for its own, whose start it doesn't know.
func newNonce() string {
	var b [12]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Run polls, follows the leases and orders until ctx ends, and then gives up the leases.
func (s *Syncer) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.pollLoop(gctx) })
	g.Go(func() error { return s.stepLoop(gctx, g) })
	err := g.Wait()
	s.releaseLeases(context.WithoutCancel(ctx))
	return err
}

// NewestPublished returns the newest version of a model that this daemon knows
// to be published, 0 for none. It only grows.
func (s *Syncer) NewestPublished(model ident.Model) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[model]
}

// Newest returns NewestPublished of all models, for peers.
func (s *Syncer) Newest() map[ident.Model]ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[ident.Model]ident.Version, len(s.newest))
	for model, v := range s.newest {
		all[model] = v
	}
	return all
}

// OfferNewest takes a version that a peer knows to be published. A trainer's word
// isn't enough, see Expect.
func (s *Syncer) OfferNewest(model ident.Model, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v <= s.newest[model] {
		return
	}
	s.newest[model] = v
	s.interval(model).Observe(v, time.Now())
	s.opts.Logger.Info().Str("model", string(model)).Int64("version", int64(v)).Msg("newer weights published")
}

func (s *Syncer) interval(model ident.Model) *weights.Interval {
	i, ok := s.intervals[model]
	if !ok {
		i = &weights.Interval{}
		s.intervals[model] = i
	}
	return i
}
