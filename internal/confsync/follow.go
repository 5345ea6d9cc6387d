package confsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// Follow reads the log until the context ends.
func (s *Store) Follow(ctx context.Context) {
	readBackoff := backoff{base: s.options.BackoffBase, max: s.options.BackoffMax, random: s.options.Random}
	snapshots := snapshotWriter{store: s}
	// Daemons that start at the same time, as after the outage of a data centre, would
	// otherwise all read the whole stream at once.
	pause.For(ctx, time.Duration(s.options.Random()*float64(s.options.StartJitter)))
	logUp := true
	for ctx.Err() == nil {
		began := s.options.Now()
		progress, err := s.readOnce(ctx, s.options.ReadWait)
		if ctx.Err() != nil {
			return
		}
		if logUp != (err == nil) {
			logUp = err == nil
			s.logger.Warn().Bool("up", logUp).AnErr("cause", err).Msg("availability of the configuration log changed")
		}
		if err != nil {
			pause.For(ctx, readBackoff.next())
			continue
		}
		readBackoff.reset()
		snapshots.writeIfDue(ctx)
		if !progress {
			s.pauseAfterEmptyRead(ctx, began)
		}
	}
}

// pauseAfterEmptyRead prevents a tight loop of reads if the log answers empty reads
// without waiting. began is when the read began.
func (s *Store) pauseAfterEmptyRead(ctx context.Context, began time.Time) {
	if left := s.options.BackoffBase - s.options.Now().Sub(began); left > 0 {
		pause.For(ctx, left)
	}
}

// readOnce reads one page and applies it. It reports whether the next offset advanced.
//
// A connection can stop responding permanently while new ones work, so that a read
// neither returns nor fails. The client-side deadline covers that.
func (s *Store) readOnce(ctx context.Context, wait time.Duration) (progress bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.options.ReadGrace)
	defer cancel()
	from := s.nextOffset()
	countReads.Add(1)
	page, err := s.log.Read(ctx, infra.StreamConfig, from, maxPageRecords, wait)
	switch {
	case err == nil:
	case errors.Is(err, infra.ErrExpired) && page.First > from:
		countReadsExpired.Add(1)
		page.Records = nil
	default:
		countReadFailures.Add(1)
		return false, fmt.Errorf("%w: %w", ErrLogUnavailable, err)
	}
	s.applyPage(toConfigPage(page))
	return s.nextOffset() > from, nil
}

func (s *Store) nextOffset() ident.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.Next()
}

// catchUp reads to the log's current end. Errors: ErrLogUnavailable,
// ErrRecordsMissing.
func (s *Store) catchUp(ctx context.Context) error {
	for {
		progress, err := s.readOnce(ctx, 0)
		if err != nil {
			return err
		}
		if s.CaughtUp() {
			return nil
		}
		if !progress {
			return ErrRecordsMissing
		}
	}
}

func toConfigPage(page infra.Page) config.Page {
	out := config.Page{First: page.First, Next: page.Next, Records: make([]config.RawRecord, len(page.Records))}
	for i, record := range page.Records {
		out.Records[i] = config.RawRecord(record)
	}
	return out
}
