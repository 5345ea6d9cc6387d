package loads

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// PartitionAssignment assigns a model to a partition of the batch topic. Only the first record of a model
// counts, so all daemons agree on its partition and it never changes. Models get different
// partitions, so that the samples of two models aren't handled by one owner while other
// partitions are free.
type PartitionAssignment struct {
	Model     string `cbor:"1,keyasint"`
	Partition int    `cbor:"2,keyasint"`
	// BatchSize is the number of samples in a batch of the model, 0 if it had no batch yet.
	// Engines are split among models by it.
	BatchSize int `cbor:"3,keyasint,omitempty"`
}

// EncodeAssignment encodes a record for the log.
func EncodeAssignment(assignment PartitionAssignment) ([]byte, error) {
	return cbor.Marshal(assignment)
}

// DecodeAssignment decodes a record of the log. It returns ErrMalformed if that fails.
func DecodeAssignment(data []byte) (PartitionAssignment, error) {
	var assignment PartitionAssignment
	if err := cbor.Unmarshal(data, &assignment); err != nil {
		return PartitionAssignment{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return assignment, nil
}

// PartitionAssignments holds the partition and the batch size of each model, computed from the records.
type PartitionAssignments struct {
	partitions int
	byModel    map[string]int // partition of each model
	demand     map[string]int // number of samples in a batch of each model
}

// NewPartitionAssignments returns a state without models. partitions is the number of partitions of the
// topic.
func NewPartitionAssignments(partitions int) *PartitionAssignments {
	return &PartitionAssignments{partitions: partitions, byModel: map[string]int{}, demand: map[string]int{}}
}

// minDemandChange is the relative change of a model's batch size above which engines are
// split anew. Batch sizes vary, since a step includes some samples of the step before, and
// each engine that moves to another model is of no use for seconds.
const minDemandChange = 0.25

// Apply applies the next record.
func (a *PartitionAssignments) Apply(r PartitionAssignment) {
	if _, known := a.byModel[r.Model]; !known && r.Partition >= 0 && r.Partition < a.partitions {
		a.byModel[r.Model] = r.Partition
	}
	if a.ChangesDemand(r) {
		a.demand[r.Model] = r.BatchSize
	}
}

// ChangesDemand reports whether a record would change the batch size of its model.
func (a *PartitionAssignments) ChangesDemand(r PartitionAssignment) bool {
	known := a.demand[r.Model]
	return r.BatchSize > 0 && (known == 0 || math.Abs(float64(r.BatchSize-known)) > minDemandChange*float64(known))
}

// Demand returns the number of samples in a batch by model, for the models where it is known.
func (a *PartitionAssignments) Demand() map[string]int { return maps.Clone(a.demand) }

// Partitions returns the partitions that models are assigned to, sorted.
func (a *PartitionAssignments) Partitions() []int {
	parts := slices.Sorted(maps.Values(a.byModel))
	return slices.Compact(parts)
}

// Lookup returns a model's partition, false if none is assigned.
func (a *PartitionAssignments) Lookup(model string) (part int, ok bool) {
	part, ok = a.byModel[model]
	return part, ok
}

// partitionStride is the distance between partitions that are assigned one after the other:
// adjacent partitions tend to have the same owner.
const partitionStride = 4

// NewAssignment returns the record to append for a new model. It assigns the partition with the
// fewest models, in an order that keeps the partitions of the first models apart.
func (a *PartitionAssignments) NewAssignment(model string) PartitionAssignment {
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
	return PartitionAssignment{Model: model, Partition: best}
}
