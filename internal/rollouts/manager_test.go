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

// world holds the daemons of a test and what they share. Time is synctest's.
type world struct {
	t        *testing.T
	mu       sync.Mutex
	settings JobSettings
	known    bool // the job is in the configuration
	version  ident.Version
	took     time.Duration // of an attempt
	poison   string        // prompt that can't be made
	owner    ident.VM
	cut      map[ident.VM]error // what forwarding to a VM fails with; errFrozen never answers
	managers map[ident.VM]*Manager
	running  int
	expected []ident.Version
}

var (
	errCut    = errors.New("connection refused")
	errFrozen = errors.New("frozen")
)

func run(t *testing.T, body func(*world, Gomega)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t:        t,
			settings: JobSettings{Model: "clerk", Scorer: "rolls", GroupSize: 2, Bound: 2},
			known:    true,
			version:  5,
			took:     time.Second,
			owner:    "a",
			cut:      map[ident.VM]error{},
			managers: map[ident.VM]*Manager{},
		}
		w.start("a")
		w.start("b")
		defer w.close()
		body(w, NewWithT(t))
	})
}

func (w *world) start(vm ident.VM) *Manager {
	w.managers[vm] = New(Options{Generator: w, Scorer: w, Versions: w, Jobs: w, Peers: view{w, vm}, Log: zerolog.Nop()})
	return w.managers[vm]
}

// close ends the daemons, also after a failed expectation.
func (w *world) close() {
	for _, m := range w.managers {
		m.Close()
	}
	synctest.Wait()
	if w.running != 0 {
		w.t.Errorf("%d attempts left running", w.running)
	}
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) NewestPublished(ident.Model) ident.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *world) Expect(_ ident.Model, v ident.Version) {
	w.set(func() { w.expected = append(w.expected, v) })
}

func (w *world) Job(ident.Team, ident.Job) (JobSettings, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settings, w.known
}

func (w *world) Generate(ctx context.Context, r GenerateRequest, began func(ident.Version)) (Generated, error) {
	v := w.NewestPublished(r.Model)
	w.set(func() { w.running++ })
	defer w.set(func() { w.running-- })
	began(v)
	select {
	case <-ctx.Done():
		return Generated{}, ctx.Err()
	case <-time.After(w.took):
	}
	if r.Prompt == w.poison {
		return Generated{}, &WorkError{Failure: rollout.Failure{Kind: rollout.Poison, Reason: "poison"}, Err: errCut}
	}
	return Generated{Text: string(r.ID), Tokens: 4, Segments: []rollout.Segment{{Version: v, To: 4}}}, nil
}

func (w *world) Score(context.Context, ScoreRequest) (float64, error) { return 0.5, nil }

// view is one daemon's Peers.
type view struct {
	*world
	self ident.VM
}

func (v view) Owner(string) (ident.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.owner, v.owner == v.self
}

func (v view) reach(ctx context.Context, vm ident.VM) (*Manager, error) {
	v.mu.Lock()
	m, err := v.managers[vm], v.cut[vm]
	v.mu.Unlock()
	if errors.Is(err, errFrozen) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m, err
}

func (v view) ForwardSubmit(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r SubmitRequest) (SubmitResponse, error) {
	m, err := v.reach(ctx, vm)
	if err != nil {
		return SubmitResponse{}, err
	}
	return m.SubmitLocal(ctx, team, job, step, r)
}

func (v view) ForwardPull(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r PullRequest) (*PullResponse, error) {
	m, err := v.reach(ctx, vm)
	if err != nil {
		return nil, err
	}
	return m.PullLocal(ctx, team, job, step, r)
}

func (v view) ForwardStatus(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error) {
	m, err := v.reach(ctx, vm)
	if err != nil {
		return StatusResponse{}, err
	}
	return m.StatusLocal(ctx, team, job, step)
}

func (v view) ForwardCancel(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) error {
	m, err := v.reach(ctx, vm)
	if err != nil {
		return err
	}
	return m.CancelLocal(ctx, team, job, step)
}

func prompts(n int) SubmitRequest {
	r := SubmitRequest{TrainerVersion: 5}
	for g := range n {
		r.Prompts = append(r.Prompts, rollout.Prompt{Text: fmt.Sprintf("prompt %d", g)})
	}
	return r
}

func (w *world) submit(vm ident.VM, r SubmitRequest) (SubmitResponse, error) {
	return w.managers[vm].Submit(w.t.Context(), team, job, 1, r)
}

