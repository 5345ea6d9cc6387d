package poison

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxDeaths bounds what one mark remembers.
const maxDeaths = 8

// convictedAt is how many deaths make a suspect final.
const convictedAt = 2

// Options of a Keeper.
type Options struct {
	Self     ident.VM
	Expiry   time.Duration // of a mark after its last death; default 10 min
	MaxMarks int           // default 4096; the one to expire first goes
	TryFor   time.Duration // longest that Trying holds unrenewed; default 5 s
}

// Verdict is what Admit says about a request.
type Verdict int

// The verdicts.
const (
	Clean     Verdict = iota // run it as any other
	Suspect                  // run it alone
	Busy                     // another daemon runs it alone now: come back
	Convicted                // final answer, never run
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"clean", "suspect", "busy", "convicted"}[v]
}

// Decision is a verdict and, for Busy and Convicted, when to come back.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Keeper holds the marks of one daemon. It is pure (no clock, no I/O) and not
// safe for concurrent use.
//
// Invariants:
//   - a fingerprint with two deaths not forgiven is never admitted until its
//     mark expires, so a request that kills at its start, at a token or at its end
//     costs at most two upstreams; copies that other daemons have in flight before
//     they hear of the first death run on the same upstream (see Places), or are
//     stopped when they do;
//   - a mark's deaths are a set and forgiving only grows, so merging is
//     commutative, idempotent, and the same whatever order peers are heard in;
//   - at most one daemon runs a suspect once the marks have spread.
type Keeper struct {
	options Options
	marks   map[Fingerprint]*Mark
}

// New returns an empty keeper.
func New(o Options) *Keeper {
	if o.Expiry <= 0 {
		o.Expiry = 10 * time.Minute
	}
	if o.MaxMarks <= 0 {
		o.MaxMarks = 4096
	}
	if o.TryFor <= 0 {
		o.TryFor = 5 * time.Second
	}
	return &Keeper{options: o, marks: map[Fingerprint]*Mark{}}
}

// Admit judges a request before it is dispatched. It changes nothing.
func (k *Keeper) Admit(fp Fingerprint, now time.Time) Decision {
	m := k.live(fp, now)
	if m == nil || m.Crashes() == 0 {
		return Decision{Verdict: Clean}
	}
	if m.Crashes() >= convictedAt {
		return Decision{Verdict: Convicted, RetryAfter: m.Expires.Sub(now)}
	}
	if m.Trying != "" && m.Trying != k.options.Self && now.Before(m.TryingUntil) {
		return Decision{Verdict: Busy, RetryAfter: m.TryingUntil.Sub(now)}
	}
	return Decision{Verdict: Suspect}
}

// Died says that an upstream's process ended while the request ran there. It
// reports whether the mark is news that peers should hear at once.
func (k *Keeper) Died(fp Fingerprint, d Death, now time.Time) bool {
	m := k.live(fp, now)
	if m == nil {
		m = k.insert(fp, now)
	}
	if !m.addDeath(d) {
		return false
	}
	m.Expires = now.Add(k.options.Expiry)
	return true
}

// Try takes the suspect for this daemon: it runs alone on the upstream. Call it
// again before TryFor has passed to hold on. False means that Admit doesn't say
// Suspect any more.
func (k *Keeper) Try(fp Fingerprint, on ident.Upstream, now time.Time) bool {
	if k.Admit(fp, now).Verdict != Suspect {
		return false
	}
	m := k.marks[fp]
	m.Trying = k.options.Self
	m.TryingOn = on
	m.TryingUntil = now.Add(k.options.TryFor)
	return true
}

// Begin is Try for an attempt that runs from now on: it isn't given up any more for
// that of another daemon.
func (k *Keeper) Begin(fp Fingerprint, on ident.Upstream, now time.Time) bool {
	if !k.Try(fp, on, now) {
		return false
	}
	k.marks[fp].begun = true
	return true
}

// Tried ends Try. A success clears the request: what it was seen beside did
// the killing.
func (k *Keeper) Tried(fp Fingerprint, succeeded bool, now time.Time) {
	m := k.live(fp, now)
	if m == nil {
		return
	}
	if m.Trying == k.options.Self {
		m.release()
	}
	if succeeded && m.Crashes() < convictedAt {
		m.forgive()
	}
}

// Proven is how many tokens past a death show that the request doesn't kill
// there: more than what an engine may have generated and not yet sent.
const Proven = 16

// Passed ends Try and forgives the death if the request, which runs alone and has
// this many tokens, got past the point where it died. That holds once, and only
// where this daemon knows the point: whoever had a death forgiven runs alone to
// its end, so that a request that kills at no fixed point is convicted as well.
func (k *Keeper) Passed(fp Fingerprint, tokens int, now time.Time) bool {
	m := k.live(fp, now)
	if m == nil || m.Trying != k.options.Self || m.Crashes() >= convictedAt {
		return false
	}
	for _, d := range m.Deaths {
		if d.Forgiven || !d.Seen || tokens < d.Tokens+Proven {
			return false
		}
	}
	m.release()
	m.forgive()
	return true
}

