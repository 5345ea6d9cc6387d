package confsync

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// ErrNothingToRestore is returned if this daemon isn't missing any records, so that changes
// can be published and there is nothing to restore.
var ErrNothingToRestore = errors.New("this daemon's configuration is complete; publish changes to it instead of restoring another")

// recheckInterval is the pause between two reads of the log.
const recheckInterval = 100 * time.Millisecond

// Restore replaces the whole configuration by a tree; see config.Restore. It first
// appends a snapshot request to the log and waits for the snapshot of a daemon that
// still has the configuration. The verdict is a rejection if another record was
// appended first. Error: *PublishError, which wraps ErrNothingToRestore if no records are
// missing or a snapshot or a peer's state has replaced them.
//
// Repeating a restore is safe: after one has taken effect, further ones are rejected.
func (s *Store) Restore(ctx context.Context, r config.Restore) (config.Verdict, error) {
	r.Offset = 1 // placeholder; the log's next offset isn't known yet
	if err := r.Check(); err != nil {
		return config.Verdict{}, &PublishError{Outcome: outcome.NotRun, Err: err}
	}
	if err := s.requireGap(ctx); err != nil {
		return config.Verdict{}, err
	}
	if err := s.requestSnapshot(ctx, r.ID); err != nil {
		return config.Verdict{}, s.notRunError(err)
	}
	s.awaitSnapshot(ctx)
	if err := s.requireGap(ctx); err != nil {
		return config.Verdict{}, err
	}
	r.Offset = s.nextOffset()
	data, err := config.EncodeRecord(config.Record{Restore: &r})
	if err != nil {
		return config.Verdict{}, &PublishError{Outcome: outcome.NotRun, Err: err}
	}
	p := publisher{store: s, changeID: r.ID, data: data}
	return p.runRestore(ctx, r)
}

// requireGap reads to the log's end and returns nil if this daemon is still missing
// records. Error: *PublishError.
func (s *Store) requireGap(ctx context.Context) error {
	err := s.catchUp(ctx)
	switch {
	case err == nil:
		return &PublishError{Outcome: outcome.NotRun, Err: ErrNothingToRestore}
	case errors.Is(err, ErrRecordsMissing):
		return nil
	default:
		return s.notRunError(err)
	}
}

// requestSnapshot appends a snapshot request. A lost response counts as a failure: if
// the request isn't in the log, no daemon answers it, which would look as if none had
// the configuration.
func (s *Store) requestSnapshot(ctx context.Context, id string) error {
	data, err := config.EncodeRecord(config.Record{SnapshotRequest: &config.SnapshotRequest{ID: id}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.AppendTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, infra.StreamConfig, [][]byte{data})
	return err
}

// awaitSnapshot waits until a snapshot or a peer's state has closed the gap, but no
// longer than a snapshot writer may take.
func (s *Store) awaitSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.SnapshotJitter+s.options.RestoreGrace)
	defer cancel()
	for ctx.Err() == nil {
		changed := s.Changed()
		if s.CaughtUp() {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// runRestore appends the restore until the record at the restore's offset is known.
// Appending it again is harmless: at any other offset it has no effect.
func (p *publisher) runRestore(ctx context.Context, r config.Restore) (config.Verdict, error) {
	for {
		err := p.append(ctx)
		if err != nil && !p.maybeAppended {
			return config.Verdict{}, p.store.notRunError(err)
		}
		if verdict, decided := p.awaitRestoreVerdict(ctx, r); decided {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, &PublishError{Outcome: outcome.Unknown, Err: ctx.Err()}
		}
	}
}

// awaitRestoreVerdict waits for the record at the restore's offset. It returns false if
// the context ends, or if the offset is still unused after ReappendAfter.
func (p *publisher) awaitRestoreVerdict(ctx context.Context, r config.Restore) (config.Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, p.store.options.ReappendAfter)
	defer cancel()
	for ctx.Err() == nil {
		err := p.store.catchUp(ctx)
		if (err == nil || errors.Is(err, ErrRecordsMissing)) && p.store.nextOffset() > r.Offset {
			return p.store.restoreVerdict(r), true
		}
		pause.For(ctx, recheckInterval)
	}
	return config.Verdict{}, false
}

func (s *Store) restoreVerdict(r config.Restore) config.Verdict {
	state := s.Current()
	if verdict, ok := state.Verdict(r.ID); ok {
		return verdict
	}
	return config.Verdict{
		ChangeID: r.ID, Version: state.Version(), Path: "restore",
		Reason: "another record was appended first; check the current configuration",
	}
}
