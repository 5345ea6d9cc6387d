package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// Reasons for which the runner cancels a run.
var (
	errHandedOver    = errors.New("handed over to another daemon")
	errUnwanted      = errors.New("result no longer wanted")
	errMoved         = errors.New("moved to another engine")
	errLogAhead      = errors.New("the log has more of the text")
	errWeightsTooOld = errors.New("engine's weights are too old for the batch")
	errVersionsMixed = errors.New("weights version changed within a sample that allows only one")
)

// Errors of runs whose responses are complete.
var (
	errNoEvents      = errors.New("response has no event")
	errTextDisproved = errors.New("engine has no event where another one delivered one")
)

var runsMalformed = metrics.Counter("sample_runs_malformed")

const (
	// engineRefusedDelay is how long an engine that is full or loading gets no sample, and how
	// long a sample waits that was cancelled because its engine's weights were too old.
	engineRefusedDelay = 150 * time.Millisecond
	// retryDelay is the wait before a sample whose run broke off may start again.
	retryDelay = 10 * time.Millisecond
	// noRoomDelay is the same after a run that found no room in memory. A checkpoint or two later
	// the texts of the others are in the log.
	noRoomDelay = 2 * checkpointInterval
	// maxUnsavedBytes is what a run's events may take in memory before they are saved without
	// waiting for the next checkpoint.
	maxUnsavedBytes = 64 << 10
	// failedDelay is the same after the engine reported that the sample failed.
	failedDelay = 100 * time.Millisecond
)

// engine is a runner's state of one incarnation of an engine.
type engine struct {
	running       int           // runs of this runner in progress
	fullUntil     time.Duration // no sample until then: the engine refused one
	slowUntil     time.Duration // no sample until then: the engine is slower than others
	evictedUntil  time.Duration // no sample until then: it loads weights once its runs have ended
	loading       bool
	noOrderBefore time.Duration // no load order until then: the last load failed
	trial         bool          // a sample runs alone on the engine
	gap           gapAverage    // between two events of a sample
	unloadedGap   gapAverage    // estimate of gap if the engine ran one sample: its hardware's, whatever the load
}

// observeGap adds a gap between two events of a sample on the engine.
func (e *engine) observeGap(gap, now time.Duration) {
	e.gap.observe(gap, now, gapMaxAge)
	e.unloadedGap.observe(batch.UnloadedGap(gap, e.running), now, unloadedGapMaxAge)
}

// engineLocked returns the state of an engine, given by its incarnation.
func (r *runner) engineLocked(incarnation string) *engine {
	e := r.engines[incarnation]
	if e == nil {
		e = &engine{}
		r.engines[incarnation] = e
	}
	return e
}

// isSuspect reports whether an incarnation gets no work because it recently failed.
func (r *runner) isSuspect(incarnation string, now time.Duration) bool {
	return r.s.options.Suspects.IsSuspect(incarnation, now)
}

// unusableLocked reports whether an engine, given by its incarnation, gets no sample now.
func (r *runner) unusableLocked(incarnation string, now time.Duration) bool {
	return r.isSuspect(incarnation, now) || r.engineLocked(incarnation).unusable(now)
}

// unusable reports the same for reasons other than recent failures.
func (e *engine) unusable(now time.Duration) bool {
	return e.trial || e.loading || now < e.fullUntil || now < e.evictedUntil || now < e.slowUntil
}

// startRunLocked starts a run of a waiting sample on an engine. It resumes the sample's text so
// far.
func (r *runner) startRunLocked(ctx context.Context, p pool, u registry.Upstream, w batch.WaitingSample) {
	key := sampleKey{w.Batch, w.Index}
	r.partition.mu.Lock()
	b := r.partition.state.Get(w.Batch)
	requests := r.requests[w.Batch].list
	if b == nil || requests == nil {
		r.partition.mu.Unlock()
		return
	}
	head := b.Header
	s := b.Samples[w.Index]
	t := r.textLocked(key, &s)
	r.partition.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	now := r.s.options.Now()
	x := &run{ctx: ctx, key: key, sampleID: s.ID, upstream: u, incarnation: u.Incarnation(), pool: p, hasReward: s.RewardCallID != "", expectedTokens: s.ExpectedTokens, text: t, startedAt: now, cancel: cancel, startEvents: t.position(), startWriter: t.end(), receivedEvents: t.position(), lastEventAt: now}
	r.runs[key] = x
	r.engineLocked(u.Incarnation()).running++
	request := SampleRun{ID: s.ID, Host: head.Host, Customer: head.Customer, Request: requests[w.Index], ReceivedEvents: x.startEvents, NewConn: r.retries[key].failed}
	if request.ReceivedEvents > 0 {
		samplesResumed.Add(1)
	}
	r.tasks.Go(func() {
		err := r.s.options.Engines.Run(ctx, u, request, func(e batch.Event) { r.onEvent(x, head, e) })
		if cause := context.Cause(ctx); cause != nil && !errors.Is(err, ErrMalformed) {
			err = cause // even if the stream is complete: onEvent has dropped events since
		}
		cancel(nil)
		r.onRunEnded(x, head, err)
	})
}

