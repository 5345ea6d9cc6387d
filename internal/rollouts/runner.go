package rollouts

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// runner drives one step. Its fields below the line belong to its goroutine
// alone; everybody else talks to it through the channels.
type runner struct {
	manager   *Manager
	key       stepKey
	content   contentHash
	groupSize int
	nonce     string // makes request IDs differ from those of other owners
	spec      *rollout.Spec
	// promptBytes is the size of the step's prompts.
	promptBytes int64

	events  chan rollout.Event
	pulls   chan *pull
	queries chan chan StatusResponse
	cancels chan struct{}
	done    chan struct{} // closed when the goroutine ends
	why     *Error        // why it ended; set before done is closed

	// ---
	step     *rollout.Step
	work     context.Context
	attempts map[attemptKey]context.CancelFunc // those running
	waiting  *pull                             // the newest pull, nil when none waits
	timer    *time.Timer                       // ends the waiting pull's wait
	draining bool
	answer   rollout.Deliver // the step's latest answer
	lastPull time.Time
	bound    int64         // as told to the step
	pressed  bool          // as told to the step: memory of all steps is full
	bytes    int64         // counted in the manager's so far
	tally    rollout.Tally // counted in the metrics so far
}

// attemptKey names a running attempt. Generating and scoring of one attempt
// don't overlap.
type attemptKey struct {
	id      rollout.SampleID
	attempt uint32
}

// eventBuffer lets results queue up while the runner is busy.
const eventBuffer = 64

func newRunner(m *Manager, k stepKey, step *rollout.Step, content contentHash) *runner {
	prompts := promptBytes(step.Spec().Prompts)
	m.bytes.Add(prompts)
	return &runner{
		promptBytes: prompts,
		bytes:       prompts,
		manager:     m,
		key:         k,
		content:     content,
		groupSize:   step.Spec().GroupSize,
		nonce:       newNonce(),
		spec:        step.Spec(),
		events:      make(chan rollout.Event, eventBuffer),
		pulls:       make(chan *pull),
		queries:     make(chan chan StatusResponse),
		cancels:     make(chan struct{}),
		done:        make(chan struct{}),
		step:        step,
		attempts:    map[attemptKey]context.CancelFunc{},
		bound:       step.Spec().StalenessBound,
	}
}

func newNonce() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// launch starts the runner's goroutine. The cursor of a repeated submission
// comes first, so that no group that the trainer holds is started.
func (m *Manager) launch(r *runner, have *roaring.Bitmap, v ident.Version) {
	m.options.Log.Info().Stringer("step", r.key).Int("groups", len(r.spec.Prompts)).Msg("step taken")
	go func() {
		defer m.runners.Done()
		r.run(rollout.Cursor{Have: have, TrainerVersion: v})
	}()
}

func (r *runner) run(first rollout.Event) {
	work, stopWork := context.WithCancel(r.manager.base)
	defer stopWork()
	r.work = work
	r.lastPull = time.Now()
	r.record(StepTaken, r.step.NewestVersion(), fmt.Sprintf("%d groups of %d", len(r.spec.Prompts), r.groupSize))
	r.why = r.loop(first)
	r.feed(rollout.Cancel{})
	r.count()
	r.holdBytes(0)
	r.manager.remove(r)
	if r.waiting != nil {
		r.waiting.reply <- pullReply{err: r.why}
	}
	close(r.done)
	r.record(StepEnded, r.step.NewestVersion(), r.why.Error())
	r.manager.options.Log.Info().Stringer("step", r.key).Str("why", r.why.Error()).Msg("step ended")
}

