package batchrun

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
)

// Inspect lists the batches that this daemon knows, by partition and in the order
// of their acceptance.
func (s *Service) Inspect() []inspect.Batch {
	out := []inspect.Batch{}
	for _, p := range s.partitions {
		running := s.running(p.number)
		p.mu.Lock()
		for _, b := range p.state.All() {
			out = append(out, s.describe(p, b, running))
		}
		p.mu.Unlock()
	}
	return out
}

// InspectBatch returns one batch with its samples, false if this daemon knows none of that ID.
func (s *Service) InspectBatch(id string) (inspect.BatchDetail, bool) {
	p := s.partitionForBatch(id)
	if p == nil {
		return inspect.BatchDetail{}, false
	}
	running := s.running(p.number)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.state.Get(id)
	if b == nil {
		return inspect.BatchDetail{}, false
	}
	out := inspect.BatchDetail{Batch: s.describe(p, b, running)}
	for i := range b.Samples {
		out.List = append(out.List, describeSample(b, i, running))
	}
	return out, true
}

// running returns the samples that this daemon runs in a partition and their
// engines, nil if it doesn't own the partition.
func (s *Service) running(part int) map[sampleKey]string {
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

func (s *Service) describe(p *partition, b *batch.Batch, running map[sampleKey]string) inspect.Batch {
	out := inspect.Batch{
		ID: b.ID, Model: b.Model, Part: p.number, MinVersion: b.MinVersion, Ended: b.Ended,
		AgeMS: (s.options.Now() - b.Seen).Milliseconds(), Samples: len(b.Samples),
	}
	if running != nil {
		out.Owner = s.options.VM
	}
	for i := range b.Samples {
		switch b.Samples[i].State {
		case batch.Completed:
			out.Completed++
		case batch.Dead:
			out.Dead++
		}
		if running[sampleKey{b.ID, i}] != "" {
			out.Running++
		}
	}
	return out
}

func describeSample(b *batch.Batch, i int, running map[sampleKey]string) inspect.Sample {
	s := &b.Samples[i]
	out := inspect.Sample{
		ID: s.ID, Group: s.Group, State: "open", Position: slices.Index(b.Listed, i),
		Events: s.Text.Events, Failures: s.Failures, RewardFailures: s.RewardFailures, Score: s.Score, Upstream: running[sampleKey{b.ID, i}],
	}
	switch {
	case s.State == batch.Completed:
		out.State = "completed"
	case s.State == batch.Dead:
		out.State = "dead"
	case out.Upstream != "":
		out.State = "running"
	case s.Stage() == batch.Scoring:
		out.State = "scoring"
	}
	return out
}

// Owns returns the partitions whose batches this daemon runs.
func (s *Service) Owns() []int {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	out := []int{}
	for part := range s.owner.runners {
		out = append(out, part)
	}
	slices.Sort(out)
	return out
}

// Views returns the partitions that this daemon follows now for batches and orders.
func (s *Service) Views() []inspect.View {
	var out []inspect.View
	for _, p := range s.partitions {
		if p.follower.Following() {
			out = append(out, p.follower.Inspect())
		}
	}
	return append(out, s.loader.follower.Inspect())
}

// HolderOf returns the VM that claimed an engine's address or a duty last, the fencing
// number of its claim, and for how long the claim has been known here.
func (s *Service) HolderOf(subject string) (vm string, fence int64, age time.Duration) {
	s.loader.mu.Lock()
	defer s.loader.mu.Unlock()
	vm, offset, ok := s.loader.claims.Holder(subject)
	if !ok {
		return "", 0, 0
	}
	return vm, fencingToken(offset), s.loader.claims.Age(subject, s.options.Now())
}
