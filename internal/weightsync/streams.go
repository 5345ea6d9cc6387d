package weightsync

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/lease"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// streamLinger is how long a stream is followed after this daemon last needed it, since the
// membership may change back.
const streamLinger = time.Minute

// leaseStream holds the leases on the engines of one data centre. All leases on an engine are
// in the stream of its data centre. Its fencing tokens, which are offsets in that stream,
// therefore only grow. The configuration doesn't allow an existing upstream to move to another
// data centre; see package config.
//
// It is safe to follow a stream anew with an empty table: the stream is read from the oldest
// record that the log keeps, and a claim that is appended meanwhile counts only once it is
// read back, after the records of all earlier holders.
type leaseStream struct {
	dataCentre ident.DataCentre
	table      *lease.Table
	nextOffset ident.Offset       // of the next record to read
	appending  bool               // an append is in flight; there is one at a time
	lastNeeded time.Time          // when this daemon last needed the stream
	stop       context.CancelFunc // stops following the stream
}

// updateStreams starts following the streams that this daemon needs, and stops following those
// that it hasn't needed for some time.
func (s *Syncer) updateStreams(ctx context.Context, g *errgroup.Group, groups map[string][]EngineState) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for dc := range dataCentresOf(groups) {
		if !s.opts.Owners.Follows(dc) {
			continue
		}
		if s.streams[dc] == nil {
			s.streams[dc] = s.startStream(ctx, g, dc)
		}
		s.streams[dc].lastNeeded = now
	}
	for dc, stream := range s.streams {
		if now.Sub(stream.lastNeeded) > streamLinger {
			stream.stop()
			delete(s.streams, dc)
		}
	}
}

// dataCentresOf returns the data centres of the engines.
func dataCentresOf(groups map[string][]EngineState) map[ident.DataCentre]bool {
	all := map[ident.DataCentre]bool{}
	for _, engines := range groups {
		for _, e := range engines {
			all[e.DataCentre] = true
		}
	}
	return all
}

// startStream starts following the stream of a data centre.
func (s *Syncer) startStream(ctx context.Context, g *errgroup.Group, dc ident.DataCentre) *leaseStream {
	ctx, stop := context.WithCancel(ctx)
	stream := &leaseStream{
		dataCentre: dc,
		nextOffset: 1,
		stop:       stop,
		table: lease.NewTable(lease.Options{
			Self:              s.opts.Self,
			Nonce:             newNonce(),
			Duration:          s.opts.LeaseDuration,
			OrderStartTimeout: s.opts.OrderStartTimeout,
			TransitMargin:     s.opts.TransitMargin,
		}),
	}
	g.Go(func() error {
		defer stop()
		if s.opts.StartJitter > 0 {
			pause.For(ctx, rand.N(s.opts.StartJitter))
		}
		return s.followLeases(ctx, stream)
	})
	return stream
}

// sortedStreamsLocked returns the streams, sorted by data centre. s.mu must be held.
func (s *Syncer) sortedStreamsLocked() []*leaseStream {
	var list []*leaseStream
	for _, dc := range slices.Sorted(maps.Keys(s.streams)) {
		list = append(list, s.streams[dc])
	}
	return list
}

// heldCountLocked returns the number of leases held. s.mu must be held.
func (s *Syncer) heldCountLocked() (n int) {
	for _, stream := range s.streams {
		n += len(stream.table.Held())
	}
	return n
}
