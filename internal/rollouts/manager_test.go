package rollouts

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

const (
	team = ident.Team("koperasi")
	job  = ident.Job("drafts")
)

// cluster holds the daemons of a test and fakes what they share: engines, a scorer, the
// configuration and the weight store. Time is synctest's fake clock.
type cluster struct {
	t                *testing.T
	mu               sync.Mutex
	settings         JobSettings
	jobExists        bool // in the configuration
	publishedVersion ident.Version
	generateTime     time.Duration // of each attempt
	poisonPrompt     string        // text of a prompt that can't be generated
	owner            ident.VM
	forwardErrors    map[ident.VM]error // returned when forwarding to a VM; for errFrozen the call never returns
	managers         map[ident.VM]*Manager
	runningAttempts  int
	expectedVersions []ident.Version // passed to Expect
}

var (
	errRefused = errors.New("connection refused")
	errFrozen  = errors.New("frozen")
)

// runCluster runs body with a cluster of two daemons, "a" (the owner) and "b".
func runCluster(t *testing.T, body func(*cluster, Gomega)) {
	synctest.Test(t, func(t *testing.T) {
		w := &cluster{
			t:                t,
			settings:         JobSettings{Model: "clerk", Scorer: "rolls", GroupSize: 2, StalenessBound: 2},
			jobExists:        true,
			publishedVersion: 5,
			generateTime:     time.Second,
			owner:            "a",
			forwardErrors:    map[ident.VM]error{},
			managers:         map[ident.VM]*Manager{},
		}
		w.startDaemon("a")
		w.startDaemon("b")
		defer w.close()
		body(w, NewWithT(t))
	})
}

func (w *cluster) startDaemon(vm ident.VM) *Manager {
	w.managers[vm] = New(Options{Generator: w, Scorer: w, Versions: w, Jobs: w, Peers: clusterPeers{w, vm}, Log: zerolog.Nop()})
	return w.managers[vm]
}

// close stops the daemons, even after a failed expectation.
func (w *cluster) close() {
	for _, m := range w.managers {
		m.Close()
	}
	synctest.Wait()
	if w.runningAttempts != 0 {
		w.t.Errorf("%d attempts left running", w.runningAttempts)
	}
}

// update changes the cluster under its lock.
func (w *cluster) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *cluster) NewestPublished(ident.Model) ident.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.publishedVersion
}

func (w *cluster) Expect(_ ident.Model, v ident.Version) {
	w.update(func() { w.expectedVersions = append(w.expectedVersions, v) })
}

func (w *cluster) Job(ident.Team, ident.Job) (JobSettings, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settings, w.jobExists
}

func (w *cluster) Generate(ctx context.Context, r GenerateRequest, began func(ident.Version)) (Generated, error) {
	v := w.NewestPublished(r.Model)
	w.update(func() { w.runningAttempts++ })
	defer w.update(func() { w.runningAttempts-- })
	began(v)
	select {
	case <-ctx.Done():
		return Generated{}, ctx.Err()
	case <-time.After(w.generateTime):
	}
	if r.Prompt == w.poisonPrompt {
		return Generated{}, &AttemptError{Failure: rollout.Failure{Kind: rollout.Poison, Reason: "poison"}, Err: errRefused}
	}
	return Generated{Text: string(r.ID), Tokens: 4, Segments: []rollout.Segment{{Version: v, To: 4}}}, nil
}

func (w *cluster) Score(context.Context, ScoreRequest) (float64, error) { return 0.5, nil }

// clusterPeers implements Peers for one daemon.
type clusterPeers struct {
	*cluster
	self ident.VM
}

func (p clusterPeers) Owner(string) (ident.VM, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner, p.owner == p.self
}

// managerAt returns the manager of a VM, or the error with which forwarding to it fails.
func (p clusterPeers) managerAt(ctx context.Context, vm ident.VM) (*Manager, error) {
	p.mu.Lock()
	m, err := p.managers[vm], p.forwardErrors[vm]
	p.mu.Unlock()
	if errors.Is(err, errFrozen) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m, err
}

func (p clusterPeers) ForwardSubmit(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r SubmitRequest) (SubmitResponse, error) {
	m, err := p.managerAt(ctx, vm)
	if err != nil {
		return SubmitResponse{}, err
	}
	return m.SubmitLocal(ctx, team, job, step, r)
}

