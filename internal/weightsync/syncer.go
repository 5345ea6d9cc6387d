// Package weightsync brings published weight versions to the engines. It polls the weight
// store, holds leases on engines through the lease streams of the log, one per data centre,
// and sends load and switch orders. Package weights decides which orders are due, and package
// lease whether an order may be sent.
//
// While the log is down, engines that check fencing tokens still get orders, with the highest
// token known. The other engines get none once the lease has expired, and keep serving their
// old version. While the weight store is down, this daemon learns of newer versions only from
// its peers; see OfferNewest.
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

// plannerKey identifies a planner, which plans for one model on one group.
type plannerKey struct {
	model ident.Model
	group string
}

// Syncer runs the planners and the lease tables.
type Syncer struct {
	opts Options

	mu        sync.Mutex
	newest    map[ident.Model]ident.Version              // newest published versions known
	intervals map[ident.Model]*weights.IntervalEstimator // between publications
	expected  expectedVersions                           // named by trainers
	planners  map[plannerKey]*weights.Planner
	streams   map[ident.DataCentre]*leaseStream
	stopped   bool // leases are released and no order is sent any more
}

// New returns a syncer. The caller starts Run.
func New(opts Options) *Syncer {
	opts = opts.withDefaults()
	return &Syncer{
		opts:      opts,
		newest:    map[ident.Model]ident.Version{},
		intervals: map[ident.Model]*weights.IntervalEstimator{},
		expected:  newExpectedVersions(),
		planners:  map[plannerKey]*weights.Planner{},
		streams:   map[ident.DataCentre]*leaseStream{},
	}
}

// newNonce returns a random nonce. A daemon that was restarted, or that follows a stream anew,
// must not take the lease of its earlier nonce for its own, since it doesn't know when that
// lease began.
func newNonce() string {
	var b [12]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Run polls the weight store, follows the lease streams and sends orders until ctx ends. Then
// it releases the leases.
func (s *Syncer) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.pollLoop(gctx) })
	g.Go(func() error { return s.reconcileLoop(gctx, g) })
	err := g.Wait()
	s.releaseLeases(context.WithoutCancel(ctx))
	return err
}

// NewestPublished returns the newest version of a model that this daemon knows to be
// published, 0 if there is none. It only grows.
func (s *Syncer) NewestPublished(model ident.Model) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[model]
}

// Newest returns the newest known published version of each model, for peers.
func (s *Syncer) Newest() map[ident.Model]ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[ident.Model]ident.Version, len(s.newest))
	for model, v := range s.newest {
		all[model] = v
	}
	return all
}

// OfferNewest records a version that a peer knows to be published. Trainers aren't trusted
// with that; see Expect.
func (s *Syncer) OfferNewest(model ident.Model, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v <= s.newest[model] {
		return
	}
	s.newest[model] = v
	s.intervalEstimator(model).Observe(v, time.Now())
	s.opts.Logger.Info().Str("model", string(model)).Int64("version", int64(v)).Msg("newer weight version published")
}

// intervalEstimator returns the estimator of a model, which it creates if there is none. s.mu
// must be held.
func (s *Syncer) intervalEstimator(model ident.Model) *weights.IntervalEstimator {
	i, ok := s.intervals[model]
	if !ok {
		i = &weights.IntervalEstimator{}
		s.intervals[model] = i
	}
	return i
}
