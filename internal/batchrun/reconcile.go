package batchrun

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// pool identifies the engines of one service that run one model. A model may be served by several
// services, and the samples of a batch may run only on the engines of its own route's service.
type pool struct {
	service string
	model   string
}

// poolWork is what a reconcile pass finds to do for one pool.
type poolWork struct {
	waiting        []batch.WaitingSample // samples that could start
	active         bool                  // a sample still has to be generated
	nextMinVersion int64                 // oldest weights version that the model's next step is expected to use
	singleVersion  bool                  // an open batch allows only one weights version in a sample
}

// reconcile brings runs, reward calls and loads in line with the log, the configuration
// and the engines.
func (r *runner) reconcile(ctx context.Context) {
	config := r.s.options.View.Config()
	if config == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	now := r.s.options.Now()
	r.resetIgnoredLocked()
	work := r.poolWorkLocked(ctx, config)
	if len(work) > 0 && !r.upstreamsLoadedLocked() {
		return // engines not known yet would be missing from the allocation
	}
	r.collectSamplesLocked(ctx, config, work, now)
	for p, w := range work {
		r.reconcilePoolLocked(ctx, config, p, w, now)
	}
}

// upstreamsLoadedLocked requests that all upstreams are read from now on, and reports whether
// all are known.
func (r *runner) upstreamsLoadedLocked() bool {
	upstreams := r.s.options.Upstreams
	if upstreams == nil {
		return true
	}
	if r.releaseUpstreams == nil {
		r.releaseUpstreams = upstreams.Hold()
	}
	return upstreams.Loaded()
}

// poolWorkLocked returns an entry without samples for each configured pool whose model is
// assigned to this partition. It also records these models' demand, and assigns partitions
// to models that have weights and no partition yet.
func (r *runner) poolWorkLocked(ctx context.Context, config *routes.Config) map[pool]*poolWork {
	out := map[pool]*poolWork{}
	published := r.s.options.View.Published()
	for _, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		for _, m := range service.Engine.Models {
			switch assigned := r.s.partitionForModel(m); {
			case assigned == r.partition:
				out[pool{service.Name, m}] = &poolWork{}
				r.recordDemandLocked(ctx, m)
			case assigned == nil && published[m] > 0 && r.partition.number == 0:
				r.assignPartitionLocked(ctx, m)
			}
		}
	}
	return out
}

// collectSamplesLocked reconciles all open batches, adds their waiting samples to work, and
// cancels the runs that are no longer wanted.
func (r *runner) collectSamplesLocked(ctx context.Context, config *routes.Config, work map[pool]*poolWork, now time.Duration) {
	r.partition.mu.Lock()
	defer r.partition.mu.Unlock()
	open := r.partition.state.Open()
	wanted := map[string]bool{}
	for _, b := range open {
		wanted[b.ID] = true
		if r.awaitsConfigLocked(ctx, b, config) {
			continue
		}
		route, ok := config.Match(b.Host, b.Path)
		if !ok || route.Kind != routes.Batch {
			r.giveUpBatchLocked(b, "no batch route matches the batch any more")
			continue
		}
		r.reconcileBatchLocked(ctx, config, b, func(s *batch.Sample) *poolWork { return workOf(work, route, b, s) }, now)
	}
	r.dropUnwantedLocked(wanted)
	nextMinVersions := map[string]int64{} // by model, whose weights versions are common to all services
	for _, b := range r.partition.state.All() {
		nextMinVersions[b.Model] = max(nextMinVersions[b.Model], b.MinVersion+1) // each step needs the next version
	}
	for p, w := range work {
		w.nextMinVersion = nextMinVersions[p.model]
	}
}

// workOf returns the work of a sample's pool. The samples of a group go to one service of their
// route, which reads their common prompt once.
func workOf(work map[pool]*poolWork, route routes.Route, b *batch.Batch, s *batch.Sample) *poolWork {
	group := s.Group
	if group == "" {
		group = s.ID
	}
	p := pool{route.PickFor(b.ID, group), b.Model}
	w := work[p]
	if w == nil {
		w = &poolWork{}
		work[p] = w
	}
	w.singleVersion = w.singleVersion || b.SingleVersion
	return w
}

// awaitsConfigLocked reports whether a batch was accepted by a newer configuration than the one known
// here. That one may lack the batch's route, or send its samples elsewhere.
func (r *runner) awaitsConfigLocked(ctx context.Context, b *batch.Batch, config *routes.Config) bool {
	awaits := b.ConfigVersion > config.Version
	if awaits == r.awaitingConfig[b.ID] {
		return awaits
	}
	r.log.Info().Str("batch", b.ID).Int64("accepted_by", b.ConfigVersion).Int64("config", config.Version).Bool("waits", awaits).
		Msg("batch of a newer configuration")
	if !awaits {
		delete(r.awaitingConfig, b.ID)
		return false
	}
	r.awaitingConfig[b.ID] = true
	r.requestsLocked(ctx, b) // read meanwhile
	return true
}

// giveUpBatchLocked gives up all open samples of a batch.
func (r *runner) giveUpBatchLocked(b *batch.Batch, why string) {
	for i := range b.Samples {
		key := sampleKey{b.ID, i}
		if x := r.runs[key]; x != nil {
			x.cancel(errUnwanted)
		}
		r.cancelRewardCallLocked(key)
		if b.Samples[i].State == batch.Open && !r.finished[key] {
			r.giveUpLocked(key, b.Samples[i].ID, why)
		}
	}
}

