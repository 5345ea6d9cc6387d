package rollouts

import (
	"context"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Pull answers a trainer's pull with finished groups: as soon as there is at least one,
// or with those available at the end of the request's wait time. Staleness is checked
// just before the answer. The owner of the step's job answers. If it can't be reached,
// this daemon answers if it holds the step, and otherwise returns UnknownStep. The
// trainer then submits the step again, and this daemon accepts it if the owner is still
// unreachable.
func (m *Manager) Pull(ctx context.Context, team ident.Team, job ident.Job, step ident.Step, req PullRequest) (*PullResponse, error) {
	k := stepKey{team, job, step}
	vm, self := m.options.Peers.Owner(k.ownerKey())
	if self {
		return m.PullLocal(ctx, team, job, step, req)
	}
	if m.lookup(k) != nil {
		return m.pullLocalThenOwner(ctx, k, vm, req)
	}
	answer, err := m.forwardPull(ctx, k, vm, req)
	if err == nil || !m.shouldServeLocally(k, vm, err) {
		return answer, err
	}
	return m.PullLocal(ctx, team, job, step, req)
}

// PullLocal answers a pull from the steps held at this daemon.
func (m *Manager) PullLocal(ctx context.Context, team ident.Team, job ident.Job, step ident.Step, req PullRequest) (*PullResponse, error) {
	return m.pullFromRunner(ctx, stepKey{team, job, step}, req, true)
}

// pullLocalThenOwner answers a pull for a step that this daemon holds although it doesn't
// own the job: it accepted the step while the owner was unreachable, or the owner
// changed. Groups finished here are returned first. Once the owner knows the step too,
// pulls wait at the owner and no longer reset the idle timeout here. Otherwise both
// daemons would generate every sample until the end of the step.
func (m *Manager) pullLocalThenOwner(ctx context.Context, k stepKey, vm ident.VM, req PullRequest) (*PullResponse, error) {
	immediate := req
	immediate.WaitMillis = 0
	answer, err := m.pullFromRunner(ctx, k, immediate, false)
	if err == nil && answer.hasProgress() {
		return answer, nil
	}
	answer, err = m.forwardPull(ctx, k, vm, immediate)
	if err == nil && !answer.hasProgress() {
		answer, err = m.forwardPull(ctx, k, vm, req)
	}
	if err == nil {
		return answer, nil
	}
	return m.pullFromRunner(ctx, k, req, true)
}

// hasProgress reports whether the answer contains groups or completes the step.
func (r *PullResponse) hasProgress() bool { return len(r.Groups) > 0 || r.Whole }

// forwardPull forwards a pull to the owner. A frozen owner keeps its connections open but
// never answers, which only a timeout can detect.
func (m *Manager) forwardPull(ctx context.Context, k stepKey, vm ident.VM, req PullRequest) (*PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, waitDuration(req)+m.options.ForwardMargin)
	defer cancel()
	forwards.Add(1)
	return m.options.Peers.ForwardPull(ctx, vm, k.team, k.job, k.step, req)
}

// pullFromRunner answers a pull from a step held here. keepAlive says whether the pull
// resets the step's idle timeout.
func (m *Manager) pullFromRunner(ctx context.Context, k stepKey, req PullRequest, keepAlive bool) (*PullResponse, error) {
	have, err := DecodeCursor(req.Have)
	if err != nil {
		return nil, &Error{Kind: BadRequest, Reason: "have", Err: err}
	}
	r := m.lookup(k)
	if r == nil {
		pullsOfUnknownSteps.Add(1)
		return nil, m.absentStepError(k)
	}
	p := newPull(ctx, req, have)
	p.keepAlive = keepAlive
	return r.pull(ctx, p)
}

// absentStepError returns the error for a step that isn't held here. It distinguishes a
// cancelled or removed job from a step that the trainer should submit again.
func (m *Manager) absentStepError(k stepKey) *Error {
	settings, ok := m.options.Jobs.Job(k.team, k.job)
	switch {
	case !ok:
		return unknownJobError(k.job)
	case settings.Cancelled:
		return &Error{Kind: Cancelled, Reason: "the job is cancelled in the configuration"}
	}
	return unknownStepError(k)
}

// Status returns the status of a step, from this daemon if it holds the step or owns the
// job, and otherwise from the owner.
func (m *Manager) Status(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error) {
	k := stepKey{team, job, step}
	vm, self := m.options.Peers.Owner(k.ownerKey())
	if self || m.lookup(k) != nil {
		return m.StatusLocal(ctx, team, job, step)
	}
	forwardCtx, cancel := context.WithTimeout(ctx, m.options.ForwardMargin)
	defer cancel()
	status, err := m.options.Peers.ForwardStatus(forwardCtx, vm, team, job, step)
	if err == nil || !m.shouldServeLocally(k, vm, err) {
		return status, err
	}
	return m.StatusLocal(ctx, team, job, step)
}

// StatusLocal returns the status of a step held here.
func (m *Manager) StatusLocal(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error) {
	k := stepKey{team, job, step}
	r := m.lookup(k)
	if r == nil {
		return StatusResponse{}, m.absentStepError(k)
	}
	return r.status(ctx)
}

// Cancel ends a step, here and at its owner. Cancelling an unknown step isn't an error.
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
		return &Error{Kind: Unavailable, RetryAfter: defaultRetryAfter, Reason: "the step couldn't be cancelled at its owner, which drops it after the idle timeout", Err: err}
	}
	return nil
}

// CancelLocal ends a step if it is held here.
func (m *Manager) CancelLocal(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) error {
	r := m.lookup(stepKey{team, job, step})
	if r == nil {
		return nil
	}
	return r.cancel(ctx)
}

// pull is a call of PullLocal that waits at a runner.
type pull struct {
	ctx       context.Context
	request   PullRequest
	have      *roaring.Bitmap // the request's cursor, decoded
	deadline  time.Time       // end of the request's wait time
	reply     chan pullReply  // has a buffer of one, so the runner never blocks
	keepAlive bool            // the pull resets the idle timeout, because the trainer gets its answers here
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
		deadline: time.Now().Add(waitDuration(req)),
		reply:    make(chan pullReply, 1),
	}
}

// waitDuration returns how long a pull may wait, limited to MaxWaitMillis.
func waitDuration(req PullRequest) time.Duration {
	return time.Duration(max(0, min(req.WaitMillis, MaxWaitMillis))) * time.Millisecond
}
