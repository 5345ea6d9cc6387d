package httpapi

import (
	"expvar"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/command"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/query"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

// API holds the handlers of the three ports.
type API struct {
	commands *command.Commands
	queries  *query.Queries
	auth     *authenticator
	draining atomic.Bool
}

// New returns the API.
func New(c *command.Commands, q *query.Queries, admin settings.Secret) *API {
	return &API{commands: c, queries: q, auth: newAuthenticator(admin, q.State)}
}

// Drain makes the daemon "not ready" while it goes on serving, so that the
// balancer sends no more before the ports close.
func (a *API) Drain() { a.draining.Store(true) }

// CallerHandler serves production callers.
func (a *API) CallerHandler() http.Handler {
	r := a.router()
	caller := func(h http.HandlerFunc) http.Handler { return a.auth.require(config.RoleCaller, false, h) }
	r.Handle("/v1/chat/completions", caller(a.completions(true))).Methods(http.MethodPost)
	r.Handle("/v1/completions", caller(a.completions(false))).Methods(http.MethodPost)
	r.PathPrefix("/").Handler(caller(a.service))
	return r
}

// TrainerHandler serves trainers.
func (a *API) TrainerHandler() http.Handler {
	r := a.router()
	trainer := func(h http.HandlerFunc) http.Handler { return a.auth.require(config.RoleTrainer, false, h) }
	const step = "/v1/jobs/{job}/steps/{step}"
	r.Handle(step, trainer(a.submitStep)).Methods(http.MethodPut)
	r.Handle(step, trainer(a.stepStatus)).Methods(http.MethodGet)
	r.Handle(step, trainer(a.cancelStep)).Methods(http.MethodDelete)
	r.Handle(step+"/pull", trainer(a.pullStep)).Methods(http.MethodPost)
	return r
}

// AdminHandler serves operators. Everything but the health checks wants a key.
func (a *API) AdminHandler() http.Handler {
	r := a.router()
	operator := func(h http.HandlerFunc) http.Handler { return a.auth.require(config.RoleOperator, true, h) }
	r.Handle("/v1/config", operator(a.getConfig)).Methods(http.MethodGet)
	r.Handle("/v1/config/watch", operator(a.watchConfig)).Methods(http.MethodGet)
	r.Handle("/v1/config/changes", operator(a.publish)).Methods(http.MethodPost)
	r.Handle("/v1/config/history", operator(a.history)).Methods(http.MethodGet)
	r.Handle("/v1/upstreams", a.adminOnly(a.upstreams)).Methods(http.MethodGet)
	r.Handle("/v1/daemons", a.adminOnly(a.daemons)).Methods(http.MethodGet)
	r.Handle("/v1/timeline", operator(a.timeline)).Methods(http.MethodGet)
	r.Handle("/debug/vars", a.adminOnly(expvar.Handler().ServeHTTP)).Methods(http.MethodGet)
	return r
}

// adminOnly is for what shows more than one team.
func (a *API) adminOnly(h http.HandlerFunc) http.Handler {
	return a.auth.require(config.RoleOperator, true, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !principalOf(r).admin {
			refuse(http.StatusForbidden, "only the administrator's token opens this").write(w)
			return
		}
		h(w, r)
	}))
}

func (a *API) router() *mux.Router {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/healthz", a.healthz)
	r.HandleFunc("/readyz", a.readyz)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(http.StatusNotFound, "no endpoint "+r.URL.Path).write(w)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(http.StatusMethodNotAllowed, "the endpoint has no method "+r.Method).write(w)
	})
	return r
}

// maxBody is the largest body that a team's callers may send.
func (a *API) maxBody(team ident.Team) int64 {
	if t, ok := a.queries.State().Tree().Teams[team]; ok && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

func (a *API) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, liveness{Status: "ok"})
}

// readiness is the answer to /readyz.
type readiness struct {
	Ready   bool         `json:"ready"`
	Reason  string       `json:"reason,omitempty"`
	Version ident.Offset `json:"version"` // of the configuration in force
}

func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	out := readiness{Ready: true, Version: a.queries.State().Version()}
	switch {
	case a.draining.Load():
		out.Ready, out.Reason = false, "stopping"
	case out.Version == 0:
		out.Ready, out.Reason = false, "no configuration yet"
	}
	status := http.StatusOK
	if !out.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, out)
}

// liveness is the answer to /healthz.
type liveness struct {
	Status string `json:"status"`
}
