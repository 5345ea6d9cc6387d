package dispatch

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

func (d *Dispatcher) judge(fp poison.Fingerprint) poison.Decision {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.keeper.Admit(fp, d.o.Now())
}

// noteSuspect writes down what this daemon believes of a suspect, and why. Suspects are
// bounded by the requests in flight on an upstream that ended.
func (d *Dispatcher) noteSuspect(fp poison.Fingerprint, message string, more func(*zerolog.Event)) {
	now := d.o.Now()
	d.poisonMu.Lock()
	verdict := d.keeper.Admit(fp, now).Verdict
	mark := d.keeper.Mark(fp, now)
	d.poisonMu.Unlock()
	line := d.o.Log.Info().Stringer("fingerprint", fp).Stringer("verdict", verdict).Int("crashes", mark.Crashes())
	if mark.Trying != "" {
		line = line.Str("trying", string(mark.Trying)).Str("trying_on", string(mark.TryingOn))
	}
	line.Func(more).Msg(message)
}

func (d *Dispatcher) try(fp poison.Fingerprint, on ident.Upstream, now time.Time) bool {
	d.poisonMu.Lock()
	ok := d.keeper.Try(fp, on, now)
	d.poisonMu.Unlock()
	if ok {
		d.tellUrgent()
	}
	return ok
}

// begin is try for a suspect that runs from now on.
func (d *Dispatcher) begin(fp poison.Fingerprint, on ident.Upstream, now time.Time) bool {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.keeper.Begin(fp, on, now)
}

// renew holds on to a suspect; digests that flow anyway tell of it.
func (d *Dispatcher) renew(fp poison.Fingerprint, on ident.Upstream, now time.Time) {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	d.keeper.Try(fp, on, now)
}

func (d *Dispatcher) tried(fp poison.Fingerprint, succeeded bool) {
	d.poisonMu.Lock()
	d.keeper.Tried(fp, succeeded, d.o.Now())
	d.poisonMu.Unlock()
	d.tellUrgent()
}

// passed ends a suspect's trial if it got past the point of its death.
func (d *Dispatcher) passed(fp poison.Fingerprint, tokens int) bool {
	d.poisonMu.Lock()
	ok := d.keeper.Passed(fp, tokens, d.o.Now())
	d.poisonMu.Unlock()
	if ok {
		d.tellUrgent()
	}
	return ok
}

func (d *Dispatcher) unrelated(fp poison.Fingerprint, death poison.Death) bool {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.keeper.Unrelated(fp, death, d.o.Now())
}

// triedBy says whether another daemon tries a suspect alone.
func (d *Dispatcher) triedBy(fp poison.Fingerprint, vm ident.VM) bool {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.keeper.Mark(fp, d.o.Now()).Trying == vm
}

// rival returns the other daemon, the lowest-named one, that tries a suspect on an
// upstream.
func (d *Dispatcher) rival(on ident.Upstream) ident.VM {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.keeper.Rival(on, d.o.Now())
}

// taken returns the upstreams on which peers run suspects alone.
func (d *Dispatcher) taken(now time.Time) []ident.Upstream {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.keeper.Taken(now)
}

// keepClear takes normal work off the upstreams on which peers run suspects, up
// to the part of the group that lanes may take.
func (s *shard) keepClear(taken []ident.Upstream) {
	room := max(1, len(s.order)/lanePart)
	for _, m := range s.order {
		_, clear := slices.BinarySearch(taken, m.target.Name)
		clear = clear && room > 0 && len(s.order) > 1
		if clear {
			room--
		}
		if clear != m.peerHeld {
			m.peerHeld = clear
			s.refresh(m)
		}
	}
}

func (d *Dispatcher) died(fp poison.Fingerprint, death poison.Death) {
	d.poisonMu.Lock()
	news := d.keeper.Died(fp, death, d.o.Now())
	d.poisonMu.Unlock()
	if news {
		suspects.Add(1)
		d.tellUrgent()
		d.stopCopies(fp)
	}
}

// poisonError is the final answer to a convicted request, or the refusal while
// another daemon tries it.
func poisonError(o outcome.Outcome, dec poison.Decision) *Error {
	poisonFinal.Add(1)
	return &Error{Outcome: o, Reason: Poison, RetryAfter: dec.RetryAfter}
}
