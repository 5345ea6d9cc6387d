package command

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// ServiceCall is a caller's request to a plain service.
type ServiceCall struct {
	ID     ident.RequestID
	Team   ident.Team
	Method string
	Path   string // without the query
	Query  string
	Header http.Header
	Body   []byte
	// IdempotencyKey, if not empty, lets the caller send a non-idempotent call
	// again without its running twice.
	IdempotencyKey string
}

// ServiceAnswer is a service's answer; Replayed says that it is the kept answer
// of an earlier request with the same key.
type ServiceAnswer struct {
	*upstream.ServiceResponse
	Replayed bool
}

// CallService routes a call to the service that the team's branch declares for
// its path. A non-idempotent call runs at most once: without a key it is
// dispatched once, with a key only by the one that holds the key's claim.
// The error is an *Error.
func (c *Commands) CallService(ctx context.Context, r ServiceCall) (ServiceAnswer, error) {
	team, err := c.team(r.Team)
	if err != nil {
		return ServiceAnswer{}, err
	}
	name, route, err := findRoute(team, r)
	if err != nil {
		return ServiceAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.routeTimeout(route))
	defer cancel()
	run := func(ctx context.Context) (*upstream.ServiceResponse, error) {
		return c.dispatcher.Call(ctx, dispatchCall(ctx, r, route))
	}
	if route.Idempotent || r.IdempotencyKey == "" {
		res, err := run(ctx)
		return ServiceAnswer{ServiceResponse: res}, turn(err)
	}
	scope := string(r.Team) + "/" + name
	res, replayed, err := c.keyed.Do(ctx, scope, r.IdempotencyKey, contentHash(r), run)
	return ServiceAnswer{ServiceResponse: res, Replayed: replayed}, turn(err)
}

func dispatchCall(ctx context.Context, r ServiceCall, route config.Route) dispatch.CallRequest {
	deadline, _ := ctx.Deadline()
	path := r.Path
	if r.Query != "" {
		path += "?" + r.Query
	}
	return dispatch.CallRequest{
		ID: r.ID, Team: r.Team, Group: route.Group, Method: r.Method, Path: path,
		Header: r.Header, Body: r.Body, Idempotent: route.Idempotent, Deadline: deadline,
	}
}

// contentHash tells a resend from another request under the same key.
func contentHash(r ServiceCall) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Path, r.Query, string(r.Body)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func (c *Commands) routeTimeout(route config.Route) time.Duration {
	if route.TimeoutMillis > 0 {
		return time.Duration(route.TimeoutMillis) * time.Millisecond
	}
	return c.timeout
}

// findRoute takes the longest declared prefix that matches whole path segments.
func findRoute(team config.Team, r ServiceCall) (string, config.Route, error) {
	best, bestRoute, found := "", config.Route{}, false
	for name, route := range team.Routes {
		if !pathMatches(route.Path, r.Path) {
			continue
		}
		if !found || len(route.Path) > len(bestRoute.Path) {
			best, bestRoute, found = name, route, true
		}
	}
	if !found {
		return "", config.Route{}, refused(NotFound, "team %s declares no route for %s", r.Team, r.Path)
	}
	if len(bestRoute.Methods) > 0 && !slices.Contains(bestRoute.Methods, r.Method) {
		return "", config.Route{}, refused(Invalid, "route %q allows %s, not %s", best, strings.Join(bestRoute.Methods, ", "), r.Method)
	}
	return best, bestRoute, nil
}

func pathMatches(prefix, path string) bool {
	if prefix == "/" || prefix == path {
		return true
	}
	return strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/")
}