func (p clusterPeers) ForwardPull(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r PullRequest) (*PullResponse, error) {
	m, err := p.managerAt(ctx, vm)
	if err != nil {
		return nil, err
	}
	return m.PullLocal(ctx, team, job, step, r)
}

func (p clusterPeers) ForwardStatus(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error) {
	m, err := p.managerAt(ctx, vm)
	if err != nil {
		return StatusResponse{}, err
	}
	return m.StatusLocal(ctx, team, job, step)
}

func (p clusterPeers) ForwardCancel(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) error {
	m, err := p.managerAt(ctx, vm)
	if err != nil {
		return err
	}
	return m.CancelLocal(ctx, team, job, step)
}

// newSubmitRequest returns a submission with n prompts.
func newSubmitRequest(n int) SubmitRequest {
	r := SubmitRequest{TrainerVersion: 5}
	for g := range n {
		r.Prompts = append(r.Prompts, rollout.Prompt{Text: fmt.Sprintf("prompt %d", g)})
	}
	return r
}

// submit submits step 1 to a daemon.
func (w *cluster) submit(vm ident.VM, r SubmitRequest) (SubmitResponse, error) {
	return w.managers[vm].Submit(w.t.Context(), team, job, 1, r)
}

// pull pulls step 1 from a daemon with a wait time of 2 s.
func (w *cluster) pull(vm ident.VM, trainerVersion ident.Version, have ...uint32) (*PullResponse, error) {
	cursor, _ := EncodeCursor(roaring.BitmapOf(have...))
	return w.managers[vm].Pull(w.t.Context(), team, job, 1, PullRequest{Have: cursor, TrainerVersion: trainerVersion, WaitMillis: 2000})
}

// errorKind returns the kind of an *Error, or -1 for other errors.
func errorKind(err error) Kind {
	var e *Error
	if !errors.As(err, &e) {
		return -1
	}
	return e.Kind
}

func TestSubmitAndPullThroughAnyDaemon(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		r, err := w.submit("b", newSubmitRequest(3))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r).To(Equal(SubmitResponse{Job: job, Step: 1, Groups: 3, GroupSize: 2, Created: true}))
		r, err = w.submit("a", newSubmitRequest(3))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Created).To(BeFalse())
		_, err = w.submit("b", newSubmitRequest(2))
		g.Expect(errorKind(err)).To(Equal(Conflict))
		var have []uint32
		for len(have) < 3 {
			answer, err := w.pull("b", 5, have...)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.End).To(BeTrue())
			for _, group := range answer.Groups {
				g.Expect(have).NotTo(ContainElement(uint32(group.Number)))
				g.Expect(group.Samples).To(HaveLen(2))
				have = append(have, uint32(group.Number))
			}
			g.Expect(answer.Whole).To(Equal(len(have) == 3))
		}
		_, err = w.pull("b", 5, have...) // this cursor tells the owner which groups arrived
		g.Expect(err).NotTo(HaveOccurred())
		status, err := w.managers["b"].Status(w.t.Context(), team, job, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Counts.HeldGroups).To(Equal(3))
		g.Expect(status.Counts.Ready).To(BeZero())
	})
}

// Failure: the owner crashes in the middle of a step, or freezes so that its connections
// stay open without an answer. The trainer must get UnknownStep within its wait time plus
// two seconds, submit the step again through the same daemon, and get the groups that it
// doesn't hold yet.
func TestOwnerLost(t *testing.T) {
	for name, fault := range map[string]error{"killed": errRefused, "frozen": errFrozen} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(w *cluster, g Gomega) {
				_, err := w.submit("b", newSubmitRequest(4))
				g.Expect(err).NotTo(HaveOccurred())
				w.update(func() { w.forwardErrors["a"] = fault })
				start := time.Now()
				_, err = w.pull("b", 5)
				g.Expect(errorKind(err)).To(Equal(UnknownStep))
				g.Expect(time.Since(start)).To(BeNumerically("<=", 4*time.Second))
				resubmit := newSubmitRequest(4)
				resubmit.Have, _ = EncodeCursor(roaring.BitmapOf(0, 1, 2))
				_, err = w.submit("b", resubmit)
				g.Expect(err).NotTo(HaveOccurred())
				answer, err := w.pull("b", 5, 0, 1, 2)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer.Whole).To(BeTrue())
				g.Expect(answer.Groups).To(HaveLen(1))
				g.Expect(answer.Groups[0].Number).To(Equal(3))
			})
		})
	}
}

