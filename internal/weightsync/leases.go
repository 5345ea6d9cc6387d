package weightsync

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/lease"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	readLimit      = 256
	readSlack      = time.Second // beyond PollWait, then the connection counts as silent
	readBackoffMin = 100 * time.Millisecond
	readBackoffMax = 2 * time.Second
)

// followLeases reads a leases stream from its oldest kept record on.
func (s *Syncer) followLeases(ctx context.Context, stream *leaseStream) error {
	backoff := readBackoffMin
	for ctx.Err() == nil {
		if err := s.readLeases(ctx, stream); err != nil {
			metrics.Counter("lease_read_failures").Add(1)
			pause.For(ctx, jitter(backoff))
			backoff = min(2*backoff, readBackoffMax)
			continue
		}
		backoff = readBackoffMin
	}
	return nil
}

func (s *Syncer) readLeases(ctx context.Context, stream *leaseStream) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.PollWait+readSlack)
	defer cancel()
	page, err := s.opts.Log.Read(ctx, infra.LeaseStream(stream.dataCentre), stream.next, readLimit, s.opts.PollWait)
	if errors.Is(err, infra.ErrExpired) && page.First > stream.next {
		stream.next = page.First // what expired is older than any lease
		return nil
	}
	if err != nil {
		return err
	}
	s.foldLeases(stream, page)
	return nil
}

func (s *Syncer) foldLeases(stream *leaseStream, page infra.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range page.Records {
		if rec.Offset < stream.next {
			continue
		}
		stream.next = rec.Offset + 1
		r, err := lease.Decode(rec.Data)
		if err != nil {
			metrics.Counter("lease_records_skipped").Add(1)
			continue
		}
		stream.table.Read(rec.Offset, r, time.Now())
	}
	metrics.Gauge("leases_held").Set(int64(s.held()))
}

// batch is records to append to one stream.
type batch struct {
	stream  *leaseStream
	records []lease.Record
}

// planLeases returns the records to append now, of streams without an append under
// way.
func (s *Syncer) planLeases(wants map[ident.DataCentre][]lease.Want) []batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batches []batch
	for _, stream := range s.sortedStreams() {
		if stream.appending || s.closing {
			continue
		}
		if records := stream.table.Plan(wants[stream.dataCentre], time.Now()); len(records) > 0 {
			stream.appending = true
			batches = append(batches, batch{stream, records})
		}
	}
	return batches
}

// appendLeases writes records. Its result decides nothing: a lease counts once
// read back, and Plan asks again after a third of its duration.
func (s *Syncer) appendLeases(ctx context.Context, b batch) {
	defer func() {
		s.mu.Lock()
		b.stream.appending = false
		s.mu.Unlock()
	}()
	var data [][]byte
	for _, r := range b.records {
		encoded, err := lease.Encode(r)
		if err != nil {
			s.opts.Logger.Error().Err(err).Msg("lease record not written")
			return
		}
		data = append(data, encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	if _, err := s.opts.Log.Append(ctx, infra.LeaseStream(b.stream.dataCentre), data); err != nil {
		metrics.Counter("lease_append_failures").Add(1)
	}
}

// releaseLeases lets others order at once after a graceful stop. When the append
// fails, they wait for the lease to run out.
func (s *Syncer) releaseLeases(ctx context.Context) {
	var g errgroup.Group
	for _, b := range s.releases() {
		g.Go(func() error { s.appendLeases(ctx, b); return nil })
	}
	_ = g.Wait() // the appends return no error
}

// releases gives up all leases; no order is sent any more.
func (s *Syncer) releases() []batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	var batches []batch
	for _, stream := range s.sortedStreams() {
		if record, held := stream.table.Release(time.Now()); held {
			batches = append(batches, batch{stream, []lease.Record{record}})
		}
	}
	return batches
}

// wants lists the engines of the targets by data centre, with those that this daemon
// owns. Engines whose leases don't concern it are left out.
func (s *Syncer) wants(groups map[string][]EngineState) map[ident.DataCentre][]lease.Want {
	seen := map[ident.Upstream]bool{}
	wants := map[ident.DataCentre][]lease.Want{}
	for _, group := range sortedKeys(groups) {
		for _, e := range groups[group] {
			if seen[e.Name] || e.Leaving || !s.opts.Owners.Follows(e.DataCentre) {
				continue
			}
			seen[e.Name] = true
			owner := s.opts.Owners.Owns(e.Name, e.DataCentre)
			wants[e.DataCentre] = append(wants[e.DataCentre], lease.Want{Upstream: e.Name, Owner: owner})
		}
	}
	return wants
}
