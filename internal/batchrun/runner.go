package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/boottime"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

const (
	// checkpointInterval is between two records of unfinished text: what a sample
	// loses at most when its owner dies, beside the time until the next owner has it.
	checkpointInterval = 400 * time.Millisecond
	// idleLook is between two looks at a partition without work.
	idleLook = 1000 * time.Millisecond
)

// runner runs the samples of one partition and orders its models' engines.
type runner struct {
	s       *Service
	part    *partition
	outbox  *outbox
	inTouch func() bool
	log     zerolog.Logger
	wakes   chan struct{}
	cancel  context.CancelFunc
	loop    sync.WaitGroup
	work    sync.WaitGroup // streams and orders

	mu       sync.Mutex
	stopping bool
	runs     map[sampleKey]*run
	texts    map[sampleKey]*text
	finished map[sampleKey]bool // a result is on its way to the log
	retries  map[sampleKey]retry
	engines  map[string]*engine
}

type sampleKey struct {
	batch string
	index int
}

// text is what this owner has of a sample's text.
type text struct {
	events []batch.Event
	saved  int    // events that are in the log or the outbox
	writer string // of this owner's work on the sample
	after  string // writer of the text that it began with
	base   int    // events that it began with
}

// retry is why and until when a sample isn't started again.
type retry struct {
	notBefore time.Duration
	avoid     string
}

// run is a sample's run on an engine.
type run struct {
	ctx     context.Context
	key     sampleKey
	id      string // the sample's
	engine  string
	model   string
	text    *text
	began   time.Duration
	cancel  context.CancelCauseFunc
	started int           // events had when the run began
	lastAt  time.Duration // of the last event
}

func newRunner(s *Service, p *partition, inTouch func() bool) *runner {
	log := s.options.Logger.With().Int("part", p.number).Logger()
	return &runner{
		s: s, part: p, outbox: newOutbox(s.options.Log, p.number, log), inTouch: inTouch, log: log,
		wakes: make(chan struct{}, 1), runs: map[sampleKey]*run{}, texts: map[sampleKey]*text{},
		finished: map[sampleKey]bool{}, retries: map[sampleKey]retry{}, engines: map[string]*engine{},
	}
}

func (r *runner) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.part.setWake(r.wake)
	r.loop.Go(func() { r.outbox.run(ctx) })
	r.loop.Go(func() { r.run(ctx) })
}

// stop ends all runs, waits until how far they came is in the log, and returns.
func (r *runner) stop(ctx context.Context) {
	r.part.setWake(nil)
	r.mu.Lock()
	r.stopping = true
	for _, x := range r.runs {
		x.cancel(errHandedOver)
	}
	r.checkpointLocked()
	r.mu.Unlock()
	r.outbox.flush(ctx)
	r.cancel()
	r.loop.Wait()
}

func (r *runner) wake() {
	select {
	case r.wakes <- struct{}{}:
	default:
	}
}

func (r *runner) run(ctx context.Context) {
	last := boottime.Now()
	for ctx.Err() == nil {
		changed := r.s.options.View.Changed()
		r.look(ctx)
		if now := boottime.Now(); now-last >= checkpointInterval {
			r.mu.Lock()
			r.checkpointLocked()
			r.mu.Unlock()
			last = now
		}
		timer := time.NewTimer(r.interval())
		select {
		case <-ctx.Done():
		case <-r.wakes:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *runner) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) > 0 || len(r.retries) > 0 {
		return lookInterval
	}
	return idleLook
}

// lookInterval is between two looks while there is work, beside those that events
// cause: engines under suspicion come back, slow ones show.
const lookInterval = 100 * time.Millisecond

// checkpointLocked writes the new events of all running samples.
func (r *runner) checkpointLocked() {
	for key, x := range r.runs {
		r.saveLocked(key, x.text)
	}
}

func (r *runner) saveLocked(key sampleKey, t *text) {
	if t.saved == len(t.events) {
		return
	}
	r.outbox.add(batch.Progress{
		Batch: key.batch, Item: key.index, From: t.saved, Events: t.events[t.saved:len(t.events):len(t.events)],
		Writer: t.writer, After: t.after, Base: t.base,
	})
	t.saved = len(t.events)
}

// textLocked returns what is had of a sample: the longer of this owner's text and
// the log's.
func (r *runner) textLocked(key sampleKey, s *batch.Sample) *text {
	t := r.texts[key]
	if t != nil && len(t.events) >= len(s.Events) {
		return t
	}
	t = &text{
		events: s.Events[:len(s.Events):len(s.Events)], saved: len(s.Events),
		writer: uuid.NewString(), after: s.Writer, base: len(s.Events),
	}
	r.texts[key] = t
	return t
}

var (
	samplesCompleted = metrics.Counter("samples_completed")
	samplesDead      = metrics.Counter("samples_given_up")
	samplesResumed   = metrics.Counter("samples_resumed")
	samplesBroken    = metrics.Counter("sample_runs_broken")
	sampleTime       = metrics.Latency("sample_run_ms")
)

func (r *runner) completeLocked(key sampleKey, events []batch.Event) {
	r.finished[key] = true
	r.outbox.add(batch.Result{Batch: key.batch, Item: key.index, State: batch.Completed, Events: events})
	samplesCompleted.Add(1)
}

func (r *runner) giveUpLocked(key sampleKey, id, why string) {
	r.finished[key] = true
	r.outbox.add(batch.Result{Batch: key.batch, Item: key.index, State: batch.Dead})
	samplesDead.Add(1)
	r.log.Warn().Str("batch", key.batch).Str("sample", id).Str("why", why).Msg("sample given up")
}
