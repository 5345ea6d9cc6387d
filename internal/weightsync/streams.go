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

// unneededFor is how long a stream is still followed after it stopped to concern
// this daemon: membership may come and go.
const unneededFor = time.Minute

// leaseStream is the leases on one data centre's engines. An engine's leases all
// stand in the stream of its data centre, so that its fencing numbers, which are
// offsets there, only grow. The configuration refuses another data centre for an
// upstream that it has; see package config.
//
// A stream that is followed anew, with a table that knows nothing, is safe: it is
// read from its oldest kept record on, and a claim appended meanwhile counts only
// when it is read back, behind all earlier holders' records.
type leaseStream struct {
	dataCentre ident.DataCentre
	table      *lease.Table
	next       ident.Offset // next record to read
	appending  bool         // one append at a time
	needed     time.Time    // last time it concerned this daemon
	stop       context.CancelFunc
}

// followNeeded starts to follow the streams that concern this daemon, and leaves
// those that haven't for a while.
func (s *Syncer) followNeeded(ctx context.Context, g *errgroup.Group, groups map[string][]EngineState) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for dc := range centres(groups) {
		if !s.opts.Owners.Follows(dc) {
			continue
		}
		if s.streams[dc] == nil {
			s.streams[dc] = s.follow(ctx, g, dc)
		}
		s.streams[dc].needed = now
	}
	for dc, stream := range s.streams {
		if now.Sub(stream.needed) > unneededFor {
			stream.stop()
			delete(s.streams, dc)
		}
	}
}

// centres returns the data centres of the engines.
func centres(groups map[string][]EngineState) map[ident.DataCentre]bool {
	all := map[ident.DataCentre]bool{}
	for _, engines := range groups {
		for _, e := range engines {
			all[e.DataCentre] = true
		}
	}
	return all
}

func (s *Syncer) follow(ctx context.Context, g *errgroup.Group, dc ident.DataCentre) *leaseStream {
	ctx, stop := context.WithCancel(ctx)
	stream := &leaseStream{
		dataCentre: dc,
		next:       1,
		stop:       stop,
		table: lease.NewTable(lease.Options{
			Self:          s.opts.Self,
			Nonce:         newNonce(),
			Duration:      s.opts.LeaseDuration,
			OrderDeadline: s.opts.OrderDeadline,
			Margin:        s.opts.Margin,
		}),
	}
	g.Go(func() error {
		defer stop()
		if s.opts.StartSpread > 0 {
			pause.For(ctx, rand.N(s.opts.StartSpread))
		}
		return s.followLeases(ctx, stream)
	})
	return stream
}

// sortedStreams returns the streams by data centre. Callers hold s.mu.
func (s *Syncer) sortedStreams() []*leaseStream {
	var list []*leaseStream
	for _, dc := range slices.Sorted(maps.Keys(s.streams)) {
		list = append(list, s.streams[dc])
	}
	return list
}

// held counts the leases held. Callers hold s.mu.
func (s *Syncer) held() (n int) {
	for _, stream := range s.streams {
		n += len(stream.table.Held())
	}
	return n
}
