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

// keyIndex finds keys by the first 8 bytes of their hash. The duration of a lookup
// depends on the hash of the secret that the caller sent and doesn't leak stored
// hashes: whole hashes are compared in constant time.
type keyIndex map[uint64][]keyOwner

type keyOwner struct {
	hash [sha256.Size]byte
	team ident.Team
	role Role
}

// Authenticate returns the team and role of the key with the given secret; false if
// there is none.
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

// Allows reports whether a key with role r may do what a key with the wanted role may.
func (r Role) Allows(wanted Role) bool {
	have, need := slices.Index(rolesAscending, r), slices.Index(rolesAscending, wanted)
	return need >= 0 && have >= need
}

var rolesAscending = []Role{RoleCaller, RoleTrainer, RoleOperator}

// indexKeys fails if two keys have the same secret: which team a request belongs to
// would depend on map iteration order. changed is the team that a change modifies,
// "" for none. It is indexed last, so that the error names its key and not another
// team's.
func indexKeys(t *Tree, changed ident.Team) (keyIndex, *Error) {
	index := keyIndex{}
	teams := slices.Sorted(maps.Keys(t.Teams))
	teams = slices.DeleteFunc(teams, func(team ident.Team) bool { return team == changed })
	for _, team := range append(teams, changed) {
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
		return newError(path, sha256Rule)
	}
	owner.team, owner.role = team, key.Role
	prefix := hashPrefix(owner.hash)
	for _, other := range x[prefix] {
		if other.hash == owner.hash {
			return newError(path, "must be unique: another key has this hash")
		}
	}
	x[prefix] = append(x[prefix], owner)
	return nil
}

func hashPrefix(hash [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }
