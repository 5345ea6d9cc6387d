package poison

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxDeathsPerMark bounds the deaths that one mark holds.
const maxDeathsPerMark = 8

const (
	// deathsToConvict is the number of counted deaths at which a request is rejected.
	deathsToConvict = 2
	// durableRetryPause is the time from a death to the next trial of a request that is never rejected for
	// good. Such a request costs at most one upstream in that time.
	durableRetryPause = 4 * time.Second
)

// Options configure the marks of a daemon.
type Options struct {
	Self     ident.VM      // this daemon
	MarkTTL  time.Duration // lifetime of a mark after its last death; default 10 min
	MaxMarks int           // default 4096; beyond it the least important mark is evicted
	TrialTTL time.Duration // lifetime of a claim to a trial that isn't renewed; default 5 s
}

// Verdict says whether and how a request may run.
type Verdict int

// The verdicts.
const (
	Clean     Verdict = iota // like any other request
	Suspect                  // only in a trial
	Busy                     // not now: another daemon has its trial
	Convicted                // not before its mark expires
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"clean", "suspect", "busy", "convicted"}[v]
}

// Decision is a verdict and, for Busy and Convicted, the time until it may change.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Tracker holds the marks that one daemon knows. It does no I/O and reads no clock; it is
// not safe for concurrent use.
//
// Invariants:
//   - a request with two deaths that count isn't admitted until its mark expires, unless it is
//     durable: then it runs in a trial again after each durableRetryPause. So a
//     request that crashes its upstream at its start, at some token or at its end costs
//     at most two upstreams. Copies that other daemons have in flight before they hear
//     of the first death run on the same upstream (see [Placements]), or are stopped when
//     they hear of it;
//   - the deaths of a mark are a set, and a death that stopped counting never counts
//     again, so merging is commutative and idempotent, and its result doesn't depend on
//     the order in which peers are heard;
//   - once the marks have spread, at most one daemon runs a suspect.
type Tracker struct {
	options Options
	marks   map[Fingerprint]*Mark
}

// New returns an empty keeper.
func New(o Options) *Tracker {
	if o.MarkTTL <= 0 {
		o.MarkTTL = 10 * time.Minute
	}
	if o.MaxMarks <= 0 {
		o.MaxMarks = 4096
	}
	if o.TrialTTL <= 0 {
		o.TrialTTL = 5 * time.Second
	}
	return &Tracker{options: o, marks: map[Fingerprint]*Mark{}}
}

// Admit returns whether and how a request may run now. It changes nothing.
func (k *Tracker) Admit(fp Fingerprint, now time.Time) Decision {
	m := k.unexpiredMark(fp, now)
	if m == nil || m.CountedDeaths() == 0 {
		return Decision{Verdict: Clean}
	}
	if retryAt := k.retryAt(m); now.Before(retryAt) {
		return Decision{Verdict: Convicted, RetryAfter: retryAt.Sub(now)}
	}
	if m.TrialVM != "" && m.TrialVM != k.options.Self && now.Before(m.TrialExpires) {
		return Decision{Verdict: Busy, RetryAfter: m.TrialExpires.Sub(now)}
	}
	return Decision{Verdict: Suspect}
}

// retryAt returns until when a request is rejected, the zero time if it isn't.
func (k *Tracker) retryAt(m *Mark) time.Time {
	switch {
	case m.CountedDeaths() < deathsToConvict:
		return time.Time{}
	case m.durable:
		return m.Expires.Add(durableRetryPause - k.options.MarkTTL)
	}
	return m.Expires
}

// isConvicted reports whether no trial can clear the request any more.
func (m *Mark) isConvicted() bool { return m.CountedDeaths() >= deathsToConvict && !m.durable }

// SetDurable notes that a suspect is a sample of a training step. Its step has been accepted and is
// kept, so no number of deaths rejects it for good.
func (k *Tracker) SetDurable(fp Fingerprint, now time.Time) {
	if m := k.unexpiredMark(fp, now); m != nil {
		m.durable = true
	}
}

// Died records that an upstream's process ended while the request ran on it. It reports
// whether that changed the mark, so that peers have to be told at once.
func (k *Tracker) Died(fp Fingerprint, d Death, now time.Time) bool {
	m := k.unexpiredMark(fp, now)
	if m == nil {
		m = k.insertMark(fp, now)
	}
	if !m.addDeath(d) {
		return false
	}
	m.Expires = now.Add(k.options.MarkTTL)
	return true
}

