// Package pages serves a daemon's view of itself to operators over HTTP.
package pages

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Errors of an Ender.
var (
	ErrNotFound = errors.New("no such batch")
	// ErrNotRun: certain that the batch wasn't ended by this call.
	ErrNotRun = errors.New("nothing was done")
)

// Ender ends a batch. Any other error than those above leaves the outcome open.
type Ender interface {
	End(ctx context.Context, id string) error
}

// Paths of the pages.
const (
	PathStatus    = "/state"
	PathBatches   = "/state/batches"
	PathUpstreams = "/state/upstreams"
	PathDuties    = "/state/duties"
	PathCustomers = "/state/customers"
)

// Register adds the pages to a router.
func Register(r *mux.Router, s inspect.Source, e Ender, log zerolog.Logger) {
	p := &pages{s, e, log}
	r.HandleFunc(PathStatus, func(w http.ResponseWriter, _ *http.Request) { p.write(w, s.Status()) }).Methods(http.MethodGet)
	r.HandleFunc(PathBatches, func(w http.ResponseWriter, _ *http.Request) { p.write(w, s.Batches()) }).Methods(http.MethodGet)
	r.HandleFunc(PathUpstreams, func(w http.ResponseWriter, _ *http.Request) { p.write(w, s.Upstreams()) }).Methods(http.MethodGet)
	r.HandleFunc(PathDuties, func(w http.ResponseWriter, _ *http.Request) { p.write(w, s.Duties()) }).Methods(http.MethodGet)
	r.HandleFunc(PathCustomers, func(w http.ResponseWriter, _ *http.Request) { p.write(w, s.Customers()) }).Methods(http.MethodGet)
	r.HandleFunc(PathBatches+"/{id}", p.batch).Methods(http.MethodGet)
	r.HandleFunc(PathBatches+"/{id}", p.end).Methods(http.MethodDelete)
}

type pages struct {
	source inspect.Source
	ender  Ender
	log    zerolog.Logger
}

func (p *pages) batch(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	detail, ok := p.source.Batch(id)
	if !ok {
		p.problem(w, http.StatusNotFound, "this daemon knows no batch "+id, outcome.NotRun)
		return
	}
	p.write(w, detail)
}

func (p *pages) end(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	err := p.ender.End(r.Context(), id)
	p.log.Info().Str("batch", id).Err(err).Msg("batch ended by an operator")
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrNotFound):
		p.problem(w, http.StatusNotFound, err.Error(), outcome.NotRun)
	case errors.Is(err, ErrNotRun):
		p.problem(w, http.StatusServiceUnavailable, err.Error(), outcome.NotRun)
	default:
		p.problem(w, http.StatusBadGateway, err.Error(), outcome.Unknown)
	}
}

func (p *pages) write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		p.log.Info().Err(err).Msg("operator left before the page was whole")
	}
}

func (p *pages) problem(w http.ResponseWriter, status int, detail string, o outcome.Outcome) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	problem := httpapi.Problem{Title: http.StatusText(status), Status: status, Detail: detail, Outcome: o}
	if err := json.NewEncoder(w).Encode(problem); err != nil {
		p.log.Info().Err(err).Msg("operator left before the answer was whole")
	}
}
