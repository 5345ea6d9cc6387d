package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// maxWatch bounds one wait for a newer configuration.
const maxWatch = 30 * time.Second

// ConfigView is the answer to GET /v1/config.
type ConfigView struct {
	Version       ident.Offset  `json:"version"`        // of the whole tree
	BranchVersion ident.Offset  `json:"branch_version"` // of the branch asked for
	Branch        config.Branch `json:"branch,omitempty"`
	Tree          *config.Tree  `json:"tree,omitempty"`  // without a branch, administrators only
	Team          *config.Team  `json:"team,omitempty"`  // branch teams/<team>
	Fleet         *config.Fleet `json:"fleet,omitempty"` // branch fleet
}

// ChangeRequest is the body of POST /v1/config/changes.
type ChangeRequest struct {
	ID     string        `json:"id,omitempty"` // sent again under the same ID it applies once
	Branch config.Branch `json:"branch"`
	Base   ident.Offset  `json:"base"` // the branch's version it was made on
	Ops    []config.Op   `json:"ops"`
	Author string        `json:"author,omitempty"`
}

// FleetView is the answer to GET /v1/upstreams and /v1/daemons.
type FleetView struct {
	Upstreams []dispatch.Status   `json:"upstreams,omitempty"`
	Daemons   []peer.MemberStatus `json:"daemons,omitempty"`
}

// TimelineView is the answer to GET /v1/timeline. Missing names daemons that
// didn't answer, so that a reader knows what the picture lacks.
type TimelineView struct {
	Events  []timeline.Event `json:"events"`
	Missing []ident.VM       `json:"missing,omitempty"`
}

func (a *API) getConfig(w http.ResponseWriter, r *http.Request) {
	a.writeConfig(w, r, a.queries.State())
}

// watchConfig answers once the version is above "after", or after a while as it is.
func (a *API) watchConfig(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 63)
	if err != nil {
		refuse(http.StatusBadRequest, "after must be a version").write(w)
		return
	}
	if problem := mayOpen(r, branchOf(r)); problem != nil {
		problem.write(w) // before the wait: a stranger must not learn when others change
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxWatch)
	defer cancel()
	go func() { // ends with ctx
		select {
		case <-a.draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	state := a.queries.Await(ctx, ident.Offset(after))
	if a.isDraining() && state.Version() <= ident.Offset(after) {
		// An answer without news would have the client ask again at once.
		refuse(http.StatusServiceUnavailable, "this daemon is stopping; watch another one").write(w)
		return
	}
	a.writeConfig(w, r, state)
}

func (a *API) writeConfig(w http.ResponseWriter, r *http.Request, state *config.State) {
	branch := branchOf(r)
	if problem := mayOpen(r, branch); problem != nil {
		problem.write(w)
		return
	}
	view := ConfigView{Version: state.Version(), Branch: branch, BranchVersion: state.BranchVersion(branch)}
	tree := state.Tree()
	switch team, isTeam := branch.Team(); {
	case branch == "":
		view.Tree = tree
	case isTeam:
		if t, ok := tree.Teams[team]; ok {
			view.Team = &t
		}
	default:
		view.Fleet = &tree.Fleet
	}
	writeJSON(w, http.StatusOK, view)
}

func branchOf(r *http.Request) config.Branch { return config.Branch(r.URL.Query().Get("branch")) }

// mayOpen lets a team's key touch only that team's branch. The empty branch is
// the whole tree.
func mayOpen(r *http.Request, branch config.Branch) *Problem {
	p := principalOf(r)
	team, isTeam := branch.Team()
	if !p.admin && !(isTeam && p.opens(team)) {
		return refusal(http.StatusForbidden, "this key opens only teams/"+string(p.team))
	}
	if branch != "" && branch.Validate() != nil {
		return refusal(http.StatusBadRequest, `the branch must be "fleet" or "teams/<team>"`)
	}
	return nil
}

// readChange reads a change that the key may make.
func readChange(w http.ResponseWriter, r *http.Request) (ChangeRequest, *Problem) {
	var req ChangeRequest
	if problem := readJSON(w, r, maxAdminBody, &req); problem != nil {
		return req, problem
	}
	if req.Branch == "" {
		return req, refusal(http.StatusBadRequest, "branch is missing")
	}
	return req, mayOpen(r, req.Branch)
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	req, problem := readChange(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	change := config.Change{ID: req.ID, Branch: req.Branch, Base: req.Base, Ops: req.Ops, Author: req.Author, At: time.Now().UTC()}
	verdict, err := a.commands.Publish(r.Context(), change)
	if err != nil {
		problem := problemOf(err)
		if problem.Outcome == outcome.Unknown {
			problem.Detail += "; sending it again with the id " + shorten(req.ID) + " is safe"
		}
		problem.write(w)
		return
	}
	writeJSON(w, http.StatusOK, verdict)
}

// defaultHistory is how many entries GET /v1/config/history returns unasked.
const defaultHistory = 50

func (a *API) history(w http.ResponseWriter, r *http.Request) {
	branch := branchOf(r)
	if problem := mayOpen(r, branch); problem != nil {
		problem.write(w)
		return
	}
	limit, problem := limitOf(r, defaultHistory)
	if problem != nil {
		problem.write(w)
		return
	}
	entries := a.queries.State().History(branch, limit)
	if entries == nil {
		entries = []config.HistoryEntry{}
	}
	writeJSON(w, http.StatusOK, entries)
}

// maxLimit bounds how many entries one answer of a list holds.
const maxLimit = 10_000

func limitOf(r *http.Request, unasked int) (int, *Problem) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return unasked, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, refusal(http.StatusBadRequest, fmt.Sprintf("limit must be 1 to %d", maxLimit))
	}
	return n, nil
}

func (a *API) upstreams(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, FleetView{Upstreams: a.queries.Upstreams()})
}

func (a *API) daemons(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, FleetView{Daemons: a.queries.Daemons()})
}

func (a *API) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	filter := timeline.Filter{
		Request: ident.RequestID(q.Get("request")), Team: ident.Team(q.Get("team")),
		Job: ident.Job(q.Get("job")), Sample: q.Get("sample"),
	}
	if problem := a.narrow(r, &filter); problem != nil {
		problem.write(w)
		return
	}
	events, missing := a.queries.Timeline(r.Context(), filter)
	writeJSON(w, http.StatusOK, TimelineView{Events: events, Missing: missing})
}

// narrow keeps a team's key to the team's own events. Events without a team,
// such as those of peers and weights, are for administrators.
func (a *API) narrow(r *http.Request, filter *timeline.Filter) *Problem {
	p := principalOf(r)
	if filter.Team != "" && !p.opens(filter.Team) {
		return refusal(http.StatusForbidden, "this key opens only the team "+string(p.team))
	}
	if !p.admin {
		filter.Team = p.team
	}
	limit, problem := limitOf(r, timeline.DefaultLimit)
	filter.Limit = limit
	return problem
}