// onEvent adds an event of a run to the sample's text. It cancels the run if the event's weights
// version isn't allowed.
func (r *runner) onEvent(x *run, head batch.Header, e batch.Event) {
	now := r.s.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || x.ctx.Err() != nil {
		return
	}
	first := x.receivedEvents == x.startEvents
	if first {
		r.s.options.View.UpdateUpstreams(func(reg *registry.Registry, _ time.Duration) {
			reg.RecordServed(x.upstream.ID, x.upstream.Started, x.pool.model, e.Version)
		})
	}
	switch {
	case e.Version < head.MinVersion:
		x.cancel(errWeightsTooOld)
		return
	case head.SingleVersion && x.text.hasOtherVersion(e.Version):
		x.cancel(errVersionsMixed)
		return
	}
	if !first {
		r.engineLocked(x.incarnation).observeGap(now-x.lastEventAt, now)
	}
	x.lastEventAt = now
	if !r.s.texts.grow(x, eventBytes(e)) {
		x.cancel(errNoRoom)
		return
	}
	x.text.add(e)
	x.receivedEvents++
	r.endTrialIfPassedLocked(x)
	if x.text.unsavedBytes >= maxUnsavedBytes {
		r.saveProgressLocked(x)
	}
}

// onRunEnded is called when a run has ended. err is nil if the text is complete. The text goes
// to the log, and the sample gets its result, has its reward call made, or is retried.
func (r *runner) onRunEnded(x *run, head batch.Header, err error) {
	now := r.s.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	delete(r.runs, x.key)
	defer r.s.texts.release(x)
	e := r.engineLocked(x.incarnation)
	e.running--
	e.trial = e.trial && !x.trial
	if err == nil {
		err = x.checkComplete()
	}
	r.logRunEnd(x, err, now)
	sampleRunTime.Observe(now - x.startedAt)
	if err == nil {
		r.s.options.Suspects.Succeeded(x.incarnation)
		if x.startEvents == 0 {
			r.estimator.Observe(x.expectedTokens, x.receivedEvents, now-x.startedAt)
		}
		if x.hasReward {
			r.saveCompleteTextLocked(x) // the next reconcile pass starts the reward call
			return
		}
		r.completeLocked(x.key, x.text, x, "")
		delete(r.texts, x.key)
		return
	}
	r.keepTextLocked(x, err)
	r.handleRunErrorLocked(x, e, err, now)
}

// checkComplete checks a run whose response is complete. A resumed run is asked for an event that
// an earlier one has delivered, so both can't be right if it has none.
func (x *run) checkComplete() error {
	switch {
	case x.receivedEvents > x.startEvents:
		return nil
	case x.startEvents > 0:
		return errTextDisproved
	default:
		return errors.Join(ErrMalformed, errNoEvents)
	}
}

// keepTextLocked saves what may be resumed of the text of a run that ended without a result: all of
// it but for the events held back, unless the run or a later one proved it wrong.
func (r *runner) keepTextLocked(x *run, err error) {
	switch {
	case errors.Is(err, ErrMalformed):
		r.retractLocked(x, x.startEvents, err)
	case errors.Is(err, errTextDisproved), errors.Is(err, errVersionsMixed):
		r.retractLocked(x, 0, err)
	default:
		r.saveProgressLocked(x)
		x.text.dropUnsaved()
	}
}

// handleRunErrorLocked decides when and where a sample is retried after a run without a result,
// and what that means for the run's engine e.
func (r *runner) handleRunErrorLocked(x *run, e *engine, err error, now time.Duration) {
	failed := r.retries[x.key].failed || errors.Is(err, ErrFailed)
	retry := retryState{notBefore: now + retryDelay, avoidEngine: x.incarnation}
	switch {
	case errors.Is(err, errHandedOver), errors.Is(err, errUnwanted):
		return
	case errors.Is(err, ErrPermanent):
		r.giveUpLocked(x.key, x.sampleID, "an engine reported that the sample can't be completed")
		return
	case errors.Is(err, ErrFailed):
		r.outbox.add(batch.Failed{Batch: x.key.batch, Item: x.key.index, AttemptID: uuid.NewString()})
		retry.notBefore = now + failedDelay
	case errors.Is(err, ErrRefused):
		e.fullUntil = now + engineRefusedDelay
	case errors.Is(err, errNoRoom):
		retry = retryState{notBefore: now + noRoomDelay}
	case errors.Is(err, errMoved):
		retry.notBefore = 0
	case errors.Is(err, errLogAhead):
		retry = retryState{}
	case errors.Is(err, ErrIdleConnection):
		retry.avoidEngine = "" // the engine isn't at fault
	case errors.Is(err, errWeightsTooOld):
		retry.notBefore = now + engineRefusedDelay
	case errors.Is(err, errVersionsMixed), errors.Is(err, errTextDisproved):
		retry = retryState{notBefore: now + retryDelay} // the engine isn't at fault
	case errors.Is(err, ErrMalformed):
		runsMalformed.Add(1)
		e.gap, e.unloadedGap = gapAverage{}, gapAverage{}
		if r.s.options.Policy.Enabled(policy.Suspicion) {
			r.s.options.Suspects.Failed(x.incarnation, now)
		}
	default:
		sampleRunsBroken.Add(1)
		if x.receivedEvents > x.startEvents {
			r.s.options.Suspects.Succeeded(x.incarnation) // it did until the run broke off
		}
		if r.s.options.Policy.Enabled(policy.Suspicion) {
			r.s.options.Suspects.Failed(x.incarnation, now)
		}
		if r.s.options.Policy.Enabled(policy.Trials) && !errors.Is(err, ErrDown) {
			retry.notBefore = now + crashCheckDelay
			r.checkCrashLocked(x)
		}
	}
	retry.failed = failed
	r.retries[x.key] = retry
}

// logRunEnd logs the end of a run.
func (r *runner) logRunEnd(x *run, err error, now time.Duration) {
	line := r.log.Info()
	if err != nil {
		line = r.log.Warn().Err(err)
	}
	line.Str("batch", x.key.batch).Str("sample", x.sampleID).Str("upstream", x.incarnation).Int("after", x.startEvents).
		Int("events", x.receivedEvents).Dur("took", now-x.startedAt).Dur("since_event", now-x.lastEventAt).Msg("sample run ended")
}
