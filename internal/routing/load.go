package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// epochs is how many slices of ReportLife a peak is remembered in.
const epochs = 8

// reportState corrects what we know to be in flight by an upstream's reports.
//
// Own and peers' counts miss work of daemons that we don't hear from. A report
// has it, but is late: it still counts requests that ended since, and lacks
// those sent since. So only its surplus counts, over the most that we knew to be
// in flight at any time since it was made. That never counts a request twice: one
// of ours that the report saw was in flight after it was made, and is in the peak.
type reportState struct {
	external float64 // surplus of the newest report, in requests
	at       time.Time
	epoch    int64           // newest epoch noted
	peaks    [epochs]float64 // most own + peers by epoch, newest at epoch%epochs
	last     float64         // own + peers at the last note
}

func epochOf(now time.Time, life time.Duration) int64 {
	return now.UnixNano() / max(1, int64(life)/epochs)
}

// note records own + peers for the peaks.
func (r *reportState) note(known float64, now time.Time, life time.Duration) {
	if now.IsZero() {
		r.peaks[0] = max(r.peaks[0], known)
		r.last = known
		return
	}
	r.roll(epochOf(now, life))
	at := r.epoch % epochs
	r.peaks[at] = max(r.peaks[at], known)
	r.last = known
}

// roll opens the epochs up to now; what was in flight carries over into each.
func (r *reportState) roll(epoch int64) {
	for steps := 0; r.epoch < epoch && steps < epochs; steps++ {
		if epoch-r.epoch > epochs {
			r.epoch = epoch - epochs
		}
		r.epoch++
		r.peaks[r.epoch%epochs] = r.last
	}
}

// peakSince returns the most that was known in flight since a time, and up to two
// epochs before: changes of own and peers' counts carry no time and are booked at
// the newest one seen, so they may stand an epoch too early.
func (r *reportState) peakSince(at time.Time, life time.Duration) float64 {
	peak := r.last
	for e := max(epochOf(at, life)-1, r.epoch-epochs+1, 0); e <= r.epoch; e++ {
		peak = max(peak, r.peaks[e%epochs])
	}
	return peak
}

// Report takes an upstream's word on its load, made at the given time. One
// older than the last is ignored.
func (t *Table) Report(name ident.Upstream, running, queued int, at time.Time) {
	i, ok := t.index[name]
	if !ok || at.Before(t.reports[i].at) {
		return
	}
	t.See(at)
	u, r := &t.members[i], &t.reports[i]
	u.ReportedRunning, u.ReportedQueued, u.ReportedAt = running, queued, at
	r.note(float64(u.Own+u.Peers), t.latest, t.options.ReportLife)
	r.at = at
	r.external = max(0, float64(running+queued)-r.peakSince(at, t.options.ReportLife))
	if t.expired(r, t.latest) {
		r.external = 0
	}
	t.refresh(i)
}

// Load returns the estimated requests at an upstream, running and queued; 0 for
// an unknown one.
func (t *Table) Load(name ident.Upstream, now time.Time) float64 {
	t.See(now)
	i, ok := t.index[name]
	if !ok {
		return 0
	}
	t.expire(i)
	return t.hot[i].load
}

// See tells the time; it never goes back. Pick, Load and Report do so as well:
// call it before AddOwn or SetPeers if none of them was called for long.
func (t *Table) See(now time.Time) {
	if now.After(t.latest) {
		t.latest, t.nanos = now, now.UnixNano()
	}
}

func (t *Table) expired(r *reportState, now time.Time) bool {
	return now.Sub(r.at) > t.options.ReportLife
}

// loadOf is a member's load without a surplus that outlived ReportLife.
func (t *Table) loadOf(h *hot) float64 {
	if h.external != 0 && t.nanos > h.until {
		return h.load - h.external
	}
	return h.load
}

// expire drops a report's surplus from the sums once it has outlived ReportLife.
func (t *Table) expire(i int) {
	r := &t.reports[i]
	if r.external == 0 || !t.expired(r, t.latest) {
		return
	}
	r.external = 0
	t.refresh(i)
}

// expireNext checks one member a pick, so that the mean forgets old reports too
// without a pass over all members.
func (t *Table) expireNext() {
	if len(t.members) == 0 {
		return
	}
	t.sweep = (t.sweep + 1) % len(t.members)
	t.expire(t.sweep)
}
