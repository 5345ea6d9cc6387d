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
	failures := backoff{base: s.options.BackoffBase, max: s.options.BackoffMax, random: s.options.Random}
	snapshots := snapshotWriter{store: s}
	// The daemons of a data centre that come back together would read the whole
	// retained stream in one moment.
	pause.For(ctx, time.Duration(s.options.Random()*float64(s.options.StartSpread)))
	up := true
	for ctx.Err() == nil {
		began := s.options.Now()
		progress, err := s.readOnce(ctx, s.options.ReadWait)
		if ctx.Err() != nil {
			return
		}
		if up != (err == nil) {
			up = err == nil
			s.logger.Warn().Bool("up", up).AnErr("cause", err).Msg("configuration log")
		}
		if err != nil {
			pause.For(ctx, failures.next())
			continue
		}
		failures.reset()
		snapshots.check(ctx)
		if !progress {
			s.pauseAfterEmptyRead(ctx, began)
		}
	}
}

// pauseAfterEmptyRead keeps a log that answers without waiting from being asked
// in a tight loop.
func (s *Store) pauseAfterEmptyRead(ctx context.Context, began time.Time) {
	if left := s.options.BackoffBase - s.options.Now().Sub(began); left > 0 {
		pause.For(ctx, left)
	}
}

// readOnce reads one page and folds it in. It returns whether the reader moved.
//
// A connection can go silent for good while new ones work: the read then neither
// answers nor fails. Hence the deadline on our side.
func (s *Store) readOnce(ctx context.Context, wait time.Duration) (progress bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.options.ReadGrace)
	defer cancel()
	from := s.next()
	countReads.Add(1)
	page, err := s.log.Read(ctx, infra.StreamConfig, from, pageLimit, wait)
	switch {
	case err == nil:
	case errors.Is(err, infra.ErrExpired) && page.First > from:
		countExpired.Add(1)
		page.Records = nil
	default:
		countReadFailures.Add(1)
		return false, fmt.Errorf("%w: %w", ErrLogUnavailable, err)
	}
	s.step(toConfigPage(page))
	return s.next() > from, nil
}

func (s *Store) next() ident.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.Next()
}

// catchUp reads to the log's present end. Errors: ErrLogUnavailable, ErrBehind.
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
			return ErrBehind
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
