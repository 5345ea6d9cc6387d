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

// handle passes an event to the step and runs the resulting actions.
func (r *runner) handle(e rollout.Event) {
	for _, action := range r.step.Handle(time.Now(), e) {
		switch a := action.(type) {
		case rollout.Generate:
			r.startGenerate(a)
		case rollout.Score:
			r.startScore(a)
		case rollout.CancelAttempt:
			r.recordSampleEvent(SampleCancelled, a.ID, a.Attempt, r.step.NewestVersion(), "")
			r.cancelAttempt(attemptKey{a.ID, a.Attempt})
		case rollout.Deliver:
			r.lastAnswer = a
		}
	}
}

// attemptKeyOf returns the attempt that an event ends. ok is false for other events.
func attemptKeyOf(e rollout.Event) (k attemptKey, ok bool) {
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

// removeAttempt drops the cancel function of an attempt that ended by itself.
func (r *runner) removeAttempt(e rollout.Event) {
	if k, ok := attemptKeyOf(e); ok {
		delete(r.cancelFuncs, k)
	}
}

// wasCancelled reports whether the event ends an attempt that was cancelled before.
func (r *runner) wasCancelled(e rollout.Event) bool {
	k, ok := attemptKeyOf(e)
	_, running := r.cancelFuncs[k]
	return ok && !running
}

func (r *runner) cancelAttempt(k attemptKey) {
	if cancel, ok := r.cancelFuncs[k]; ok {
		cancel()
		delete(r.cancelFuncs, k)
	}
}

// startAttempt runs work in a new goroutine, with its own context and a timeout, and sends
// the resulting event to the runner.
func (r *runner) startAttempt(k attemptKey, timeout time.Duration, work func(context.Context) rollout.Event) {
	ctx, cancel := context.WithTimeout(r.workCtx, timeout)
	r.cancelFuncs[k] = cancel
	go func() {
		defer cancel()
		r.sendEvent(work(ctx))
	}()
}

// sendEvent sends an event to the runner's goroutine, or drops it if the goroutine has ended.
func (r *runner) sendEvent(e rollout.Event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

func (r *runner) startGenerate(a rollout.Generate) {
	timeout := r.manager.options.AttemptTimeout
	r.recordSampleEvent(SampleStarted, a.ID, a.Attempt, a.MinVersion, "")
	req := GenerateRequest{
		ID:             r.requestID(generatePrefix, a.ID, a.Attempt),
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
		r.sendEvent(rollout.Began{ID: a.ID, Attempt: a.Attempt, Version: v})
	}
	r.startAttempt(attemptKey{a.ID, a.Attempt}, timeout, func(ctx context.Context) rollout.Event {
		g, err := r.manager.options.Generator.Generate(ctx, req, began)
		if err != nil {
			return rollout.GenerateFailed{ID: a.ID, Attempt: a.Attempt, Failure: failureFrom(err)}
		}
		return rollout.Generated{ID: a.ID, Attempt: a.Attempt, Text: g.Text, Tokens: g.Tokens, Segments: g.Segments}
	})
}

func (r *runner) startScore(a rollout.Score) {
	timeout := r.manager.options.ScoreTimeout
	req := ScoreRequest{
		ID:         r.requestID(scorePrefix, a.ID, a.Attempt),
		Team:       r.key.team,
		Group:      r.spec.Scorer,
		Prompt:     r.spec.Prompts[a.ID.Group].Text,
		Completion: a.Completion,
		Deadline:   time.Now().Add(timeout),
	}
	r.startAttempt(attemptKey{a.ID, a.Attempt}, timeout, func(ctx context.Context) rollout.Event {
		reward, err := r.manager.options.Scorer.Score(ctx, req)
		if err != nil {
			return rollout.ScoreFailed{ID: a.ID, Attempt: a.Attempt, Failure: failureFrom(err)}
		}
		return rollout.Scored{ID: a.ID, Attempt: a.Attempt, Reward: reward}
	})
}

// failureFrom returns the failure for an error of a Generator or a Scorer.
func failureFrom(err error) rollout.Failure {
	var work *AttemptError
	if errors.As(err, &work) {
		return work.Failure
	}
	return rollout.Failure{Kind: rollout.Transient, Reason: err.Error()}
}

// Prefixes of request IDs.
const (
	generatePrefix = "gen"
	scorePrefix    = "score"
)

// requestID returns the request ID of an attempt. The nonce makes it differ from the IDs
// that another owner of the same step uses.
func (r *runner) requestID(prefix string, id rollout.SampleID, attempt uint32) ident.RequestID {
	return ident.RequestID(fmt.Sprintf("%s/%s/%d.%d.%d/%s", prefix, r.key, id.Group, id.Index, attempt, r.nonce))
}

// seed returns the sampling seed of a sample. It is the same for every attempt at the
// sample at any owner and differs between the samples of a group.
func (r *runner) seed(id rollout.SampleID) int64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d.%d", r.key, id.Group, id.Index) // never fails
	return int64(h.Sum64() & math.MaxInt64)
}
