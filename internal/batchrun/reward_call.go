package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/customers"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// Scorer makes reward calls.
type Scorer interface {
	// Score sends a reward call over its route, within that route's limits.
	Score(ctx context.Context, r ScoreRequest) ScoreResult
}

// ScoreRequest asks for the score of a sample.
type ScoreRequest struct {
	Route    routes.Route
	Customer customers.Customer // whose batch the sample belongs to
	Call     batch.RewardCall
	// NewConn asks for new connections, as in SampleRun.
	NewConn bool
}

// ScoreResult is the outcome of a reward call.
type ScoreResult struct {
	Score string // signature of the successful answer, "" if there was none
	// Failures is the number of upstreams that ran the call and answered that it failed.
	Failures int
	// RetryAfter is how long to wait before the call is made again, 0 if unknown.
	RetryAfter time.Duration
	Reason     string // why there is no score
}

const (
	// rewardRetryDelay is the least wait after a reward call without a score. It applies when
	// no time for a retry is known: the upstreams of the route were silent, crashed or sent
	// broken answers.
	rewardRetryDelay = 50 * time.Millisecond
	// noRouteDelay is the wait after a reward call that couldn't be made, because the
	// configuration has no route for it or its request is missing.
	noRouteDelay = 500 * time.Millisecond
)

var (
	rewardCallsMade  = metrics.Counter("reward_calls")
	rewardFailures   = metrics.Counter("reward_call_failures")
	rewardCallTime   = metrics.Latency("reward_call_ms")
	textToResultTime = metrics.Latency("sample_text_to_result_ms")
)

var errNoScore = errors.New("reward call without a score")

// rewardCall is a runner's state of the reward call of a sample whose text is complete.
type rewardCall struct {
	cancel         context.CancelFunc // of the call in progress, nil for none
	notBefore      time.Duration      // no call until then
	textCompleteAt time.Duration      // when the text was found to be complete
	failures       int                // failures that upstreams answered to this owner's calls
	loggedBefore   int                // failures in the log when this owner took the sample over
}

// failureCount returns the number of failures so far, given that in the log. It includes this
// owner's, which reach the log a little later.
func (x *rewardCall) failureCount(logged int) int { return max(logged, x.loggedBefore+x.failures) }

// reconcileRewardCallLocked starts the reward call of sample i of a batch if it is due. The
// sample's text is complete and it has no score yet.
func (r *runner) reconcileRewardCallLocked(ctx context.Context, config *routes.Config, b *batch.Batch, i int, now time.Duration) {
	s, key := &b.Samples[i], sampleKey{b.ID, i}
	x := r.rewardCalls[key]
	if x == nil {
		x = &rewardCall{textCompleteAt: now, loggedBefore: s.RewardFailures}
		r.rewardCalls[key] = x
	}
	requests := r.requestsLocked(ctx, b)
	if x.cancel != nil || now < x.notBefore || requests == nil {
		return
	}
	// The call is made even while the store is unavailable: if the score is known when the
	// store is back, the sample gets its result half a second earlier. At worst another owner
	// has made the call too.
	call := requests[i].RewardCall
	if call == nil {
		x.notBefore = now + noRouteDelay
		r.log.Error().Str("batch", b.ID).Str("sample", s.ID).Msg("sample has a reward call, but its request does not contain one")
		return
	}
	route, ok := config.Match(call.Host, call.Path)
	if !ok {
		x.notBefore = now + noRouteDelay
		r.log.Warn().Str("batch", b.ID).Str("sample", s.ID).Str("reward_call", call.ID).Str("host", call.Host).Str("path", call.Path).
			Int64("config", config.Version).Msg("no route matches the reward call; waiting for a configuration that has one")
		return
	}
	if x.failureCount(s.RewardFailures) >= route.MaxAttempts {
		r.giveUpLocked(key, s.ID, "its reward call failed at every attempt")
		return
	}
	r.startRewardCallLocked(ctx, key, s.ID, ScoreRequest{Route: route, Customer: config.Customers.Named(b.Customer), Call: *call, NewConn: x.failures > 0}, x)
}

// startRewardCallLocked makes a reward call in the background.
func (r *runner) startRewardCallLocked(ctx context.Context, key sampleKey, sampleID string, request ScoreRequest, x *rewardCall) {
	ctx, x.cancel = context.WithCancel(ctx)
	cancel := x.cancel
	rewardCallsMade.Add(1)
	r.tasks.Go(func() {
		began := r.s.options.Now()
		verdict := r.s.options.Scorer.Score(ctx, request)
		cancelled := ctx.Err() != nil
		cancel()
		r.onRewardCallEnded(key, sampleID, request.Call.ID, x, verdict, cancelled, r.s.options.Now()-began)
	})
}

// onRewardCallEnded is called when a reward call has ended. It queues the sample's result if there
// is a score, or schedules a retry.
func (r *runner) onRewardCallEnded(key sampleKey, sampleID, callID string, x *rewardCall, v ScoreResult, cancelled bool, took time.Duration) {
	now := r.s.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	x.cancel = nil
	rewardCallTime.Observe(took)
	r.logRewardCall(key, sampleID, callID, v, cancelled, took)
	if r.stopping || r.rewardCalls[key] != x || cancelled && v.Score == "" {
		return // no longer wanted, or its text had no effect
	}
	for range v.Failures {
		r.outbox.add(batch.Failed{Batch: key.batch, Item: key.index, AttemptID: uuid.NewString(), InRewardCall: true})
	}
	x.failures += v.Failures
	rewardFailures.Add(int64(v.Failures))
	if t := r.texts[key]; v.Score != "" && t != nil {
		textToResultTime.Observe(now - x.textCompleteAt)
		r.completeLocked(key, t, r.runs[key], v.Score)
		delete(r.texts, key)
		return
	}
	x.notBefore = now + max(v.RetryAfter, rewardRetryDelay)
}

// logRewardCall logs the end of a reward call.
func (r *runner) logRewardCall(key sampleKey, sampleID, callID string, v ScoreResult, cancelled bool, took time.Duration) {
	line := r.log.Info()
	if v.Score == "" {
		line = r.log.Warn().Err(errNoScore).Str("why", v.Reason).Dur("retry_after", v.RetryAfter)
	}
	line.Str("batch", key.batch).Str("sample", sampleID).Str("reward_call", callID).Int("failures", v.Failures).
		Bool("unwanted", cancelled).Dur("took", took).Msg("reward call ended")
}

// cancelRewardCallLocked cancels a sample's reward call if one is in progress, and drops its state.
func (r *runner) cancelRewardCallLocked(key sampleKey) {
	x := r.rewardCalls[key]
	if x == nil {
		return
	}
	if x.cancel != nil {
		x.cancel()
	}
	delete(r.rewardCalls, key)
}