// retentionMargin is added to a batch's retention, because daemons read the batch's record
// at different times.
const retentionMargin = time.Second

// reconcileBatchLocked does what each sample of an open batch needs next, and adds the
// samples that could start to the work of their pools.
func (r *runner) reconcileBatchLocked(ctx context.Context, config *routes.Config, b *batch.Batch, work func(*batch.Sample) *poolWork, now time.Duration) {
	ready := r.requestsLocked(ctx, b) != nil
	expired := now-b.ReadAt > time.Duration(b.RetentionMS)*time.Millisecond+retentionMargin
	for i := range b.Samples {
		s := &b.Samples[i]
		key := sampleKey{b.ID, i}
		if s.State != batch.Open || r.finished[key] {
			r.cancelSampleLocked(key, s)
			continue
		}
		stage, w := r.stageLocked(key, s), work(s)
		w.active = w.active || stage == batch.Generating
		switch {
		case stage == batch.Ready:
			r.completeLocked(key, r.textLocked(key, s), r.runs[key], s.Score)
		case expired:
			r.cancelSampleLocked(key, s)
			r.giveUpLocked(key, s.ID, "retention time exceeded")
		case stage == batch.Scoring:
			if x := r.runs[key]; x != nil {
				x.cancel(errUnwanted) // another owner's text is complete
			}
			r.textLocked(key, s)
			r.reconcileRewardCallLocked(ctx, config, b, i, now)
		case s.Failures >= b.MaxAttempts:
			r.cancelSampleLocked(key, s)
			r.giveUpLocked(key, s.ID, "failed at every attempt")
		case r.runs[key] != nil:
			r.cancelIfBehindLocked(r.runs[key], s)
		case ready:
			w.waiting = append(w.waiting, r.waitingSampleLocked(b, i))
		}
	}
}

// minLogLead is by how many events the log's text must be ahead of a run's for the run to
// be resumed from there. Resuming costs the prompt's prefill, which takes as long as one or
// two events.
const minLogLead = 4

// cancelIfBehindLocked cancels a run that is behind the log's text, so that it resumes from
// there. This happens when the previous owner's last text arrives after the run started.
func (r *runner) cancelIfBehindLocked(x *run, s *batch.Sample) {
	if x.text.isBehind(s.Text.Events - minLogLead + 1) {
		x.cancel(errLogAhead)
	}
}

// stageLocked returns a sample's stage by the log, or by this owner's text if that is
// complete and its end isn't in the log yet.
func (r *runner) stageLocked(key sampleKey, s *batch.Sample) batch.Stage {
	if t := r.texts[key]; t != nil && t.complete && !s.TextComplete {
		return batch.Scoring
	}
	return s.Stage()
}

// cancelSampleLocked cancels the run and the reward call of a sample that has a result, or
// is about to be given up. It forgets the sample's state once the result is in the log.
func (r *runner) cancelSampleLocked(key sampleKey, s *batch.Sample) {
	if x := r.runs[key]; x != nil {
		x.cancel(errUnwanted)
	}
	r.cancelRewardCallLocked(key)
	if s.State != batch.Open {
		delete(r.texts, key)
		delete(r.retries, key)
		delete(r.finished, key)
	}
}

// waitingSampleLocked describes sample i of a batch to the planner.
func (r *runner) waitingSampleLocked(b *batch.Batch, i int) batch.WaitingSample {
	s := &b.Samples[i]
	key := sampleKey{b.ID, i}
	retry := r.retries[key]
	events, version := s.Text.Events, s.Text.FirstVersion()
	if t := r.texts[key]; t != nil && !t.isBehind(events) {
		events, version = t.eventCount(), t.firstVersion
	}
	if !b.SingleVersion {
		version = 0
	}
	return batch.WaitingSample{
		Batch: b.ID, Index: i, Group: s.Group, MinVersion: b.MinVersion,
		Remaining: r.estimator.Remaining(s.ExpectedTokens, events), Due: b.AcceptedAt + time.Duration(b.TargetMS)*time.Millisecond,
		NotBefore: retry.notBefore, AvoidEngine: retry.avoidEngine, Events: events, TextVersion: version,
	}
}

// dropUnwantedLocked cancels the runs and reward calls of batches that aren't wanted any
// more, and forgets their state. wanted holds the IDs of the open batches.
func (r *runner) dropUnwantedLocked(wanted map[string]bool) {
	for key, x := range r.runs {
		if !wanted[key.batch] {
			x.cancel(errUnwanted)
		}
	}
	for key := range r.rewardCalls {
		if !wanted[key.batch] {
			r.cancelRewardCallLocked(key)
		}
	}
	for key := range r.texts {
		if !wanted[key.batch] && r.runs[key] == nil {
			delete(r.texts, key)
		}
	}
	for key := range r.retries {
		if !wanted[key.batch] {
			delete(r.retries, key)
		}
	}
	for id := range r.requests {
		if !wanted[id] {
			r.dropRequestsLocked(id)
		}
	}
	for id := range r.awaitingConfig {
		if !wanted[id] {
			delete(r.awaitingConfig, id)
		}
	}
	for key := range r.finished {
		if !wanted[key.batch] {
			delete(r.finished, key)
		}
	}
	r.crashes.RetainOnly(func(key sampleKey) bool { return wanted[key.batch] })
}
