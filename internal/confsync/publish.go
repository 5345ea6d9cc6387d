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

// Publish brings a change into the log and returns the fold's verdict on it,
// once it is read back: an append's answer alone accepts nothing, since another
// change may stand before it. A change that the newest state refuses isn't
// appended. Error: *PublishError.
//
// Until the context ends, an answer that was lost is made up for: the change is
// looked for in the log, and appended again under its ID only while it is absent.
// That can't apply it twice, since the fold ignores an ID that it has seen.
func (s *Store) Publish(ctx context.Context, change config.Change) (config.Verdict, error) {
	data, err := config.EncodeRecord(config.Record{Change: &change})
	if err != nil {
		return config.Verdict{}, &PublishError{Outcome: outcome.NotRun, Err: err}
	}
	if err := s.catchUp(ctx); err != nil {
		return config.Verdict{}, s.notRun(err)
	}
	if verdict, known := s.refusal(change); known {
		return verdict, nil
	}
	p := publication{store: s, changeID: change.ID, data: data}
	return p.run(ctx)
}

// refusal returns the verdict that is known before the change is appended.
func (s *Store) refusal(change config.Change) (config.Verdict, bool) {
	state := s.Current()
	if verdict, ok := state.Verdict(change.ID); ok {
		return verdict, true
	}
	err := state.Check(change)
	if err == nil {
		return config.Verdict{}, false
	}
	verdict := config.Verdict{ChangeID: change.ID, Version: state.BranchVersion(change.Branch), Reason: err.Error()}
	var fault *config.Error
	if errors.As(err, &fault) {
		verdict.Path, verdict.Reason = fault.Path, fault.Detail()
	}
	return verdict, true
}

func (s *Store) notRun(err error) *PublishError {
	return &PublishError{Outcome: outcome.NotRun, RetryAfter: s.options.RetryAfter, Err: err}
}

// publication is one change on its way through the log.
type publication struct {
	store    *Store
	changeID string
	data     []byte
	// maybeAppended is set for good by the first append that may have had an
	// effect: from then on "not run" can't be said.
	maybeAppended bool
}

func (p *publication) run(ctx context.Context) (config.Verdict, error) {
	for {
		err := p.append(ctx)
		if err != nil && !p.maybeAppended {
			return config.Verdict{}, p.store.notRun(err)
		}
		verdict, found := p.await(ctx)
		if found {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, &PublishError{Outcome: outcome.Unknown, Err: ctx.Err()}
		}
	}
}

// append returns nil when the change is in the log.
func (p *publication) append(ctx context.Context) error {
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

// await waits for the verdict. It returns without one when the context ends, or
// when the change was absent for a while from a log that can be read. A read that
// fails proves nothing, so then it waits on.
func (p *publication) await(ctx context.Context) (config.Verdict, bool) {
	for {
		if verdict, ok := p.awaitFor(ctx, p.store.options.ReappendAfter); ok {
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

func (p *publication) awaitFor(ctx context.Context, d time.Duration) (config.Verdict, bool) {
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
