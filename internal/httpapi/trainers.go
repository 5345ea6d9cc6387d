package httpapi

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

// stepOf reads a request's team, job and step.
func stepOf(r *http.Request) (ident.Team, ident.Job, ident.Step, *Problem) {
	job, problem := nameIn(r, "job")
	if problem != nil {
		return "", "", 0, problem
	}
	number, err := strconv.ParseUint(mux.Vars(r)["step"], 10, 63)
	if err != nil {
		return "", "", 0, refusal(http.StatusBadRequest, "the path's step is not a number from 0 on")
	}
	team, problem := teamOf(r)
	return team, ident.Job(job), ident.Step(number), problem
}

// checkSubmit finds numbers that no step can mean.
func checkSubmit(r rollouts.SubmitRequest) string {
	if r.TrainerVersion < 0 {
		return "trainer_version must not be negative"
	}
	for i, p := range r.Prompts {
		if p.ExpectedTokens < 0 || p.ExpectedTokens > config.MaxTokens {
			return fmt.Sprintf("prompts/%d: expected_tokens must be 0 to %d", i, config.MaxTokens)
		}
	}
	return ""
}

func checkPull(r rollouts.PullRequest) string {
	if r.TrainerVersion < 0 || r.WaitMillis < 0 || r.MaxGroups < 0 {
		return "trainer_version, wait_ms and max_groups must not be negative"
	}
	return ""
}

func (a *API) submitStep(w http.ResponseWriter, r *http.Request) {
	var req rollouts.SubmitRequest
	team, job, step, ok := decodeStep(w, r, &req, func() string { return checkSubmit(req) })
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
	team, job, step, ok := decodeStep(w, r, &req, func() string { return checkPull(req) })
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
func decodeStep(w http.ResponseWriter, r *http.Request, body any, check func() string) (ident.Team, ident.Job, ident.Step, bool) {
	team, job, step, problem := stepOf(r)
	if problem == nil {
		problem = readJSON(w, r, maxStepBody, body)
	}
	if problem == nil {
		if fault := check(); fault != "" {
			problem = refusal(http.StatusBadRequest, fault)
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
