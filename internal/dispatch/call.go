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

// Call asks a service of a group for one answer, whatever its status. A call that
// isn't idempotent is dispatched again only if the upstream certainly didn't
// begin it. Errors are *Error.
func (d *Dispatcher) Call(ctx context.Context, c Call) (*upstream.ServiceResponse, error) {
	fp := poison.FingerprintOf("call", string(c.Team), c.Group, c.Method, c.Path, string(c.Body))
	request := upstream.ServiceRequest{
		ID:         c.ID,
		Method:     c.Method,
		Path:       c.Path,
		Header:     c.Header,
		Body:       c.Body,
		NeverRetry: !c.Idempotent,
	}
	var response *upstream.ServiceResponse
	attempts := 0
	err := d.unary(ctx, unary{
		id:         c.ID,
		team:       c.Team,
		group:      c.Group,
		fp:         fp,
		idempotent: c.Idempotent,
		deadline:   c.Deadline,
		do: func(ctx context.Context, t upstream.Target) (leaving bool, err error) {
			if attempts++; c.Idempotent && attempts == 1 {
				request.FirstByteTimeout = firstTry(c.Deadline.Sub(d.o.Now()))
			} else {
				request.FirstByteTimeout = 0
			}
			response, err = d.o.Client.Call(ctx, t, request)
			return err == nil && response.Leaving, err
		},
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

const (
	// firstTryPart is the part of a call's time that its first attempt may wait.
	firstTryPart = 4
	firstTryMin  = 2 * time.Second
)

// firstTry bounds the wait of an idempotent call's first attempt for the service's
// first byte. A frozen process accepts the connection and never answers; without
// a bound the call would wait there until its deadline. The second attempt, at
// another upstream, gets all the time that is left: a service that is just slow
// still answers, unless it needs more than three quarters of the route's time.
func firstTry(left time.Duration) time.Duration {
	return max(left/firstTryPart, firstTryMin)
}

// Score asks a scorer for a completion's reward. Scoring is idempotent. Errors
// are *Error.
func (d *Dispatcher) Score(ctx context.Context, team ident.Team, group string, id ident.RequestID, prompt, completion string, deadline time.Time) (float64, error) {
	var reward float64
	err := d.unary(ctx, unary{
		id:         id,
		team:       team,
		group:      group,
		class:      Rollout,
		fp:         poison.FingerprintOf("score", string(team), group, prompt, completion),
		idempotent: true,
		deadline:   deadline,
		do: func(ctx context.Context, t upstream.Target) (leaving bool, err error) {
			reward, err = d.o.Client.Score(ctx, t, id, prompt, completion)
			return false, err
		},
	})
	if err != nil {
		return 0, err
	}
	return reward, nil
}

// unary is a request with one answer.
type unary struct {
	id         ident.RequestID
	team       ident.Team
	group      string
	class      Class
	fp         poison.Fingerprint
	idempotent bool
	deadline   time.Time
	do         func(context.Context, upstream.Target) (leaving bool, err error)
}

func (d *Dispatcher) unary(ctx context.Context, u unary) error {
	s := d.shardOf(u.group)
	if err := d.entry(s); err != nil {
		return err
	}
	ctx, cancel := withDeadline(ctx, u.deadline)
	defer cancel()
	r := &run{
		d:          d,
		s:          s,
		id:         u.id,
		fp:         u.fp,
		deadline:   u.deadline,
		idempotent: u.idempotent,
		want: want{
			team:         u.team,
			deadline:     d.latestStart(u.deadline, 0, u.class),
			stepDeadline: u.deadline,
			cost:         1,
			route:        routing.Request{Class: classOf(u.class)},
		},
	}
	attempt := func(ctx context.Context, sl *slot) error { return s.ask(ctx, sl, u) }
	if err := r.loop(ctx, attempt, func() bool { return false }); err != nil {
		return err
	}
	return nil
}

// ask makes one attempt and learns from its time.
func (s *shard) ask(ctx context.Context, sl *slot, u unary) error {
	leaving, err := u.do(ctx, s.targetOf(sl.m))
	if leaving {
		s.left(sl.m, health.FromAnswer)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(sl, s.d.o.Now().Sub(sl.started))
	return nil
}
