package trainer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/balance"
)

// Trainer runs steps.
type Trainer struct {
	options Options
	client  *Client
	newest  int64 // newest version that it knows
	summary Summary
}

// New returns a trainer.
func New(options Options) *Trainer {
	options = options.withDefaults()
	return &Trainer{options: options, newest: options.Version, summary: Summary{Versions: map[int64]int{}}}
}

// Run runs all steps. The summary is also returned with an error.
func (t *Trainer) Run(ctx context.Context) (Summary, error) {
	balancer := balance.New(t.options.Daemons)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go balancer.Run(ctx)
	t.client = NewClient(balancer, t.options.Key)
	if err := t.learnNewest(ctx); err != nil {
		return t.summary, err
	}
	for i := range t.options.Steps {
		if err := t.runStep(ctx, t.options.FirstStep+i); err != nil {
			return t.summary, err
		}
		if i == t.options.Steps-1 {
			break
		}
		if err := sleep(ctx, t.options.TrainTime); err != nil {
			return t.summary, err
		}
		if err := t.publishNext(ctx); err != nil {
			return t.summary, err
		}
	}
	return t.summary, nil
}

// step is a step on its way.
type step struct {
	number  int
	prompts []rollout.Prompt
	have    *roaring.Bitmap // groups held
	size    int             // samples a group, once known
}

func (t *Trainer) runStep(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, t.options.StepTime)
	defer cancel()
	begun := time.Now()
	s := &step{number: number, prompts: t.options.prompts(number), have: roaring.New()}
	err := t.fill(ctx, s)
	t.summary.IdleMillis = append(t.summary.IdleMillis, time.Since(begun).Milliseconds())
	t.summary.Missing += (len(s.prompts) - int(s.have.GetCardinality())) * max(s.size, 1)
	if err != nil {
		return fmt.Errorf("step %d: %w", number, err)
	}
	t.summary.Steps++
	return nil
}

// fill submits a step and pulls, one pull at a time, until it is whole.
func (t *Trainer) fill(ctx context.Context, s *step) error {
	if err := t.submit(ctx, s); err != nil {
		return err
	}
	for int(s.have.GetCardinality()) < len(s.prompts) {
		err := t.pull(ctx, s)
		if errors.Is(err, ErrUnknownStep) {
			t.summary.Resubmits++
			err = t.submit(ctx, s)
		}
		if err := t.comeBack(ctx, err); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trainer) submit(ctx context.Context, s *step) error {
	for {
		have, err := rollouts.EncodeHave(s.have)
		if err != nil {
			return err
		}
		request := rollouts.SubmitRequest{
			Prompts:        s.prompts,
			TrainerVersion: ident.Version(t.newest),
			Have:           have,
		}
		response, err := t.client.Submit(ctx, t.options.Job, s.number, request)
		if err == nil {
			s.size = response.GroupSize
			return nil
		}
		if err := t.comeBack(ctx, err); err != nil {
			return err
		}
	}
}

// comeBack returns nil when the call that failed is to be made again, after a
// pause; err may be nil.
func (t *Trainer) comeBack(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	const pause = 50 * time.Millisecond
	t.summary.Failures++
	var status *StatusError
	if errors.As(err, &status) {
		if status.Final() {
			return err
		}
		return sleep(ctx, max(status.RetryAfter, pause))
	}
	if gone := sleep(ctx, pause); gone != nil {
		return fmt.Errorf("%w, after %w", gone, err)
	}
	return nil
}

func (t *Trainer) pull(ctx context.Context, s *step) error {
	have, err := rollouts.EncodeHave(s.have)
	if err != nil {
		return err
	}
	response, err := t.client.Pull(ctx, t.options.Job, s.number, rollouts.PullRequest{
		Have:           have,
		TrainerVersion: ident.Version(t.newest),
		WaitMillis:     t.options.PullWait.Milliseconds(),
	})
	if errors.Is(err, ErrCut) {
		t.summary.Cut++
		return nil
	}
	if err != nil {
		return err
	}
	// An owner that hadn't heard of the newest version judged by an older one,
	// so a group in its answer may be older than the bound allows.
	if int64(response.JudgedBy) < t.newest {
		t.summary.JudgedOld++
		return nil
	}
	t.accept(s, response)
	return nil
}

// accept takes an answer as a whole.
func (t *Trainer) accept(s *step, response rollouts.PullResponse) {
	t.summary.Pulls++
	for _, group := range response.Groups {
		t.acceptGroup(s, group)
	}
	t.options.Progress(s.number, int(s.have.GetCardinality())*s.size, len(s.prompts)*s.size)
}

func (t *Trainer) acceptGroup(s *step, group rollout.Group) {
	if group.Number < 0 || group.Number >= len(s.prompts) {
		t.summary.Wrong++
		t.summary.fault("group %d isn't of this step", group.Number)
		return
	}
	if !s.have.CheckedAdd(uint32(group.Number)) {
		t.summary.Duplicates += max(len(group.Samples), 1)
		t.summary.fault("group %d came twice", group.Number)
		return
	}
	if group.Failed {
		t.summary.FailedGroups++
		t.summary.fault("group %d failed: %s", group.Number, group.Reason)
		return
	}
	t.checkGroup(s, group)
}

func (t *Trainer) checkGroup(s *step, group rollout.Group) {
	seen := map[int]bool{}
	for _, sample := range group.Samples {
		if sample.Group != group.Number || sample.Index < 0 || sample.Index >= s.size {
			t.summary.Wrong++
			t.summary.fault("sample %d of group %d came in group %d", sample.Index, sample.Group, group.Number)
			continue
		}
		if seen[sample.Index] {
			t.summary.Duplicates++
			t.summary.fault("sample %d of group %d came twice", sample.Index, group.Number)
			continue
		}
		seen[sample.Index] = true
		t.summary.checkSample(t.options, s.prompts[group.Number].Text, t.newest, sample)
	}
	t.summary.Missing += s.size - len(seen)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
