package loads

import (
	"cmp"
	"math"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/spread"
)

// Share divides the engines of a service among its models, so that a new version
// is loaded on its model's engines only and their prompt caches stay warm. Every
// daemon computes the same division from the same lists. Engines are named by
// what survives their restart (their address). A model gets engines by its demand, in
// samples of a batch; one of unknown demand counts as the mean of the others. slots are an
// engine's, 0 if unknown. A model gets no more engines than it can use: the others would
// load each of its versions and take connections for a sample now and then. A change of the
// engines moves few others.
func Share(engines, models []string, demand map[string]int, slots int) map[string][]string {
	out := map[string][]string{}
	if len(models) == 0 {
		return out
	}
	models = slices.Clone(models)
	slices.Sort(models)
	if len(engines) < len(models) {
		// Any engine serves any model. Divided, some models would have none until others
		// come back; owners that share an engine only see it full more often.
		for _, m := range models {
			out[m] = slices.Sorted(slices.Values(engines))
		}
		return out
	}
	room := quotas(len(engines), models, demand, slots)
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

// quotas divides the engines by the method of Sainte-Laguë: each next engine goes to
// the model that has the fewest for its demand and can use one more. A model without any
// would never be served, so each gets one first.
func quotas(engines int, models []string, demand map[string]int, slots int) map[string]int {
	out := map[string]int{}
	for _, m := range models {
		out[m] = 1
	}
	weights := weightsOf(models, demand)
	for range engines - len(models) {
		next, most := "", 0.0
		for i, m := range models {
			if out[m] >= roomOf(demand[m], slots) {
				continue
			}
			if claim := weights[i] / float64(2*out[m]+1); claim > most {
				next, most = m, claim
			}
		}
		if next == "" {
			break // nobody can use more
		}
		out[next]++
	}
	return out
}

// roomForDemand is how many times the places for a batch's samples a model's engines have
// at most. Two batches of a model may be open, and an engine with half of its places
// taken makes each token some percent sooner than a full one.
const roomForDemand = 4

// roomOf is the largest number of engines that a model can use.
func roomOf(samples, slots int) int {
	if samples <= 0 || slots <= 0 {
		return math.MaxInt
	}
	return max(1, (roomForDemand*samples+slots-1)/slots)
}

// Useful is how many engines a service's models can use together.
func Useful(models []string, demand map[string]int, slots int) int {
	sum := 0
	for _, m := range models {
		room := roomOf(demand[m], slots)
		if room == math.MaxInt {
			return room
		}
		sum += room
	}
	return sum
}

func weightsOf(models []string, demand map[string]int) []float64 {
	known, sum := 0, 0
	for _, m := range models {
		if demand[m] > 0 {
			known++
			sum += demand[m]
		}
	}
	out := make([]float64, len(models))
	for i, m := range models {
		switch {
		case demand[m] > 0:
			out[i] = float64(demand[m])
		case known > 0:
			out[i] = float64(sum) / float64(known)
		default:
			out[i] = 1
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
			pairs = append(pairs, pair{e, m, spread.Hash(e, m), owner})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.engine, b.engine), cmp.Compare(a.model, b.model))
	})
	return pairs
}
