package routing

import (
	"cmp"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Keepers is how many of so many daemons use each upstream of a group of so many
// members under Subset.
func Keepers(members, daemons, size int) int {
	if members <= size || daemons <= minKeepers {
		return daemons
	}
	return max(minKeepers, (size*daemons+members-1)/members)
}

// Favourites returns the n members that rank highest for this daemon, in the order
// given. Unlike with Subset, a member may be no daemon's favourite: it is for
// members that others look after, and for the time until the others are known.
func Favourites(self string, members []ident.Upstream, n int) []ident.Upstream {
	if len(members) <= n {
		return slices.Clone(members)
	}
	me := hashString(self)
	score := func(name ident.Upstream) uint64 { return pair(hashString(string(name)), me) }
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
