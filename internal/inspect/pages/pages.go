// Package pages serves the state of a daemon to operators, as JSON over HTTP.
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

// Errors that a BatchEnder returns.
var (
	ErrNotFound = errors.New("no such batch")
	// ErrNotRun is returned if the call certainly didn't end the batch.
	ErrNotRun = errors.New("nothing was done")
)

// BatchEnder ends batches.
type BatchEnder interface {
	// End ends the batch with the ID. The outcome is unknown after an error that wraps
	// neither ErrNotFound nor ErrNotRun.
	End(ctx context.Context, id string) error
}

// Paths of the pages. The path of a batch is PathBatches, a slash and its ID.
const (
	PathStatus    = "/state"
	PathBatches   = "/state/batches"
	PathUpstreams = "/state/upstreams"
	PathDuties    = "/state/duties"
	PathCustomers = "/state/customers"
	PathLoad      = "/state/load"
)

// Register adds the pages of a source, and the request that ends a batch, to a router.
func Register(r *mux.Router, source inspect.Source, ender BatchEnder, log zerolog.Logger) {
	p := &pages{source, ender, log}
	r.HandleFunc(PathStatus, func(w http.ResponseWriter, _ *http.Request) { p.write(w, source.Status()) }).Methods(http.MethodGet)
	r.HandleFunc(PathBatches, func(w http.ResponseWriter, _ *http.Request) { p.write(w, source.Batches()) }).Methods(http.MethodGet)
	r.HandleFunc(PathUpstreams, func(w http.ResponseWriter, _ *http.Request) { p.write(w, source.Upstreams()) }).Methods(http.MethodGet)
	r.HandleFunc(PathDuties, func(w http.ResponseWriter, _ *http.Request) { p.write(w, source.Duties()) }).Methods(http.MethodGet)
	r.HandleFunc(PathCustomers, func(w http.ResponseWriter, _ *http.Request) { p.write(w, source.Customers()) }).Methods(http.MethodGet)
	r.HandleFunc(PathLoad, func(w http.ResponseWriter, _ *http.Request) { p.write(w, source.Load()) }).Methods(http.MethodGet)
	r.HandleFunc(PathBatches+"/{id}", p.batch).Methods(http.MethodGet)
	r.HandleFunc(PathBatches+"/{id}", p.end).Methods(http.MethodDelete)
}

type pages struct {
	source inspect.Source
	ender  BatchEnder
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
	p.log.Info().Str("batch", id).Err(err).Msg("operator asked to end a batch")
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

// write answers with v as JSON.
func (p *pages) write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		p.log.Info().Err(err).Msg("could not write a page to an operator")
	}
}

// problem answers with a problem document.
func (p *pages) problem(w http.ResponseWriter, status int, detail string, o outcome.Outcome) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	problem := httpapi.Problem{Title: http.StatusText(status), Status: status, Detail: detail, Outcome: o}
	if err := json.NewEncoder(w).Encode(problem); err != nil {
		p.log.Info().Err(err).Msg("could not write an error response to an operator")
	}
}
