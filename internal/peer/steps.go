package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

// SubmitStep implements the peer protocol.
func (p *server) SubmitStep(stream peerpb.DRPCPeer_SubmitStepStream) error {
	name, body, err := recvBody(stream)
	if err != nil {
		return err
	}
	return answerStep(p, stream, body, func(ctx context.Context, steps StepPort, r rollouts.SubmitRequest) (rollouts.SubmitResponse, error) {
		team, job, step := stepOf(name)
		return steps.SubmitLocal(ctx, team, job, step, r)
	})
}

// PullStep implements the peer protocol.
func (p *server) PullStep(in *peerpb.StepRequest, stream peerpb.DRPCPeer_PullStepStream) error {
	return answerStep(p, stream, in.GetBody(), func(ctx context.Context, steps StepPort, r rollouts.PullRequest) (*rollouts.PullResponse, error) {
		team, job, step := stepOf(in.GetStep())
		return steps.PullLocal(ctx, team, job, step, r)
	})
}

// StepStatus implements the peer protocol.
func (p *server) StepStatus(in *peerpb.StepRequest, stream peerpb.DRPCPeer_StepStatusStream) error {
	return answerStep(p, stream, noBody, func(ctx context.Context, steps StepPort, _ struct{}) (rollouts.StatusResponse, error) {
		team, job, step := stepOf(in.GetStep())
		return steps.StatusLocal(ctx, team, job, step)
	})
}

// CancelStep implements the peer protocol.
func (p *server) CancelStep(in *peerpb.StepRequest, stream peerpb.DRPCPeer_CancelStepStream) error {
	return answerStep(p, stream, noBody, func(ctx context.Context, steps StepPort, _ struct{}) (struct{}, error) {
		team, job, step := stepOf(in.GetStep())
		return struct{}{}, steps.CancelLocal(ctx, team, job, step)
	})
}

// noBody stands for a call that has none.
var noBody = []byte("{}")

// answerStep runs a forwarded call on this daemon's own steps, never further:
// two daemons that each name the other as owner would send it in circles.
func answerStep[Q, A any](p *server, stream partStream, body []byte, call func(context.Context, StepPort, Q) (A, error)) error {
	return p.answer(stream, func(ctx context.Context) ([]byte, error) {
		steps := p.service.steps.Load()
		if steps == nil {
			return nil, &rollouts.Error{Kind: rollouts.Unavailable, RetryAfter: time.Second, Reason: "the daemon is starting"}
		}
		var request Q
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, &rollouts.Error{Kind: rollouts.BadRequest, Reason: "forwarded body isn't JSON of its type"}
		}
		answer, err := call(ctx, *steps, request)
		if err != nil {
			return nil, err
		}
		return json.Marshal(answer)
	})
}

func stepOf(name *peerpb.StepName) (ident.Team, ident.Job, ident.Step) {
	return ident.Team(name.GetTeam()), ident.Job(name.GetJob()), ident.Step(name.GetStep())
}

func nameOf(team ident.Team, job ident.Job, step ident.Step) *peerpb.StepName {
	return &peerpb.StepName{Team: string(team), Job: string(job), Step: int64(step)}
}

// decodeAnswer parses an owner's answer.
func decodeAnswer[A any](body []byte, err error) (answer A, _ error) {
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, fmt.Errorf("peer: owner's answer: %w", err)
	}
	return answer, nil
}
