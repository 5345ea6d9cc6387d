package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// modelWork is what a look finds for one model.
type modelWork struct {
	service string
	waiting []batch.Waiting
	active  bool
	next    int64 // oldest version that the next step is expected to use
}

// look brings the runs in line with the log, the configuration and the engines.
func (r *runner) look(ctx context.Context) {
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
	r.takeRejectedLocked()
	work := r.models(ctx, config)
	r.collectLocked(ctx, config, work, now)
	for model, w := range work {
		r.serveLocked(ctx, config, model, w, now)
	}
}

// models returns the models whose batches lie in this partition. The caller holds mu.
func (r *runner) models(ctx context.Context, config *routes.Config) map[string]*modelWork {
	out := map[string]*modelWork{}
	published := r.s.options.View.Published()
	for _, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		for _, m := range service.Engine.Models {
			switch home := r.s.partitionOf(m); {
			case home == r.part:
				out[m] = &modelWork{service: service.Name}
				r.renewHomeLocked(ctx, m)
			case home == nil && published[m] > 0 && r.part.number == 0:
				r.settleLocked(ctx, m)
			}
		}
	}
	return out
}

// homeInterval is between two records of a model's partition by its owner, well below
// the minutes for which the log keeps records.
const homeInterval = 45 * time.Second

// renewHomeLocked writes a model's partition down again. A VM that starts when the
// first record has expired would give the model another one.
func (r *runner) renewHomeLocked(ctx context.Context, model string) {
	now := r.s.options.Now()
	if now < r.renewAt[model] {
		return
	}
	r.renewAt[model] = now + homeInterval
	home := loads.Home{Model: model, Part: r.part.number}
	r.work.Go(func() {
		if err := r.s.orders.tell(ctx, loads.Record{Home: &home}); err != nil {
			r.log.Warn().Err(err).Str("model", model).Msg("partition of the model not written down again")
		}
	})
}

// settleLocked gives a model whose weights were published before its first batch a
// partition, so that somebody loads them. The owner of partition 0 does it.
func (r *runner) settleLocked(ctx context.Context, model string) {
	if r.settling {
		return
	}
	r.settling = true
	r.work.Go(func() {
		part, err := r.s.orders.settle(ctx, model)
		r.log.Info().Str("model", model).Int("home", part).Err(err).Msg("model has weights and no batch yet")
		r.mu.Lock()
		r.settling = false
		r.mu.Unlock()
	})
}

// collectLocked finds the samples that wait, and ends the runs that nobody wants
// any more.
func (r *runner) collectLocked(ctx context.Context, config *routes.Config, work map[string]*modelWork, now time.Duration) {
	r.part.mu.Lock()
	defer r.part.mu.Unlock()
	open := r.part.fold.Open()
	wanted := map[string]bool{}
	for _, b := range open {
		wanted[b.ID] = true
		w := work[b.Model]
		route, ok := config.Match(b.Host, b.Path)
		if !ok || route.Kind != routes.Batch {
			r.abandonLocked(b, "its route is gone")
			continue
		}
		if w == nil {
			w = &modelWork{}
			work[b.Model] = w
		}
		w.service = route.Services[0].Service
		r.samplesLocked(ctx, b, w, now)
	}
	r.endUnwantedLocked(wanted)
	for _, b := range r.part.fold.All() {
		if w := work[b.Model]; w != nil {
			w.next = max(w.next, b.MinVersion+1) // each step asks for one version more
		}
	}
}

func (r *runner) abandonLocked(b *batch.Batch, why string) {
	for i := range b.Samples {
		key := sampleKey{b.ID, i}
		if x := r.runs[key]; x != nil {
			x.cancel(errUnwanted)
		}
		if b.Samples[i].State == batch.Open && !r.finished[key] {
			r.giveUpLocked(key, b.Samples[i].ID, why)
		}
	}
}

// retentionMargin keeps a sample a little longer than it must be kept: daemons
// read of its batch at different times.
const retentionMargin = time.Second

func (r *runner) samplesLocked(ctx context.Context, b *batch.Batch, w *modelWork, now time.Duration) {
	ready := r.requestsLocked(ctx, b) != nil
	expired := now-b.Seen > time.Duration(b.RetentionMS)*time.Millisecond+retentionMargin
	for i := range b.Samples {
		s := &b.Samples[i]
		key := sampleKey{b.ID, i}
		if s.State != batch.Open || r.finished[key] {
			r.dropRunLocked(key, s)
			continue
		}
		w.active = true
		switch {
		case s.Whole:
			r.completeLocked(key, r.textLocked(key, s))
		case s.Failures >= b.MaxAttempts:
			r.dropRunLocked(key, s)
			r.giveUpLocked(key, s.ID, "failed at every attempt")
		case expired:
			r.dropRunLocked(key, s)
			r.giveUpLocked(key, s.ID, "kept too long")
		case r.runs[key] == nil && ready:
			w.waiting = append(w.waiting, r.waitingLocked(b, i))
		}
	}
}

// dropRunLocked ends a run whose sample has its result from elsewhere.
func (r *runner) dropRunLocked(key sampleKey, s *batch.Sample) {
	if x := r.runs[key]; x != nil {
		x.cancel(errUnwanted)
	}
	if s.State != batch.Open {
		delete(r.texts, key)
		delete(r.retries, key)
		delete(r.finished, key)
	}
}

