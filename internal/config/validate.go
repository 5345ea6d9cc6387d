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

// Bounds of the settings.
const (
	MaxProductionReserve = 0.9
	MaxStalenessBound    = 1_000_000 // versions
	MaxTokens            = 1 << 20   // an answer or a sample
	MaxGroupSize         = 4096      // samples a prompt
	MaxConcurrency       = 100_000   // requests in flight in one upstream
	MaxRouteTimeout      = 3_600_000 // milliseconds
	MaxWeight            = 1000
	MaxQueue             = 1_000_000 // requests
	MaxBodyBytes         = 64 << 20

	maxRoutePathBytes = 256
	maxGroups         = 4096
	maxUpstreams      = 65_536 // in one group
	maxTeams          = 1024
	maxTeamEntries    = 1024 // of each kind, in one team
)

const sha256Allowed = "must be the SHA-256 of the secret as 64 lower-case hex digits"

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate checks the whole tree. Error: *Error, the first fault by its path.
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

// validateAfter checks what a change to one branch can have made wrong: a
// team's branch refers to the fleet's alone, so a team's change breaks no other.
func validateAfter(t *Tree, changed Branch) *Error {
	team, ok := changed.Team()
	if !ok {
		if err := validateFleet(t.Fleet); err != nil {
			return err
		}
		return validateTeams(t)
	}
	if err := countAtMost("teams", len(t.Teams), maxTeams); err != nil {
		return err
	}
	if _, exists := t.Teams[team]; !exists {
		return nil
	}
	return validateTeam(t, team)
}

func validateTeams(t *Tree) *Error {
	if err := countAtMost("teams", len(t.Teams), maxTeams); err != nil {
		return err
	}
	return eachEntry("teams", t.Teams, func(_ string, name ident.Team, _ Team) *Error {
		return validateTeam(t, name)
	})
}

func validateFleet(f Fleet) *Error {
	const path = string(FleetBranch)
	if err := inRange(path+"/production_reserve", f.ProductionReserve, 0, MaxProductionReserve); err != nil {
		return err
	}
	if err := countAtMost(path+"/groups", len(f.Groups), maxGroups); err != nil {
		return err
	}
	if err := eachEntry(path+"/groups", f.Groups, validateGroup); err != nil {
		return err
	}
	return validateSharedNames(path+"/groups", f.Groups)
}

func validateGroup(path, _ string, g Group) *Error {
	if err := oneOf(path+"/kind", g.Kind, KindEngine, KindService, KindScorer); err != nil {
		return err
	}
	if err := countAtMost(path+"/upstreams", len(g.Upstreams), maxUpstreams); err != nil {
		return err
	}
	return eachEntry(path+"/upstreams", g.Upstreams, validateUpstream)
}

func validateUpstream(path string, _ ident.Upstream, u Upstream) *Error {
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return valueFault(path+"/address", u.Address, "must be ip:port")
	}
	if !validName(string(u.DataCentre)) {
		return valueFault(path+"/data_centre", string(u.DataCentre), nameAllowed)
	}
	return inRange(path+"/max_concurrency", u.MaxConcurrency, 0, MaxConcurrency)
}

// validateSharedNames refuses one name for two upstreams: leases, health and
// the list of VMs know an upstream by its name alone.
func validateSharedNames(path string, groups map[string]Group) *Error {
	type place struct {
		group string
		kind  Kind
		Upstream
	}
	seen := map[ident.Upstream]place{}
	return eachEntry(path, groups, func(path, group string, g Group) *Error {
		return eachEntry(path+"/upstreams", g.Upstreams, func(path string, name ident.Upstream, u Upstream) *Error {
			other, ok := seen[name]
			if ok && (other.Upstream != u || other.kind != g.Kind) {
				return fault(path, fmt.Sprintf("must be the same as in group %s, or have another name", other.group))
			}
			seen[name] = place{group: group, kind: g.Kind, Upstream: u}
			return nil
		})
	})
}

// eachEntry checks the names and values of a map in the names' order, so that
// every daemon finds the same fault first.
func eachEntry[K ~string, V any](path string, entries map[K]V, check func(path string, name K, value V) *Error) *Error {
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		entryPath := join(path, truncate(string(name), maxNameBytes))
		if !validName(string(name)) {
			return fault(entryPath, "name "+nameAllowed)
		}
		if err := check(entryPath, name, entries[name]); err != nil {
			return err
		}
	}
	return nil
}

func inRange[T cmp.Ordered](path string, value, low, high T) *Error {
	if value >= low && value <= high {
		return nil
	}
	return valueFault(path, value, fmt.Sprintf("must be %v to %v", low, high))
}

func countAtMost(path string, count, limit int) *Error {
	if count <= limit {
		return nil
	}
	return fault(path, fmt.Sprintf("holds %d entries, must hold at most %d", count, limit))
}

func oneOf[T ~string](path string, value T, allowed ...T) *Error {
	if slices.Contains(allowed, value) {
		return nil
	}
	names := make([]string, len(allowed))
	for i, name := range allowed {
		names[i] = string(name)
	}
	return valueFault(path, string(value), "must be one of "+strings.Join(names, ", "))
}
