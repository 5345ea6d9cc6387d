package loads

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Share divides the engines of a service among its models, so that a new version
// is loaded on its model's engines only and their prompt caches stay warm. Every
// daemon computes the same division from the same lists. Engines are named by
// what survives their restart (their address). A model gets len(engines) /
// len(models), some one more; a change of the engines moves few others.
func Share(engines, models []string) map[string][]string {
	out := map[string][]string{}
	if len(models) == 0 {
		return out
	}
	models = slices.Clone(models)
	slices.Sort(models)
	room := quotas(len(engines), models)
	for _, pair := range ranked(engines, models) {
		if room[pair.model] == 0 || pair.taken() {
			continue
		}
		room[pair.model]--
		*pair.owner = pair.model
		out[pair.model] = append(out[pair.model], pair.engine)
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

func quotas(engines int, models []string) map[string]int {
	out := map[string]int{}
	for i, m := range models {
		out[m] = engines / len(models)
		if i < engines%len(models) {
			out[m]++
		}
	}
	return out
}

type pair struct {
	engine, model string
	rank          uint64
	owner         *string
}

func (p pair) taken() bool { return *p.owner != "" }

// ranked returns all pairs by a hash, so that an engine's best models hardly
// depend on which other engines there are.
func ranked(engines, models []string) []pair {
	var pairs []pair
	for _, e := range engines {
		owner := new(string)
		for _, m := range models {
			pairs = append(pairs, pair{e, m, hash(e, m), owner})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.engine, b.engine), cmp.Compare(a.model, b.model))
	})
	return pairs
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash's Write never fails
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads FNV's low entropy for short, similar strings over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
