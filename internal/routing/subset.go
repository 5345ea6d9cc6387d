package routing

import (
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// minDaemonsPerUpstream is the minimum number of daemons that use each upstream, so that
// the loss of one daemon leaves no upstream unused.
const minDaemonsPerUpstream = 2

// Subset returns the members that this daemon uses, about size of them, in the order
// given. All daemons with the same lists compute the same assignment without
// communication. If there are at most size members, all are returned.
//
// Each upstream selects its daemons by rendezvous hashing, not the other way round. If
// daemons selected upstreams at random, an upstream meant for 3 daemons would have none
// in e^-3 = 5% of cases. This way each upstream has the same number of daemons, and only
// the number of upstreams per daemon varies, by about the square root of size. When a
// daemon is lost, each of its upstreams is assigned to one more daemon and all other
// assignments stay.
func Subset(self string, members []ident.Upstream, daemons []string, size int) []ident.Upstream {
	if len(members) <= size || len(daemons) <= minDaemonsPerUpstream {
		return append([]ident.Upstream(nil), members...)
	}
	selfHash, otherHashes := hashString(self), make([]uint64, 0, len(daemons))
	for _, d := range daemons {
		if d != self {
			otherHashes = append(otherHashes, hashString(d))
		}
	}
	perUpstream := DaemonsPerUpstream(len(members), len(otherHashes)+1, size)
	var mine []ident.Upstream
	for _, name := range members {
		if countPreferred(selfHash, otherHashes, hashString(string(name))) < perUpstream {
			mine = append(mine, name)
		}
	}
	return mine
}

// countPreferred returns the number of other daemons whose rendezvous score for an
// upstream is higher than that of this daemon. All parameters are hashes of names.
func countPreferred(selfHash uint64, otherHashes []uint64, upstream uint64) int {
	selfScore, preferred := rendezvousScore(upstream, selfHash), 0
	for _, d := range otherHashes {
		if score := rendezvousScore(upstream, d); score > selfScore || score == selfScore && d > selfHash {
			preferred++
		}
	}
	return preferred
}
