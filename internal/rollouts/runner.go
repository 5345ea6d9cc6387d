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

// runner runs one step in its own goroutine.
type runner struct {
	manager     *Manager
	key         stepKey
	content     contentHash
	groupSize   int
	nonce       string // makes request IDs differ from those of other owners
	spec        *rollout.Spec
	promptBytes int64 // size of the step's prompts

	// Other goroutines communicate with the runner only through these channels.
	events         chan rollout.Event
	pulls          chan *pull
	statusRequests chan chan StatusResponse
	cancelRequests chan struct{}
	done           chan struct{} // closed when the goroutine ends
	endErr         *Error        // why the step ended; set before done is closed

	// The fields below are used only by the runner's goroutine.
	step           *rollout.Step
	workCtx        context.Context                   // parent context of the step's work
	cancelFuncs    map[attemptKey]context.CancelFunc // for each running attempt
	waitingPull    *pull                             // the newest pull, nil if none is waiting
	pullTimer      *time.Timer                       // fires at the deadline of the waiting pull
	draining       bool
	lastAnswer     rollout.Deliver // the latest answer emitted by the step
	lastPullAt     time.Time
	stalenessBound int64         // last value passed to the step
	memoryFull     bool          // last value passed to the step: the memory for all steps is full
	reportedBytes  int64         // this step's current share of Manager.heldBytes
	reportedTally  rollout.Tally // already added to the metrics
}

// attemptKey identifies an attempt that is generating or being scored. One attempt is
// never both at the same time.
type attemptKey struct {
	id      rollout.SampleID
	attempt uint32
}

// eventBufferSize lets results queue up while the runner is busy.
const eventBufferSize = 64

func newRunner(m *Manager, k stepKey, step *rollout.Step, content contentHash) *runner {
	prompts := promptBytes(step.Spec().Prompts)
	m.heldBytes.Add(prompts)
	return &runner{
		promptBytes:    prompts,
		reportedBytes:  prompts,
		manager:        m,
		key:            k,
		content:        content,
		groupSize:      step.Spec().GroupSize,
		nonce:          newNonce(),
		spec:           step.Spec(),
		events:         make(chan rollout.Event, eventBufferSize),
		pulls:          make(chan *pull),
		statusRequests: make(chan chan StatusResponse),
		cancelRequests: make(chan struct{}),
		done:           make(chan struct{}),
		step:           step,
		cancelFuncs:    map[attemptKey]context.CancelFunc{},
		stalenessBound: step.Spec().StalenessBound,
	}
}

func newNonce() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// startRunner starts the runner's goroutine. Its first event is the cursor of the
// submission, so no group is started that the trainer already holds.
func (m *Manager) startRunner(r *runner, have *roaring.Bitmap, trainerVersion ident.Version) {
	m.options.Log.Info().Stringer("step", r.key).Int("groups", len(r.spec.Prompts)).Msg("step accepted")
	go func() {
		defer m.runners.Done()
		r.run(rollout.Cursor{Have: have, TrainerVersion: trainerVersion})
	}()
}

// run runs the step until it ends, then releases its resources and fails a waiting pull.
func (r *runner) run(first rollout.Event) {
	workCtx, stopWork := context.WithCancel(r.manager.baseCtx)
	defer stopWork()
	r.workCtx = workCtx
	r.lastPullAt = time.Now()
	r.recordStepEvent(StepTaken, r.step.NewestVersion(), fmt.Sprintf("%d groups of %d", len(r.spec.Prompts), r.groupSize))
	r.endErr = r.loop(first)
	r.handle(rollout.Cancel{})
	r.reportMetrics()
	r.reportBytes(0)
	r.manager.remove(r)
	if r.waitingPull != nil {
		r.waitingPull.reply <- pullReply{err: r.endErr}
	}
	close(r.done)
	r.recordStepEvent(StepEnded, r.step.NewestVersion(), r.endErr.Error())
	r.manager.options.Log.Info().Stringer("step", r.key).Str("why", r.endErr.Error()).Msg("step ended")
}