// Failure: a daemon joins in the middle of a step and becomes the job's owner, so two
// daemons hold the step. The trainer must still get the groups that the previous owner has
// finished, each once, and the previous owner must stop its duplicate work although it
// still receives pulls.
func TestTwoOwners(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(2))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1500 * time.Millisecond)
		w.update(func() { w.owner, w.generateTime = "b", time.Hour })
		_, err = w.pull("b", 5)
		g.Expect(errorKind(err)).To(Equal(UnknownStep))
		_, err = w.submit("a", newSubmitRequest(2))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.managers["b"].List(w.t.Context())).To(HaveLen(1))
		answer, err := w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Groups).To(HaveLen(2))
		for range 20 {
			_, err = w.pull("a", 9, 0) // the groups that a still holds are stale by now
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
		answer, err = w.pull("a", 9, 0, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Whole).To(BeTrue())
	})
}

// Failure: finished samples wait for a pull while newer versions are published, and the
// trainer gets samples beyond the staleness bound. The pull must keep waiting and return
// samples of the new version.
func TestStaleBufferedSamplesAreRegenerated(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1500 * time.Millisecond)
		w.update(func() { w.publishedVersion = 8 })
		answer, err := w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.JudgedBy).To(BeEquivalentTo(8))
		g.Expect(answer.Groups).To(HaveLen(1))
		for _, sample := range answer.Groups[0].Samples {
			g.Expect(sample.Oldest()).To(BeEquivalentTo(8))
		}
	})
}

// Failure: the trainer's connection breaks and it pulls again while its first pull still
// waits here, and the older cursor of the first pull overrides that of the second.
func TestNewerPullSupersedesWaitingPull(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		first := make(chan error, 1)
		go func() {
			_, err := w.pull("a", 5)
			first <- err
		}()
		synctest.Wait()
		answer, err := w.pull("a", 5, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Whole).To(BeTrue())
		g.Expect(errorKind(<-first)).To(Equal(Unavailable))
	})
}

// Failure: many jobs submit steps at the same time, the daemon grows until the VM kills
// it, and all trainers lose their samples. With a limit for all steps together, the next
// submission is refused with a RetryAfter and accepted once the first step has ended.
func TestMemoryLimitForAllSteps(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		m := w.managers["a"]
		m.options.MaxHeldBytes = 2 * promptBytes(newSubmitRequest(3).Prompts)
		_, err := w.submit("a", newSubmitRequest(3))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1500 * time.Millisecond) // its completions use up the rest
		_, err = m.Submit(w.t.Context(), team, job, 2, newSubmitRequest(3))
		g.Expect(errorKind(err)).To(Equal(Unavailable))
		g.Expect(err.(*Error).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(m.Cancel(w.t.Context(), team, job, 1)).To(Succeed())
		g.Expect(m.heldBytes.Load()).To(BeZero())
		_, err = m.Submit(w.t.Context(), team, job, 2, newSubmitRequest(3))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// The time line must show each stage of a sample with the request ID of the attempt, but
// no generated text.
func TestTimeLineShowsSamples(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		var kinds []string
		w.managers["a"].options.Recorder = recorderFunc(func(e StepEvent) {
			if e.Sample != nil && *e.Sample == (rollout.SampleID{Group: 1, Index: 1}) {
				kinds = append(kinds, e.Kind)
				g.Expect(e.Request == "").To(Equal(e.Kind == SampleOffered))
				g.Expect(e.Detail).NotTo(ContainSubstring("gen/"))
			}
		})
		_, err := w.submit("a", newSubmitRequest(2))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		w.update(func() { w.publishedVersion = 8 }) // the attempt is too old now, so it is cancelled and started again
		time.Sleep(2 * time.Second)
		_, err = w.pull("a", 8)
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait() // the runner records an answer just after sending it
		g.Expect(kinds).To(Equal([]string{SampleStarted, SampleCancelled, SampleStarted, SampleGenerated, SampleScored, SampleOffered}))
	})
}

type recorderFunc func(StepEvent)

func (f recorderFunc) RecordStep(e StepEvent) { f(e) }

