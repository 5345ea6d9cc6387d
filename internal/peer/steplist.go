package peer

import (
	"cmp"
	"context"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

// HeldStep is a step and the daemon that holds it.
type HeldStep struct {
	VM ident.VM `json:"vm"`
	rollouts.StatusResponse
}

// ListSteps implements the peer protocol.
func (p *server) ListSteps(in *peerpb.StepRequest, stream peerpb.DRPCPeer_ListStepsStream) error {
	return answerStep(p, stream, noBody, func(ctx context.Context, steps StepPort, _ struct{}) ([]rollouts.StatusResponse, error) {
		return steps.ListLocal(ctx, ident.Team(in.GetStep().GetTeam()))
	})
}

// CollectSteps returns the steps of a team that this daemon and all that it knows
// of hold, by job, step and daemon. Missing names the daemons that didn't answer.
// One step may show at two daemons while it is being handed over.
func (s *Service) CollectSteps(ctx context.Context, team ident.Team) (held []HeldStep, missing []ident.VM) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	lists, missing := askAll(s, func(vm ident.VM) ([]HeldStep, error) { return s.askSteps(ctx, vm, team) })
	if steps := s.steps.Load(); steps != nil {
		if own, err := (*steps).ListLocal(ctx, team); err == nil {
			lists = append(lists, heldAt(s.options.Self, own))
		}
	}
	held = slices.Concat(lists...)
	slices.SortFunc(held, func(a, b HeldStep) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.VM, b.VM))
	})
	return held, missing
}

func (s *Service) askSteps(ctx context.Context, vm ident.VM, team ident.Team) ([]HeldStep, error) {
	in := &peerpb.StepRequest{Step: nameOf(team, "", 0)}
	steps, err := decodeAnswer[[]rollouts.StatusResponse](s.call(ctx, vm, func(ctx context.Context, c peerpb.DRPCPeerClient) (partReceiver, error) {
		return c.ListSteps(ctx, in)
	}))
	return heldAt(vm, steps), err
}

func heldAt(vm ident.VM, steps []rollouts.StatusResponse) []HeldStep {
	held := make([]HeldStep, len(steps))
	for i, status := range steps {
		held[i] = HeldStep{VM: vm, StatusResponse: status}
	}
	return held
}
