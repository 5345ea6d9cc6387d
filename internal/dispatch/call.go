package dispatch

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// Call sends one call to a service of a group and returns its answer, whatever the
// status. A call that isn't idempotent is sent again only if it is certain that the
// upstream didn't run it. Errors are *Error.
func (d *Dispatcher) Call(ctx context.Context, call CallRequest) (*upstream.ServiceResponse, error) {
	fp := poison.FingerprintOf("call", string(call.Team), call.Group, call.Method, call.Path, string(call.Body))
	request := upstream.ServiceRequest{
		ID:         call.ID,
		Method:     call.Method,
		Path:       call.Path,
		Header:     call.Header,
		Body:       call.Body,
		NeverRetry: !call.Idempotent,
	}
	var response *upstream.ServiceResponse
	attempts := 0
	err := d.runUnary(ctx, unaryCall{
		id:          call.ID,
		team:        call.Team,
		group:       call.Group,
		fingerprint: fp,
		idempotent:  call.Idempotent,
		deadline:    call.Deadline,
		attempt: func(ctx context.Context, t upstream.Target) (leaving bool, err error) {
			if attempts++; call.Idempotent && attempts == 1 {
				request.FirstByteTimeout = firstAttemptTimeout(call.Deadline.Sub(d.options.Now()))
			} else {
				request.FirstByteTimeout = 0
			}
			response, err = d.options.Client.Call(ctx, t, request)
			return err == nil && response.Leaving, err
		},
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

const (
	// firstAttemptDivisor divides the time left to a call: the first attempt of an
	// idempotent one may wait for this part of it.
	firstAttemptDivisor    = 4
	minFirstAttemptTimeout = 2 * time.Second
)

// firstAttemptTimeout returns how long an idempotent call's first attempt waits for the
// first byte of the answer. A frozen process accepts connections and never answers;
// without this bound, the call would wait there until its deadline. The second attempt,
// on another upstream, may use all the time that is left, so that a service that is
// merely slow still answers, unless it needs more than three quarters of the route's
// timeout.
func firstAttemptTimeout(remaining time.Duration) time.Duration {
	return max(remaining/firstAttemptDivisor, minFirstAttemptTimeout)
}

// Score requests the reward of a completion from a scorer. Scoring is idempotent.
// Errors are *Error.
func (d *Dispatcher) Score(ctx context.Context, team ident.Team, group string, id ident.RequestID, prompt, completion string, deadline time.Time) (float64, error) {
	var reward float64
	err := d.runUnary(ctx, unaryCall{
		id:          id,
		team:        team,
		group:       group,
		class:       ClassRollout,
		fingerprint: poison.FingerprintOf("score", string(team), group, prompt, completion),
		idempotent:  true,
		deadline:    deadline,
		attempt: func(ctx context.Context, t upstream.Target) (leaving bool, err error) {
			reward, err = d.options.Client.Score(ctx, t, id, prompt, completion)
			return false, err
		},
	})
	if err != nil {
		return 0, err
	}
	return reward, nil
}

// unaryCall is a request with a single, unstreamed answer.
type unaryCall struct {
	id          ident.RequestID
	team        ident.Team
	group       string
	class       Class
	fingerprint poison.Fingerprint
	idempotent  bool
	deadline    time.Time
	attempt     func(context.Context, upstream.Target) (leaving bool, err error)
}

func (d *Dispatcher) runUnary(ctx context.Context, call unaryCall) error {
	s := d.shardOf(call.group)
	if err := d.checkAccepting(s); err != nil {
		return err
	}
	ctx, cancel := withDeadline(ctx, call.deadline)
	defer cancel()
	r := &requestRun{
		dispatcher:  d,
		shard:       s,
		id:          call.id,
		fingerprint: call.fingerprint,
		deadline:    call.deadline,
		idempotent:  call.idempotent,
		placement: placementRequest{
			team:         call.team,
			latestStart:  d.latestStart(call.deadline, 0, call.class),
			stepDeadline: call.deadline,
			cost:         1,
			route:        routing.Request{Class: routingClass(call.class)},
		},
	}
	attemptFunc := func(ctx context.Context, sl *slot) error { return s.attemptUnary(ctx, sl, call) }
	if err := r.runAttempts(ctx, attemptFunc, func() bool { return false }); err != nil {
		return err
	}
	return nil
}

// attemptUnary makes one attempt and updates the member's limit by its latency.
func (s *shard) attemptUnary(ctx context.Context, sl *slot, call unaryCall) error {
	leaving, err := call.attempt(ctx, s.targetOf(sl.member))
	if leaving {
		s.markLeaving(sl.member, health.FromAnswer)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLatency(sl, s.dispatcher.options.Now().Sub(sl.started))
	return nil
}
