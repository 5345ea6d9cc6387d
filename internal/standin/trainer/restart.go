package trainer

import (
	"context"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
)

// restartIfDue starts the trainer anew, once a step, when a part of the step
// is held: in its middle, with a pull outstanding whose answer nobody reads.
func (t *Trainer) restartIfDue(ctx context.Context, s *step) error {
	if t.summary.Restarts >= t.options.Restarts || s.restarted || 3*s.have.GetCardinality() < uint64(len(s.prompts)) {
		return nil
	}
	s.restarted = true
	t.summary.Restarts++
	t.abandonPull(ctx, s)
	t.connect()
	if !t.options.KeepCursor {
		t.summary.Samples -= s.taken
		t.summary.Forgotten += s.taken
		s.have, s.taken = roaring.New(), 0
	}
	if err := t.learnNewest(ctx); err != nil {
		return err
	}
	return t.submit(ctx, s)
}

// abandonPull begins a pull and closes its connection before the answer.
func (t *Trainer) abandonPull(ctx context.Context, s *step) {
	const before = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, before)
	defer cancel()
	request, err := t.pullRequest(s)
	if err != nil {
		return
	}
	// Whatever comes is dropped: a process that has ended takes nothing.
	_, _ = t.client.Pull(ctx, t.options.Job, s.number, request)
}
