package batchrun

import (
	"cmp"
	"context"
	"errors"
	"slices"
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
	r.crashChecks[x.incarnation] = append(broken, brokenRun{x.key, x.sampleID, x.text.eventCount(), x.trial})
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

// splitTrialsLocked separates the samples that have to run alone from the others.
func (r *runner) splitTrialsLocked(waiting []batch.WaitingSample) (ordinary, trials []batch.WaitingSample) {
	for _, w := range waiting {
		standing, from := r.crashes.RunMode(sampleKey{w.Batch, w.Index})
		if standing == crashes.Ordinary {
			ordinary = append(ordinary, w)
			continue
		}
		w.NotBefore = max(w.NotBefore, from)
		trials = append(trials, w)
	}
	return ordinary, trials
}

// startTrialLocked runs a sample alone under which engines have crashed. Run together with
// others it would interrupt them with each crash: they would move to the next engine with
// it, and the model's engines would crash one after the other for as long as its batch is
// kept. One sample is tried at a time; those that only happened to share a crashed engine
// pass within a few events.
func (r *runner) startTrialLocked(ctx context.Context, model string, engines []registry.Upstream, trials []batch.WaitingSample, now time.Duration) {
	trials = slices.DeleteFunc(trials, func(w batch.WaitingSample) bool { return w.NotBefore > now })
	if len(trials) == 0 || r.trialRunningLocked(model) {
		return
	}
	slices.SortStableFunc(trials, func(a, b batch.WaitingSample) int { return cmp.Compare(a.NotBefore, b.NotBefore) })
	for _, w := range trials {
		u, ok := r.trialEngineLocked(model, engines, w, now)
		if !ok {
			continue
		}
		e := r.engineLocked(u.Incarnation())
		if e.running > 0 {
			r.evictLocked(u.Incarnation(), now) // the next pass starts the trial
			return
		}
		samplesTriedAlone.Add(1)
		r.startRunLocked(ctx, model, u, w)
		if x := r.runs[sampleKey{w.Batch, w.Index}]; x != nil {
			x.trial, e.trial = true, true
			lost, _ := r.crashes.CrashCount(x.key)
			r.log.Info().Str("batch", w.Batch).Str("sample", x.sampleID).Str("upstream", x.incarnation).Int("crashes", lost).Msg("sample runs alone")
		}
		return
	}
}

// trialRunningLocked reports whether a sample of a model runs alone now.
func (r *runner) trialRunningLocked(model string) bool {
	for _, x := range r.runs {
		if x.trial && x.model == model {
			return true
		}
	}
	return false
}

// trialEngineLocked returns the engine for a trial: of those that the sample may use the one
// with the fewest runs, and preferably not the one that crashed under it last. If that would
// leave no engine for other samples, because it has crashed the rest, the sample waits as
// long as a known crasher does.
func (r *runner) trialEngineLocked(model string, engines []registry.Upstream, w batch.WaitingSample, now time.Duration) (best registry.Upstream, ok bool) {
	rank := func(u registry.Upstream) int {
		rank := 2 * r.engineLocked(u.Incarnation()).running
		if u.Incarnation() == w.AvoidEngine {
			rank++
		}
		return rank
	}
	usable := 0
	for _, u := range engines {
		e := r.engineLocked(u.Incarnation())
		if r.isSuspect(u.Incarnation(), now) || e.loading || e.trial || now < e.fullUntil || u.Models[model] < w.MinVersion {
			continue
		}
		usable++
		if !ok || rank(u) < rank(best) {
			best, ok = u, true
		}
	}
	_, last := r.crashes.CrashCount(sampleKey{w.Batch, w.Index})
	return best, ok && (usable > 1 || now >= last+crashes.CrasherPause)
}
