package loads

import (
	"cmp"
	"math"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/spread"
)

// Split splits the engines of a service among its models, so that a new version is loaded
// on its model's engines only and their prompt caches stay warm. It returns each model's
// engines. All daemons compute the same split from the same arguments.
//
// Engines are given by their address, which doesn't change when they restart. demand is the
// number of samples in a batch by model; a model of unknown demand counts as the mean of
// the others. slots is the number of samples that an engine can run at once, 0 if unknown.
//
// A model gets engines in proportion to its demand, but no more than it can use: any further
// engine would load each of its versions and hold connections for an occasional sample.
// When an engine joins or leaves, few others move to another model.
func Split(engines, models []string, demand map[string]int, slots int) map[string][]string {
	out := map[string][]string{}
	if len(models) == 0 {
		return out
	}
	models = slices.Clone(models)
	slices.Sort(models)
	if len(engines) < len(models) {
		// Any engine can serve any model. If they were split, some models would have no
		// engine until more engines come back. Owners that share an engine merely find it
		// full more often.
		for _, m := range models {
			out[m] = slices.Sorted(slices.Values(engines))
		}
		return out
	}
	remaining := quotas(len(engines), models, demand, slots)
	for _, pair := range rankedPairs(engines, models) {
		if remaining[pair.model] == 0 || pair.isAssigned() {
			continue
		}
		remaining[pair.model]--
		*pair.assigned = pair.model
		out[pair.model] = append(out[pair.model], pair.engine)
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

// quotas returns the number of engines of each model, by the Sainte-Laguë method: the next
// engine goes to the model that has the fewest in proportion to its demand and can use one
// more. Each model gets one engine first, since without any it would never be served.
func quotas(engines int, models []string, demand map[string]int, slots int) map[string]int {
	out := map[string]int{}
	for _, m := range models {
		out[m] = 1
	}
	weights := demandWeights(models, demand)
	for range engines - len(models) {
		next, highest := "", 0.0
		for i, m := range models {
			if out[m] >= maxEngines(demand[m], slots) {
				continue
			}
			if quotient := weights[i] / float64(2*out[m]+1); quotient > highest {
				next, highest = m, quotient
			}
		}
		if next == "" {
			break // no model can use another engine
		}
		out[next]++
	}
	return out
}

// maxSlotsPerSample limits the slots of a model's engines to this multiple of the samples in
// one of its batches. Two batches of a model may be open, and an engine with half of its
// slots in use generates each token some percent faster than a full one.
const maxSlotsPerSample = 4

// maxEngines returns the largest number of engines that a model can use. samples is the
// number of samples in one of its batches, slots the number of slots of an engine; 0 means
// unknown.
func maxEngines(samples, slots int) int {
	if samples <= 0 || slots <= 0 {
		return math.MaxInt
	}
	return max(1, (maxSlotsPerSample*samples+slots-1)/slots)
}

// MaxUsefulEngines returns how many engines the models of a service can use together, MaxInt if that
// is unknown. The parameters are those of the split.
func MaxUsefulEngines(models []string, demand map[string]int, slots int) int {
	total := 0
	for _, m := range models {
		limit := maxEngines(demand[m], slots)
		if limit == math.MaxInt {
			return limit
		}
		total += limit
	}
	return total
}

// demandWeights returns the demand of each model, and the mean of the known ones for a model
// of unknown demand.
func demandWeights(models []string, demand map[string]int) []float64 {
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

// pair is an engine and a model that it may be assigned to.
type pair struct {
	engine, model string
	rank          uint64  // pairs are considered by ascending rank
	assigned      *string // model that the engine is assigned to, "" if none; shared by the engine's pairs
}

func (p pair) isAssigned() bool { return *p.assigned != "" }

// rankedPairs returns all pairs of engines and models, ordered by a hash of the pair. The
// model of an engine then hardly depends on which other engines there are.
func rankedPairs(engines, models []string) []pair {
	var pairs []pair
	for _, e := range engines {
		assigned := new(string)
		for _, m := range models {
			pairs = append(pairs, pair{e, m, spread.Hash(e, m), assigned})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.engine, b.engine), cmp.Compare(a.model, b.model))
	})
	return pairs
}
