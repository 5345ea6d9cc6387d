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
	// checkWait is how long a sample whose run broke off waits for word whether its engine
	// crashed. An engine that is there, or refuses connections, says so in some
	// milliseconds.
	checkWait = 60 * time.Millisecond
	// checkTimeout bounds the question.
	checkTimeout = 500 * time.Millisecond
)

var (
	samplesTried   = metrics.Counter("samples_tried_alone")
	samplesCrashed = metrics.Counter("sample_runs_crashed")
)

// brokenRun is a run whose engine may have crashed under it.
type brokenRun struct {
	key    sampleKey
	id     string // the sample's
	events int    // had
	alone  bool
}

// checkLocked looks whether an engine crashed under a run. All runs that break there
// meanwhile share the look.
func (r *runner) checkLocked(x *run) {
	waiting, under := r.checks[x.engine]
	r.checks[x.engine] = append(waiting, brokenRun{x.key, x.id, x.text.had(), x.trial})
	if under {
		return
	}
	r.work.Go(func() {
		crashed, err := r.crashed(x.upstream)
		r.log.Info().Str("upstream", x.engine).Bool("crashed", crashed).AnErr("answer", err).Msg("engine broke off and was looked at")
		r.mu.Lock()
		defer r.mu.Unlock()
		r.checkedLocked(x.engine, crashed, r.s.options.Now())
	})
}

// crashed says whether an incarnation's process has certainly ended. A connection that
// was only reset leaves an engine that answers, and a cut one no answer at all.
func (r *runner) crashed(u registry.Upstream) (crashed bool, answer error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	report, err := r.s.options.Engines.Report(ctx, u)
	if err != nil {
		return errors.Is(err, ErrDown) || errors.Is(err, ErrReplaced), err
	}
	return report.Started > u.Started, nil
}

func (r *runner) checkedLocked(engine string, crashed bool, now time.Duration) {
	broken := r.checks[engine]
	delete(r.checks, engine)
	for _, b := range broken {
		if again, ok := r.retries[b.key]; ok {
			again.notBefore = min(again.notBefore, now)
			r.retries[b.key] = again
		}
		if !crashed {
			continue
		}
		samplesCrashed.Add(1)
		r.crashes.Crashed(b.key, engine, b.events, b.alone, now)
		standing, _ := r.crashes.Standing(b.key)
		lost, _ := r.crashes.Crashes(b.key)
		r.log.Warn().Str("batch", b.key.batch).Str("sample", b.id).Str("upstream", engine).Int("events", b.events).Int("beside", len(broken)-1).
			Bool("alone", b.alone).Int("crashes", lost).Stringer("standing", standing).Msg("engine crashed under a sample")
	}
	r.wake()
}

// progressedLocked opens the engine of a trial to others once its sample has got past
// the point where engines crashed.
func (r *runner) progressedLocked(x *run) {
	if !r.crashes.Progressed(x.key, x.text.had()) || !x.trial {
		return
	}
	x.trial = false
	r.engineLocked(x.engine).trial = false
	r.log.Info().Str("batch", x.key.batch).Str("sample", x.id).Str("upstream", x.engine).Int("events", x.text.had()).Msg("sample's trial passed")
	r.wake()
}

// trialsLocked tells samples that run alone from the others.
func (r *runner) trialsLocked(waiting []batch.Waiting) (ordinary, trials []batch.Waiting) {
	for _, w := range waiting {
		standing, from := r.crashes.Standing(sampleKey{w.Batch, w.Index})
		if standing == crashes.Ordinary {
			ordinary = append(ordinary, w)
			continue
		}
		w.NotBefore = max(w.NotBefore, from)
		trials = append(trials, w)
	}
	return ordinary, trials
}

// tryLocked runs a sample alone that lost engines before. Beside others it would take
// them along each time: they move on with it, and the model's engines crash one after
// the other for as long as its batch is kept. One is tried at a time; those that a crash
// made suspects by chance pass within some events.
func (r *runner) tryLocked(ctx context.Context, model string, share []registry.Upstream, trials []batch.Waiting, now time.Duration) {
	trials = slices.DeleteFunc(trials, func(w batch.Waiting) bool { return w.NotBefore > now })
	if len(trials) == 0 || r.tryingLocked(model) {
		return
	}
	slices.SortStableFunc(trials, func(a, b batch.Waiting) int { return cmp.Compare(a.NotBefore, b.NotBefore) })
	for _, w := range trials {
		u, ok := r.trialEngineLocked(model, share, w, now)
		if !ok {
			continue
		}
		e := r.engineLocked(u.Incarnation())
		if e.running > 0 {
			r.vacateLocked(u.Incarnation(), now) // the next look starts it
			return
		}
		samplesTried.Add(1)
		r.startLocked(ctx, model, u, w)
		if x := r.runs[sampleKey{w.Batch, w.Index}]; x != nil {
			x.trial, e.trial = true, true
			lost, _ := r.crashes.Crashes(x.key)
			r.log.Info().Str("batch", w.Batch).Str("sample", x.id).Str("upstream", x.engine).Int("crashes", lost).Msg("sample runs alone")
		}
		return
	}
}

func (r *runner) tryingLocked(model string) bool {
	for _, x := range r.runs {
		if x.trial && x.model == model {
			return true
		}
	}
	return false
}

// trialEngineLocked returns the engine with the fewest samples that a sample may use,
// rather another one than that which crashed under it last. While no other engine is
// left for the others, because it crashed those, it waits as long as a crasher does.
func (r *runner) trialEngineLocked(model string, share []registry.Upstream, w batch.Waiting, now time.Duration) (best registry.Upstream, ok bool) {
	rank := func(u registry.Upstream) int {
		rank := 2 * r.engineLocked(u.Incarnation()).running
		if u.Incarnation() == w.Avoid {
			rank++
		}
		return rank
	}
	usable := 0
	for _, u := range share {
		e := r.engineLocked(u.Incarnation())
		if r.suspect(u.Incarnation(), now) || e.loading || e.trial || now < e.fullTo || u.Models[model] < w.MinVersion {
			continue
		}
		usable++
		if !ok || rank(u) < rank(best) {
			best, ok = u, true
		}
	}
	_, last := r.crashes.Crashes(sampleKey{w.Batch, w.Index})
	return best, ok && (usable > 1 || now >= last+crashes.CrasherPause)
}
