package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// fakeDigests is a dispatcher that remembers what it was told.
type fakeDigests struct {
	mu     sync.Mutex
	own    dispatch.Digest
	merged map[ident.VM]dispatch.Digest
	urgent chan struct{}
}

func newFakeDigests() *fakeDigests {
	return &fakeDigests{merged: map[ident.VM]dispatch.Digest{}, urgent: make(chan struct{}, 1)}
}

func (f *fakeDigests) Digest() dispatch.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own
}

func (f *fakeDigests) set(d dispatch.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own = d
}

func (f *fakeDigests) Merge(from ident.VM, d dispatch.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merged[from] = d
}

func (f *fakeDigests) Forget(vm ident.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.merged, vm)
}

func (f *fakeDigests) of(vm ident.VM) (dispatch.Digest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.merged[vm]
	return d, ok
}

func (f *fakeDigests) Urgent() <-chan struct{} { return f.urgent }

// fakeCopies places copies as the dispatcher does.
type fakeCopies struct {
	mu     sync.Mutex
	places *poison.Placements
	asked  int
}

func (f *fakeCopies) PlaceHere(c poison.Copy) ident.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return f.places.Place(c, time.Now())
}

// fakeConfig is a store that no log feeds.
type fakeConfig struct{ state atomic.Pointer[config.State] }

func newFakeConfig(records int) *fakeConfig {
	f := &fakeConfig{}
	state := config.Empty()
	for i := range records {
		state, _ = state.Apply(ident.Offset(i+1), []byte("not a record"))
	}
	f.state.Store(state)
	return f
}

func (f *fakeConfig) Current() *config.State   { return f.state.Load() }
func (f *fakeConfig) Changed() <-chan struct{} { return nil }
func (f *fakeConfig) UpdateIfNewer(s *config.State) bool {
	if s.AppliedOffset() <= f.Current().AppliedOffset() {
		return false
	}
	f.state.Store(s)
	return true
}

// fakeSteps answers for one known step.
type fakeSteps struct{ completion string }

func (f fakeSteps) SubmitLocal(_ context.Context, _ ident.Team, job ident.Job, step ident.Step, r rollouts.SubmitRequest) (rollouts.SubmitResponse, error) {
	return rollouts.SubmitResponse{Job: job, Step: step, Groups: len(r.Prompts)}, nil
}

func (f fakeSteps) PullLocal(ctx context.Context, _ ident.Team, job ident.Job, step ident.Step, r rollouts.PullRequest) (*rollouts.PullResponse, error) {
	pause.For(ctx, time.Duration(r.WaitMillis)*time.Millisecond)
	return &rollouts.PullResponse{Job: job + ident.Job(f.completion), Step: step, End: true}, ctx.Err()
}

func (f fakeSteps) StatusLocal(context.Context, ident.Team, ident.Job, ident.Step) (rollouts.StatusResponse, error) {
	return rollouts.StatusResponse{}, &rollouts.Error{Kind: rollouts.UnknownStep, Reason: "not here", RetryAfter: 2 * time.Second}
}

func (f fakeSteps) ListLocal(_ context.Context, team ident.Team) ([]rollouts.StatusResponse, error) {
	return []rollouts.StatusResponse{{Team: team, Job: "clerk", Step: 3, Groups: len(f.completion)}}, nil
}

func (f fakeSteps) CancelLocal(context.Context, ident.Team, ident.Job, ident.Step) error { return nil }

// fakeList is the platform's list of VMs.
type fakeList []infra.VMEntry

func (f fakeList) List(context.Context) ([]infra.VMEntry, error) { return f, nil }

// daemon is a service under test with its fakes.
type daemon struct {
	*Service
	digests *fakeDigests
	copies  *fakeCopies
	config  *fakeConfig
	events  *timeline.Recorder
}

// startDaemon runs a service over loopback until the test's end or stop.
func startDaemon(vm ident.VM, change func(*Options), seeds ...string) (d *daemon, stop func()) {
	GinkgoHelper()
	d = &daemon{digests: newFakeDigests(), copies: &fakeCopies{places: poison.NewPlacements()}, config: newFakeConfig(0), events: timeline.New(vm, 0)}
	options := Options{
		Self: vm, DataCentre: "dc", ListenAddress: "127.0.0.1:0", Token: "a shared secret", Seeds: seeds,
		Digests: d.digests, Copies: d.copies, Config: d.config, Steps: fakeSteps{}, Timeline: d.events,
		Interval: 20 * time.Millisecond, Heartbeat: 100 * time.Millisecond, ConfigLag: 50 * time.Millisecond,
	}
	if change != nil {
		change(&options)
	}
	d.Service = New(options)
	Expect(d.Listen()).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	DeferCleanup(stop)
	return d, stop
}

func (d *daemon) live() []ident.VM {
	var vms []ident.VM
	for _, m := range d.Members() {
		if m.Live && !m.Self {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// deafConn delivers nothing once its switch is on, in either direction, and
// never fails: what a frozen VM or a parted network looks like from here.
type deafConn struct {
	net.Conn
	deaf *atomic.Bool
}

func (c *deafConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.deaf.Load() {
			return n, err
		}
	}
}

func (c *deafConn) Write(p []byte) (int, error) {
	if c.deaf.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
