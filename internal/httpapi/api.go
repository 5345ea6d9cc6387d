package httpapi

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"

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
	draining chan struct{} // closed by Drain
	drain    sync.Once
	settled  func() bool // nil: always
}

// New returns the API.
func New(c *command.Commands, q *query.Queries, admin settings.Secret) *API {
	return &API{commands: c, queries: q, auth: newAuthenticator(admin, q.State), draining: make(chan struct{})}
}

// ReadyOnceSettled keeps the daemon "not ready" until it has met its peers. Call it
// before the ports are served.
func (a *API) ReadyOnceSettled(settled func() bool) { a.settled = settled }

// Drain makes the daemon "not ready" while it goes on serving, so that the
// balancer sends no more before the ports close. Whoever watches the
// configuration gets his answer at once.
func (a *API) Drain() { a.drain.Do(func() { close(a.draining) }) }

func (a *API) isDraining() bool {
	select {
	case <-a.draining:
		return true
	default:
		return false
	}
}

// CallerHandler serves production callers.
func (a *API) CallerHandler() http.Handler {
	r := a.router()
	caller := func(h http.HandlerFunc) http.Handler { return a.auth.require(config.RoleCaller, false, h) }
	r.Handle("/v1/chat/completions", methods{http.MethodPost: caller(a.completions(true))})
	r.Handle("/v1/completions", methods{http.MethodPost: caller(a.completions(false))})
	r.MatcherFunc(anyPath).Handler(caller(a.service))
	return r
}

// anyPath matches paths that the router's own patterns can't, like CONNECT's.
func anyPath(*http.Request, *mux.RouteMatch) bool { return true }

const stepPath = "/jobs/{job}/steps/{step}"

// TrainerHandler serves trainers.
func (a *API) TrainerHandler() http.Handler {
	r := a.router()
	trainer := func(h http.HandlerFunc) http.Handler { return a.auth.require(config.RoleTrainer, false, h) }
	r.Handle("/v1"+stepPath, methods{
		http.MethodPut:    trainer(a.submitStep),
		http.MethodGet:    trainer(a.stepStatus),
		http.MethodDelete: trainer(a.cancelStep),
	})
	r.Handle("/v1"+stepPath+"/pull", methods{http.MethodPost: trainer(a.pullStep)})
	return r
}

// AdminHandler serves operators. Everything but the health checks wants a key.
func (a *API) AdminHandler() http.Handler {
	r := a.router()
	operator := func(h http.HandlerFunc) http.Handler { return a.auth.require(config.RoleOperator, true, h) }
	get := func(h http.Handler) methods { return methods{http.MethodGet: h} }
	r.Handle("/v1/whoami", get(operator(a.whoami)))
	r.Handle("/v1/config", get(operator(a.getConfig)))
	r.Handle("/v1/config/watch", get(operator(a.watchConfig)))
	r.Handle("/v1/config/changes", methods{http.MethodPost: operator(a.publish)})
	r.Handle("/v1/config/restore", methods{http.MethodPost: a.adminOnly(a.restore)})
	r.Handle("/v1/config/diff", methods{http.MethodPost: operator(a.diff)})
	r.Handle("/v1/config/history", get(operator(a.history)))
	r.Handle("/v1/teams/{team}/jobs", get(operator(a.listJobs)))
	r.Handle("/v1/teams/{team}/steps", get(operator(a.listSteps)))
	r.Handle("/v1/teams/{team}/jobs/{job}", get(operator(a.showJob)))
	r.Handle("/v1/teams/{team}"+stepPath, methods{
		http.MethodGet:    operator(a.stepStatus),
		http.MethodDelete: operator(a.cancelStep),
	})
	r.Handle("/v1/upstreams", get(a.adminOnly(a.upstreams)))
	r.Handle("/v1/daemons", get(a.adminOnly(a.daemons)))
	r.Handle("/v1/timeline", get(operator(a.timeline)))
	r.Handle("/debug/vars", get(a.adminOnly(expvar.Handler().ServeHTTP)))
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
	r.Handle("/healthz", methods{http.MethodGet: http.HandlerFunc(a.healthz)})
	r.Handle("/readyz", methods{http.MethodGet: http.HandlerFunc(a.readyz)})
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(http.StatusNotFound, "no endpoint "+shorten(r.URL.Path)).write(w)
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
	case a.isDraining():
		out.Ready, out.Reason = false, "stopping"
	case out.Version == 0:
		out.Ready, out.Reason = false, "no configuration yet"
	case a.settled != nil && !a.settled():
		out.Ready, out.Reason = false, "meeting its peers"
	}
	status := http.StatusOK
	if !out.Ready {
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(retryUnconfiguredSeconds))
	}
	writeJSON(w, status, out)
}

// liveness is the answer to /healthz.
type liveness struct {
	Status string `json:"status"`
}
