package config

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Limits of the settings.
const (
	MaxProductionReserve  = 0.9
	MaxStalenessBound     = 1_000_000 // versions
	MaxTokens             = 1 << 20   // per answer or sample
	MaxGroupSize          = 4096      // samples per prompt
	MaxConcurrency        = 100_000   // requests in flight per upstream
	MaxRouteTimeoutMillis = 3_600_000 // milliseconds
	MaxWeight             = 1000
	MaxQueue              = 1_000_000 // requests
	MaxBodyBytes          = 64 << 20

	maxRoutePathBytes = 256
	maxGroups         = 4096
	maxUpstreams      = 65_536 // per group
	maxTeams          = 1024
	maxTeamEntries    = 1024 // per team, for each of keys, models, routes and jobs
)

const sha256Rule = "must be the SHA-256 of the secret as 64 lower-case hex digits"

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate checks the whole tree. Error: *Error, for the first invalid setting in a
// fixed order.
func (t *Tree) Validate() error {
	if err := validateFleet(t.Fleet); err != nil {
		return err
	}
	if err := validateTeams(t); err != nil {
		return err
	}
	_, err := indexKeys(t, "")
	return asError(err)
}

// validateChangedBranch checks what a change to one branch can have made invalid. A
// team's branch refers only to the fleet's, so a change to a team can't invalidate
// another team, and a change to the fleet can invalidate any of them.
func validateChangedBranch(t *Tree, changed Branch) *Error {
	team, ok := changed.Team()
	if !ok {
		if err := validateFleet(t.Fleet); err != nil {
			return err
		}
		return validateTeams(t)
	}
	if err := checkCount("teams", len(t.Teams), maxTeams); err != nil {
		return err
	}
	if _, exists := t.Teams[team]; !exists {
		return nil
	}
	return validateTeam(t, team)
}

func validateTeams(t *Tree) *Error {
	if err := checkCount("teams", len(t.Teams), maxTeams); err != nil {
		return err
	}
	return checkEntries("teams", t.Teams, func(_ string, name ident.Team, _ Team) *Error {
		return validateTeam(t, name)
	})
}

func validateFleet(f Fleet) *Error {
	const path = string(FleetBranch)
	if err := checkRange(path+"/production_reserve", f.ProductionReserve, 0, MaxProductionReserve); err != nil {
		return err
	}
	if err := checkCount(path+"/groups", len(f.Groups), maxGroups); err != nil {
		return err
	}
	if err := checkEntries(path+"/groups", f.Groups, validateGroup); err != nil {
		return err
	}
	return validateUpstreamNames(path+"/groups", f.Groups)
}

func validateGroup(path, _ string, g Group) *Error {
	if err := checkOneOf(path+"/kind", g.Kind, KindEngine, KindService, KindScorer); err != nil {
		return err
	}
	if err := checkCount(path+"/upstreams", len(g.Upstreams), maxUpstreams); err != nil {
		return err
	}
	return checkEntries(path+"/upstreams", g.Upstreams, validateUpstream)
}

func validateUpstream(path string, _ ident.Upstream, u Upstream) *Error {
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return newValueError(path+"/address", u.Address, "must be ip:port")
	}
	if !validName(string(u.DataCentre)) {
		return newValueError(path+"/data_centre", string(u.DataCentre), nameRule)
	}
	return checkRange(path+"/max_concurrency", u.MaxConcurrency, 0, MaxConcurrency)
}

// validateUpstreamNames rejects different upstreams with the same name: leases,
// health records and the VM list identify an upstream by its name alone.
func validateUpstreamNames(path string, groups map[string]Group) *Error {
	type occurrence struct {
		group string
		kind  GroupKind
		Upstream
	}
	seen := map[ident.Upstream]occurrence{}
	return checkEntries(path, groups, func(path, group string, g Group) *Error {
		return checkEntries(path+"/upstreams", g.Upstreams, func(path string, name ident.Upstream, u Upstream) *Error {
			other, ok := seen[name]
			if ok && (other.Upstream != u || other.kind != g.Kind) {
				return newError(path, fmt.Sprintf("must be the same as in group %s, or have another name", other.group))
			}
			seen[name] = occurrence{group: group, kind: g.Kind, Upstream: u}
			return nil
		})
	})
}

// checkEntries validates the names and values of a map in the order of the names, so
// that every daemon returns the same error. path is that of the map, and the path
// passed to check that of the entry.
func checkEntries[K ~string, V any](path string, entries map[K]V, check func(path string, name K, value V) *Error) *Error {
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		entryPath := joinPath(path, truncate(string(name), maxNameBytes))
		if !validName(string(name)) {
			return newError(entryPath, "name "+nameRule)
		}
		if err := check(entryPath, name, entries[name]); err != nil {
			return err
		}
	}
	return nil
}

func checkRange[T cmp.Ordered](path string, value, low, high T) *Error {
	if value >= low && value <= high {
		return nil
	}
	return newValueError(path, value, fmt.Sprintf("must be %v to %v", low, high))
}

func checkCount(path string, count, limit int) *Error {
	if count <= limit {
		return nil
	}
	return newError(path, fmt.Sprintf("holds %d entries, must hold at most %d", count, limit))
}

func checkOneOf[T ~string](path string, value T, allowed ...T) *Error {
	if slices.Contains(allowed, value) {
		return nil
	}
	names := make([]string, len(allowed))
	for i, name := range allowed {
		names[i] = string(name)
	}
	return newValueError(path, string(value), "must be one of "+strings.Join(names, ", "))
}
