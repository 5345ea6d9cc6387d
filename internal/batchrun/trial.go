package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/crashes"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

const (
	// crashCheckDelay is how long a sample whose run broke off waits for the check whether
	// its engine crashed. An engine that is up answers in some milliseconds, and one that is
	// down refuses the connection as fast.
	crashCheckDelay = 60 * time.Millisecond
	// crashCheckTimeout bounds the check.
	crashCheckTimeout = 500 * time.Millisecond
)

var (
	samplesTriedAlone = metrics.Counter("samples_tried_alone")
	sampleRunsCrashed = metrics.Counter("sample_runs_crashed")
)

// brokenRun is a run that broke off, perhaps because its engine crashed.
type brokenRun struct {
	key      sampleKey
	sampleID string
	events   int  // of the sample's text that were received
	alone    bool // the run was a trial
}

// checkCrashLocked checks in the background whether a run broke off because its engine
// crashed. All runs that break there during the check share its result.
func (r *runner) checkCrashLocked(x *run) {
	broken, checking := r.crashChecks[x.incarnation]
	r.crashChecks[x.incarnation] = append(broken, brokenRun{x.key, x.sampleID, x.receivedEvents, x.trial})
	if checking {
		return
	}
	r.tasks.Go(func() {
		crashed, err := r.engineCrashed(x.upstream)
		r.log.Info().Str("upstream", x.incarnation).Bool("crashed", crashed).AnErr("answer", err).Msg("checked whether an engine crashed")
		r.mu.Lock()
		defer r.mu.Unlock()
		r.crashCheckedLocked(x.incarnation, crashed, r.s.options.Now())
	})
}

// engineCrashed reports whether an incarnation's process has certainly ended. If only the
// connection was reset the engine answers, and if the network is cut no answer comes.
func (r *runner) engineCrashed(u registry.Upstream) (crashed bool, answer error) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	report, err := r.s.options.Engines.Report(ctx, u)
	if err != nil {
		return errors.Is(err, ErrDown) || errors.Is(err, ErrAddressReused), err
	}
	return report.Started > u.Started, nil
}

// crashCheckedLocked takes the result of a crash check of an engine, given by its
// incarnation: the samples of its broken runs may start again, and after a crash it counts
// against them.
func (r *runner) crashCheckedLocked(incarnation string, crashed bool, now time.Duration) {
	broken := r.crashChecks[incarnation]
	delete(r.crashChecks, incarnation)
	for _, b := range broken {
		if retry, ok := r.retries[b.key]; ok {
			retry.notBefore = min(retry.notBefore, now)
			r.retries[b.key] = retry
		}
		if !crashed {
			continue
		}
		sampleRunsCrashed.Add(1)
		r.crashes.Crashed(b.key, incarnation, b.events, b.alone, now)
		standing, _ := r.crashes.RunMode(b.key)
		lost, _ := r.crashes.CrashCount(b.key)
		r.log.Warn().Str("batch", b.key.batch).Str("sample", b.sampleID).Str("upstream", incarnation).Int("events", b.events).Int("beside", len(broken)-1).
			Bool("alone", b.alone).Int("crashes", lost).Stringer("standing", standing).Msg("engine crashed under a sample")
	}
	r.wake()
}

// endTrialIfPassedLocked ends a trial once its sample has got past the point where engines
// crashed, so that other samples may use the engine again.
func (r *runner) endTrialIfPassedLocked(x *run) {
	if !r.crashes.Progressed(x.key, x.text.eventCount()) || !x.trial {
		return
	}
	x.trial = false
	r.engineLocked(x.incarnation).trial = false
	r.log.Info().Str("batch", x.key.batch).Str("sample", x.sampleID).Str("upstream", x.incarnation).Int("events", x.text.eventCount()).Msg("sample passed its trial")
	r.wake()
}

