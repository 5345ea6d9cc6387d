package adminclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// Whoami returns whose token the client uses: the administrator's, or a team's with a role.
func (c *Client) Whoami(ctx context.Context) (httpapi.Whoami, error) {
	var who httpapi.Whoami
	err := c.Call(ctx, http.MethodGet, "/v1/whoami", nil, &who)
	return who, err
}

// Jobs returns a team's jobs.
func (c *Client) Jobs(ctx context.Context, team ident.Team) (httpapi.JobsView, error) {
	var view httpapi.JobsView
	err := c.Call(ctx, http.MethodGet, teamPath(team)+"/jobs", nil, &view)
	return view, err
}

// Job returns one of a team's jobs.
func (c *Client) Job(ctx context.Context, team ident.Team, job ident.Job) (httpapi.JobView, error) {
	var view httpapi.JobView
	err := c.Call(ctx, http.MethodGet, teamPath(team)+"/jobs/"+url.PathEscape(string(job)), nil, &view)
	return view, err
}

// Step identifies a step. With an empty Team, it is a step of the key's own team, and the client
// must call a trainer port.
type Step struct {
	Team   ident.Team
	Job    ident.Job
	Number ident.Step
}

// path returns the URL path of the step.
func (s Step) path() string {
	prefix := "/v1"
	if s.Team != "" {
		prefix = teamPath(s.Team)
	}
	return fmt.Sprintf("%s/jobs/%s/steps/%d", prefix, url.PathEscape(string(s.Job)), s.Number)
}

// SubmitStep submits a step. The client must call a trainer port.
func (c *Client) SubmitStep(ctx context.Context, s Step, r rollouts.SubmitRequest) (rollouts.SubmitResponse, error) {
	var response rollouts.SubmitResponse
	err := c.Call(ctx, http.MethodPut, s.path(), r, &response)
	return response, err
}

// StepStatus returns the progress of a step.
func (c *Client) StepStatus(ctx context.Context, s Step) (rollouts.StatusResponse, error) {
	var status rollouts.StatusResponse
	err := c.Call(ctx, http.MethodGet, s.path(), nil, &status)
	return status, err
}

// Steps returns a team's steps that daemons hold, those of all jobs if job is empty.
func (c *Client) Steps(ctx context.Context, team ident.Team, job ident.Job) (httpapi.StepsView, error) {
	path := teamPath(team) + "/steps"
	if job != "" {
		path += "?job=" + url.QueryEscape(string(job))
	}
	var view httpapi.StepsView
	err := c.Call(ctx, http.MethodGet, path, nil, &view)
	return view, err
}

// CancelStep cancels a step.
func (c *Client) CancelStep(ctx context.Context, s Step) error {
	return c.Call(ctx, http.MethodDelete, s.path(), nil, nil)
}

// Upstreams returns the upstreams in the daemon's view.
func (c *Client) Upstreams(ctx context.Context) (httpapi.FleetView, error) {
	var view httpapi.FleetView
	err := c.Call(ctx, http.MethodGet, "/v1/upstreams", nil, &view)
	return view, err
}

// Daemons returns the daemons in the daemon's view.
func (c *Client) Daemons(ctx context.Context) (httpapi.FleetView, error) {
	var view httpapi.FleetView
	err := c.Call(ctx, http.MethodGet, "/v1/daemons", nil, &view)
	return view, err
}

// Timeline returns the events of all daemons that match a filter, in order.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (httpapi.TimelineView, error) {
	q := url.Values{}
	for name, value := range map[string]string{
		"request": string(f.Request), "team": string(f.Team), "job": string(f.Job), "sample": f.Sample,
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if f.Limit != 0 {
		q.Set("limit", strconv.Itoa(f.Limit))
	}
	var view httpapi.TimelineView
	err := c.Call(ctx, http.MethodGet, "/v1/timeline?"+q.Encode(), nil, &view)
	return view, err
}

func teamPath(team ident.Team) string { return "/v1/teams/" + url.PathEscape(string(team)) }
