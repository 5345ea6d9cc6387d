package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

var _ rollouts.Peers = (*Service)(nil)

// ErrUnknownVM says that no address of a VM is known.
var ErrUnknownVM = errors.New("peer: no address known of that VM")

// ForwardSubmit runs a submission on another VM. An error that isn't a
// *rollouts.Error says that the VM couldn't be reached or didn't answer whole;
// it may have taken the step, which submitting again makes up for.
func (s *Service) ForwardSubmit(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r rollouts.SubmitRequest) (rollouts.SubmitResponse, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return rollouts.SubmitResponse{}, fmt.Errorf("peer: encode submission: %w", err)
	}
	return decodeAnswer[rollouts.SubmitResponse](s.call(ctx, vm, func(ctx context.Context, c peerpb.DRPCPeerClient) (partReceiver, error) {
		stream, err := c.SubmitStep(ctx)
		if err != nil {
			return nil, err
		}
		if err := sendBody(stream, nameOf(team, job, step), body); err != nil {
			return nil, err
		}
		return stream, stream.CloseSend()
	}))
}

// ForwardPull runs a pull on another VM. Errors as of ForwardSubmit.
func (s *Service) ForwardPull(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r rollouts.PullRequest) (*rollouts.PullResponse, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("peer: encode pull: %w", err)
	}
	in := &peerpb.StepRequest{Step: nameOf(team, job, step), Body: body}
	return decodeAnswer[*rollouts.PullResponse](s.call(ctx, vm, func(ctx context.Context, c peerpb.DRPCPeerClient) (partReceiver, error) {
		return c.PullStep(ctx, in)
	}))
}

// ForwardStatus asks another VM for a step's state. Errors as of ForwardSubmit.
func (s *Service) ForwardStatus(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) (rollouts.StatusResponse, error) {
	in := &peerpb.StepRequest{Step: nameOf(team, job, step)}
	return decodeAnswer[rollouts.StatusResponse](s.call(ctx, vm, func(ctx context.Context, c peerpb.DRPCPeerClient) (partReceiver, error) {
		return c.StepStatus(ctx, in)
	}))
}

// ForwardCancel cancels a step on another VM. Errors as of ForwardSubmit.
func (s *Service) ForwardCancel(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) error {
	in := &peerpb.StepRequest{Step: nameOf(team, job, step)}
	_, err := s.call(ctx, vm, func(ctx context.Context, c peerpb.DRPCPeerClient) (partReceiver, error) {
		return c.CancelStep(ctx, in)
	})
	return err
}

type partReceiver interface {
	Recv() (*peerpb.Part, error)
}

// call runs one call on a connection of its own: an answer of tens of
// megabytes holds up no digest, and giving up is closing the connection.
func (s *Service) call(ctx context.Context, vm ident.VM, start func(context.Context, peerpb.DRPCPeerClient) (partReceiver, error)) ([]byte, error) {
	client, closeConn, err := s.client(ctx, vm)
	if err != nil {
		return nil, err
	}
	defer closeConn()
	stream, err := start(withToken(ctx, s.options.Token), client)
	if err != nil {
		return nil, fmt.Errorf("peer: call %s: %w", vm, err)
	}
	_, body, err := recvBody(stream)
	return body, err
}

func (s *Service) client(ctx context.Context, vm ident.VM) (peerpb.DRPCPeerClient, func(), error) {
	address, ok := s.addressOf(vm)
	if !ok {
		return nil, nil, fmt.Errorf("%w: %s", ErrUnknownVM, vm)
	}
	conn, err := s.connect(ctx, vm, address)
	if err != nil {
		return nil, nil, err
	}
	return peerpb.NewDRPCPeerClient(conn), func() { _ = conn.Close() }, nil
}

func (s *Service) addressOf(vm ident.VM) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.AddressOf(vm)
}