// Unrelated says that a death beside other work, d, tells nothing new of a
// suspect: another copy of it died at quite another point. A request that kills
// does so at one point; two engines that end by chance, with a straggler and its
// copy on them, must not convict it.
func (k *Keeper) Unrelated(fp Fingerprint, d Death, now time.Time) bool {
	m := k.live(fp, now)
	if m == nil || m.Crashes() == 0 {
		return false
	}
	for _, o := range m.Deaths {
		if o.Forgiven {
			continue
		}
		if !o.Seen || o.same(d) || max(o.Tokens-d.Tokens, d.Tokens-o.Tokens) < Proven {
			return false
		}
	}
	return true
}

// Merge takes a peer's marks in and returns the requests of which something is new.
func (k *Keeper) Merge(from ident.VM, marks []Mark, now time.Time) []Fingerprint {
	var changed []Fingerprint
	for _, theirs := range marks {
		if now.Before(theirs.Expires) && k.mergeOne(from, theirs, now) {
			changed = append(changed, theirs.Fingerprint)
		}
	}
	return changed
}

func (k *Keeper) mergeOne(from ident.VM, theirs Mark, now time.Time) bool {
	m := k.live(theirs.Fingerprint, now)
	if m == nil {
		m = k.insert(theirs.Fingerprint, now)
	}
	changed := false
	for _, d := range theirs.Deaths {
		d.Seen = false
		changed = m.addDeath(d) || changed
	}
	// A peer's clock may be ahead: no mark outlives our own expiry.
	if limit := now.Add(k.options.Expiry); theirs.Expires.After(limit) {
		theirs.Expires = limit
	}
	if theirs.Expires.After(m.Expires) {
		m.Expires = theirs.Expires
	}
	return m.mergeTrying(from, theirs, k.options.Self, now.Add(k.options.TryFor)) || changed
}

// Forget ends the attempts of a daemon that is gone.
func (k *Keeper) Forget(vm ident.VM) {
	for _, m := range k.marks {
		if m.Trying == vm {
			m.release()
		}
	}
}

// Taken returns the upstreams on which other daemons run suspects alone, sorted.
func (k *Keeper) Taken(now time.Time) []ident.Upstream {
	var taken []ident.Upstream
	for _, m := range k.marks {
		if m.Trying != "" && m.Trying != k.options.Self && now.Before(m.TryingUntil) {
			taken = append(taken, m.TryingOn)
		}
	}
	slices.Sort(taken)
	return slices.Compact(taken)
}

// Mark returns a copy of a request's live mark; none has no deaths.
func (k *Keeper) Mark(fp Fingerprint, now time.Time) Mark {
	m := k.live(fp, now)
	if m == nil {
		return Mark{Fingerprint: fp}
	}
	c := *m
	c.Deaths = slices.Clone(m.Deaths)
	return c
}

// Rival returns the lowest-named other daemon that tries a suspect on an upstream, ""
// if none does.
func (k *Keeper) Rival(on ident.Upstream, now time.Time) ident.VM {
	var lowest ident.VM
	for _, m := range k.marks {
		if m.TryingOn != on || m.Trying == k.options.Self || !now.Before(m.TryingUntil) {
			continue
		}
		if lowest == "" || m.Trying < lowest {
			lowest = m.Trying
		}
	}
	return lowest
}

// Marks returns copies of the live marks, by fingerprint, for peers.
func (k *Keeper) Marks(now time.Time) []Mark {
	out := make([]Mark, 0, len(k.marks))
	for _, m := range k.marks {
		if !now.Before(m.Expires) {
			continue
		}
		c := *m
		c.Deaths = slices.Clone(m.Deaths)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Mark) int { return compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Tick drops expired marks.
func (k *Keeper) Tick(now time.Time) {
	for fp, m := range k.marks {
		if !now.Before(m.Expires) {
			delete(k.marks, fp)
		}
	}
}

// live returns the mark unless it expired.
func (k *Keeper) live(fp Fingerprint, now time.Time) *Mark {
	m := k.marks[fp]
	if m == nil || !now.Before(m.Expires) {
		return nil
	}
	return m
}

func (k *Keeper) insert(fp Fingerprint, now time.Time) *Mark {
	if _, replaced := k.marks[fp]; !replaced && len(k.marks) >= k.options.MaxMarks {
		k.evict()
	}
	m := &Mark{Fingerprint: fp, Expires: now.Add(k.options.Expiry)}
	k.marks[fp] = m
	return m
}

// evict drops the mark that matters least: fewest crashes, then first to
// expire, then lowest fingerprint, so that map order never shows.
func (k *Keeper) evict() {
	var victim *Mark
	for _, m := range k.marks {
		if victim == nil || lessWorth(m, victim) {
			victim = m
		}
	}
	if victim != nil {
		delete(k.marks, victim.Fingerprint)
	}
}

func lessWorth(a, b *Mark) bool {
	if a.Crashes() != b.Crashes() {
		return a.Crashes() < b.Crashes()
	}
	if !a.Expires.Equal(b.Expires) {
		return a.Expires.Before(b.Expires)
	}
	return a.Fingerprint < b.Fingerprint
}