// ClaimTrial claims the suspect's trial, on an upstream, for this daemon. To keep the claim, the
// caller repeats ClaimTrial before TrialTTL has passed. ClaimTrial reports false, and claims nothing,
// if the request is no suspect any more or another daemon has its trial.
func (k *Tracker) ClaimTrial(fp Fingerprint, upstream ident.Upstream, now time.Time) bool {
	if k.Admit(fp, now).Verdict != Suspect {
		return false
	}
	m := k.marks[fp]
	m.TrialVM = k.options.Self
	m.TrialUpstream = upstream
	m.TrialExpires = now.Add(k.options.TrialTTL)
	return true
}

// StartTrial is [Tracker.ClaimTrial] for a trial that runs from now on: it is no longer given up for
// the claim of another daemon.
func (k *Tracker) StartTrial(fp Fingerprint, upstream ident.Upstream, now time.Time) bool {
	if !k.ClaimTrial(fp, upstream, now) {
		return false
	}
	k.marks[fp].trialStarted = true
	return true
}

// EndTrial ends the trial that this daemon has claimed. A success clears the request: its
// deaths must have been caused by another request that ran beside it.
func (k *Tracker) EndTrial(fp Fingerprint, succeeded bool, now time.Time) {
	m := k.unexpiredMark(fp, now)
	if m == nil {
		return
	}
	if m.TrialVM == k.options.Self {
		m.endTrial()
	}
	if succeeded && !m.isConvicted() {
		m.clearDeaths()
	}
}

// progressMargin is how many tokens past the position of a death a request must get to
// show that it didn't cause the death. It is more than an engine may have generated and
// not yet sent.
const progressMargin = 16

// Progressed takes the number of tokens that a request in this daemon's trial has. If they
// are past the positions of all its deaths, Progressed clears the request, ends the trial and
// reports true. It does so once for a request, and only if this daemon knows the position
// of every death: a request that was cleared before runs its trial to the end, so that
// one that crashes upstreams at no fixed position is rejected as well.
func (k *Tracker) Progressed(fp Fingerprint, tokens int, now time.Time) bool {
	m := k.unexpiredMark(fp, now)
	if m == nil || m.TrialVM != k.options.Self || m.isConvicted() {
		return false
	}
	for _, d := range m.Deaths {
		if d.Cleared || !d.SeenLocally || tokens < d.Tokens+progressMargin {
			return false
		}
	}
	m.endTrial()
	m.clearDeaths()
	return true
}

// IsUnrelatedDeath reports whether d, a death of a suspect outside a trial, is no evidence
// against it, because its other deaths have quite different positions. A request that
// crashes upstreams does so at one position. If two engines end by chance, one with a slow
// request and one with the hedged copy of it, the request must not be rejected.
func (k *Tracker) IsUnrelatedDeath(fp Fingerprint, d Death, now time.Time) bool {
	m := k.unexpiredMark(fp, now)
	if m == nil || m.CountedDeaths() == 0 {
		return false
	}
	for _, known := range m.Deaths {
		if known.Cleared {
			continue
		}
		if !known.SeenLocally || known.sameProcess(d) || max(known.Tokens-d.Tokens, d.Tokens-known.Tokens) < progressMargin {
			return false
		}
	}
	return true
}

// Merge adopts what is new in a peer's marks and returns the requests whose marks changed.
func (k *Tracker) Merge(from ident.VM, marks []Mark, now time.Time) []Fingerprint {
	var changed []Fingerprint
	for _, received := range marks {
		if now.Before(received.Expires) && k.mergeMark(from, received, now) {
			changed = append(changed, received.Fingerprint)
		}
	}
	return changed
}

func (k *Tracker) mergeMark(from ident.VM, received Mark, now time.Time) bool {
	m := k.unexpiredMark(received.Fingerprint, now)
	if m == nil {
		m = k.insertMark(received.Fingerprint, now)
	}
	changed := false
	for _, d := range received.Deaths {
		d.SeenLocally = false
		changed = m.addDeath(d) || changed
	}
	// The peer's clock may be ahead: no mark lives longer than a new one of this daemon.
	if maxExpires := now.Add(k.options.MarkTTL); received.Expires.After(maxExpires) {
		received.Expires = maxExpires
	}
	if received.Expires.After(m.Expires) {
		m.Expires = received.Expires
	}
	return m.mergeTrial(from, received, k.options.Self, now.Add(k.options.TrialTTL)) || changed
}

