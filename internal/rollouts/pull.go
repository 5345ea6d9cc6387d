package rollouts

import (
	"context"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Pull answers a trainer's pull with finished groups: as soon as there is one,
// and at the end of the request's wait with what there is. Staleness is judged
// just before the answer. The step's owner answers; when it can't be reached,
// this daemon does if it holds the step, and else the error is UnknownStep, which
// has the trainer submit again, to this daemon by then.
func (m *Manager) Pull(ctx context.Context, team ident.Team, job ident.Job, step ident.Step, req PullRequest) (*PullResponse, error) {
	k := stepKey{team, job, step}
	vm, self := m.options.Peers.Owner(k.ownerKey())
	if self {
		return m.PullLocal(ctx, team, job, step, req)
	}
	if m.lookup(k) != nil {
		return m.pullBoth(ctx, k, vm, req)
	}
	answer, err := m.forwardPull(ctx, k, vm, req)
	if err == nil || !m.takesOver(k, vm, err) {
		return answer, err
	}
	return m.PullLocal(ctx, team, job, step, req)
}

// PullLocal answers a pull from the steps held at this daemon.
func (m *Manager) PullLocal(ctx context.Context, team ident.Team, job ident.Job, step ident.Step, req PullRequest) (*PullResponse, error) {
	return m.pullHere(ctx, stepKey{team, job, step}, req, true)
}

// pullBoth answers a pull of a step that this daemon holds without being its
// job's owner: it took the step while the owner was out of reach, or the owner
// changed. What is finished here goes first. Once the owner knows the step too,
// pulls wait there and don't keep the step alive here, or both daemons would
// make every sample until the step's end.
func (m *Manager) pullBoth(ctx context.Context, k stepKey, vm ident.VM, req PullRequest) (*PullResponse, error) {
	now := req
	now.WaitMillis = 0
	answer, err := m.pullHere(ctx, k, now, false)
	if err == nil && answer.useful() {
		return answer, nil
	}
	answer, err = m.forwardPull(ctx, k, vm, now)
	if err == nil && !answer.useful() {
		answer, err = m.forwardPull(ctx, k, vm, req)
	}
	if err == nil {
		return answer, nil
	}
	return m.pullHere(ctx, k, req, true)
}

// useful says that the trainer learns something from the answer.
func (r *PullResponse) useful() bool { return len(r.Groups) > 0 || r.Whole }

// forwardPull has the owner answer. A frozen owner keeps its connections open
// and says nothing; only time tells.
func (m *Manager) forwardPull(ctx context.Context, k stepKey, vm ident.VM, req PullRequest) (*PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, waitOf(req)+m.options.ForwardMargin)
	defer cancel()
	forwards.Add(1)
	return m.options.Peers.ForwardPull(ctx, vm, k.team, k.job, k.step, req)
}

func (m *Manager) pullHere(ctx context.Context, k stepKey, req PullRequest, keepAlive bool) (*PullResponse, error) {
	have, err := DecodeHave(req.Have)
	if err != nil {
		return nil, &Error{Kind: BadRequest, Reason: "have", Err: err}
	}
	r := m.lookup(k)
	if r == nil {
		pullsUnknown.Add(1)
		return nil, m.whyAbsent(k)
	}
	p := newPull(ctx, req, have)
	p.keepAlive = keepAlive
	return r.pull(ctx, p)
}

// whyAbsent tells a cancelled or removed job from a step that should be submitted again.
func (m *Manager) whyAbsent(k stepKey) *Error {
	settings, ok := m.options.Jobs.Job(k.team, k.job)
	switch {
	case !ok:
		return unknownJob(k.job)
	case settings.Cancelled:
		return &Error{Kind: Cancelled, Reason: "the job is cancelled in the configuration"}
	}
	return unknownStep(k)
}

// Status says where a step stands at its owner, or here if it is held here.
func (m *Manager) Status(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error) {
	k := stepKey{team, job, step}
	vm, self := m.options.Peers.Owner(k.ownerKey())
	if self || m.lookup(k) != nil {
		return m.StatusLocal(ctx, team, job, step)
	}
	forwardCtx, cancel := context.WithTimeout(ctx, m.options.ForwardMargin)
	defer cancel()
	status, err := m.options.Peers.ForwardStatus(forwardCtx, vm, team, job, step)
	if err == nil || !m.takesOver(k, vm, err) {
		return status, err
	}
	return m.StatusLocal(ctx, team, job, step)
}

// StatusLocal says where a step held here stands.
func (m *Manager) StatusLocal(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error) {
	k := stepKey{team, job, step}
	r := m.lookup(k)
	if r == nil {
		return StatusResponse{}, m.whyAbsent(k)
	}
	return r.status(ctx)
}

// Cancel ends a step, here and at its owner. Cancelling an unknown step is no error.
func (m *Manager) Cancel(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) error {
	k := stepKey{team, job, step}
	if err := m.CancelLocal(ctx, team, job, step); err != nil {
		return err
	}
	vm, self := m.options.Peers.Owner(k.ownerKey())
	if self {
		return nil
	}
	forwardCtx, cancel := context.WithTimeout(ctx, m.options.ForwardMargin)
	defer cancel()
	if err := m.options.Peers.ForwardCancel(forwardCtx, vm, team, job, step); err != nil {
		return &Error{Kind: Unavailable, RetryAfter: retryDelay, Reason: "owner not told; it drops the step when idle", Err: err}
	}
	return nil
}

// CancelLocal ends a step held here.
func (m *Manager) CancelLocal(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) error {
	r := m.lookup(stepKey{team, job, step})
	if r == nil {
		return nil
	}
	return r.cancel(ctx)
}

// pull is one call of PullLocal waiting at its runner.
type pull struct {
	ctx      context.Context
	request  PullRequest
	have     *roaring.Bitmap
	deadline time.Time
	reply    chan pullReply // holds one
	// keepAlive: the trainer depends on this daemon for the step.
	keepAlive bool
}

type pullReply struct {
	answer *PullResponse
	err    error
}

func newPull(ctx context.Context, req PullRequest, have *roaring.Bitmap) *pull {
	return &pull{
		ctx:      ctx,
		request:  req,
		have:     have,
		deadline: time.Now().Add(waitOf(req)),
		reply:    make(chan pullReply, 1),
	}
}

func waitOf(req PullRequest) time.Duration {
	return time.Duration(max(0, min(req.WaitMillis, MaxWaitMillis))) * time.Millisecond
}
