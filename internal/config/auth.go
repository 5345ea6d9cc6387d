package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// keyIndex finds keys by the first bytes of their hash. Who may see how long a
// lookup takes learns bits of a hash of his own guess, never of a stored one:
// whole hashes are compared in constant time.
type keyIndex map[uint64][]keyOwner

type keyOwner struct {
	hash [sha256.Size]byte
	team ident.Team
	role Role
}

// Authenticate finds whose secret it is and what it may do.
func (t *Tree) Authenticate(secret string) (ident.Team, Role, bool) {
	index := t.keys
	if index == nil {
		index, _ = indexKeys(t, "")
	}
	hash := sha256.Sum256([]byte(secret))
	for _, owner := range index[hashPrefix(hash)] {
		if subtle.ConstantTimeCompare(owner.hash[:], hash[:]) == 1 {
			return owner.team, owner.role, true
		}
	}
	return "", "", false
}

// Allows says whether a key of this role may do what the wanted role may.
func (r Role) Allows(wanted Role) bool {
	have, need := slices.Index(rolesAscending, r), slices.Index(rolesAscending, wanted)
	return need >= 0 && have >= need
}

var rolesAscending = []Role{RoleCaller, RoleTrainer, RoleOperator}

// indexKeys fails when one secret opens two branches: which one a request means
// would depend on the order of a map. The last team is the one that a change
// touches: it comes last, so that the error names its key and not the other's.
func indexKeys(t *Tree, last ident.Team) (keyIndex, *Error) {
	index := keyIndex{}
	teams := slices.Sorted(maps.Keys(t.Teams))
	teams = slices.DeleteFunc(teams, func(team ident.Team) bool { return team == last })
	for _, team := range append(teams, last) {
		for _, name := range slices.Sorted(maps.Keys(t.Teams[team].Keys)) {
			if err := index.add(team, name, t.Teams[team].Keys[name]); err != nil {
				return index, err
			}
		}
	}
	return index, nil
}

func (x keyIndex) add(team ident.Team, name string, key Key) *Error {
	path := string(TeamBranch(team)) + "/keys/" + name + "/sha256"
	var owner keyOwner
	n, err := hex.Decode(owner.hash[:], []byte(truncate(key.SHA256, 2*sha256.Size)))
	if err != nil || n != sha256.Size {
		return fault(path, sha256Allowed)
	}
	owner.team, owner.role = team, key.Role
	prefix := hashPrefix(owner.hash)
	for _, other := range x[prefix] {
		if other.hash == owner.hash {
			return fault(path, "must be unique: another key has this hash")
		}
	}
	x[prefix] = append(x[prefix], owner)
	return nil
}

func hashPrefix(hash [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }
