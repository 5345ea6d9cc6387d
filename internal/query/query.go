// Package query holds what only reads: samples, the state of steps, upstreams
// and daemons, the configuration and the timeline. What changes things is in
// internal/command.
package query

import (
	"context"

	"github.com/dogwoodflow/dogwoodflow/internal/command"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// Configuration is the settings tree in force.
type Configuration interface {
	Current() *config.State
	Changed() <-chan struct{}
}

// Samples hands out a step's finished groups and its state.
type Samples interface {
	Pull(context.Context, ident.Team, ident.Job, ident.Step, rollouts.PullRequest) (*rollouts.PullResponse, error)
	Status(context.Context, ident.Team, ident.Job, ident.Step) (rollouts.StatusResponse, error)
}

// Fleet is what this daemon knows of others.
type Fleet interface {
	Members() []peer.MemberStatus
	CollectTimeline(context.Context, timeline.Filter) ([]timeline.Event, []ident.VM)
	CollectSteps(context.Context, ident.Team) ([]peer.HeldStep, []ident.VM)
}

// Upstreams lists the upstreams as this daemon sees them.
type Upstreams interface {
	Upstreams() []dispatch.Status
	Newest(ident.Model) ident.Version
}

// Queries is the queries of one daemon. Safe for concurrent use.
type Queries struct {
	config    Configuration
	samples   Samples
	fleet     Fleet
	upstreams Upstreams
}

// New returns the queries.
func New(c Configuration, s Samples, f Fleet, u Upstreams) *Queries {
	return &Queries{config: c, samples: s, fleet: f, upstreams: u}
}

// State returns the configuration in force.
func (q *Queries) State() *config.State { return q.config.Current() }

// Await returns the state once its version is above after, or as it is when the
// context ends.
func (q *Queries) Await(ctx context.Context, after ident.Offset) *config.State {
	for {
		changed := q.config.Changed()
		state := q.config.Current()
		if state.Version() > after {
			return state
		}
		select {
		case <-ctx.Done():
			return state
		case <-changed:
		}
	}
}

// Pull answers a trainer's pull. The error is a *command.Error.
func (q *Queries) Pull(ctx context.Context, team ident.Team, job ident.Job, step ident.Step, r rollouts.PullRequest) (*rollouts.PullResponse, error) {
	res, err := q.samples.Pull(ctx, team, job, step, r)
	return res, command.TurnRead(err)
}

// StepStatus says how far a step is. The error is a *command.Error.
func (q *Queries) StepStatus(ctx context.Context, team ident.Team, job ident.Job, step ident.Step) (rollouts.StatusResponse, error) {
	res, err := q.samples.Status(ctx, team, job, step)
	return res, command.TurnRead(err)
}

// Steps lists a team's steps that daemons hold; missing names the daemons that
// didn't answer.
func (q *Queries) Steps(ctx context.Context, team ident.Team) (steps []peer.HeldStep, missing []ident.VM) {
	return q.fleet.CollectSteps(ctx, team)
}

// Upstreams lists the upstreams as this daemon sees them.
func (q *Queries) Upstreams() []dispatch.Status { return q.upstreams.Upstreams() }

// Daemons lists the daemons that this one hears from.
func (q *Queries) Daemons() []peer.MemberStatus { return q.fleet.Members() }

// Timeline merges the events of all daemons that answer; missing names the others.
func (q *Queries) Timeline(ctx context.Context, f timeline.Filter) (events []timeline.Event, missing []ident.VM) {
	return q.fleet.CollectTimeline(ctx, f)
}
