package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// Reasons of our own for ending a run.
var (
	errHandedOver = errors.New("handed over to another daemon")
	errUnwanted   = errors.New("result no longer wanted")
	errMoved      = errors.New("moved to another engine")
	errOvertaken  = errors.New("the log has more of the text")
	errTooOld     = errors.New("engine's weights are too old for the batch")
	errMixed      = errors.New("weights changed within a sample of one version")
)

const (
	// refusedPause: an engine that is full or loading is asked again after it.
	engineRefusedPause = 150 * time.Millisecond
	// retryPause is the pause of a sample whose run broke off through no fault of its own.
	retryPause = 10 * time.Millisecond
	// failedPause follows a failure that the engine blamed on the sample.
	failedPause = 100 * time.Millisecond
)

// engine is what the runner knows of one incarnation.
type engine struct {
	running     int
	fullTo      time.Duration
	slowTo      time.Duration // slower than its peers
	vacantUntil time.Duration // it is to load weights as soon as its runs ended
	loading     bool
	orderAfter  time.Duration // no order before
	trial       bool          // a sample runs alone there, or is about to
	pace        gapAverage
	speed       gapAverage // as if it ran one sample: its hardware's, whatever the load
}

// observe takes the gap between two events of one of its samples.
func (e *engine) observe(gap, now time.Duration) {
	e.pace.observe(gap, now, gapMaxAge)
	e.speed.observe(batch.GapAlone(gap, e.running), now, speedMaxAge)
}

func (r *runner) engineLocked(id string) *engine {
	e := r.engines[id]
	if e == nil {
		e = &engine{}
		r.engines[id] = e
	}
	return e
}

// suspect reports whether an incarnation gets no work because it failed.
func (r *runner) suspect(incarnation string, now time.Duration) bool {
	return r.s.options.Suspects.Holds(incarnation, now)
}

// unusableLocked reports whether an engine gets no sample now.
func (r *runner) unusableLocked(incarnation string, now time.Duration) bool {
	return r.suspect(incarnation, now) || r.engineLocked(incarnation).unusable(now)
}

func (e *engine) unusable(now time.Duration) bool {
	return e.trial || e.loading || now < e.fullTo || now < e.vacantUntil || now < e.slowTo
}

// startLocked begins a run.
func (r *runner) startLocked(ctx context.Context, model string, u registry.Upstream, w batch.Waiting) {
	key := sampleKey{w.Batch, w.Index}
	r.partition.mu.Lock()
	b := r.partition.state.Get(w.Batch)
	requests := r.requests[w.Batch]
	if b == nil || requests == nil {
		r.partition.mu.Unlock()
		return
	}
	head := b.Head
	s := b.Samples[w.Index]
	t := r.textLocked(key, &s)
	r.partition.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	now := r.s.options.Now()
	x := &run{ctx: ctx, key: key, sampleID: s.ID, upstream: u, incarnation: u.Incarnation(), model: model, hasReward: s.Reward != "", expectedTokens: s.Expected, text: t, startedAt: now, cancel: cancel, startEvents: t.eventCount(), lastEventAt: now}
	r.runs[key] = x
	r.engineLocked(u.Incarnation()).running++
	ask := SampleRun{ID: s.ID, Host: head.Host, Customer: head.Customer, Request: requests[w.Index], After: t.eventCount()}
	if ask.After > 0 {
		samplesResumed.Add(1)
	}
	r.tasks.Go(func() {
		err := r.s.options.Engines.Run(ctx, u, ask, func(e batch.Event) { r.emit(x, head, e) })
		if cause := context.Cause(ctx); cause != nil {
			err = cause // also of a stream that reached its end: emit dropped events since
		}
		cancel(nil)
		r.ended(x, head, err)
	})
}

