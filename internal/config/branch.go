package config

import (
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

const (
	maxNameBytes = 63
	nameRule     = "must match [a-z0-9][a-z0-9._-]{0,62}"
	teamsPrefix  = "teams/"
)

// validName reports whether a name follows nameRule. It doesn't use a regular
// expression, because every change to the fleet checks the names of all upstreams.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		c := name[i]
		alphanumeric := 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}

// Branch names the part of the tree that one change may modify: "fleet" or
// "teams/<team>".
type Branch string

// FleetBranch is the branch of the settings that all teams share.
const FleetBranch Branch = "fleet"

// TeamBranch returns the branch of a team.
func TeamBranch(team ident.Team) Branch { return Branch(teamsPrefix + string(team)) }

// Team returns the team whose branch it is; false for the fleet's.
func (b Branch) Team() (ident.Team, bool) {
	team, ok := strings.CutPrefix(string(b), teamsPrefix)
	return ident.Team(team), ok
}

// Validate checks the branch's name. Error: *Error.
func (b Branch) Validate() error { return asError(b.validate()) }

func (b Branch) validate() *Error {
	if b == FleetBranch {
		return nil
	}
	team, ok := b.Team()
	if !ok || !validName(string(team)) {
		return newValueError("branch", string(b), `must be "fleet" or "teams/<team>", and the team's name `+nameRule)
	}
	return nil
}
