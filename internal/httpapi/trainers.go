package httpapi

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

// stepOf reads a request's job and step. The team is the key's own.
func stepOf(r *http.Request) (ident.Team, ident.Job, ident.Step, *Problem) {
	vars := mux.Vars(r)
	number, err := strconv.ParseInt(vars["step"], 10, 64)
	if err != nil || number < 0 {
		p := refuse(http.StatusBadRequest, fmt.Sprintf("step %q is not a number from 0 on", vars["step"]))
		return "", "", 0, &p
	}
	return principalOf(r).team, ident.Job(vars["job"]), ident.Step(number), nil
}

func (a *API) submitStep(w http.ResponseWriter, r *http.Request) {
	var req rollouts.SubmitRequest
	team, job, step, ok := decodeStep(w, r, &req)
	if !ok {
		return
	}
	res, err := a.commands.SubmitStep(r.Context(), team, job, step, req)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	status := http.StatusOK
	if res.Created {
		status = http.StatusCreated
	}
	writeJSON(w, status, res)
}

func (a *API) pullStep(w http.ResponseWriter, r *http.Request) {
	var req rollouts.PullRequest
	team, job, step, ok := decodeStep(w, r, &req)
	if !ok {
		return
	}
	res, err := a.queries.Pull(r.Context(), team, job, step, req)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeJSON(w, http.StatusOK, res)
}

// decodeStep reads a step's path and body; on a fault it has answered.
func decodeStep(w http.ResponseWriter, r *http.Request, body any) (ident.Team, ident.Job, ident.Step, bool) {
	team, job, step, problem := stepOf(r)
	if problem == nil {
		var data []byte
		if data, problem = readBody(w, r, maxStepBody); problem == nil {
			problem = decodeStrict(data, body)
		}
	}
	if problem != nil {
		problem.write(w)
		return "", "", 0, false
	}
	return team, job, step, true
}

func (a *API) stepStatus(w http.ResponseWriter, r *http.Request) {
	team, job, step, problem := stepOf(r)
	if problem != nil {
		problem.write(w)
		return
	}
	res, err := a.queries.StepStatus(r.Context(), team, job, step)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeJSON(w, http.StatusOK, res)
}

func (a *API) cancelStep(w http.ResponseWriter, r *http.Request) {
	team, job, step, problem := stepOf(r)
	if problem != nil {
		problem.write(w)
		return
	}
	if err := a.commands.CancelStep(r.Context(), team, job, step); err != nil {
		problemOf(err).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
