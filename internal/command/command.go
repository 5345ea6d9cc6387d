package command

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/keyed"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// Dispatcher brings requests to upstreams.
type Dispatcher interface {
	Generate(context.Context, dispatch.GenerateRequest, func(upstream.Chunk) error) (dispatch.Completion, error)
	Call(context.Context, dispatch.CallRequest) (*upstream.ServiceResponse, error)
}

// Keyed runs a call at most once for an idempotency key.
type Keyed interface {
	Do(ctx context.Context, scope, key string, bodyHash uint64, run keyed.RunFunc) (*upstream.ServiceResponse, bool, error)
}

// Configuration is the settings tree in force and the way to change it.
type Configuration interface {
	Current() *config.State
	Publish(context.Context, config.Change) (config.Verdict, error)
	Restore(context.Context, config.Restore) (config.Verdict, error)
}

// Steps takes trainers' steps.
type Steps interface {
	Submit(context.Context, ident.Team, ident.Job, ident.Step, rollouts.SubmitRequest) (rollouts.SubmitResponse, error)
	Cancel(context.Context, ident.Team, ident.Job, ident.Step) error
}

// Commands is the commands of one daemon. Safe for concurrent use.
type Commands struct {
	dispatcher Dispatcher
	keyed      Keyed
	config     Configuration
	steps      Steps
	timeout    time.Duration
}

// New returns the commands; timeout bounds a request whose route states none.
func New(d Dispatcher, k Keyed, c Configuration, s Steps, timeout time.Duration) *Commands {
	return &Commands{dispatcher: d, keyed: k, config: c, steps: s, timeout: timeout}
}

// Publish publishes a change and waits until it is read back. A rejected change
// is a Conflict or Invalid *Error that says why; nothing has changed then.
func (c *Commands) Publish(ctx context.Context, change config.Change) (config.Verdict, error) {
	verdict, err := c.config.Publish(ctx, change)
	if err != nil {
		return verdict, turnPublish(err)
	}
	if !verdict.Accepted {
		return verdict, &Error{Kind: rejectionKind(change, verdict), Outcome: outcome.NotRun, Detail: rejection(verdict)}
	}
	return verdict, nil
}

// rejectionKind tells a lost race, which a newer base may mend, from a change
// that was judged on its own base and breaks the schema.
func rejectionKind(c config.Change, v config.Verdict) Kind {
	if c.Base != v.Version {
		return Conflict
	}
	return Invalid
}

func rejection(v config.Verdict) string {
	if v.Path == "" {
		return v.Reason
	}
	return v.Path + ": " + v.Reason
}

// SubmitStep submits a training step; the same step may be submitted again.
func (c *Commands) SubmitStep(ctx context.Context, team ident.Team, job ident.Job, step ident.Step, r rollouts.SubmitRequest) (rollouts.SubmitResponse, error) {
	res, err := c.steps.Submit(ctx, team, job, step, r)
	return res, turn(err)
}

// CancelStep gives up a step and what runs for it.
func (c *Commands) CancelStep(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) error {
	return turn(c.steps.Cancel(ctx, team, job, step))
}

// retryUnconfigured is when to come back to a daemon that has no configuration yet.
const retryUnconfigured = 2 * time.Second

func (c *Commands) team(name ident.Team) (config.Team, error) {
	state := c.config.Current()
	if state.Version() == 0 {
		err := refused(Unavailable, "this daemon has no configuration yet")
		err.RetryAfter = retryUnconfigured
		return config.Team{}, err
	}
	team, ok := state.Tree().Teams[name]
	if !ok {
		return config.Team{}, refused(NotFound, "no team %q", name)
	}
	return team, nil
}
