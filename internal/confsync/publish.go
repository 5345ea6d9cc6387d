package confsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Publish appends a change to the log and returns the verdict on it once the change
// has been read back. A successful append isn't enough, since another change may
// precede it in the log. A change that the newest state rejects isn't appended.
// Error: *PublishError.
//
// If the response to an append is lost, Publish looks for the change in the log until
// the context ends, and appends it again with the same ID only while it is absent.
// The change can't be applied twice, because a known ID is ignored.
func (s *Store) Publish(ctx context.Context, change config.Change) (config.Verdict, error) {
	data, err := config.EncodeRecord(config.Record{Change: &change})
	if err != nil {
		return config.Verdict{}, &PublishError{Outcome: outcome.NotRun, Err: err}
	}
	if err := s.catchUp(ctx); err != nil {
		return config.Verdict{}, s.notRunError(err)
	}
	if verdict, known := s.knownVerdict(change); known {
		return verdict, nil
	}
	p := publisher{store: s, changeID: change.ID, data: data}
	return p.run(ctx)
}

// knownVerdict returns the verdict on a change if it is known without an append: the
// change was published before, or the current state rejects it.
func (s *Store) knownVerdict(change config.Change) (config.Verdict, bool) {
	state := s.Current()
	if verdict, ok := state.Verdict(change.ID); ok {
		return verdict, true
	}
	err := state.Check(change)
	if err == nil {
		return config.Verdict{}, false
	}
	verdict := config.Verdict{ChangeID: change.ID, Version: state.BranchVersion(change.Branch), Reason: err.Error()}
	var invalid *config.Error
	if errors.As(err, &invalid) {
		verdict.Path, verdict.Reason = invalid.Path, invalid.Detail()
	}
	return verdict, true
}

func (s *Store) notRunError(err error) *PublishError {
	return &PublishError{Outcome: outcome.NotRun, RetryAfter: s.options.RetryAfter, Err: err}
}

// publisher appends one encoded change or restore and waits for its verdict.
type publisher struct {
	store    *Store
	changeID string
	data     []byte
	// maybeAppended is set by the first append that may have taken effect and never
	// reset: from then on the outcome can't be NotRun.
	maybeAppended bool
}

func (p *publisher) run(ctx context.Context) (config.Verdict, error) {
	for {
		err := p.append(ctx)
		if err != nil && !p.maybeAppended {
			return config.Verdict{}, p.store.notRunError(err)
		}
		verdict, found := p.awaitVerdict(ctx)
		if found {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, &PublishError{Outcome: outcome.Unknown, Err: ctx.Err()}
		}
	}
}

// append appends the record once. It returns nil if the record is in the log.
func (p *publisher) append(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.store.options.AppendTimeout)
	defer cancel()
	countAppends.Add(1)
	_, err := p.store.log.Append(ctx, infra.StreamConfig, [][]byte{p.data})
	if errors.Is(err, infra.ErrUnavailable) {
		return fmt.Errorf("%w: %w", ErrLogUnavailable, err)
	}
	p.maybeAppended = true
	if err != nil {
		countAppendsUnknown.Add(1)
	}
	return err
}

// awaitVerdict waits for the verdict. It returns false if the context ends, or if the
// change is still absent after ReappendAfter from a log that could be read to its end.
// A failed read doesn't show that the change is absent, so it keeps waiting then.
func (p *publisher) awaitVerdict(ctx context.Context) (config.Verdict, bool) {
	for {
		if verdict, ok := p.awaitVerdictFor(ctx, p.store.options.ReappendAfter); ok {
			return verdict, true
		}
		if ctx.Err() != nil {
			return config.Verdict{}, false
		}
		if p.store.catchUp(ctx) == nil {
			return p.store.Current().Verdict(p.changeID)
		}
	}
}

// awaitVerdictFor waits for the verdict at most for d.
func (p *publisher) awaitVerdictFor(ctx context.Context, d time.Duration) (config.Verdict, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		changed := p.store.Changed()
		if verdict, ok := p.store.Current().Verdict(p.changeID); ok {
			return verdict, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return config.Verdict{}, false
		case <-ctx.Done():
			return config.Verdict{}, false
		}
	}
}