func (w *world) pull(vm ident.VM, v ident.Version, have ...uint32) (*PullResponse, error) {
	cursor, _ := EncodeHave(roaring.BitmapOf(have...))
	return w.managers[vm].Pull(w.t.Context(), team, job, 1, PullRequest{Have: cursor, TrainerVersion: v, WaitMillis: 2000})
}

func kind(err error) Kind {
	var e *Error
	if !errors.As(err, &e) {
		return -1
	}
	return e.Kind
}

func TestStepIsMadeAndPulledThroughAnyDaemon(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		r, err := w.submit("b", prompts(3))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r).To(Equal(SubmitResponse{Job: job, Step: 1, Groups: 3, GroupSize: 2, Created: true}))
		r, err = w.submit("a", prompts(3))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Created).To(BeFalse())
		_, err = w.submit("b", prompts(2))
		g.Expect(kind(err)).To(Equal(Conflict))
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
		_, err = w.pull("b", 5, have...) // only now the owner knows what arrived
		g.Expect(err).NotTo(HaveOccurred())
		status, err := w.managers["b"].Status(w.t.Context(), team, job, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Counts.HeldGroups).To(Equal(3))
		g.Expect(status.Counts.Ready).To(BeZero())
	})
}

// The owner is killed in mid-step, or stopped so that its connections stay open
// and say nothing. The trainer sees "submit it again" within its wait and two
// seconds, submits through the same daemon, and gets what it doesn't hold yet.
func TestOwnerLost(t *testing.T) {
	for name, fault := range map[string]error{"killed": errCut, "frozen": errFrozen} {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world, g Gomega) {
				_, err := w.submit("b", prompts(4))
				g.Expect(err).NotTo(HaveOccurred())
				w.set(func() { w.cut["a"] = fault })
				start := time.Now()
				_, err = w.pull("b", 5)
				g.Expect(kind(err)).To(Equal(UnknownStep))
				g.Expect(time.Since(start)).To(BeNumerically("<=", 4*time.Second))
				again := prompts(4)
				again.Have, _ = EncodeHave(roaring.BitmapOf(0, 1, 2))
				_, err = w.submit("b", again)
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

// A daemon joins in mid-step and becomes the job's owner: two daemons hold the
// step. The trainer still gets what the former one has finished, each group
// once, and the former one stops its double work although pulls reach it.
func TestTwoOwners(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(2))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1500 * time.Millisecond)
		w.set(func() { w.owner, w.took = "b", time.Hour })
		_, err = w.pull("b", 5)
		g.Expect(kind(err)).To(Equal(UnknownStep))
		_, err = w.submit("a", prompts(2))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.managers["b"].List(w.t.Context())).To(HaveLen(1))
		answer, err := w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Groups).To(HaveLen(2))
		for range 20 {
			_, err = w.pull("a", 9, 0) // what a has left of the step is stale by now
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
		answer, err = w.pull("a", 9, 0, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Whole).To(BeTrue())
	})
}

// A step's samples are finished and wait. Two versions later the trainer pulls.
// It must not see them; the pull goes on waiting and brings fresh ones.
func TestSamplesThatAgedWhileBufferedAreMadeAgain(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(1))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1500 * time.Millisecond)
		w.set(func() { w.version = 8 })
		answer, err := w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.JudgedBy).To(BeEquivalentTo(8))
		g.Expect(answer.Groups).To(HaveLen(1))
		for _, sample := range answer.Groups[0].Samples {
			g.Expect(sample.Oldest()).To(BeEquivalentTo(8))
		}
	})
}

// The trainer's connection is cut and it pulls again while its first pull still
// waits here. The first one's old cursor must not undo the second one's.
func TestNewerPullReplacesTheWaitingOne(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(1))
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
		g.Expect(kind(<-first)).To(Equal(Unavailable))
	})
}

// Many jobs submit at once. Without a bound over all steps the daemon grows until
// the VM kills it, and all trainers lose their samples; with it the next one is
// told to come back, and is taken once the first step has ended.
func TestMemoryIsBoundedOverAllSteps(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		m := w.managers["a"]
		m.options.MaxHeldBytes = 2 * promptBytes(prompts(3).Prompts)
		_, err := w.submit("a", prompts(3))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1500 * time.Millisecond) // its completions take the rest
		_, err = m.Submit(w.t.Context(), team, job, 2, prompts(3))
		g.Expect(kind(err)).To(Equal(Unavailable))
		g.Expect(err.(*Error).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(m.Cancel(w.t.Context(), team, job, 1)).To(Succeed())
		g.Expect(m.bytes.Load()).To(BeZero())
		_, err = m.Submit(w.t.Context(), team, job, 2, prompts(3))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// A sample's way is asked for in the time line: each stage shows, with the
// attempt's request, and nothing of its text.
func TestSamplesShowInTheTimeLine(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		var kinds []string
		w.managers["a"].options.Recorder = recorder(func(e StepEvent) {
			if e.Sample != nil && *e.Sample == (rollout.SampleID{Group: 1, Index: 1}) {
				kinds = append(kinds, e.Kind)
				g.Expect(e.Request == "").To(Equal(e.Kind == SampleOffered))
				g.Expect(e.Detail).NotTo(ContainSubstring("gen/"))
			}
		})
		_, err := w.submit("a", prompts(2))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		w.set(func() { w.version = 8 }) // too old now: cancelled and started again
		time.Sleep(2 * time.Second)
		_, err = w.pull("a", 8)
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait() // the step records an answer right after it has given it
		g.Expect(kinds).To(Equal([]string{SampleStarted, SampleCancelled, SampleStarted, SampleGenerated, SampleScored, SampleOffered}))
	})
}

