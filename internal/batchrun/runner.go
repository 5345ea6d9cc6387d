package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/crashes"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// checkpointInterval is the time between two checkpoints of unfinished text. It is the
	// most generation time that a sample loses when its owner dies, apart from the time
	// until the next owner takes it over.
	checkpointInterval = 400 * time.Millisecond
	// idleInterval is the time between two reconcile passes of a partition without work.
	idleInterval = 1000 * time.Millisecond
)

// runner runs the samples of one partition and orders its models' engines to load weights.
type runner struct {
	s         *Service
	partition *partition
	outbox    *outbox
	inContact func() bool // reports whether the group has answered recently
	log       zerolog.Logger
	wakeups   chan struct{} // requests a reconcile pass
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	tasks     sync.WaitGroup // runs, loads and calls in the background

	mu        sync.Mutex
	stopping  bool
	assigning bool // a partition is being assigned to a model that has none
	// releaseUpstreams releases the hold on all upstreams, nil while it isn't held.
	releaseUpstreams func()
	demandNotBefore  map[string]time.Duration // by model, when its demand may be recorded again
	runs             map[sampleKey]*run
	texts            map[sampleKey]*text
	rewardCalls      map[sampleKey]*rewardCall
	// estimator learns how long samples run. It is common to all models, since they share
	// engines.
	estimator          *batch.Estimator
	finished           map[sampleKey]bool // their result is in the outbox
	retries            map[sampleKey]retryState
	crashes            *crashes.SampleTracker[sampleKey]
	crashChecks        map[string][]brokenRun   // by incarnation being checked, the runs that broke there
	isolationSuspended map[pool]bool            // the pool's suspects run beside other samples
	engines            map[string]*engine       // by incarnation
	requests           map[string]batchRequests // by ID of an open batch
	awaitingConfig     map[string]bool          // by ID of an open batch, it was accepted by a newer configuration
	ignoredResults     []sampleKey              // of results that had no effect, under ignoredMu

	ignoredMu sync.Mutex // separate from mu, because it is locked under the partition's lock
}

// sampleKey identifies a sample by its batch's ID and its index there.
type sampleKey struct {
	batch string
	index int
}

// retryState is how a sample may be started again after a run of it failed.
type retryState struct {
	notBefore   time.Duration
	avoidEngine string // incarnation of the engine that failed, "" if it isn't at fault
	failed      bool   // an engine answered one of this owner's runs with a failure
}

// run is a sample's run on an engine.
type run struct {
	ctx            context.Context
	key            sampleKey
	sampleID       string
	upstream       registry.Upstream
	incarnation    string // of upstream
	pool           pool   // that it was placed in
	hasReward      bool   // a reward call follows
	expectedTokens int    // estimated by the caller
	text           *text
	startedAt      time.Duration
	cancel         context.CancelCauseFunc
	trial          bool          // alone on its engine, see crashes.Samples
	startEvents    int           // number of events in the text before this run, all saved
	startWriter    string        // of the last segment before this run
	receivedEvents int           // of the text, including those before this run
	lastEventAt    time.Duration // when the last event arrived, or startedAt
	// lease is on the memory of the text's unsaved events, nil while there are none. Used by
	// textMemory.
	lease *membudget.Lease
}

func newRunner(s *Service, p *partition, inContact func() bool) *runner {
	log := s.options.Logger.With().Int("part", p.number).Logger()
	return &runner{
		s: s, partition: p, outbox: newOutbox(s.options.Log, s.blobs, p.number, log), inContact: inContact, log: log,
		wakeups: make(chan struct{}, 1), runs: map[sampleKey]*run{}, texts: map[sampleKey]*text{}, rewardCalls: map[sampleKey]*rewardCall{}, estimator: batch.NewEstimator(),
		demandNotBefore: map[string]time.Duration{}, requests: map[string]batchRequests{}, finished: map[sampleKey]bool{}, retries: map[sampleKey]retryState{}, engines: map[string]*engine{},
		crashes: crashes.NewSampleTracker[sampleKey](), crashChecks: map[string][]brokenRun{}, isolationSuspended: map[pool]bool{}, awaitingConfig: map[string]bool{},
	}
}

