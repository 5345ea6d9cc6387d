package loads

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Home assigns a model to a partition of the batches' topic. The first record of a
// model counts, so every daemon has the same answer for good, and the samples of
// two models don't crowd on one owner while other partitions are free.
type Home struct {
	Model string `cbor:"1,keyasint"`
	Part  int    `cbor:"2,keyasint"`
	// Samples of a batch of the model, 0 if none came yet. Engines are divided by it.
	Samples int `cbor:"3,keyasint,omitempty"`
}

// EncodeHome turns a record into log data.
func EncodeHome(h Home) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHome reads log data. Error: ErrMalformed.
func DecodeHome(data []byte) (Home, error) {
	var h Home
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Home{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return h, nil
}

// Homes is the fold of these records.
type Homes struct {
	parts   int
	byModel map[string]int
	demand  map[string]int // samples of a batch, by model
}

// NewHomes returns a fold without models, over so many partitions.
func NewHomes(parts int) *Homes {
	return &Homes{parts: parts, byModel: map[string]int{}, demand: map[string]int{}}
}

// demandChange is by which part the samples of a batch must differ from those noted
// before engines are divided anew: a step brings some of the last one's along, and
// each engine that passes on to another model is of no use for seconds.
const demandChange = 0.25

// Apply takes the next record.
func (h *Homes) Apply(r Home) {
	if _, known := h.byModel[r.Model]; !known && r.Part >= 0 && r.Part < h.parts {
		h.byModel[r.Model] = r.Part
	}
	if h.Differs(r) {
		h.demand[r.Model] = r.Samples
	}
}

// Differs reports whether a record would change the known demand of its model.
func (h *Homes) Differs(r Home) bool {
	noted := h.demand[r.Model]
	return r.Samples > 0 && (noted == 0 || math.Abs(float64(r.Samples-noted)) > demandChange*float64(noted))
}

// Demand returns the samples of a batch by model, for those that are known.
func (h *Homes) Demand() map[string]int { return maps.Clone(h.demand) }

// Parts returns the partitions that models have, sorted.
func (h *Homes) Parts() []int {
	parts := slices.Sorted(maps.Values(h.byModel))
	return slices.Compact(parts)
}

// Of returns a model's partition.
func (h *Homes) Of(model string) (part int, ok bool) {
	part, ok = h.byModel[model]
	return part, ok
}

// stride spreads the first partitions: owners tend to get neighbouring ones.
const stride = 4

// Next returns the record to append for a new model: the partition with the fewest
// models, in an order that keeps the first ones apart.
func (h *Homes) Next(model string) Home {
	used := make([]int, h.parts)
	for _, part := range h.byModel {
		used[part]++
	}
	best := 0
	for n := range h.parts {
		part := (n*stride + n*stride/h.parts) % h.parts
		if n == 0 || used[part] < used[best] {
			best = part
		}
	}
	return Home{Model: model, Part: best}
}