// loop handles events until the step ends. It returns why the step ended.
func (r *runner) loop(first rollout.Event) *Error {
	ticker := time.NewTicker(r.manager.options.TickInterval)
	defer ticker.Stop()
	r.pullTimer = time.NewTimer(0)
	defer r.pullTimer.Stop()
	if err := r.syncSettings(); err != nil {
		return err
	}
	r.syncVersions()
	r.handle(first)
	drain := r.manager.draining
	var graceExpired <-chan time.Time
	for {
		select {
		case e := <-r.events:
			r.recordResult(e)
			r.removeAttempt(e)
			r.handle(e)
		case p := <-r.pulls:
			r.acceptPull(p)
		case reply := <-r.statusRequests:
			reply <- r.currentStatus()
		case <-r.cancelRequests:
			stepsCancelled.Add(1)
			return &Error{Kind: Cancelled, Reason: "the step was cancelled"}
		case <-ticker.C:
			if err := r.tick(); err != nil {
				return err
			}
		case <-r.pullTimer.C:
		case <-drain:
			drain = nil
			r.draining = true
			graceExpired = time.After(r.manager.options.DrainGrace)
		case <-graceExpired:
			return r.giveUpDraining()
		case <-r.workCtx.Done():
			return drainingError()
		}
		r.answerIfDue()
		if r.draining && r.step.DeliverableGroups() == 0 {
			return r.giveUpDraining()
		}
	}
}

// giveUpDraining ends the step because the daemon is draining. The error is UnknownStep,
// so the trainer submits the step again.
func (r *runner) giveUpDraining() *Error {
	stepsGivenUpDraining.Add(1)
	return unknownStepError(r.key)
}

// tick checks everything that no event reports. It returns an error if the step ends.
func (r *runner) tick() *Error {
	if err := r.syncSettings(); err != nil {
		stepsCancelled.Add(1)
		return err
	}
	r.syncVersions()
	r.handle(rollout.Tick{})
	r.reportMetrics()
	if full := r.manager.exceedsMemory(0); full != r.memoryFull {
		r.memoryFull = full
		r.handle(rollout.MemoryPressure{Full: full})
	}
	if r.waitingPull == nil && time.Since(r.lastPullAt) > r.idleTimeout() {
		stepsDroppedIdle.Add(1)
		return unknownStepError(r.key)
	}
	return nil
}

// idleTimeout returns how long the step may go without a pull before it is dropped.
func (r *runner) idleTimeout() time.Duration {
	options := &r.manager.options
	if r.step.HeldGroups() == len(r.spec.Prompts) {
		return options.FinishedIdleTimeout
	}
	if _, self := options.Peers.Owner(r.key.ownerKey()); !self {
		return options.NonOwnerIdleTimeout
	}
	return options.IdleTimeout
}

// syncSettings applies a changed staleness bound to the step. It returns an error if the
// job was cancelled or removed, which ends the step.
func (r *runner) syncSettings() *Error {
	settings, ok := r.manager.options.Jobs.Job(r.key.team, r.key.job)
	if !ok {
		return unknownJobError(r.key.job)
	}
	if settings.Cancelled {
		return &Error{Kind: Cancelled, Reason: "the job is cancelled in the configuration"}
	}
	if settings.StalenessBound != r.stalenessBound {
		r.stalenessBound = settings.StalenessBound
		r.handle(rollout.SetStalenessBound{Bound: settings.StalenessBound})
	}
	return nil
}

// syncVersions passes the newest published version to the step. If the step knows a newer
// one, it reports that one to Versions instead.
func (r *runner) syncVersions() {
	versions := r.manager.options.Versions
	published, known := versions.NewestPublished(r.spec.Model), r.step.NewestVersion()
	if published > known {
		r.handle(rollout.NewestVersion{Version: published})
	}
	if published < known {
		versions.Expect(r.spec.Model, known)
	}
}

// reportBytes changes this step's share of the bytes held by all steps to n.
func (r *runner) reportBytes(n int64) {
	bytesHeldGauge.Set(r.manager.heldBytes.Add(n - r.reportedBytes))
	r.reportedBytes = n
}

// reportMetrics adds the changes of the step's counters since the last call to the metrics.
func (r *runner) reportMetrics() {
	counts := r.step.Counts()
	r.reportBytes(r.promptBytes + int64(counts.Bytes))
	tally := counts.Tally
	attemptsStarted.Add(int64(tally.Attempts - r.reportedTally.Attempts))
	attemptsFailed.Add(int64(tally.Failures - r.reportedTally.Failures))
	samplesStale.Add(int64(tally.Stale - r.reportedTally.Stale))
	samplesUnlabelled.Add(int64(tally.Unlabelled - r.reportedTally.Unlabelled))
	groupsFailed.Add(int64(tally.FailedGroups - r.reportedTally.FailedGroups))
	groupsOffered.Add(int64(tally.Offered - r.reportedTally.Offered))
	r.reportedTally = tally
}