// start runs the partition's samples until stop is called or the context ends.
func (r *runner) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.partition.setOwnerCallbacks(r.wake, r.onResultIgnored)
	r.loops.Go(func() { r.outbox.run(ctx) })
	r.loops.Go(func() { r.run(ctx) })
}

// stop cancels all runs and reward calls, and waits until the runs' progress is in the log
// or the context ends.
func (r *runner) stop(ctx context.Context) {
	r.partition.setOwnerCallbacks(nil, nil)
	r.mu.Lock()
	r.stopping = true
	for _, x := range r.runs {
		x.cancel(errHandedOver)
	}
	for key := range r.rewardCalls {
		r.cancelRewardCallLocked(key)
	}
	r.checkpointLocked()
	r.mu.Unlock()
	r.outbox.flush(ctx)
	r.cancel()
	r.loops.Wait()
	r.outbox.discard()
	r.mu.Lock()
	for id := range r.requests {
		r.dropRequestsLocked(id)
	}
	r.mu.Unlock()
	if r.releaseUpstreams != nil {
		r.releaseUpstreams()
	}
}

// wake requests a reconcile pass.
func (r *runner) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// run makes reconcile passes and checkpoints until the context ends.
func (r *runner) run(ctx context.Context) {
	last := r.s.options.Now()
	for ctx.Err() == nil {
		changed := r.s.options.View.Changed()
		began := time.Now()
		r.reconcile(ctx)
		pause.For(ctx, min(restFactor*time.Since(began), reconcileInterval))
		if now := r.s.options.Now(); now-last >= checkpointInterval && r.s.options.Policy.Enabled(policy.Checkpoints) {
			r.mu.Lock()
			r.checkpointLocked()
			r.mu.Unlock()
			last = now
		}
		timer := time.NewTimer(r.interval())
		select {
		case <-ctx.Done():
		case <-r.wakeups:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// interval returns the longest wait until the next reconcile pass.
func (r *runner) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) > 0 || len(r.retries) > 0 || len(r.rewardCalls) > 0 {
		return reconcileInterval
	}
	return idleInterval
}

// restFactor is the pause after a reconcile pass, as a multiple of the pass's duration. A
// pass goes over all engines of the partition's models, and every event may cause one: with
// thousands of engines an owner would do nothing else. With the pause, passes take a fifth
// of its time at most.
const restFactor = 4

// reconcileInterval is the time between two reconcile passes while there is work, besides
// those that events cause. It bounds how late it is noticed that a suspect engine may be
// used again or that an engine has become slow.
const reconcileInterval = 100 * time.Millisecond

// checkpointLocked saves the new events of all running samples.
func (r *runner) checkpointLocked() {
	for _, x := range r.runs {
		r.saveProgressLocked(x)
	}
}

// heldBack is how many events at the end of an unfinished text aren't saved. The next run is asked
// for them again: if it has none there, the text was longer than the sample's, and is wrong.
const heldBack = 1

// saveProgressLocked queues records with the events of a run's text that aren't saved yet, but for
// those held back.
func (r *runner) saveProgressLocked(x *run) {
	if n := len(x.text.events) - heldBack; n > 0 {
		r.queueTextLocked(x.key, x.text, x, n, func(l batch.TextPosition, s batch.Segment) any {
			return batch.Progress{Batch: x.key.batch, Item: x.key.index, Position: l, Segment: s}
		})
	}
}

// saveCompleteTextLocked queues the end of a run's text that is scored next.
func (r *runner) saveCompleteTextLocked(x *run) {
	x.text.complete = true
	r.queueTextLocked(x.key, x.text, x, len(x.text.events), func(l batch.TextPosition, s batch.Segment) any {
		return batch.Progress{Batch: x.key.batch, Item: x.key.index, Position: l, Segment: s, TextComplete: true}
	})
}

// queueTextLocked queues a record with the first n events of a text that aren't saved yet. x is the
// run that holds their memory, nil if there are none. What doesn't fit into one record goes before,
// in records of progress.
func (r *runner) queueTextLocked(key sampleKey, t *text, x *run, n int, record func(batch.TextPosition, batch.Segment) any) {
	if n == 0 {
		r.outbox.add(record(t.link(), batch.Segment{Offset: noBlob}))
		return
	}
	parts := batch.SplitText(t.events[:n], r.s.options.RecordBytes)
	for i, n := range parts {
		link, before := t.link(), t.unsavedBytes
		events := t.takeUnsaved(n)
		segment := func(s batch.Segment) any {
			return batch.Progress{Batch: key.batch, Item: key.index, Position: link, Segment: s}
		}
		if i == len(parts)-1 {
			segment = func(s batch.Segment) any { return record(link, s) }
		}
		r.outbox.addText(events, func(blob int64) *membudget.Lease { return r.s.texts.move(x, before-t.unsavedBytes, blob) }, segment)
	}
}

// retractLocked takes back what a run's text has behind its first kept events, in the log too.
func (r *runner) retractLocked(x *run, kept int, why error) {
	t := x.text
	t.dropUnsaved()
	if t.position() == kept {
		return // nothing of it was saved
	}
	textsRetracted.Add(1)
	r.log.Warn().Str("batch", x.key.batch).Str("sample", x.sampleID).Str("upstream", x.incarnation).Int("events", t.position()).Int("kept", kept).
		Err(why).Msg("text retracted")
	r.outbox.add(batch.Retracted{Batch: x.key.batch, Item: x.key.index, End: t.link(), Kept: kept})
	next := &text{writer: uuid.NewString(), supersedesLog: true}
	if kept > 0 {
		next.baseEvents, next.baseWriter, next.firstVersion = kept, x.startWriter, t.firstVersion
	}
	r.texts[x.key] = next
}

// textLocked returns a sample's text so far: the longer of this owner's and the log's.
func (r *runner) textLocked(key sampleKey, s *batch.Sample) *text {
	t := r.texts[key]
	if t != nil && !t.isBehind(s.Text.Events) {
		return t
	}
	t = &text{baseEvents: s.Text.Events, baseWriter: s.Text.Writer, firstVersion: s.Text.FirstVersion(), writer: uuid.NewString()}
	r.texts[key] = t
	return t
}

// onResultIgnored is called when a result of this owner had no effect.
func (r *runner) onResultIgnored(key sampleKey) {
	r.ignoredMu.Lock()
	r.ignoredResults = append(r.ignoredResults, key)
	r.ignoredMu.Unlock()
	r.wake()
}

// resetIgnoredLocked forgets this owner's texts of samples whose results had no effect, so
// that they run again.
func (r *runner) resetIgnoredLocked() {
	r.ignoredMu.Lock()
	keys := r.ignoredResults
	r.ignoredResults = nil
	r.ignoredMu.Unlock()
	for _, key := range keys {
		r.log.Warn().Str("batch", key.batch).Int("item", key.index).Msg("result had no effect, running the sample again")
		delete(r.finished, key)
		delete(r.texts, key)
		r.cancelRewardCallLocked(key)
	}
}

var (
	samplesCompleted = metrics.Counter("samples_completed")
	samplesGivenUp   = metrics.Counter("samples_given_up")
	samplesResumed   = metrics.Counter("samples_resumed")
	textsRetracted   = metrics.Counter("sample_texts_retracted")
	sampleRunsBroken = metrics.Counter("sample_runs_broken")
	sampleRunTime    = metrics.Latency("sample_run_ms")
)

// completeLocked queues a sample's result with the rest of its text, and the score of its
// reward call if it has one. x is the run that holds the rest, nil if all is saved.
func (r *runner) completeLocked(key sampleKey, t *text, x *run, score string) {
	r.finished[key] = true
	samplesCompleted.Add(1)
	r.queueTextLocked(key, t, x, len(t.events), func(l batch.TextPosition, s batch.Segment) any {
		return batch.Result{Batch: key.batch, Item: key.index, State: batch.Completed, Position: l, Segment: s, Score: score}
	})
}

// noBlob is the blob offset of a segment without events.
const noBlob = -1

// giveUpLocked queues the result of a sample that won't be completed.
func (r *runner) giveUpLocked(key sampleKey, id, why string) {
	r.finished[key] = true
	r.outbox.add(batch.Result{Batch: key.batch, Item: key.index, State: batch.GivenUp})
	samplesGivenUp.Add(1)
	r.log.Warn().Str("batch", key.batch).Str("sample", id).Str("why", why).Msg("sample given up")
}
