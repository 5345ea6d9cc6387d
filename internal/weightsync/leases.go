package weightsync

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/lease"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/platform"
)

const (
	readLimit      = 256
	readSlack      = time.Second // beyond PollWait, then the connection counts as silent
	readBackoffMin = 100 * time.Millisecond
	readBackoffMax = 2 * time.Second
)

// followLeases reads the leases stream from its oldest kept record on.
func (s *Syncer) followLeases(ctx context.Context) error {
	backoff := readBackoffMin
	for ctx.Err() == nil {
		if err := s.readLeases(ctx); err != nil {
			metrics.Counter("lease_read_failures").Add(1)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, readBackoffMax)
			continue
		}
		backoff = readBackoffMin
	}
	return nil
}

func (s *Syncer) readLeases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.PollWait+readSlack)
	defer cancel()
	page, err := s.opts.Log.Read(ctx, platform.StreamLeases, s.next, readLimit, s.opts.PollWait)
	if errors.Is(err, platform.ErrExpired) && page.First > s.next {
		s.next = page.First // what expired is older than any lease
		return nil
	}
	if err != nil {
		return err
	}
	s.foldLeases(page)
	return nil
}

func (s *Syncer) foldLeases(page platform.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range page.Records {
		if rec.Offset < s.next {
			continue
		}
		s.next = rec.Offset + 1
		r, err := lease.Decode(rec.Data)
		if err != nil {
			metrics.Counter("lease_records_skipped").Add(1)
			continue
		}
		s.leases.Read(rec.Offset, r, time.Now())
	}
	metrics.Gauge("leases_held").Set(int64(len(s.leases.Held())))
}

// planLeases returns the records to append now, unless an append is under way.
func (s *Syncer) planLeases(wants []lease.Want) []lease.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appending || s.closing {
		return nil
	}
	records := s.leases.Plan(wants, time.Now())
	s.appending = len(records) > 0
	return records
}

// appendLeases writes records. Its result decides nothing: a lease counts once
// read back, and Plan asks again after a third of its duration.
func (s *Syncer) appendLeases(ctx context.Context, records []lease.Record) {
	defer func() {
		s.mu.Lock()
		s.appending = false
		s.mu.Unlock()
	}()
	var data [][]byte
	for _, r := range records {
		encoded, err := lease.Encode(r)
		if err != nil {
			s.opts.Logger.Error().Err(err).Msg("lease record not written")
			return
		}
		data = append(data, encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	if _, err := s.opts.Log.Append(ctx, platform.StreamLeases, data); err != nil {
		metrics.Counter("lease_append_failures").Add(1)
	}
}

// releaseLeases lets others order at once after a graceful stop. When the append
// fails, they wait for the lease to run out.
func (s *Syncer) releaseLeases(ctx context.Context) {
	s.mu.Lock()
	s.closing = true
	record, held := s.leases.Release(time.Now())
	s.mu.Unlock()
	if held {
		s.appendLeases(ctx, []lease.Record{record})
	}
}

// wants lists all engines of the targets, with those that this daemon owns.
func (s *Syncer) wants(groups map[string][]EngineState) []lease.Want {
	seen := map[ident.Upstream]bool{}
	var wants []lease.Want
	for _, group := range sortedKeys(groups) {
		for _, e := range groups[group] {
			if seen[e.Name] || e.Leaving {
				continue
			}
			seen[e.Name] = true
			_, self := s.opts.Owners.Owner(string(e.Name))
			wants = append(wants, lease.Want{Upstream: e.Name, Owner: self})
		}
	}
	return wants
}
