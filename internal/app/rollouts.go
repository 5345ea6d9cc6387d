package app

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/weightsync"
)

var rolloutsModule = fx.Module("rollouts", fx.Provide(newRollouts))

func newRollouts(conf *settings.Daemon, d *dispatch.Dispatcher, w *weightsync.Syncer, c *confsync.Store, p *peer.Service, r *timeline.Recorder, log zerolog.Logger) *rollouts.Manager {
	m := rollouts.New(rollouts.Options{
		Generator: generator{d}, Scorer: scorer{d}, Versions: w, Jobs: jobs{c}, Peers: p, Recorder: stepRecorder{r}, Log: log,
		Step: stepOptions(conf.Policy),
	})
	p.SetSteps(m)
	return m
}

// stepRecorder writes what happens to steps and samples into the time line.
type stepRecorder struct{ timeline *timeline.Recorder }

func (s stepRecorder) RecordStep(e rollouts.StepEvent) {
	s.timeline.Add(timeline.Event{
		Kind: e.Kind, Request: e.Request, Team: e.Team, Job: e.Job, Step: e.Step,
		Sample: sampleName(e.Sample), Version: e.Version, Detail: e.Detail,
	})
}

// sampleName returns a sample's name in the time line, "group/index".
func sampleName(id *rollout.SampleID) string {
	if id == nil {
		return ""
	}
	return strconv.Itoa(id.Group) + "/" + strconv.Itoa(id.Index)
}

// window is how many attempts of a step may be out at once: all that the
// dispatcher queues and orders.
const window = 1024

// stepOptions has the naive policy dispatch all samples at once.
func stepOptions(policy string) rollout.Options {
	if policy == settings.PolicyNaive {
		return rollout.Options{MaxGenerating: math.MaxInt32}
	}
	return rollout.Options{MaxGenerating: window}
}

// generator runs a step's attempts through the dispatcher.
type generator struct{ dispatcher *dispatch.Dispatcher }

func (g generator) Generate(ctx context.Context, r rollouts.GenerateRequest, began func(ident.Version)) (rollouts.Generated, error) {
	first := true
	onChunk := func(c upstream.Chunk) error {
		if first && began != nil && c.Version != 0 {
			first = false
			began(c.Version)
		}
		return nil
	}
	out, err := g.dispatcher.Generate(ctx, dispatch.GenerateRequest{
		ID: r.ID, Team: r.Team, Model: r.Model, Class: dispatch.ClassRollout,
		Prompt: r.Prompt, MaxTokens: r.MaxTokens, Seed: r.Seed, Deadline: r.Deadline,
		ExpectedTokens: r.ExpectedTokens, MinVersion: r.MinVersion, PreferVersion: r.Prefer, Straggler: r.Straggler,
	}, onChunk)
	if err != nil {
		return rollouts.Generated{}, workError(err)
	}
	return generatedOf(out), nil
}

func generatedOf(g dispatch.Completion) rollouts.Generated {
	out := rollouts.Generated{Text: g.Text}
	for _, s := range g.Segments {
		from := out.Tokens
		out.Tokens += s.Tokens
		out.Segments = append(out.Segments, rollout.Segment{Version: s.Version, From: from, To: out.Tokens})
	}
	return out
}

// scorer asks the scorers through the dispatcher.
type scorer struct{ dispatcher *dispatch.Dispatcher }

func (s scorer) Score(ctx context.Context, r rollouts.ScoreRequest) (float64, error) {
	reward, err := s.dispatcher.Score(ctx, r.Team, r.Group, r.ID, r.Prompt, r.Completion, r.Deadline)
	return reward, workError(err)
}

// workError turns a dispatch error into what a step does about it.
func workError(err error) error {
	var e *dispatch.Error
	if !errors.As(err, &e) {
		return err
	}
	failure := rollout.Failure{RetryAfter: e.RetryAfter, Reason: e.Reason.String()}
	switch {
	case e.Reason == dispatch.ReasonPoison:
		// Samples of an accepted step are durable: RetryAfter says when this one may run alone again.
		failure.Kind = rollout.Transient
	case refusedForGood(err):
		failure.Kind = rollout.Permanent
	case e.Outcome == outcome.NotRun && e.Reason == dispatch.ReasonNoUpstream:
		// The dispatcher can't know when an engine will do, and its RetryAfter is a
		// guess for callers. A step probes at its own pace, which is faster.
		failure.Kind, failure.RetryAfter = rollout.NotRun, 0
	case e.Outcome == outcome.NotRun:
		failure.Kind = rollout.NotRun
	default:
		failure.Kind = rollout.Transient
	}
	return &rollouts.AttemptError{Failure: failure, Err: err}
}

// refusedForGood says that the engine finds fault with the request itself: a
// prompt that no engine takes would be tried for ever, and its step never end.
func refusedForGood(err error) bool {
	var e *upstream.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// jobs looks jobs up in the configuration in force.
type jobs struct{ config *confsync.Store }

func (j jobs) Job(team ident.Team, name ident.Job) (rollouts.JobSettings, bool) {
	branch, ok := j.config.Current().Tree().Teams[team]
	if !ok {
		return rollouts.JobSettings{}, false
	}
	job, ok := branch.Jobs[name]
	if !ok {
		return rollouts.JobSettings{}, false
	}
	model := branch.Models[job.Model]
	out := rollouts.JobSettings{
		Model: job.Model, Scorer: job.Scorer, GroupSize: job.GroupSize, StalenessBound: job.EffectiveStalenessBound(model),
		MaxTokens: job.MaxTokens, StalenessWeight: branch.StalenessWeight, Cancelled: job.Cancelled,
	}
	if out.MaxTokens == 0 {
		out.MaxTokens = model.MaxTokens
	}
	return out, true
}

// liveMembers counts the members that were heard from of late.
func liveMembers(members []peer.MemberStatus) int {
	n := 0
	for _, m := range members {
		if m.Live {
			n++
		}
	}
	return n
}
