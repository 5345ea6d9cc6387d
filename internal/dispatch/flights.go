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

// errStopped ends an attempt whose request turned out to be a suspect meanwhile.
var errStopped = errors.New("dispatch: stopped, a copy of it ended its upstream")

// flights are the attempts that run now and may be stopped. A request that ends its
// upstream late in its answer may have copies on other upstreams by then, here or at
// other daemons: each would run on to the same point, and end its own. Stopped ones go
// on as suspects do, alone and one at a time.
type flights struct {
	mu      sync.Mutex
	running map[poison.Fingerprint][]*flight
}

// flight is one attempt.
type flight struct {
	fp   poison.Fingerprint
	on   poison.Death // that its upstream's process would die
	stop context.CancelCauseFunc
}

func newFlights() flights { return flights{running: map[poison.Fingerprint][]*flight{}} }

// begin notes an attempt; its context ends when it is stopped.
func (f *flights) begin(ctx context.Context, sl *slot) (context.Context, *flight) {
	ctx, stop := context.WithCancelCause(ctx)
	begun := &flight{sl.fp, poison.Death{Upstream: sl.m.target.Name, BootID: sl.bootID}, stop}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[sl.fp] = append(f.running[sl.fp], begun)
	return ctx, begun
}

// end forgets an attempt that is over.
func (f *flights) end(over *flight) {
	over.stop(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	var kept []*flight
	for _, other := range f.running[over.fp] {
		if other != over {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(f.running, over.fp)
		return
	}
	f.running[over.fp] = kept
}

// stop ends the attempts of a suspect and returns where they ran. Those whose upstream
// has died end by themselves, and tell how far they were: the furthest may have killed.
func (f *flights) stop(suspect poison.Mark) []ident.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ran []ident.Upstream
	for _, each := range f.running[suspect.Fingerprint] {
		if suspect.Has(each.on) {
			continue
		}
		each.stop(errStopped)
		ran = append(ran, each.on.Upstream)
	}
	return ran
}

// stopCopies stops what runs of a request that is a suspect or convicted now. One that
// was lately answered here is rather a victim: it runs on.
func (d *Dispatcher) stopCopies(fp poison.Fingerprint) {
	d.poisonMu.Lock()
	suspect := d.keeper.Mark(fp, d.o.Now())
	d.poisonMu.Unlock()
	if suspect.Crashes() == 0 || d.wasAnswered(fp) {
		return
	}
	for _, on := range d.flights.stop(suspect) {
		copiesStopped.Add(1)
		d.noteSuspect(fp, "running copy of a suspect stopped", func(e *zerolog.Event) { e.Str("upstream", string(on)) })
	}
}

// mayStop says whether an attempt may end early and be made again. A suspect's own
// attempt alone is what shows whether it kills.
func (r *run) mayStop(sl *slot) bool {
	return r.idempotent && !sl.lane && r.d.o.Policy != Naive
}

// attemptStoppable runs an attempt that ends early when a copy of its request ends its
// upstream. The error is errStopped then.
func (r *run) attemptStoppable(ctx context.Context, sl *slot, do func(context.Context, *slot) error) error {
	if !r.mayStop(sl) {
		return do(ctx, sl)
	}
	limited, f := r.d.flights.begin(ctx, sl)
	defer r.d.flights.end(f)
	r.d.stopCopies(r.fp) // word may have come just before begin
	err := do(limited, sl)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(limited), errStopped) {
		return errStopped
	}
	return err
}

// stopped gives a stopped attempt's place back. What it had generated is kept, and the
// next attempt goes on from there.
func (r *run) stopped(sl *slot) {
	r.note(outcome.Unknown)
	r.d.record("stopped", r.id, r.want.team, sl.m.target.Name, "")
	r.s.mu.Lock()
	r.s.lanes.ended(sl)
	r.s.mu.Unlock()
	r.s.giveBackLocked(sl, false)
}
