package rollouts

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// pull hands p to the runner and waits for its answer.
func (r *runner) pull(ctx context.Context, p *pull) (*PullResponse, error) {
	select {
	case r.pulls <- p:
	case <-r.done:
		return nil, r.why
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

// arrive makes p the pull that waits. A trainer has one pull outstanding, so it
// no longer reads the answer to an earlier one, whose older cursor would have
// groups made again that it holds by now.
func (r *runner) arrive(p *pull) {
	if r.waiting != nil {
		pullsSuperseded.Add(1)
		r.waiting.reply <- pullReply{err: &Error{Kind: Unavailable, Reason: "a newer pull of the step came"}}
	}
	r.waiting = p
	r.keepAlive(p)
	r.timer.Reset(time.Until(p.deadline))
	r.feed(rollout.Cursor{Have: p.have, TrainerVersion: p.request.TrainerVersion})
}

// answerIfDue answers the waiting pull if there is something to answer with or
// its wait is over. The newest version is asked for right here: samples that
// were fresh when they were finished may be too old by now, above all in a
// process that was stopped in between.
func (r *runner) answerIfDue() {
	p := r.waiting
	if p == nil {
		return
	}
	if p.ctx.Err() != nil {
		r.waiting = nil
		return
	}
	r.observe()
	due := r.step.DeliverableGroups() > 0 || r.step.Whole() || r.draining || !time.Now().Before(p.deadline)
	if !due {
		return
	}
	r.feed(rollout.Pull{
		Have:           p.have,
		TrainerVersion: p.request.TrainerVersion,
		MaxGroups:      maxGroups(p.request),
		MaxBytes:       r.manager.options.MaxAnswerBytes,
	})
	p.reply <- pullReply{answer: r.response()}
	r.waiting = nil
	r.keepAlive(p)
	pullsAnswered.Add(1)
	r.recordAnswer()
	r.answer = rollout.Deliver{}
}

func (r *runner) keepAlive(p *pull) {
	if p.keepAlive {
		r.lastPull = time.Now()
	}
}

func maxGroups(req PullRequest) int {
	if req.MaxGroups <= 0 {
		return DefaultMaxGroups
	}
	return req.MaxGroups
}

func (r *runner) response() *PullResponse {
	answer := r.answer
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

// status asks the runner where its step stands.
func (r *runner) status(ctx context.Context) (StatusResponse, error) {
	answer := make(chan StatusResponse, 1)
	select {
	case r.queries <- answer:
		return <-answer, nil
	case <-r.done:
		return StatusResponse{}, r.why
	case <-ctx.Done():
		return StatusResponse{}, &Error{Kind: Unavailable, Err: ctx.Err()}
	}
}

func (r *runner) statusNow() StatusResponse {
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
	case r.cancels <- struct{}{}:
	case <-r.done:
		return nil
	case <-ctx.Done():
		return &Error{Kind: Unavailable, Err: ctx.Err()}
	}
	<-r.done
	return nil
}
