package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// run is one request on its way through its attempts. One goroutine uses it.
type run struct {
	d          *Dispatcher
	s          *shard
	id         ident.RequestID
	fp         poison.Fingerprint
	want       want
	deadline   time.Time
	idempotent bool
	resumable  bool
	hedge      bool // a copy: gives up rather than run alone
	sends      retry.Sends
	mayHaveRun outcome.Outcome // of the attempts so far
	lastFault  error
	died       bool          // the last attempt's upstream ended
	resumed    int           // tokens of the answer that the last attempt began with
	sender     poison.Sender // of this copy, once it was asked for
	apart      bool          // it needn't agree with other copies any more
}

// outcome is what is known over all attempts: NotRun while none began.
func (r *run) outcome() outcome.Outcome {
	if r.sends.Made == 0 {
		return outcome.NotRun
	}
	return r.mayHaveRun
}

// place finds the next attempt a place, alone if the request is a suspect.
func (r *run) place(ctx context.Context) (*slot, *Error) {
	for {
		sl, err := r.placeOnce(ctx)
		if sl != nil || err != nil {
			return sl, r.begun(err)
		}
	}
}

// placeOnce returns neither a slot nor an error if the verdict on the request
// changed meanwhile.
func (r *run) placeOnce(ctx context.Context) (*slot, *Error) {
	if r.d.o.Policy == Naive {
		return r.s.acquire(ctx, r.want, 0)
	}
	dec := r.d.judge(r.fp)
	switch {
	case dec.Verdict == poison.Busy && r.mayAwait():
		return nil, r.awaitVerdict(ctx)
	case dec.Verdict == poison.Convicted, dec.Verdict == poison.Busy:
		return nil, poisonError(r.outcome(), dec)
	case dec.Verdict == poison.Suspect && r.hedge:
		return nil, poisonError(r.outcome(), dec)
	case dec.Verdict == poison.Suspect:
		return r.placeAlone(ctx)
	}
	sl, err := r.s.acquire(ctx, r.want, r.fp)
	if err != nil {
		return nil, err
	}
	if r.d.judge(r.fp).Verdict == poison.Clean {
		return r.agree(ctx, sl)
	}
	r.s.giveBackLocked(sl, false) // marked while it was queued
	return nil, nil
}

// begun corrects a refusal's outcome by earlier attempts, which may have run.
func (r *run) begun(err *Error) *Error {
	if err == nil || r.sends.Made == 0 {
		return err
	}
	err.Outcome = r.outcome()
	if err.Err == nil {
		err.Err = r.lastFault
	}
	return err
}

// loop makes attempts until one succeeds or nothing more may be tried. sent says
// whether a part of the answer is already had.
func (r *run) loop(ctx context.Context, attempt func(context.Context, *slot) error, sent func() bool) *Error {
	var waitedSince time.Time
	for {
		sl, refused := r.place(ctx)
		if refused != nil {
			if r.mayWait(refused, &waitedSince) {
				waitFor(ctx, nil, 2*tick)
				continue
			}
			return refused
		}
		waitedSince = time.Time{}
		err := r.attempt(ctx, sl, attempt)
		if err == nil {
			return nil
		}
		if errors.Is(err, errStopped) {
			continue
		}
		if final := r.afterFault(ctx, sl, err, sent()); final != nil {
			return final
		}
	}
}

// mayWait lets a request that began wait a while for a group that is all down,
// rather than throw away what it has. One that didn't is refused at once.
func (r *run) mayWait(refused *Error, since *time.Time) bool {
	if refused.Reason != NoUpstream || r.outcome() == outcome.NotRun || r.d.o.Policy == Naive {
		return false
	}
	now := r.d.o.Now()
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) < r.d.o.NoUpstreamWait
}

// attempt runs one attempt and gives its place back.
func (r *run) attempt(ctx context.Context, sl *slot, do func(context.Context, *slot) error) error {
	r.sends.Begin()
	attemptsMade.Add(1)
	name := sl.m.target.Name
	r.want.route.Exclude = append(r.want.route.Exclude, name)
	r.want.urgent = true // if there is a next, it has waited its turn
	r.d.record("dispatch", r.id, r.want.team, name, r.want.route.Class.String())
	err := r.attemptStoppable(ctx, sl, do)
	r.died = false
	if err == nil {
		r.succeeded(sl)
		return nil
	}
	if errors.Is(err, errStopped) {
		r.stopped(sl)
		return err
	}
	failures.Add(1)
	r.faulted(ctx, sl, err)
	return err
}

func (r *run) succeeded(sl *slot) {
	if r.want.route.Class == routing.ClassProduction {
		r.d.noteAnswered(r.fp)
	}
	alone := sl.lane && !sl.passed
	if alone {
		r.d.tried(r.fp, true)
	}
	s := r.s
	s.mu.Lock()
	s.lanes.ended(sl)
	now := r.d.o.Now()
	s.retries.Succeeded(now)
	s.hedges.Succeeded(now)
	if name := sl.m.target.Name; !s.health.Spotless(name) {
		s.step(health.Succeeded{Upstream: name}, now)
	}
	s.giveBack(sl, true)
	s.pump(now)
	s.mu.Unlock()
	if alone {
		s.closeLane(sl.m)
	}
}

