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

// ErrNotBehind says that this daemon has a configuration that changes can be
// made to, so that there is nothing to restore.
var ErrNotBehind = errors.New("this daemon's configuration is whole; publish changes to it instead of restoring another")

// recheck is the pause between two looks at the log.
const recheck = 100 * time.Millisecond

// Restore starts the configuration anew from a whole tree; see config.Restore. It
// asks first, through the log, whether a daemon still holds the configuration,
// and waits for its snapshot. The verdict is a rejection when another record came
// first. Error: *PublishError, of ErrNotBehind when nothing is lost, or when a
// daemon answered.
//
// Sending it again is safe in any case: once a restore is in force this refuses.
func (s *Store) Restore(ctx context.Context, r config.Restore) (config.Verdict, error) {
	r.Offset = 1 // stands in until the log's next one is known
	if err := r.Check(); err != nil {
		return config.Verdict{}, &PublishError{Outcome: outcome.NotRun, Err: err}
	}
	if err := s.mustBeBehind(ctx); err != nil {
		return config.Verdict{}, err
	}
	if err := s.ask(ctx, r.ID); err != nil {
		return config.Verdict{}, s.notRun(err)
	}
	s.awaitAnswer(ctx)
	if err := s.mustBeBehind(ctx); err != nil {
		return config.Verdict{}, err
	}
	r.Offset = s.next()
	data, err := config.EncodeRecord(config.Record{Restore: &r})
	if err != nil {
		return config.Verdict{}, &PublishError{Outcome: outcome.NotRun, Err: err}
	}
	p := publication{store: s, changeID: r.ID, data: data}
	return p.runRestore(ctx, r)
}

// mustBeBehind reads to the log's end and wants the gap to be there still. It
// fails with a *PublishError.
func (s *Store) mustBeBehind(ctx context.Context) error {
	err := s.catchUp(ctx)
	switch {
	case err == nil:
		return &PublishError{Outcome: outcome.NotRun, Err: ErrNotBehind}
	case errors.Is(err, ErrBehind):
		return nil
	default:
		return s.notRun(err)
	}
}

// ask appends the question. One whose answer was lost may stand there or not; if
// it doesn't, nobody answers, as if nobody held the configuration. So it counts
// as a failure.
func (s *Store) ask(ctx context.Context, id string) error {
	data, err := config.EncodeRecord(config.Record{SnapshotRequest: &config.SnapshotRequest{ID: id}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.AppendTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, infra.StreamConfig, [][]byte{data})
	return err
}

// awaitAnswer waits until a snapshot or a peer's state filled the gap, or for as
// long as a snapshot's writer may take.
func (s *Store) awaitAnswer(ctx context.Context) {
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

// runRestore appends the restore until the log's record at its offset is known.
// Appending it again is harmless: at any other offset it is void.
func (p *publication) runRestore(ctx context.Context, r config.Restore) (config.Verdict, error) {
	for {
		err := p.append(ctx)
		if err != nil && !p.maybeAppended {
			return config.Verdict{}, p.store.notRun(err)
		}
		if verdict, decided := p.awaitRestore(ctx, r); decided {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, &PublishError{Outcome: outcome.Unknown, Err: ctx.Err()}
		}
	}
}

// awaitRestore looks for what stands at the restore's offset. It gives up when
// the context ends, or when the offset stayed empty for a while.
func (p *publication) awaitRestore(ctx context.Context, r config.Restore) (config.Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, p.store.options.ReappendAfter)
	defer cancel()
	for ctx.Err() == nil {
		err := p.store.catchUp(ctx)
		if (err == nil || errors.Is(err, ErrBehind)) && p.store.next() > r.Offset {
			return p.store.verdictOnRestore(r), true
		}
		pause.For(ctx, recheck)
	}
	return config.Verdict{}, false
}

func (s *Store) verdictOnRestore(r config.Restore) config.Verdict {
	state := s.Current()
	if verdict, ok := state.Verdict(r.ID); ok {
		return verdict
	}
	return config.Verdict{
		ChangeID: r.ID, Version: state.Version(), Path: "restore",
		Reason: "another record came first in the log; look at what is in force now",
	}
}
