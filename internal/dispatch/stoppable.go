package dispatch

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// errAttemptStopped ends an attempt whose request became a suspect while it was running.
var errAttemptStopped = errors.New("dispatch: attempt stopped, a copy of the request killed its upstream")

// stoppableAttempts holds the running attempts that may be stopped. When a request
// kills its upstream late in its answer, copies of it may be running on other upstreams,
// from this daemon or from others. Each would reach the same point and kill its upstream
// as well. A stopped request continues like any suspect: in quarantine, one at a time.
type stoppableAttempts struct {
	mu            sync.Mutex
	byFingerprint map[poison.Fingerprint][]*stoppableAttempt
}

// stoppableAttempt is one running attempt.
type stoppableAttempt struct {
	fingerprint poison.Fingerprint
	death       poison.Death // the death to be recorded if the upstream process dies
	stop        context.CancelCauseFunc
}

func newStoppableAttempts() stoppableAttempts {
	return stoppableAttempts{byFingerprint: map[poison.Fingerprint][]*stoppableAttempt{}}
}

// add registers an attempt. The context returned is cancelled when the attempt is
// stopped.
func (a *stoppableAttempts) add(ctx context.Context, sl *slot) (context.Context, *stoppableAttempt) {
	ctx, stop := context.WithCancelCause(ctx)
	attempt := &stoppableAttempt{sl.fingerprint, poison.Death{Upstream: sl.member.target.Name, BootID: sl.bootID}, stop}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byFingerprint[sl.fingerprint] = append(a.byFingerprint[sl.fingerprint], attempt)
	return ctx, attempt
}

// remove unregisters an attempt that has ended.
func (a *stoppableAttempts) remove(ended *stoppableAttempt) {
	ended.stop(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	var kept []*stoppableAttempt
	for _, other := range a.byFingerprint[ended.fingerprint] {
		if other != ended {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(a.byFingerprint, ended.fingerprint)
		return
	}
	a.byFingerprint[ended.fingerprint] = kept
}

// stop stops the attempts of a suspect and returns their upstreams. Attempts on
// upstreams that have died are left to fail by themselves, since they report how far
// they got: the one with the most tokens may be the one that crashed the upstream.
func (a *stoppableAttempts) stop(suspect poison.Mark) []ident.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	var upstreams []ident.Upstream
	for _, attempt := range a.byFingerprint[suspect.Fingerprint] {
		if suspect.HasDeath(attempt.death) {
			continue
		}
		attempt.stop(errAttemptStopped)
		upstreams = append(upstreams, attempt.death.Upstream)
	}
	return upstreams
}

// stopCopies stops the running attempts of a request that is a suspect or convicted. A
// request that was answered by this daemon recently is probably harmless and isn't
// stopped.
func (d *Dispatcher) stopCopies(fp poison.Fingerprint) {
	d.poisonMu.Lock()
	suspect := d.suspectMarks.Mark(fp, d.options.Now())
	d.poisonMu.Unlock()
	if suspect.CountedDeaths() == 0 || d.wasAnsweredRecently(fp) {
		return
	}
	for _, upstreamName := range d.stoppable.stop(suspect) {
		copiesStopped.Add(1)
		d.logSuspect(fp, "stopped a running copy of a suspect request", func(e *zerolog.Event) { e.Str("upstream", string(upstreamName)) })
	}
}

// isStoppable reports whether an attempt may be stopped and repeated. A suspect's attempt
// in quarantine isn't: only its result shows whether the request kills upstreams.
func (r *requestRun) isStoppable(sl *slot) bool {
	return r.idempotent && !sl.quarantined && r.dispatcher.options.Policy != PolicyNaive
}

// runStoppable runs an attempt that is stopped when another copy of the request kills its
// upstream. It returns errAttemptStopped then.
func (r *requestRun) runStoppable(ctx context.Context, sl *slot, attemptFunc func(context.Context, *slot) error) error {
	if !r.isStoppable(sl) {
		return attemptFunc(ctx, sl)
	}
	stoppableCtx, attempt := r.dispatcher.stoppable.add(ctx, sl)
	defer r.dispatcher.stoppable.remove(attempt)
	r.dispatcher.stopCopies(r.fingerprint) // the death may have been reported just before add
	err := attemptFunc(stoppableCtx, sl)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(stoppableCtx), errAttemptStopped) {
		return errAttemptStopped
	}
	return err
}

// releaseStopped releases the slot of a stopped attempt. The tokens generated so far are
// kept, and the next attempt resumes after them.
func (r *requestRun) releaseStopped(sl *slot) {
	r.addOutcome(outcome.Unknown)
	r.dispatcher.recordEvent("stopped", r.id, r.placement.team, sl.member.target.Name, "")
	r.shard.mu.Lock()
	r.shard.quarantine.endAttempt(sl)
	r.shard.mu.Unlock()
	r.shard.releaseSlot(sl, false)
}
