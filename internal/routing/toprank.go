package routing

import (
	"cmp"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// DaemonsPerUpstream returns the number of daemons that use each upstream when every daemon uses
// its Subset. members and daemons are the numbers of upstreams and daemons; size is the
// subset size.
func DaemonsPerUpstream(members, daemons, size int) int {
	if members <= size || daemons <= minDaemonsPerUpstream {
		return daemons
	}
	return max(minDaemonsPerUpstream, (size*daemons+members-1)/members)
}

// TopRanked returns the n members with the highest rendezvous scores for this daemon,
// in the order given. Unlike with Subset, some members may be returned for no daemon.
// It is meant for members that other daemons are responsible for, and for the time
// before the other daemons are known.
func TopRanked(self string, members []ident.Upstream, n int) []ident.Upstream {
	if len(members) <= n {
		return slices.Clone(members)
	}
	selfHash := hashString(self)
	score := func(name ident.Upstream) uint64 { return rendezvousScore(hashString(string(name)), selfHash) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b ident.Upstream) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	chosen := make(map[ident.Upstream]bool, n)
	for _, name := range ranked[:max(n, 0)] {
		chosen[name] = true
	}
	return slices.DeleteFunc(slices.Clone(members), func(name ident.Upstream) bool { return !chosen[name] })
}