// loop runs until the step ends and says why it did.
func (r *runner) loop(first rollout.Event) *Error {
	ticker := time.NewTicker(r.manager.options.TickInterval)
	defer ticker.Stop()
	r.timer = time.NewTimer(0)
	defer r.timer.Stop()
	if why := r.followSettings(); why != nil {
		return why
	}
	r.observe()
	r.feed(first)
	drain := r.manager.draining
	var graceOver <-chan time.Time
	for {
		select {
		case e := <-r.events:
			r.recordResult(e)
			r.forget(e)
			r.feed(e)
		case p := <-r.pulls:
			r.arrive(p)
		case q := <-r.queries:
			q <- r.statusNow()
		case <-r.cancels:
			stepsCancelled.Add(1)
			return &Error{Kind: Cancelled, Reason: "the step was cancelled"}
		case <-ticker.C:
			if why := r.tick(); why != nil {
				return why
			}
		case <-r.timer.C:
		case <-drain:
			drain = nil
			r.draining = true
			graceOver = time.After(r.manager.options.DrainGrace)
		case <-graceOver:
			return r.giveUp()
		case <-r.work.Done():
			return draining()
		}
		r.answerIfDue()
		if r.draining && r.step.DeliverableGroups() == 0 {
			return r.giveUp()
		}
	}
}

// giveUp ends the step in a drain. UnknownStep has the trainer submit again.
func (r *runner) giveUp() *Error {
	stepsGivenUp.Add(1)
	return unknownStep(r.key)
}

// tick looks at everything that isn't told by an event.
func (r *runner) tick() *Error {
	if why := r.followSettings(); why != nil {
		stepsCancelled.Add(1)
		return why
	}
	r.observe()
	r.feed(rollout.Tick{})
	r.count()
	if full := r.manager.full(0); full != r.pressed {
		r.pressed = full
		r.feed(rollout.MemoryPressure{Full: full})
	}
	if r.waiting == nil && time.Since(r.lastPull) > r.idleTimeout() {
		stepsIdle.Add(1)
		return unknownStep(r.key)
	}
	return nil
}

func (r *runner) idleTimeout() time.Duration {
	options := &r.manager.options
	if r.step.HeldGroups() == len(r.spec.Prompts) {
		return options.FinishedTimeout
	}
	if _, self := options.Peers.Owner(r.key.ownerKey()); !self {
		return options.ForeignTimeout
	}
	return options.IdleTimeout
}

// followSettings ends a step whose job was cancelled or removed and takes over
// another staleness bound.
func (r *runner) followSettings() *Error {
	settings, ok := r.manager.options.Jobs.Job(r.key.team, r.key.job)
	if !ok {
		return unknownJob(r.key.job)
	}
	if settings.Cancelled {
		return &Error{Kind: Cancelled, Reason: "the job is cancelled in the configuration"}
	}
	if settings.Bound != r.bound {
		r.bound = settings.Bound
		r.feed(rollout.SetStalenessBound{Bound: settings.Bound})
	}
	return nil
}

// observe tells the step of the newest published version, or the other way round.
func (r *runner) observe() {
	versions := r.manager.options.Versions
	v, known := versions.NewestPublished(r.spec.Model), r.step.NewestVersion()
	if v > known {
		r.feed(rollout.NewestVersion{Version: v})
	}
	if v < known {
		versions.Expect(r.spec.Model, known)
	}
}

// holdBytes makes n this step's share of the bytes held by all steps.
func (r *runner) holdBytes(n int64) {
	bytesHeld.Set(r.manager.bytes.Add(n - r.bytes))
	r.bytes = n
}

// count adds what the step tallied since the last time to the metrics.
func (r *runner) count() {
	counts := r.step.Counts()
	r.holdBytes(r.promptBytes + int64(counts.Bytes))
	now := counts.Tally
	attemptsStarted.Add(int64(now.Attempts - r.tally.Attempts))
	attemptsFailed.Add(int64(now.Failures - r.tally.Failures))
	samplesStale.Add(int64(now.Stale - r.tally.Stale))
	unlabelled.Add(int64(now.Unlabelled - r.tally.Unlabelled))
	groupsFailed.Add(int64(now.FailedGroups - r.tally.FailedGroups))
	groupsOffered.Add(int64(now.Offered - r.tally.Offered))
	r.tally = now
}
