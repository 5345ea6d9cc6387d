package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// Scorer makes reward calls.
type Scorer interface {
	// Score sends a reward call over its route, within that route's bounds.
	Score(ctx context.Context, route routes.Route, call batch.RewardCall) Verdict
}

// Verdict is what became of a reward call.
type Verdict struct {
	Score string // the signature of a successful answer, "": none
	// Failures counts the upstreams that ran the call and answered that it failed.
	Failures int
	// RetryAfter is when the call is worth making again.
	RetryAfter time.Duration
	Reason     string // of a call without a score
}

const (
	// scorePause follows a reward call without a score that names no time to come
	// back: its route's upstreams were silent, crashed or spoiled their answers.
	scorePause = 50 * time.Millisecond
	// noRoutePause follows a look at a configuration without the call's route.
	noRoutePause = 500 * time.Millisecond
)

var (
	rewardCalls    = metrics.Counter("reward_calls")
	rewardFailures = metrics.Counter("reward_call_failures")
	rewardTime     = metrics.Latency("reward_call_ms")
	textToListed   = metrics.Latency("sample_text_to_result_ms")
)

var errNoScore = errors.New("reward call without a score")

// scoring is what this owner knows of a whole sample's reward call.
type scoring struct {
	cancel    context.CancelFunc // of the call under way, nil: none is
	notBefore time.Duration
	began     time.Duration // when the text was found whole
	failures  int           // answers of this owner's calls that the call failed
	before    int           // such answers in the log when this owner began
}

// failed is the number of failures so far: an earlier owner's, and its own, which
// reach the log a little later.
func (x *scoring) failed(logged int) int { return max(logged, x.before+x.failures) }

// scoreLocked looks after a sample whose text is whole and that has no score yet.
func (r *runner) scoreLocked(ctx context.Context, config *routes.Config, b *batch.Batch, i int, now time.Duration) {
	s, key := &b.Samples[i], sampleKey{b.ID, i}
	x := r.scores[key]
	if x == nil {
		x = &scoring{began: now, before: s.RewardFailures}
		r.scores[key] = x
	}
	requests := r.requestsLocked(ctx, b)
	if x.cancel != nil || now < x.notBefore || requests == nil {
		return
	}
	// Also while out of touch with the store: a score that is there when the store is back
	// lists the sample half a second sooner. At worst another owner made the call as well.
	call := requests[i].Reward
	if call == nil {
		x.notBefore = now + noRoutePause
		r.log.Error().Str("batch", b.ID).Str("sample", s.ID).Msg("sample names a reward call and its request has none")
		return
	}
	route, ok := config.Match(call.Host, call.Path)
	if !ok {
		x.notBefore = now + noRoutePause
		r.log.Warn().Str("batch", b.ID).Str("sample", s.ID).Str("reward_call", call.ID).Str("host", call.Host).Str("path", call.Path).
			Int64("config", config.Version).Msg("reward call has no route, waiting for one")
		return
	}
	if x.failed(s.RewardFailures) >= route.MaxAttempts {
		r.giveUpLocked(key, s.ID, "its reward call failed at every attempt")
		return
	}
	r.callScorerLocked(ctx, key, s.ID, route, *call, x)
}

func (r *runner) callScorerLocked(ctx context.Context, key sampleKey, sample string, route routes.Route, call batch.RewardCall, x *scoring) {
	ctx, x.cancel = context.WithCancel(ctx)
	cancel := x.cancel
	rewardCalls.Add(1)
	r.tasks.Go(func() {
		began := r.s.options.Now()
		verdict := r.s.options.Scorer.Score(ctx, route, call)
		cancelled := ctx.Err() != nil
		cancel()
		r.scored(key, sample, call.ID, x, verdict, cancelled, r.s.options.Now()-began)
	})
}

// scored takes the end of a reward call.
func (r *runner) scored(key sampleKey, sample, call string, x *scoring, v Verdict, cancelled bool, took time.Duration) {
	now := r.s.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	x.cancel = nil
	rewardTime.Observe(took)
	r.logScored(key, sample, call, v, cancelled, took)
	if r.stopping || r.scores[key] != x || cancelled && v.Score == "" {
		return // unwanted meanwhile, or of a text that didn't count
	}
	for range v.Failures {
		r.outbox.add(batch.Failed{Batch: key.batch, Item: key.index, Attempt: uuid.NewString(), Reward: true})
	}
	x.failures += v.Failures
	rewardFailures.Add(int64(v.Failures))
	if t := r.texts[key]; v.Score != "" && t != nil {
		textToListed.Observe(now - x.began)
		r.completeLocked(key, t, v.Score)
		delete(r.texts, key)
		return
	}
	x.notBefore = now + max(v.RetryAfter, scorePause)
}

func (r *runner) logScored(key sampleKey, sample, call string, v Verdict, cancelled bool, took time.Duration) {
	line := r.log.Info()
	if v.Score == "" {
		line = r.log.Warn().Err(errNoScore).Str("why", v.Reason).Dur("retry_after", v.RetryAfter)
	}
	line.Str("batch", key.batch).Str("sample", sample).Str("reward_call", call).Int("failures", v.Failures).
		Bool("unwanted", cancelled).Dur("took", took).Msg("reward call ended")
}

// dropScoreLocked ends a reward call that nobody wants any more and forgets it.
func (r *runner) dropScoreLocked(key sampleKey) {
	x := r.scores[key]
	if x == nil {
		return
	}
	if x.cancel != nil {
		x.cancel()
	}
	delete(r.scores, key)
}