// emit takes an event of a run.
func (r *runner) emit(x *run, head batch.Head, e batch.Event) {
	now := r.s.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || x.ctx.Err() != nil {
		return
	}
	first := x.text.eventCount() == x.startEvents
	if first {
		r.s.options.View.Upstreams(func(reg *registry.Registry, _ time.Duration) {
			reg.Serves(x.upstream.ID, x.upstream.Started, x.model, e.Version)
		})
	}
	switch {
	case e.Version < head.MinVersion:
		x.cancel(errTooOld)
		return
	case head.SingleVersion && x.text.other(e.Version):
		x.cancel(errMixed)
		return
	}
	if !first {
		r.engineLocked(x.incarnation).observe(now-x.lastEventAt, now)
	}
	x.lastEventAt = now
	x.text.events = append(x.text.events, e)
	r.endTrialIfPassedLocked(x)
}

// ended takes a run's end.
func (r *runner) ended(x *run, head batch.Head, err error) {
	now := r.s.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	delete(r.runs, x.key)
	e := r.engineLocked(x.incarnation)
	e.running--
	e.trial = e.trial && !x.trial
	r.logEnd(x, err, now)
	sampleRunTime.Observe(now - x.startedAt)
	if err == nil {
		r.s.options.Suspects.Worked(x.incarnation)
		if x.startEvents == 0 {
			r.estimator.Observe(x.expectedTokens, x.text.eventCount(), now-x.startedAt)
		}
		if x.hasReward {
			r.saveCompleteTextLocked(x.key, x.text) // the next look makes its reward call
			return
		}
		r.completeLocked(x.key, x.text, "")
		delete(r.texts, x.key)
		return
	}
	r.saveProgressLocked(x.key, x.text)
	r.after(x, e, err, now)
}

// after decides what a broken run means for its sample and its engine.
func (r *runner) after(x *run, e *engine, err error, now time.Duration) {
	again := retryState{notBefore: now + retryPause, avoidEngine: x.incarnation}
	switch {
	case errors.Is(err, errHandedOver), errors.Is(err, errUnwanted):
		return
	case errors.Is(err, ErrImpossible):
		r.giveUpLocked(x.key, x.sampleID, "an engine says that it can't be done")
		return
	case errors.Is(err, ErrFailed):
		r.outbox.add(batch.Failed{Batch: x.key.batch, Item: x.key.index, Attempt: uuid.NewString()})
		again.notBefore = now + failedPause
	case errors.Is(err, ErrRefused):
		e.fullTo = now + engineRefusedPause
	case errors.Is(err, errMoved):
		again.notBefore = 0
	case errors.Is(err, errOvertaken):
		again = retryState{}
	case errors.Is(err, ErrIdleBroke):
		again.avoidEngine = "" // the engine isn't to blame
	case errors.Is(err, errTooOld):
		again.notBefore = now + engineRefusedPause
	case errors.Is(err, errMixed):
		delete(r.texts, x.key)
	default:
		sampleRunsBroken.Add(1)
		if x.text.eventCount() > x.startEvents {
			r.s.options.Suspects.Worked(x.incarnation) // until then
		}
		if r.s.options.Policy.On(policy.Suspicion) {
			r.s.options.Suspects.Failed(x.incarnation, now)
		}
		if r.s.options.Policy.On(policy.Trials) && !errors.Is(err, ErrDown) {
			again.notBefore = now + crashCheckDelay
			r.checkCrashLocked(x)
		}
	}
	r.retries[x.key] = again
}

func (r *runner) logEnd(x *run, err error, now time.Duration) {
	line := r.log.Info()
	if err != nil {
		line = r.log.Warn().Err(err)
	}
	line.Str("batch", x.key.batch).Str("sample", x.sampleID).Str("upstream", x.incarnation).Int("after", x.startEvents).
		Int("events", x.text.eventCount()).Dur("took", now-x.startedAt).Dur("since_event", now-x.lastEventAt).Msg("sample run ended")
}

// other reports whether the text has an event of another version.
func (t *text) other(version int64) bool {
	if len(t.versions) > 0 {
		return t.versions[0].Version != version
	}
	return len(t.events) > 0 && t.events[0].Version != version
}