// EndTrialsOf ends the trials of a daemon that is gone.
func (k *Tracker) EndTrialsOf(vm ident.VM) {
	for _, m := range k.marks {
		if m.TrialVM == vm {
			m.endTrial()
		}
	}
}

// PeerTrialUpstreams returns the upstreams of the trials that other daemons have claimed, sorted and
// each once.
func (k *Tracker) PeerTrialUpstreams(now time.Time) []ident.Upstream {
	var taken []ident.Upstream
	for _, m := range k.marks {
		if m.TrialVM != "" && m.TrialVM != k.options.Self && now.Before(m.TrialExpires) {
			taken = append(taken, m.TrialUpstream)
		}
	}
	slices.Sort(taken)
	return slices.Compact(taken)
}

// Mark returns a copy of a request's mark. The copy has no deaths if there is no mark or
// it has expired.
func (k *Tracker) Mark(fp Fingerprint, now time.Time) Mark {
	m := k.unexpiredMark(fp, now)
	if m == nil {
		return Mark{Fingerprint: fp}
	}
	c := *m
	c.Deaths = slices.Clone(m.Deaths)
	return c
}

// PeerTrialVM returns the other daemon that has claimed a trial on an upstream, the one with
// the lowest name if several have, "" if none has.
func (k *Tracker) PeerTrialVM(upstream ident.Upstream, now time.Time) ident.VM {
	var lowest ident.VM
	for _, m := range k.marks {
		if m.TrialUpstream != upstream || m.TrialVM == k.options.Self || !now.Before(m.TrialExpires) {
			continue
		}
		if lowest == "" || m.TrialVM < lowest {
			lowest = m.TrialVM
		}
	}
	return lowest
}

// Marks returns copies of the marks that haven't expired, sorted by fingerprint, for peers.
func (k *Tracker) Marks(now time.Time) []Mark {
	out := make([]Mark, 0, len(k.marks))
	for _, m := range k.marks {
		if !now.Before(m.Expires) {
			continue
		}
		c := *m
		c.Deaths = slices.Clone(m.Deaths)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Mark) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return out
}

// DropExpired drops expired marks.
func (k *Tracker) DropExpired(now time.Time) {
	for fp, m := range k.marks {
		if !now.Before(m.Expires) {
			delete(k.marks, fp)
		}
	}
}

// unexpiredMark returns a request's mark, nil if there is none or it has expired.
func (k *Tracker) unexpiredMark(fp Fingerprint, now time.Time) *Mark {
	m := k.marks[fp]
	if m == nil || !now.Before(m.Expires) {
		return nil
	}
	return m
}

// insertMark adds an empty mark, in place of one that has expired or of another request's
// if there is no room.
func (k *Tracker) insertMark(fp Fingerprint, now time.Time) *Mark {
	if _, replaced := k.marks[fp]; !replaced && len(k.marks) >= k.options.MaxMarks {
		k.evictMark()
	}
	m := &Mark{Fingerprint: fp, Expires: now.Add(k.options.MarkTTL)}
	k.marks[fp] = m
	return m
}

// evictMark drops the least important mark: the one with the fewest counted deaths, then
// the first to expire, then the lowest fingerprint. The order is total, so that the
// result doesn't depend on the order of the map.
func (k *Tracker) evictMark() {
	var victim *Mark
	for _, m := range k.marks {
		if victim == nil || evictsBefore(m, victim) {
			victim = m
		}
	}
	if victim != nil {
		delete(k.marks, victim.Fingerprint)
	}
}

// evictsBefore reports whether a is evicted before b.
func evictsBefore(a, b *Mark) bool {
	if a.CountedDeaths() != b.CountedDeaths() {
		return a.CountedDeaths() < b.CountedDeaths()
	}
	if !a.Expires.Equal(b.Expires) {
		return a.Expires.Before(b.Expires)
	}
	return a.Fingerprint < b.Fingerprint
}
