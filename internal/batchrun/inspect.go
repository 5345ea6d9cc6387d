package batchrun

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
)

// InspectBatches returns the batches that this daemon knows, by partition and in the order in which
// they were accepted.
func (s *Service) InspectBatches() []inspect.Batch {
	out := []inspect.Batch{}
	for _, p := range s.partitions {
		running := s.runningSamples(p.number)
		p.mu.Lock()
		for _, b := range p.state.All() {
			out = append(out, s.describeBatch(p, b, running))
		}
		p.mu.Unlock()
	}
	return out
}

// InspectBatch returns one batch with its samples, false if this daemon knows no batch with
// the ID.
func (s *Service) InspectBatch(id string) (inspect.BatchDetail, bool) {
	p := s.partitionForBatch(id)
	if p == nil {
		return inspect.BatchDetail{}, false
	}
	running := s.runningSamples(p.number)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.state.Get(id)
	if b == nil {
		return inspect.BatchDetail{}, false
	}
	out := inspect.BatchDetail{Batch: s.describeBatch(p, b, running)}
	for i := range b.Samples {
		out.SampleDetails = append(out.SampleDetails, describeSample(b, i, running))
	}
	return out, true
}

// runningSamples returns the incarnation of the engine that runs a sample, for each sample of a
// partition that this daemon runs; nil if it doesn't own the partition.
func (s *Service) runningSamples(part int) map[sampleKey]string {
	s.owner.mu.Lock()
	r := s.owner.runners[part]
	s.owner.mu.Unlock()
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[sampleKey]string{}
	for key, x := range r.runs {
		out[key] = x.incarnation
	}
	return out
}

// describeBatch summarizes a batch of a partition. running is the result of runningSamples.
func (s *Service) describeBatch(p *partition, b *batch.Batch, running map[sampleKey]string) inspect.Batch {
	out := inspect.Batch{
		ID: b.ID, Model: b.Model, Part: p.number, MinVersion: b.MinVersion, Ended: b.Ended,
		AgeMS: (s.options.Now() - b.ReadAt).Milliseconds(), Samples: len(b.Samples),
	}
	if running != nil {
		out.Owner = s.options.VM
	}
	for i := range b.Samples {
		switch b.Samples[i].State {
		case batch.Completed:
			out.Completed++
		case batch.GivenUp:
			out.Dead++
		}
		if running[sampleKey{b.ID, i}] != "" {
			out.Running++
		}
	}
	return out
}

// describeSample describes sample i of a batch. running is the result of runningSamples.
func describeSample(b *batch.Batch, i int, running map[sampleKey]string) inspect.Sample {
	s := &b.Samples[i]
	out := inspect.Sample{
		ID: s.ID, Group: s.Group, State: "open", Position: slices.Index(b.Listed, i),
		Events: s.Text.Events, Failures: s.Failures, RewardFailures: s.RewardFailures, Score: s.Score, Upstream: running[sampleKey{b.ID, i}],
	}
	switch {
	case s.State == batch.Completed:
		out.State = "completed"
	case s.State == batch.GivenUp:
		out.State = "dead"
	case out.Upstream != "":
		out.State = "running"
	case s.Stage() == batch.Scoring:
		out.State = "scoring"
	}
	return out
}

// OwnedPartitions returns the numbers of the partitions whose batches this daemon runs, sorted.
func (s *Service) OwnedPartitions() []int {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	out := []int{}
	for part := range s.owner.runners {
		out = append(out, part)
	}
	slices.Sort(out)
	return out
}

// Views describes the views of the partitions that this daemon follows now, and of the claims
// log.
func (s *Service) Views() []inspect.View {
	var out []inspect.View
	for _, p := range s.partitions {
		if p.follower.Following() {
			out = append(out, p.follower.Inspect())
		}
	}
	return append(out, s.loader.follower.Inspect())
}

// HolderOf returns the VM with the last claim on an engine's address or a duty, the claim's
// fencing token, and for how long this daemon has known the claim. vm is "" if there is none.
func (s *Service) HolderOf(subject string) (vm string, fence int64, age time.Duration) {
	s.loader.mu.Lock()
	defer s.loader.mu.Unlock()
	vm, offset, ok := s.loader.claims.Holder(subject)
	if !ok {
		return "", 0, 0
	}
	return vm, fencingToken(offset), s.loader.claims.Age(subject, s.options.Now())
}
