package rollouts

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// feed gives the step an event and runs its actions.
func (r *runner) feed(e rollout.Event) {
	for _, action := range r.step.Handle(time.Now(), e) {
		switch a := action.(type) {
		case rollout.Generate:
			r.startGenerate(a)
		case rollout.Score:
			r.startScore(a)
		case rollout.CancelAttempt:
			r.recordSample(SampleCancelled, a.ID, a.Attempt, r.step.NewestVersion(), "")
			r.cancelAttempt(attemptKey{a.ID, a.Attempt})
		case rollout.Deliver:
			r.answer = a
		}
	}
}

// attemptOf names the attempt that an event ends; ok is false for other events.
func attemptOf(e rollout.Event) (k attemptKey, ok bool) {
	switch e := e.(type) {
	case rollout.Generated:
		return attemptKey{e.ID, e.Attempt}, true
	case rollout.GenerateFailed:
		return attemptKey{e.ID, e.Attempt}, true
	case rollout.Scored:
		return attemptKey{e.ID, e.Attempt}, true
	case rollout.ScoreFailed:
		return attemptKey{e.ID, e.Attempt}, true
	}
	return attemptKey{}, false
}

// forget drops the cancel function of work that ended by itself.
func (r *runner) forget(e rollout.Event) {
	if k, ok := attemptOf(e); ok {
		delete(r.attempts, k)
	}
}

// givenUp says that the event ends work that was cancelled before.
func (r *runner) givenUp(e rollout.Event) bool {
	k, ok := attemptOf(e)
	_, running := r.attempts[k]
	return ok && !running
}

func (r *runner) cancelAttempt(k attemptKey) {
	if cancel, ok := r.attempts[k]; ok {
		cancel()
		delete(r.attempts, k)
	}
}

// spawn runs work under a context of its own and sends its result.
func (r *runner) spawn(k attemptKey, timeout time.Duration, work func(context.Context) rollout.Event) {
	ctx, cancel := context.WithTimeout(r.work, timeout)
	r.attempts[k] = cancel
	go func() {
		defer cancel()
		r.send(work(ctx))
	}()
}

// send gives an event to the runner's goroutine, or drops it when that has ended.
func (r *runner) send(e rollout.Event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

func (r *runner) startGenerate(a rollout.Generate) {
	timeout := r.manager.options.AttemptTimeout
	r.recordSample(SampleStarted, a.ID, a.Attempt, a.MinVersion, "")
	req := GenerateRequest{
		ID:             r.requestID(generating, a.ID, a.Attempt),
		Team:           r.key.team,
		Model:          r.spec.Model,
		Prompt:         r.spec.Prompts[a.ID.Group].Text,
		MaxTokens:      r.spec.MaxTokens,
		Seed:           r.seed(a.ID),
		Deadline:       time.Now().Add(timeout),
		ExpectedTokens: a.ExpectedTokens,
		MinVersion:     a.MinVersion,
		Straggler:      a.Straggler,
		Prefer:         a.Prefer,
	}
	began := func(v ident.Version) {
		r.send(rollout.Began{ID: a.ID, Attempt: a.Attempt, Version: v})
	}
	r.spawn(attemptKey{a.ID, a.Attempt}, timeout, func(ctx context.Context) rollout.Event {
		g, err := r.manager.options.Generator.Generate(ctx, req, began)
		if err != nil {
			return rollout.GenerateFailed{ID: a.ID, Attempt: a.Attempt, Failure: failureOf(err)}
		}
		return rollout.Generated{ID: a.ID, Attempt: a.Attempt, Text: g.Text, Tokens: g.Tokens, Segments: g.Segments}
	})
}

func (r *runner) startScore(a rollout.Score) {
	timeout := r.manager.options.ScoreTimeout
	req := ScoreRequest{
		ID:         r.requestID(scoring, a.ID, a.Attempt),
		Team:       r.key.team,
		Group:      r.spec.Scorer,
		Prompt:     r.spec.Prompts[a.ID.Group].Text,
		Completion: a.Completion,
		Deadline:   time.Now().Add(timeout),
	}
	r.spawn(attemptKey{a.ID, a.Attempt}, timeout, func(ctx context.Context) rollout.Event {
		reward, err := r.manager.options.Scorer.Score(ctx, req)
		if err != nil {
			return rollout.ScoreFailed{ID: a.ID, Attempt: a.Attempt, Failure: failureOf(err)}
		}
		return rollout.Scored{ID: a.ID, Attempt: a.Attempt, Reward: reward}
	})
}

func failureOf(err error) rollout.Failure {
	var work *WorkError
	if errors.As(err, &work) {
		return work.Failure
	}
	return rollout.Failure{Kind: rollout.Transient, Reason: err.Error()}
}

// The beginnings of request IDs.
const (
	generating = "gen"
	scoring    = "score"
)

// requestID names an attempt. The nonce keeps two owners of one step apart.
func (r *runner) requestID(kind string, id rollout.SampleID, attempt uint32) ident.RequestID {
	return ident.RequestID(fmt.Sprintf("%s/%s/%d.%d.%d/%s", kind, r.key, id.Group, id.Index, attempt, r.nonce))
}

// seed is the same for every attempt at a sample at any owner, and differs
// between the samples of a group.
func (r *runner) seed(id rollout.SampleID) int64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d.%d", r.key, id.Group, id.Index) // never fails
	return int64(h.Sum64() & math.MaxInt64)
}
