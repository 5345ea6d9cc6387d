package rollouts

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// pull passes p to the runner and waits for its answer.
func (r *runner) pull(ctx context.Context, p *pull) (*PullResponse, error) {
	select {
	case r.pulls <- p:
	case <-r.done:
		return nil, r.endErr
	case <-ctx.Done():
		return nil, &Error{Kind: Unavailable, Err: ctx.Err()}
	}
	select {
	case reply := <-p.reply:
		return reply.answer, reply.err
	case <-ctx.Done():
		return nil, &Error{Kind: Unavailable, Err: ctx.Err()}
	}
}

// acceptPull makes p the waiting pull. A trainer has one pull outstanding, so it no longer
// reads the answer to an earlier one. The earlier pull's older cursor must not be used
// any more, because it would make the step generate groups again that the trainer
// already holds.
func (r *runner) acceptPull(p *pull) {
	if r.waitingPull != nil {
		pullsSuperseded.Add(1)
		r.waitingPull.reply <- pullReply{err: &Error{Kind: Unavailable, Reason: "superseded by a newer pull for the step"}}
	}
	r.waitingPull = p
	r.resetIdleTimeout(p)
	r.pullTimer.Reset(time.Until(p.deadline))
	r.handle(rollout.Cursor{Have: p.have, TrainerVersion: p.request.TrainerVersion})
}

// answerIfDue answers the waiting pull if there is something to return or its wait time
// has ended. It reads the newest version right before the answer: samples that were fresh
// when they were finished may be stale by now, in particular if the process was suspended
// in between.
func (r *runner) answerIfDue() {
	p := r.waitingPull
	if p == nil {
		return
	}
	if p.ctx.Err() != nil {
		r.waitingPull = nil
		return
	}
	r.syncVersions()
	due := r.step.DeliverableGroups() > 0 || r.step.Whole() || r.draining || !time.Now().Before(p.deadline)
	if !due {
		return
	}
	r.handle(rollout.Pull{
		Have:           p.have,
		TrainerVersion: p.request.TrainerVersion,
		MaxGroups:      maxGroups(p.request),
		MaxBytes:       r.manager.options.MaxAnswerBytes,
	})
	p.reply <- pullReply{answer: r.pullResponse()}
	r.waitingPull = nil
	r.resetIdleTimeout(p)
	pullsAnswered.Add(1)
	r.recordAnswer()
	r.lastAnswer = rollout.Deliver{}
}

// resetIdleTimeout restarts the step's idle timeout if the pull has keepAlive.
func (r *runner) resetIdleTimeout(p *pull) {
	if p.keepAlive {
		r.lastPullAt = time.Now()
	}
}

func maxGroups(req PullRequest) int {
	if req.MaxGroups <= 0 {
		return DefaultMaxGroups
	}
	return req.MaxGroups
}

// pullResponse returns the step's latest answer as the response to a pull.
func (r *runner) pullResponse() *PullResponse {
	answer := r.lastAnswer
	groups := answer.Groups
	if groups == nil {
		groups = []rollout.Group{}
	}
	return &PullResponse{
		Job:       r.key.job,
		Step:      r.key.step,
		JudgedBy:  answer.JudgedBy,
		Groups:    groups,
		Whole:     answer.Whole,
		Remaining: answer.Remaining,
		End:       true,
	}
}

// status asks the runner for the status of its step.
func (r *runner) status(ctx context.Context) (StatusResponse, error) {
	reply := make(chan StatusResponse, 1)
	select {
	case r.statusRequests <- reply:
		return <-reply, nil
	case <-r.done:
		return StatusResponse{}, r.endErr
	case <-ctx.Done():
		return StatusResponse{}, &Error{Kind: Unavailable, Err: ctx.Err()}
	}
}

func (r *runner) currentStatus() StatusResponse {
	return StatusResponse{
		Team:      r.key.team,
		Job:       r.key.job,
		Step:      r.key.step,
		Model:     r.spec.Model,
		Groups:    len(r.spec.Prompts),
		GroupSize: r.spec.GroupSize,
		Counts:    r.step.Counts(),
	}
}

// cancel ends the step and waits until it has ended.
func (r *runner) cancel(ctx context.Context) error {
	select {
	case r.cancelRequests <- struct{}{}:
	case <-r.done:
		return nil
	case <-ctx.Done():
		return &Error{Kind: Unavailable, Err: ctx.Err()}
	}
	<-r.done
	return nil
}