// faulted tells health, poison and limits what an attempt showed. The place is
// given back only when the death, if it was one, is known: what waits for a lane
// must not start beside a request that is about to be convicted.
func (r *run) faulted(ctx context.Context, sl *slot, err error) {
	fault := faultOf(err)
	r.observe(sl, fault)
	if fault.dead() && r.d.o.Policy != Naive {
		if death, died := r.s.postMortem(sl); died {
			r.died = true
			r.suspect(sl, death)
		}
	}
	alone := sl.lane && !sl.passed
	if alone {
		r.d.tried(r.fp, false)
	}
	r.s.mu.Lock()
	r.s.lanes.ended(sl)
	r.s.giveBack(sl, false)
	r.s.pump(r.d.o.Now())
	r.s.mu.Unlock()
	if alone {
		r.s.closeLane(sl.m)
	}
}

// suspect marks the request as one that may have killed its upstream, whatever it
// had generated.
func (r *run) suspect(sl *slot, death poison.Death) {
	death.Seen = true
	death.Tokens = r.resumed + sl.tokens
	alone := sl.lane && !sl.passed
	unrelated := !alone && r.d.unrelated(r.fp, death)
	if !unrelated {
		r.d.died(r.fp, death)
		r.d.record("suspect", r.id, r.want.team, sl.m.target.Name, death.BootID)
	}
	r.d.noteSuspect(r.fp, "upstream ended under a request", func(e *zerolog.Event) {
		e.Str("request", string(r.id)).Str("upstream", string(death.Upstream)).Str("boot", death.BootID).
			Int("tokens", death.Tokens).Bool("alone", alone).Bool("unrelated", unrelated).
			Dur("ran_ms", r.d.o.Now().Sub(sl.started))
	})
}

func (r *run) observe(sl *slot, fault fault) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.d.o.Now()
	name := sl.m.target.Name
	if kind, known := fault.health(); known {
		s.step(health.Faulted{Upstream: name, Kind: kind}, now)
	}
	if fault.leaving {
		s.step(health.SaidLeaving{Upstream: name, Source: health.FromAnswer}, now)
	}
	if fault.kind == upstream.Rejected && !fault.leaving {
		sl.m.controller.Overloaded(now)
		s.refresh(sl.m)
	}
}

// afterFault returns the final error, or nil once the next attempt may start.
func (r *run) afterFault(ctx context.Context, sl *slot, err error, sent bool) *Error {
	fault := faultOf(err)
	r.note(fault.outcome)
	r.lastFault = err
	r.d.record("fault", r.id, r.want.team, sl.m.target.Name, fault.kind.String())
	if ctx.Err() != nil {
		return contextError(ctx, r.outcome())
	}
	if fault.ours {
		return &Error{Outcome: outcome.Unknown, Reason: Cancelled, Err: err}
	}
	decision := r.decide(fault, sent)
	if decision.Action == retry.Fail {
		return r.failure(fault, decision.Cause)
	}
	if decision.Action == retry.Resume {
		resumesMade.Add(1)
	}
	retriesMade.Add(1)
	r.d.record(decision.Action.String(), r.id, r.want.team, "", "")
	if decision.After > 0 {
		waitFor(ctx, nil, decision.After)
	}
	return nil
}

// note folds one attempt's outcome into what is known of all.
func (r *run) note(o outcome.Outcome) {
	if o == outcome.NotRun {
		r.sends.NotRun()
	}
	switch {
	case r.sends.Made <= 1:
		r.mayHaveRun = o
	case o == outcome.Ran:
		r.mayHaveRun = outcome.Ran
	case o == outcome.Unknown && r.mayHaveRun == outcome.NotRun:
		r.mayHaveRun = outcome.Unknown
	}
}

func (r *run) decide(f fault, sent bool) retry.Decision {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := retry.Attempt{
		Outcome:    f.outcome,
		Idempotent: r.idempotent,
		Resumable:  r.resumable,
		Transient:  f.transient,
		Died:       r.died,
		Sends:      r.sends,
		Sent:       sent,
		Deadline:   r.deadline,
	}
	options := r.d.o.Retry
	if r.d.o.Policy == Naive {
		options.MaxAttempts, options.MaxNotRun = 2, 2
	}
	return retry.Decide(attempt, s.retries, options, r.d.o.Now())
}

func (r *run) failure(f fault, cause retry.Cause) *Error {
	reason := UpstreamFailed
	if cause == retry.PastDue {
		reason = Deadline
	}
	after := f.retryAfter
	if after <= 0 && cause != retry.Answered {
		after = retryNoUpstream
	}
	return &Error{Outcome: r.outcome(), Reason: reason, RetryAfter: after, Err: f.err}
}

// errCaller marks a failure of the caller's onChunk.
var errCaller = errors.New("the caller didn't take a chunk")
