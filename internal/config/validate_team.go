package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// reservedPaths are served by the daemon itself; a route there would never be used.
var reservedPaths = []string{
	"/v1/chat/completions", "/v1/completions", "/v1/jobs", "/healthz", "/readyz", "/debug",
}

// allowedMethods are the methods that a route may take.
var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func validateTeam(t *Tree, name ident.Team) *Error {
	team, path := t.Teams[name], string(TeamBranch(name))
	if !validName(string(name)) {
		return newError(path, "name "+nameRule)
	}
	checks := []func() *Error{
		func() *Error { return validateEntryCounts(path, team) },
		func() *Error { return checkEntries(path+"/keys", team.Keys, validateKey) },
		func() *Error { return validateModels(path, team, t.Fleet) },
		func() *Error { return validateRoutes(path, team, t.Fleet) },
		func() *Error { return validateJobs(path, team, t.Fleet) },
		func() *Error { return validateLimits(path+"/limits", team.Limits) },
		func() *Error { return checkRange(path+"/staleness_weight", team.StalenessWeight, 0, 1) },
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func validateEntryCounts(path string, team Team) *Error {
	counts := []struct {
		name  string
		count int
	}{
		{"keys", len(team.Keys)},
		{"models", len(team.Models)},
		{"routes", len(team.Routes)},
		{"jobs", len(team.Jobs)},
	}
	for _, c := range counts {
		if err := checkCount(joinPath(path, c.name), c.count, maxTeamEntries); err != nil {
			return err
		}
	}
	return nil
}

// validateKey leaves the value out of its errors: it may be the secret, entered there
// by mistake.
func validateKey(path, _ string, key Key) *Error {
	if !sha256Pattern.MatchString(key.SHA256) {
		return newError(path+"/sha256", sha256Rule)
	}
	if !slices.Contains(rolesAscending, key.Role) {
		return newError(path+"/role", "must be one of caller, trainer, operator")
	}
	return nil
}

func validateModels(path string, team Team, fleet Fleet) *Error {
	return checkEntries(path+"/models", team.Models, func(path string, _ ident.Model, m Model) *Error {
		if err := checkGroupKind(path+"/group", fleet, m.Group, KindEngine); err != nil {
			return err
		}
		if err := checkRange(path+"/staleness_bound", m.StalenessBound, 0, MaxStalenessBound); err != nil {
			return err
		}
		return checkRange(path+"/max_tokens", m.MaxTokens, 1, MaxTokens)
	})
}

func validateJobs(path string, team Team, fleet Fleet) *Error {
	return checkEntries(path+"/jobs", team.Jobs, func(path string, _ ident.Job, j Job) *Error {
		model, ok := team.Models[j.Model]
		if !ok {
			return newValueError(path+"/model", string(j.Model), "must be one of the team's models")
		}
		if err := checkGroupKind(path+"/scorer", fleet, j.Scorer, KindScorer); err != nil {
			return err
		}
		if err := checkRange(path+"/group_size", j.GroupSize, 1, MaxGroupSize); err != nil {
			return err
		}
		if err := checkRange(path+"/staleness_bound", j.EffectiveStalenessBound(model), 0, MaxStalenessBound); err != nil {
			return err
		}
		return checkRange(path+"/max_tokens", j.MaxTokens, 1, model.MaxTokens)
	})
}

func validateRoutes(path string, team Team, fleet Fleet) *Error {
	routeByKey := map[string]string{} // route name by method and path
	return checkEntries(path+"/routes", team.Routes, func(path, name string, r Route) *Error {
		if err := validateRoute(path, r, fleet); err != nil {
			return err
		}
		for _, method := range r.Methods {
			key := method + " " + r.Path
			if other, ok := routeByKey[key]; ok {
				return newValueError(path, key, "must not be ambiguous: route "+other+" takes it already")
			}
			routeByKey[key] = name
		}
		return nil
	})
}

func validateRoute(path string, r Route, fleet Fleet) *Error {
	if !validRoutePath(r.Path) {
		return newValueError(path+"/path", r.Path, fmt.Sprintf(
			`must begin with "/", not end with it, hold no empty, "." or ".." segment, blank, "?", "#" or "%%", and have at most %d bytes`, maxRoutePathBytes))
	}
	for _, reserved := range reservedPaths {
		if r.Path == reserved || strings.HasPrefix(r.Path, reserved+"/") {
			return newValueError(path+"/path", r.Path, "must not be the daemon's own path "+reserved)
		}
	}
	if len(r.Methods) == 0 {
		return newError(path+"/methods", "must name at least one method")
	}
	for i, method := range r.Methods {
		if err := checkOneOf(fmt.Sprintf("%s/methods/%d", path, i), method, allowedMethods...); err != nil {
			return err
		}
	}
	if err := checkGroupKind(path+"/group", fleet, r.Group, KindService); err != nil {
		return err
	}
	return checkRange(path+"/timeout_ms", r.TimeoutMillis, 1, MaxRouteTimeoutMillis)
}

func validRoutePath(path string) bool {
	if path == "/" {
		return true
	}
	if !strings.HasPrefix(path, "/") || len(path) > maxRoutePathBytes {
		return false
	}
	if strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("?#%", r) }) {
		return false
	}
	for _, segment := range strings.Split(path[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func validateLimits(path string, l Limits) *Error {
	if l.Weight <= 0 || l.Weight > MaxWeight {
		return newValueError(path+"/weight", l.Weight, fmt.Sprintf("must be more than 0, at most %d", MaxWeight))
	}
	if err := checkRange(path+"/max_queue", l.MaxQueue, 1, MaxQueue); err != nil {
		return err
	}
	return checkRange(path+"/max_body_bytes", l.MaxBodyBytes, 1, MaxBodyBytes)
}

func checkGroupKind(path string, fleet Fleet, name string, kind GroupKind) *Error {
	if group, ok := fleet.Groups[name]; ok && group.Kind == kind {
		return nil
	}
	return newValueError(path, name, fmt.Sprintf("must be a group of kind %s", kind))
}
