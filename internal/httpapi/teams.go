package httpapi

import (
	"maps"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Whoami is the answer to GET /v1/whoami: what the key sent opens.
type Whoami struct {
	Admin bool        `json:"admin"`
	Team  ident.Team  `json:"team,omitempty"`
	Role  config.Role `json:"role,omitempty"`
}

// JobView is a job as it is in force, with what its model gives it.
type JobView struct {
	Team ident.Team `json:"team"`
	Name ident.Job  `json:"name"`
	config.Job
	Bound   int64        `json:"staleness_bound_in_force"` // in versions
	Version ident.Offset `json:"branch_version"`           // of the team's branch
}

// JobsView is the answer to GET /v1/teams/{team}/jobs.
type JobsView struct {
	Jobs []JobView `json:"jobs"`
}

func (a *API) whoami(w http.ResponseWriter, r *http.Request) {
	p := principalOf(r)
	writeJSON(w, http.StatusOK, Whoami{Admin: p.admin, Team: p.team, Role: p.role})
}

// teamOf is the key's own team, or the one that the path names.
func teamOf(r *http.Request) (ident.Team, *Problem) {
	p := principalOf(r)
	if _, named := mux.Vars(r)["team"]; !named {
		return p.team, nil
	}
	name, problem := nameIn(r, "team")
	if problem != nil {
		return "", problem
	}
	if team := ident.Team(name); p.opens(team) {
		return team, nil
	}
	return "", refusal(http.StatusForbidden, "this key opens only the team "+string(p.team))
}

func (a *API) listJobs(w http.ResponseWriter, r *http.Request) {
	team, problem := teamOf(r)
	if problem != nil {
		problem.write(w)
		return
	}
	writeJSON(w, http.StatusOK, JobsView{Jobs: jobViews(a.queries.State(), team)})
}

func (a *API) showJob(w http.ResponseWriter, r *http.Request) {
	team, problem := teamOf(r)
	if problem != nil {
		problem.write(w)
		return
	}
	name, problem := nameIn(r, "job")
	if problem != nil {
		problem.write(w)
		return
	}
	for _, view := range jobViews(a.queries.State(), team) {
		if view.Name == ident.Job(name) {
			writeJSON(w, http.StatusOK, view)
			return
		}
	}
	refuse(http.StatusNotFound, "team "+string(team)+" has no job "+name).write(w)
}

// jobViews lists a team's jobs by name.
func jobViews(state *config.State, team ident.Team) []JobView {
	branch := state.Tree().Teams[team]
	views := []JobView{}
	for _, name := range slices.Sorted(maps.Keys(branch.Jobs)) {
		job := branch.Jobs[name]
		views = append(views, JobView{
			Team: team, Name: name, Job: job,
			Bound:   job.EffectiveStalenessBound(branch.Models[job.Model]),
			Version: state.BranchVersion(config.TeamBranch(team)),
		})
	}
	return views
}
