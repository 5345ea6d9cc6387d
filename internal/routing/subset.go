package routing

import (
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// minKeepers is how many daemons use an upstream at least: the loss of one
// leaves none unused.
const minKeepers = 2

// Subset returns the members that this daemon uses, about size of them, in the
// order given. All daemons with the same lists agree on who uses what, without
// a word between them.
//
// Each upstream chooses its daemons, by rendezvous hashing, and not the other way
// round: if daemons chose at random, an upstream meant for 3 daemons would have
// none in e^-3 = 5% of cases. This way each has exactly as many as the others, and
// only a daemon's own number varies (by about the root of size). A lost daemon's
// upstreams each fall to one more daemon, and nothing else moves. A fleet of no
// more than size members is used whole.
func Subset(self string, members []ident.Upstream, daemons []string, size int) []ident.Upstream {
	if len(members) <= size || len(daemons) <= minKeepers {
		return append([]ident.Upstream(nil), members...)
	}
	me, others := hashString(self), make([]uint64, 0, len(daemons))
	for _, d := range daemons {
		if d != self {
			others = append(others, hashString(d))
		}
	}
	keepers := Keepers(len(members), len(others)+1, size)
	var mine []ident.Upstream
	for _, name := range members {
		if rankOf(me, others, hashString(string(name))) < keepers {
			mine = append(mine, name)
		}
	}
	return mine
}

// rankOf counts the daemons that an upstream prefers to this one.
func rankOf(me uint64, others []uint64, upstream uint64) int {
	own, rank := pair(upstream, me), 0
	for _, d := range others {
		if other := pair(upstream, d); other > own || other == own && d > me {
			rank++
		}
	}
	return rank
}
