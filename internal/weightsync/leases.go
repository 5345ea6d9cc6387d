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
	maxPageRecords = 256         // records in one read
	readSlack      = time.Second // a read may take this long beyond PollWait; after that, the connection counts as silent
	readBackoffMin = 100 * time.Millisecond
	readBackoffMax = 2 * time.Second
)

// followLeases reads a lease stream from its oldest kept record on, until ctx ends.
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

// readLeases reads one page of a lease stream and applies it.
func (s *Syncer) readLeases(ctx context.Context, stream *leaseStream) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.PollWait+readSlack)
	defer cancel()
	page, err := s.opts.Log.Read(ctx, infra.LeaseStream(stream.dataCentre), stream.nextOffset, maxPageRecords, s.opts.PollWait)
	if errors.Is(err, infra.ErrExpired) && page.First > stream.nextOffset {
		stream.nextOffset = page.First // expired records are older than any lease
		return nil
	}
	if err != nil {
		return err
	}
	s.applyPage(stream, page)
	return nil
}

// applyPage applies the records of a page to the stream's lease table.
func (s *Syncer) applyPage(stream *leaseStream, page infra.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range page.Records {
		if rec.Offset < stream.nextOffset {
			continue
		}
		stream.nextOffset = rec.Offset + 1
		r, err := lease.Decode(rec.Data)
		if err != nil {
			metrics.Counter("lease_records_skipped").Add(1)
			continue
		}
		stream.table.Apply(rec.Offset, r, time.Now())
	}
	metrics.Gauge("leases_held").Set(int64(s.heldCountLocked()))
}

// leaseBatch is a batch of records to append to one stream.
type leaseBatch struct {
	stream  *leaseStream
	records []lease.Record
}

// planLeases returns the records to append now, for the streams without an append in flight.
func (s *Syncer) planLeases(candidates map[ident.DataCentre][]lease.Candidate) []leaseBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batches []leaseBatch
	for _, stream := range s.sortedStreamsLocked() {
		if stream.appending || s.stopped {
			continue
		}
		if records := stream.table.Plan(candidates[stream.dataCentre], time.Now()); len(records) > 0 {
			stream.appending = true
			batches = append(batches, leaseBatch{stream, records})
		}
	}
	return batches
}

// appendLeases appends records. Its result isn't used: a lease counts once its record is read
// back, and a record that isn't is planned again after a third of the lease's duration.
func (s *Syncer) appendLeases(ctx context.Context, b leaseBatch) {
	defer func() {
		s.mu.Lock()
		b.stream.appending = false
		s.mu.Unlock()
	}()
	var data [][]byte
	for _, r := range b.records {
		encoded, err := lease.Encode(r)
		if err != nil {
			s.opts.Logger.Error().Err(err).Msg("failed to encode a lease record")
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

// releaseLeases releases the leases on a graceful stop, so that other daemons can send orders
// at once. If an append fails, they wait until the leases have expired.
func (s *Syncer) releaseLeases(ctx context.Context) {
	var g errgroup.Group
	for _, b := range s.planReleases() {
		g.Go(func() error { s.appendLeases(ctx, b); return nil })
	}
	_ = g.Wait() // the appends return no error
}

// planReleases returns the records that release all leases, and stops the sending of orders.
func (s *Syncer) planReleases() []leaseBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	var batches []leaseBatch
	for _, stream := range s.sortedStreamsLocked() {
		if record, held := stream.table.Release(time.Now()); held {
			batches = append(batches, leaseBatch{stream, []lease.Record{record}})
		}
	}
	return batches
}

// leaseCandidates returns the engines of the groups as candidates for leases, by data centre.
// It omits engines that are leaving, and data centres whose leases this daemon doesn't follow.
func (s *Syncer) leaseCandidates(groups map[string][]EngineState) map[ident.DataCentre][]lease.Candidate {
	listed := map[ident.Upstream]bool{}
	candidates := map[ident.DataCentre][]lease.Candidate{}
	for _, group := range sortedKeys(groups) {
		for _, e := range groups[group] {
			if listed[e.Name] || e.Leaving || !s.opts.Owners.Follows(e.DataCentre) {
				continue
			}
			listed[e.Name] = true
			owner := s.opts.Owners.Owns(e.Name, e.DataCentre)
			candidates[e.DataCentre] = append(candidates[e.DataCentre], lease.Candidate{Upstream: e.Name, Owner: owner})
		}
	}
	return candidates
}
