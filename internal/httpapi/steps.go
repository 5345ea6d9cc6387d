package httpapi

import (
	"net/http"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
)

// StepsView is the answer to GET /v1/teams/{team}/steps. Missing names daemons
// that didn't answer, so that a reader knows what the list lacks.
type StepsView struct {
	Steps   []peer.HeldStep `json:"steps"`
	Missing []ident.VM      `json:"missing,omitempty"`
}

// listSteps lists a team's steps at all daemons; "job" narrows it to one job's.
func (a *API) listSteps(w http.ResponseWriter, r *http.Request) {
	team, problem := teamOf(r)
	if problem != nil {
		problem.write(w)
		return
	}
	held, missing := a.queries.Steps(r.Context(), team)
	if job := ident.Job(r.URL.Query().Get("job")); job != "" {
		held = slices.DeleteFunc(held, func(s peer.HeldStep) bool { return s.Job != job })
	}
	if held == nil {
		held = []peer.HeldStep{}
	}
	writeJSON(w, http.StatusOK, StepsView{Steps: held, Missing: missing})
}
