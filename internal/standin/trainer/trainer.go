package trainer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/balance"
)

// Trainer runs steps.
type Trainer struct {
	options  Options
	balancer *balance.Balancer
	client   *Client
	newest   atomic.Int64 // newest version that it knows
	summary  Summary
}

// New returns a trainer.
func New(options Options) *Trainer {
	options = options.withDefaults()
	t := &Trainer{options: options, summary: Summary{Versions: map[int64]int{}}}
	t.newest.Store(options.Version)
	return t
}

// Run runs all steps. The summary is also returned with an error.
func (t *Trainer) Run(ctx context.Context) (Summary, error) {
	t.balancer = balance.New(t.options.Daemons)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.balancer.Run(ctx)
	t.connect()
	if err := t.learnNewest(ctx); err != nil {
		return t.summary, err
	}
	if t.options.FollowStore {
		go t.follow(ctx)
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

// connect makes the client; all cuts come from the first one.
func (t *Trainer) connect() {
	cuts := t.options.CutAnswers
	if t.client != nil {
		cuts = t.client.cuts.left
	}
	t.client = NewClient(t.balancer, t.options.Key)
	t.client.cuts.left = cuts
}

// step is a step on its way.
type step struct {
	number    int
	prompts   []rollout.Prompt
	have      *roaring.Bitmap // groups held
	size      int             // samples a group, once known
	taken     int             // samples accepted
	missed    int             // unknown-step answers in a row
	restarted bool
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
		if err := t.restartIfDue(ctx, s); err != nil {
			return err
		}
		err := t.pull(ctx, s)
		if errors.Is(err, ErrUnknownStep) {
			err = t.submitAgain(ctx, s)
		}
		if err := t.comeBack(ctx, err); err != nil {
			return err
		}
		if err := sleep(ctx, t.options.PullPause); err != nil {
			return err
		}
	}
	return nil
}

// submitAgain submits a step that its daemon doesn't know. While daemons don't
// agree on the job's owner (just started, say) each may send the trainer to
// another one; the growing pause keeps such a round from becoming a hot loop.
func (t *Trainer) submitAgain(ctx context.Context, s *step) error {
	t.summary.Resubmits++
	if err := sleep(ctx, missedPause(s.missed)); err != nil {
		return err
	}
	s.missed++
	return t.submit(ctx, s)
}

// missedPause doubles up to a second; half of it is random, so that trainers
// that lost one owner don't all come back at once.
func missedPause(missed int) time.Duration {
	const first, most = 20 * time.Millisecond, time.Second
	pause := min(first<<min(missed, 10), most)
	return pause/2 + rand.N(pause/2)
}

func (t *Trainer) submit(ctx context.Context, s *step) error {
	for {
		have, err := rollouts.EncodeCursor(s.have)
		if err != nil {
			return err
		}
		request := rollouts.SubmitRequest{
			Prompts:        s.prompts,
			TrainerVersion: ident.Version(t.newest.Load()),
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

func (t *Trainer) pullRequest(s *step) (rollouts.PullRequest, error) {
	have, err := rollouts.EncodeCursor(s.have)
	return rollouts.PullRequest{
		Have:           have,
		TrainerVersion: ident.Version(t.newest.Load()),
		WaitMillis:     t.options.PullWait.Milliseconds(),
		MaxGroups:      t.options.MaxGroups,
	}, err
}

func (t *Trainer) pull(ctx context.Context, s *step) error {
	request, err := t.pullRequest(s)
	if err != nil {
		return err
	}
	response, err := t.client.Pull(ctx, t.options.Job, s.number, request)
	if errors.Is(err, ErrCut) {
		t.summary.Cut++
		return nil
	}
	if err != nil {
		return err
	}
	s.missed = 0
	// An owner that hadn't heard of the newest version judged by an older one,
	// so a group in its answer may be older than the bound allows.
	newest := t.newest.Load()
	if int64(response.JudgedBy) < newest {
		t.summary.JudgedOld++
		return nil
	}
	t.accept(s, response, newest)
	return nil
}

// accept takes an answer as a whole; newest is the version it is held against.
func (t *Trainer) accept(s *step, response rollouts.PullResponse, newest int64) {
	t.summary.Pulls++
	for _, group := range response.Groups {
		t.acceptGroup(s, group, newest)
	}
	t.options.Progress(s.number, int(s.have.GetCardinality())*s.size, len(s.prompts)*s.size)
}

func (t *Trainer) acceptGroup(s *step, group rollout.Group, newest int64) {
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
	t.checkGroup(s, group, newest)
}

func (t *Trainer) checkGroup(s *step, group rollout.Group, newest int64) {
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
		t.summary.checkSample(t.options, s.prompts[group.Number].Text, newest, sample)
		s.taken++
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