// splitTrialsLocked separates the waiting samples of a pool that have to run alone from the
// others. engines are the pool's.
func (r *runner) splitTrialsLocked(p pool, engines []registry.Upstream, waiting []batch.WaitingSample) (ordinary, trials []batch.WaitingSample) {
	if len(engines) == 0 {
		return waiting, nil
	}
	slots := 0
	for _, u := range engines {
		slots = max(slots, u.Slots)
	}
	for _, w := range waiting {
		standing, from := r.crashes.RunMode(sampleKey{w.Batch, w.Index})
		if standing == crashes.Ordinary {
			ordinary = append(ordinary, w)
			continue
		}
		w.NotBefore = max(w.NotBefore, from)
		trials = append(trials, w)
	}
	isolate := crashes.IsolateSuspects(len(trials)+r.runningSuspectsLocked(p), slots)
	r.logIsolationLocked(p, isolate, len(trials))
	if !isolate {
		return waiting, nil
	}
	return ordinary, trials
}

// logIsolationLocked logs when a pool's suspects start or cease to run beside other samples.
func (r *runner) logIsolationLocked(p pool, isolate bool, suspects int) {
	if isolate != r.isolationSuspended[p] {
		return
	}
	r.isolationSuspended[p] = !isolate
	r.log.Warn().Str("service", p.service).Str("model", p.model).Int("suspects", suspects).Bool("isolated", isolate).Msg("isolation of samples that lost engines changed")
}

// startTrialsLocked runs samples alone under which engines have crashed. Run together with others
// such a sample would interrupt them with each crash: they would move to the next engine with it,
// and the pool's engines would crash one after the other for as long as its batch is kept.
// others is the number of the pool's samples that run, or wait to run, beside others.
func (r *runner) startTrialsLocked(ctx context.Context, p pool, engines []registry.Upstream, trials []batch.WaitingSample, others int, now time.Duration) {
	if len(trials) == 0 {
		return
	}
	var candidates []crashes.TrialCandidate[sampleKey]
	byKey := map[sampleKey]batch.WaitingSample{}
	for _, w := range trials {
		key := sampleKey{w.Batch, w.Index}
		_, last := r.crashes.CrashCount(key)
		byKey[key] = w
		candidates = append(candidates, crashes.TrialCandidate[sampleKey]{Key: key, NotBefore: w.NotBefore, LastCrash: last, MinVersion: w.MinVersion, AvoidEngine: w.AvoidEngine})
	}
	byID := map[string]registry.Upstream{}
	var free []crashes.TrialEngine
	for _, u := range engines {
		e := r.engineLocked(u.Incarnation())
		if r.isSuspect(u.Incarnation(), now) || e.loading || now < e.fullUntil {
			continue
		}
		byID[u.Incarnation()] = u
		free = append(free, crashes.TrialEngine{ID: u.Incarnation(), Version: u.Models[p.model], Running: e.running, InTrial: e.trial})
	}
	plan := crashes.PlanTrials(candidates, free, others, now)
	for _, id := range plan.Evict {
		r.evictLocked(id, now)
	}
	for _, start := range plan.Start {
		r.startTrialLocked(ctx, p, byID[start.Engine], byKey[start.Key])
	}
}

// startTrialLocked runs a sample alone on an engine.
func (r *runner) startTrialLocked(ctx context.Context, p pool, u registry.Upstream, w batch.WaitingSample) {
	r.startRunLocked(ctx, p, u, w)
	x := r.runs[sampleKey{w.Batch, w.Index}]
	if x == nil {
		return // the batch has ended
	}
	samplesTriedAlone.Add(1)
	x.trial, r.engineLocked(x.incarnation).trial = true, true
	lost, _ := r.crashes.CrashCount(x.key)
	r.log.Info().Str("batch", w.Batch).Str("sample", x.sampleID).Str("upstream", x.incarnation).Int("crashes", lost).Msg("sample runs alone")
}

// runningSuspectsLocked returns how many of a pool's runs are of samples that lost engines and
// haven't got past the crash yet.
func (r *runner) runningSuspectsLocked(p pool) int {
	n := 0
	for key, x := range r.runs {
		if mode, _ := r.crashes.RunMode(key); x.pool == p && mode != crashes.Ordinary {
			n++
		}
	}
	return n
}

// runsBesideOthersLocked returns how many samples of a pool run beside others.
func (r *runner) runsBesideOthersLocked(p pool) int {
	n := 0
	for _, x := range r.runs {
		if x.pool == p && !x.trial {
			n++
		}
	}
	return n
}
