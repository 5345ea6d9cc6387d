package loads

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Home assigns a model to a partition of the batch topic. Only the first record of a model
// counts, so all daemons agree on its partition and it never changes. Models get different
// partitions, so that the samples of two models aren't handled by one owner while other
// partitions are free.
type Home struct {
	Model string `cbor:"1,keyasint"`
	Partition  int    `cbor:"2,keyasint"`
	// BatchSize is the number of samples in a batch of the model, 0 if it had no batch yet.
	// Engines are split among models by it.
	BatchSize int `cbor:"3,keyasint,omitempty"`
}

// EncodeHome encodes a record for the log.
func EncodeHome(assignment Home) ([]byte, error) { return cbor.Marshal(assignment) }

// DecodeHome decodes a record of the log. It returns ErrMalformed if that fails.
func DecodeHome(data []byte) (Home, error) {
	var assignment Home
	if err := cbor.Unmarshal(data, &assignment); err != nil {
		return Home{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return assignment, nil
}

// Homes holds the partition and the batch size of each model, computed from the records.
type Homes struct {
	partitions int
	byModel    map[string]int // partition of each model
	demand     map[string]int // number of samples in a batch of each model
}

// NewHomes returns a state without models. partitions is the number of partitions of the
// topic.
func NewHomes(partitions int) *Homes {
	return &Homes{partitions: partitions, byModel: map[string]int{}, demand: map[string]int{}}
}

// minDemandChange is the relative change of a model's batch size above which engines are
// split anew. Batch sizes vary, since a step includes some samples of the step before, and
// each engine that moves to another model is of no use for seconds.
const minDemandChange = 0.25

// Apply applies the next record.
func (a *Homes) Apply(r Home) {
	if _, known := a.byModel[r.Model]; !known && r.Partition >= 0 && r.Partition < a.partitions {
		a.byModel[r.Model] = r.Partition
	}
	if a.ChangesDemand(r) {
		a.demand[r.Model] = r.BatchSize
	}
}

// ChangesDemand reports whether a record would change the batch size of its model.
func (a *Homes) ChangesDemand(r Home) bool {
	known := a.demand[r.Model]
	return r.BatchSize > 0 && (known == 0 || math.Abs(float64(r.BatchSize-known)) > minDemandChange*float64(known))
}

// Demand returns the number of samples in a batch by model, for the models where it is known.
func (a *Homes) Demand() map[string]int { return maps.Clone(a.demand) }

// Parts returns the partitions that models are assigned to, sorted.
func (a *Homes) Parts() []int {
	parts := slices.Sorted(maps.Values(a.byModel))
	return slices.Compact(parts)
}

// Lookup returns a model's partition, false if none is assigned.
func (a *Homes) Lookup(model string) (part int, ok bool) {
	part, ok = a.byModel[model]
	return part, ok
}

// partitionStride is the distance between partitions that are assigned one after the other:
// adjacent partitions tend to have the same owner.
const partitionStride = 4

// Next returns the record to append for a new model. It assigns the partition with the
// fewest models, in an order that keeps the partitions of the first models apart.
func (a *Homes) Next(model string) Home {
	used := make([]int, a.partitions)
	for _, part := range a.byModel {
		used[part]++
	}
	best := 0
	for n := range a.partitions {
		part := (n*partitionStride + n*partitionStride/a.partitions) % a.partitions
		if n == 0 || used[part] < used[best] {
			best = part
		}
	}
	return Home{Model: model, Partition: best}
}
