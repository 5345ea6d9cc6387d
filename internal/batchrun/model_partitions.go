package batchrun

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// modelPartitions is a view of the topic that assigns each model to a partition and holds
// the number of samples in the model's batches. Every daemon follows this topic, so nothing
// that grows with the upstreams or their loads is written to it. It is keyed by model: the
// newest record of a model outlives the log's retention. It is safe for concurrent use.
type modelPartitions struct {
	options  Options
	follower *follow.Follower

	mu    sync.Mutex
	state *loads.PartitionAssignments // by the records read so far
}

func newModelPartitions(o Options) *modelPartitions {
	p := &modelPartitions{options: o, state: loads.NewPartitionAssignments(o.Partitions)}
	always := func() bool { return true } // there are few models, and new ones are rare
	p.follower = follow.New(follow.Options{Log: o.Log, Topic: modelPartitionsTopic, Keyed: true, Sink: p, Idle: always, Now: o.Now, Logger: o.Logger})
	return p
}

// Reset replaces the view with the newest record of each model.
func (p *modelPartitions) Reset(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = loads.NewPartitionAssignments(p.options.Partitions)
	for _, e := range entries {
		p.applyLocked(e.Offset, e.Value)
	}
}

// Record applies one record.
func (p *modelPartitions) Record(offset int64, data []byte) {
	_, value, err := store.DecodeEntry(data)
	if err != nil {
		p.options.Logger.Error().Err(err).Int64("offset", offset).Msg("skipped a malformed model partition record")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLocked(offset, value)
}

// Gap is never called: the topic is keyed.
func (p *modelPartitions) Gap(int64) {}

func (p *modelPartitions) applyLocked(offset int64, value []byte) {
	if len(value) == 0 {
		return // a model's partition never changes
	}
	assignment, err := loads.DecodeAssignment(value)
	if err != nil {
		p.options.Logger.Error().Err(err).Int64("offset", offset).Msg("skipped a malformed model partition record")
		return
	}
	p.state.Apply(assignment)
}

// lookup returns the number of a model's partition, false if none is assigned.
func (p *modelPartitions) lookup(model string) (part int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Lookup(model)
}

// partitions returns the numbers of the partitions that models are assigned to, sorted.
func (p *modelPartitions) partitions() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Partitions()
}

// demand returns the number of samples in a batch by model, for the models where it is
// known.
func (p *modelPartitions) demand() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Demand()
}

// maxAssignAttempts bounds the appends that conflict with another daemon's record.
const maxAssignAttempts = 12

var errNoPartition = errors.New("no partition could be assigned to the model")

// assign returns a model's partition, and assigns one if it has none. samples is the
// number of samples in the model's batch, 0 if it has no batch yet. The append is
// conditional, so two daemons that see a new model at the same time agree on one partition.
func (p *modelPartitions) assign(ctx context.Context, model string, samples int) (int, error) {
	var err error
	for range maxAssignAttempts {
		if part, ok := p.lookup(model); ok {
			return part, nil
		}
		next := p.follower.NextOffset()
		p.mu.Lock()
		assignment := p.state.NewAssignment(model)
		p.mu.Unlock()
		assignment.BatchSize = samples
		var record []byte
		if record, err = encodeModelPartition(assignment); err != nil {
			return 0, err
		}
		if _, err = p.options.Log.AppendAt(ctx, modelPartitionsTopic, 0, next, [][]byte{record}); errors.Is(err, store.ErrNotDone) {
			return 0, err
		}
		if err := p.follower.CatchUp(ctx); err != nil {
			return 0, err
		}
	}
	return 0, errors.Join(errNoPartition, err)
}

// encodeModelPartition returns the topic's record, keyed by the model.
func encodeModelPartition(assignment loads.PartitionAssignment) ([]byte, error) {
	value, err := loads.EncodeAssignment(assignment)
	if err != nil {
		return nil, err
	}
	return store.EncodeEntry(assignment.Model, value)
}

// recordDemand appends a record with the number of samples in a model's batches.
func (p *modelPartitions) recordDemand(ctx context.Context, assignment loads.PartitionAssignment) error {
	record, err := encodeModelPartition(assignment)
	if err != nil {
		return err
	}
	_, err = store.AppendIdempotent(ctx, p.options.Log, modelPartitionsTopic, 0, [][]byte{record}, 1)
	return err
}

// changesDemand reports whether a record would change the known demand of a model.
func (p *modelPartitions) changesDemand(assignment loads.PartitionAssignment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ChangesDemand(assignment)
}

// demandInterval is the least time between two demand records of a model by its owner:
// each one makes every daemon reallocate the engines.
const demandInterval = 45 * time.Second

// recordDemandLocked records the number of samples in a model's batches if it has changed.
func (r *runner) recordDemandLocked(ctx context.Context, model string) {
	assignment := loads.PartitionAssignment{Model: model, Partition: r.partition.number, BatchSize: r.partition.lastBatchSize(model)}
	now := r.s.options.Now()
	if now < r.demandNotBefore[model] || !r.s.modelPartitions.changesDemand(assignment) {
		return
	}
	r.demandNotBefore[model] = now + demandInterval
	r.tasks.Go(func() {
		if err := r.s.modelPartitions.recordDemand(ctx, assignment); err != nil {
			r.log.Warn().Err(err).Str("model", model).Int("samples", assignment.BatchSize).Msg("failed to record the model's demand")
		}
	})
}

// assignPartitionLocked assigns a partition to a model whose weights were published before
// its first batch, so that an owner loads them. The owner of partition 0 calls it.
func (r *runner) assignPartitionLocked(ctx context.Context, model string) {
	if r.assigning {
		return
	}
	r.assigning = true
	r.tasks.Go(func() {
		part, err := r.s.modelPartitions.assign(ctx, model, 0)
		r.log.Info().Str("model", model).Int("home", part).Err(err).Msg("assigning a partition to a model with weights and no batch yet")
		r.mu.Lock()
		r.assigning = false
		r.mu.Unlock()
	})
}