// Failure: a prompt is poison, and the trainer waits for its group. The group must be
// returned as failed as soon as that is known.
func TestPoisonGroupIsReportedImmediately(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		w.poisonPrompt = "prompt 0"
		_, err := w.submit("a", newSubmitRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Groups).To(Equal([]rollout.Group{{Number: 0, Failed: true, Reason: "poison"}}))
	})
}

func TestJobCancelledInTheConfiguration(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		w.update(func() { w.settings.Cancelled = true })
		_, err = w.pull("a", 5)
		g.Expect(errorKind(err)).To(Equal(Cancelled))
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
		synctest.Wait()
		g.Expect(w.runningAttempts).To(BeZero())
	})
}

// Failure: the owner gets SIGTERM while it has finished groups that haven't been pulled,
// and their samples are lost. The next pull must return them, the pull that confirms them
// must be answered, and after that the trainer must be sent to another daemon.
func TestDrain(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(2))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1500 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- w.managers["a"].Drain(w.t.Context()) }()
		synctest.Wait()
		answer, err := w.pull("b", 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Groups).To(HaveLen(2))
		answer, err = w.pull("b", 5, 0, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Whole).To(BeTrue())
		g.Expect(<-drained).To(Succeed())
		_, err = w.pull("b", 5)
		g.Expect(errorKind(err)).To(Equal(UnknownStep))
		r, err := w.submit("b", newSubmitRequest(2)) // a is draining and refuses the step, so b accepts it
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Created).To(BeTrue())
		g.Expect(w.managers["b"].List(w.t.Context())).To(HaveLen(1))
	})
}

func TestDrainAnswersWaitingPull(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(2))
		g.Expect(err).NotTo(HaveOccurred())
		answers := make(chan *PullResponse, 1)
		go func() {
			answer, _ := w.pull("a", 5)
			answers <- answer
		}()
		synctest.Wait()
		g.Expect(w.managers["a"].Drain(w.t.Context())).To(Succeed())
		g.Expect(<-answers).To(Equal(&PullResponse{Job: job, Step: 1, JudgedBy: 5, Groups: []rollout.Group{}, Remaining: 2, End: true}))
	})
}

func TestIdleStepsAreDropped(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(DefaultIdleTimeout - time.Second)
		g.Expect(w.managers["a"].List(w.t.Context())).To(HaveLen(1))
		time.Sleep(2 * time.Second)
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
		_, err = w.submit("a", newSubmitRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		w.update(func() { w.owner = "b" })
		time.Sleep(DefaultNonOwnerIdleTimeout + time.Second)
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
	})
}

func TestLimits(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(MaxPrompts+1))
		g.Expect(errorKind(err)).To(Equal(TooLarge))
		_, err = w.submit("a", SubmitRequest{})
		g.Expect(errorKind(err)).To(Equal(BadRequest))
		for step := range DefaultMaxSteps {
			_, err = w.managers["a"].Submit(w.t.Context(), team, job, ident.Step(step+10), newSubmitRequest(1))
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err = w.submit("a", newSubmitRequest(1))
		g.Expect(errorKind(err)).To(Equal(Unavailable))
		w.update(func() { w.jobExists = false })
		_, err = w.submit("a", newSubmitRequest(1))
		g.Expect(errorKind(err)).To(Equal(UnknownJob))
	})
}

// Failure: a trainer publishes a version and submits its next step within a second, and
// the daemon's next regular check of the weight store is too late for the step.
func TestExpectIsCalledForVersionsOnlyTheTrainerKnows(t *testing.T) {
	runCluster(t, func(w *cluster, g Gomega) {
		_, err := w.submit("a", newSubmitRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		w.update(func() { g.Expect(w.expectedVersions).To(BeEmpty(), "version 5 is already known") })
		_, err = w.pull("a", 6)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(DefaultTickInterval)
		w.update(func() { g.Expect(w.expectedVersions).To(ContainElement(ident.Version(6))) })
	})
}

func FuzzDecodeCursor(f *testing.F) {
	valid, _ := EncodeCursor(roaring.BitmapOf(1, 2, 3, 70000))
	f.Add(valid)
	f.Add("OzAAAAEAAAEAAQAAAA==")
	f.Fuzz(func(t *testing.T, s string) {
		have, err := DecodeCursor(s)
		if err == nil {
			have.Contains(1)
		}
	})
}