func (r *runner) waitingLocked(b *batch.Batch, i int) batch.Waiting {
	s := &b.Samples[i]
	key := sampleKey{b.ID, i}
	again := r.retries[key]
	had := s.Text.Events
	if t := r.texts[key]; t != nil {
		had = max(had, t.had())
	}
	return batch.Waiting{
		Batch: b.ID, Index: i, Group: s.Group, MinVersion: b.MinVersion,
		Remaining: s.Expected, Due: b.Seen + time.Duration(b.TargetMS)*time.Millisecond,
		NotBefore: again.notBefore, Avoid: again.avoid, Had: had,
	}
}

func (r *runner) endUnwantedLocked(wanted map[string]bool) {
	for key, x := range r.runs {
		if !wanted[key.batch] {
			x.cancel(errUnwanted)
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
			delete(r.requests, id)
		}
	}
	for key := range r.finished {
		if !wanted[key.batch] {
			delete(r.finished, key)
		}
	}
}

// serveLocked places a model's waiting samples and looks after its engines' weights.
func (r *runner) serveLocked(ctx context.Context, config *routes.Config, model string, w *modelWork, now time.Duration) {
	shape := config.Services[w.service].Engine
	if shape == nil {
		return
	}
	share := r.shareOf(w.service, model, shape)
	r.rescueLocked(model, share, now)
	if r.inTouch() {
		r.placeLocked(ctx, model, share, w, now)
	}
	r.loadLocked(ctx, model, share, w, now)
}

// shareOf returns the live engines that serve a model.
func (r *runner) shareOf(service, model string, shape *routes.Engine) []registry.Upstream {
	byAddress := map[string]registry.Upstream{}
	var addresses []string
	for _, u := range r.s.options.View.Of(service) {
		if u.Leaving {
			continue
		}
		if _, twice := byAddress[u.Address]; !twice {
			addresses = append(addresses, u.Address)
		}
		byAddress[u.Address] = u
	}
	var out []registry.Upstream
	for _, a := range loads.Share(addresses, shape.Models)[model] {
		u := byAddress[a]
		if u.Slots == 0 {
			u.Slots = shape.Slots
		}
		out = append(out, u)
	}
	return out
}

func (r *runner) placeLocked(ctx context.Context, model string, share []registry.Upstream, w *modelWork, now time.Duration) {
	if len(w.waiting) == 0 {
		return
	}
	var engines []batch.Engine
	for _, u := range share {
		e := r.engineLocked(u.ID)
		if e.unusable(now) {
			continue
		}
		engines = append(engines, batch.Engine{ID: u.ID, Version: u.Models[model], Running: e.running, Slots: u.Slots})
	}
	for _, start := range batch.Plan(w.waiting, engines, now) {
		at := slices.IndexFunc(share, func(u registry.Upstream) bool { return u.ID == start.Engine })
		r.startLocked(ctx, model, share[at], start.Waiting)
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(x batch.Waiting) bool {
		return r.runs[sampleKey{x.Batch, x.Index}] != nil
	})
}

func (r *runner) loadLocked(ctx context.Context, model string, share []registry.Upstream, w *modelWork, now time.Duration) {
	if r.s.orders.follower.Age() > follow.StaleAfter {
		// No claim can be written now. Engines would be vacated for loads that fail, and
		// their samples move from one to the other until the store is back.
		return
	}
	in := loads.Input{Newest: r.s.options.View.Published()[model], Next: w.next, Waiting: len(w.waiting), Active: w.active}
	for _, x := range w.waiting {
		in.Needed = max(in.Needed, x.MinVersion)
	}
	for _, u := range share {
		e := r.engineLocked(u.ID)
		in.Engines = append(in.Engines, loads.Engine{
			ID: u.ID, Version: u.Models[model], Running: e.running, Slots: u.Slots, Loading: e.loading,
			Usable: !e.suspect(now) && now >= e.orderAfter,
		})
	}
	plan := loads.Decide(in)
	for _, id := range plan.Load {
		at := slices.IndexFunc(share, func(u registry.Upstream) bool { return u.ID == id })
		r.orderLocked(ctx, share[at], model, in.Newest)
	}
	if plan.Vacate != "" {
		r.vacateLocked(plan.Vacate, now)
	}
}

// vacateTime is how long a vacated engine gets no samples: its load follows as
// soon as its last run has ended.
const vacateTime = 500 * time.Millisecond

func (r *runner) vacateLocked(id string, now time.Duration) {
	r.engineLocked(id).vacantUntil = now + vacateTime
	for _, x := range r.runs {
		if x.engine == id {
			x.cancel(errMoved)
		}
	}
}

// requestsLocked returns the requests of a batch's samples, nil while they are
// read from the log.
func (r *runner) requestsLocked(ctx context.Context, b *batch.Batch) []batch.Request {
	requests, asked := r.requests[b.ID]
	if asked {
		return requests
	}
	r.requests[b.ID] = nil
	head, id, samples := b.Head, b.ID, len(b.Samples)
	r.work.Go(func() { r.readRequests(ctx, id, head, samples) })
	return nil
}

func (r *runner) readRequests(ctx context.Context, id string, head batch.Head, samples int) {
	var offsets []int64
	for i := range head.RequestCounts {
		offsets = append(offsets, head.RequestsAt+int64(i))
	}
	found, err := r.s.blobs.get(ctx, r.part.number, offsets)
	var requests []batch.Request
	for _, at := range offsets {
		if err != nil {
			break
		}
		var list []batch.Request
		if list, err = batch.UnpackRequests(found[at]); err == nil {
			requests = append(requests, list...)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wake()
	if err != nil || len(requests) != samples {
		r.log.Warn().Err(err).Str("batch", id).Int("requests", len(requests)).Int("samples", samples).Msg("requests not read, trying again")
		delete(r.requests, id)
		return
	}
	r.requests[id] = requests
}