type recorder func(StepEvent)

func (f recorder) RecordStep(e StepEvent) { f(e) }

// One prompt is poison. Its group comes as failed as soon as that is known.
func TestPoisonGroupIsToldAtOnce(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		w.poison = "prompt 0"
		_, err := w.submit("a", prompts(1))
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Groups).To(Equal([]rollout.Group{{Number: 0, Failed: true, Reason: "poison"}}))
	})
}

func TestJobCancelledInTheConfiguration(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(1))
		g.Expect(err).NotTo(HaveOccurred())
		w.set(func() { w.settings.Cancelled = true })
		_, err = w.pull("a", 5)
		g.Expect(kind(err)).To(Equal(Cancelled))
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
		synctest.Wait()
		g.Expect(w.running).To(BeZero())
	})
}

// The owner gets SIGTERM with finished groups that weren't pulled yet. The next
// pull gets them, the one that confirms them is answered, and from then on the
// trainer is sent elsewhere. Nothing that was finished is lost.
func TestDrain(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(2))
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
		g.Expect(kind(err)).To(Equal(UnknownStep))
		r, err := w.submit("b", prompts(2)) // a refuses as draining, b takes it
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Created).To(BeTrue())
		g.Expect(w.managers["b"].List(w.t.Context())).To(HaveLen(1))
	})
}

func TestDrainAnswersTheWaitingPullWhole(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(2))
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

func TestStepsThatNobodyPullsAreDropped(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(1))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(DefaultIdleTimeout - time.Second)
		g.Expect(w.managers["a"].List(w.t.Context())).To(HaveLen(1))
		time.Sleep(2 * time.Second)
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
		_, err = w.submit("a", prompts(1))
		g.Expect(err).NotTo(HaveOccurred())
		w.set(func() { w.owner = "b" })
		time.Sleep(DefaultForeignTimeout + time.Second)
		g.Expect(w.managers["a"].List(w.t.Context())).To(BeEmpty())
	})
}

func TestBounds(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(MaxPrompts+1))
		g.Expect(kind(err)).To(Equal(TooLarge))
		_, err = w.submit("a", SubmitRequest{})
		g.Expect(kind(err)).To(Equal(BadRequest))
		for step := range DefaultMaxSteps {
			_, err = w.managers["a"].Submit(w.t.Context(), team, job, ident.Step(step+10), prompts(1))
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err = w.submit("a", prompts(1))
		g.Expect(kind(err)).To(Equal(Unavailable))
		w.set(func() { w.known = false })
		_, err = w.submit("a", prompts(1))
		g.Expect(kind(err)).To(Equal(UnknownJob))
	})
}

// A trainer publishes a version and submits its next step within the second. This
// daemon's next look at the store would come too late for the step.
func TestTellsOfVersionsThatOnlyTheTrainerKnows(t *testing.T) {
	run(t, func(w *world, g Gomega) {
		_, err := w.submit("a", prompts(1))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = w.pull("a", 5)
		g.Expect(err).NotTo(HaveOccurred())
		w.set(func() { g.Expect(w.expected).To(BeEmpty(), "5 is known") })
		_, err = w.pull("a", 6)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(DefaultTickInterval)
		w.set(func() { g.Expect(w.expected).To(ContainElement(ident.Version(6))) })
	})
}

func FuzzDecodeHave(f *testing.F) {
	whole, _ := EncodeHave(roaring.BitmapOf(1, 2, 3, 70000))
	f.Add(whole)
	f.Add("OzAAAAEAAAEAAQAAAA==")
	f.Fuzz(func(t *testing.T, s string) {
		have, err := DecodeHave(s)
		if err == nil {
			have.Contains(1)
		}
	})
}
