package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// peakEpochs is the number of epochs that ReportTTL is divided into. The peak of the
// requests in flight is kept for each of the last peakEpochs epochs.
const peakEpochs = 8

// reportState derives the unattributed load of an upstream from its load reports.
// The known load is the number of requests that this daemon and the peers it hears
// from have in flight there.
//
// The known load misses requests of daemons that this one does not hear from. A load
// report includes them but is delayed: it still counts requests that have ended since
// and misses those sent since. Therefore only the excess of the report over the peak
// of the known load since the report was made is added, as unattributed load. This
// never counts a request twice: a known request that the report includes was in
// flight when the report was made, so it is part of the peak.
type reportState struct {
	unattributed float64 // unattributed load of the newest report, in requests
	reportedAt   time.Time
	newestEpoch  int64               // newest epoch recorded in peaks
	peaks        [peakEpochs]float64 // peak of the known load by epoch, at epoch%peakEpochs
	lastKnown    float64             // known load when it was last recorded
}

// epochOf returns the number of the epoch, an interval of ttl/peakEpochs, that now
// falls in.
func epochOf(now time.Time, ttl time.Duration) int64 {
	return now.UnixNano() / max(1, int64(ttl)/peakEpochs)
}

// recordKnown includes the current known load in the peak of the current epoch.
func (r *reportState) recordKnown(known float64, now time.Time, ttl time.Duration) {
	if now.IsZero() {
		r.peaks[0] = max(r.peaks[0], known)
		r.lastKnown = known
		return
	}
	r.advanceTo(epochOf(now, ttl))
	slot := r.newestEpoch % peakEpochs
	r.peaks[slot] = max(r.peaks[slot], known)
	r.lastKnown = known
}

// advanceTo starts all epochs up to the given one. The peak of each starts at the last
// known load.
func (r *reportState) advanceTo(epoch int64) {
	for opened := 0; r.newestEpoch < epoch && opened < peakEpochs; opened++ {
		if epoch-r.newestEpoch > peakEpochs {
			r.newestEpoch = epoch - peakEpochs
		}
		r.newestEpoch++
		r.peaks[r.newestEpoch%peakEpochs] = r.lastKnown
	}
}

// peakSince returns the peak of the known load since a time. It also covers up to two
// epochs before that time: changes of the known load carry no time and are recorded at
// the latest time passed in, so one may be recorded an epoch too early.
func (r *reportState) peakSince(since time.Time, ttl time.Duration) float64 {
	peak := r.lastKnown
	for epoch := max(epochOf(since, ttl)-1, r.newestEpoch-peakEpochs+1, 0); epoch <= r.newestEpoch; epoch++ {
		peak = max(peak, r.peaks[epoch%peakEpochs])
	}
	return peak
}

// RecordLoadReport records an upstream's report of its running and queued requests, made at
// the given time. Reports older than the last one are ignored.
func (t *Table) RecordLoadReport(name ident.Upstream, running, queued int, at time.Time) {
	i, ok := t.indexByName[name]
	if !ok || at.Before(t.reports[i].reportedAt) {
		return
	}
	t.AdvanceClock(at)
	u, r := &t.members[i], &t.reports[i]
	u.ReportedRunning, u.ReportedQueued, u.ReportedAt = running, queued, at
	r.recordKnown(float64(u.OwnInFlight+u.PeersInFlight), t.latestTime, t.options.ReportTTL)
	r.reportedAt = at
	r.unattributed = max(0, float64(running+queued)-r.peakSince(at, t.options.ReportTTL))
	if t.reportExpired(r, t.latestTime) {
		r.unattributed = 0
	}
	t.refresh(i)
}

// Load returns the estimated number of requests at an upstream, running and queued,
// or 0 if the upstream is unknown.
func (t *Table) Load(name ident.Upstream, now time.Time) float64 {
	t.AdvanceClock(now)
	i, ok := t.indexByName[name]
	if !ok {
		return 0
	}
	t.expireReport(i)
	return t.pickStates[i].load
}

// AdvanceClock sets the current time; earlier times than the latest are ignored. Methods
// that take a time also advance the clock. Call AdvanceClock before changing the
// requests in flight if none of these was called recently.
func (t *Table) AdvanceClock(now time.Time) {
	if now.After(t.latestTime) {
		t.latestTime, t.latestNanos = now, now.UnixNano()
	}
}

func (t *Table) reportExpired(r *reportState, now time.Time) bool {
	return now.Sub(r.reportedAt) > t.options.ReportTTL
}

// currentLoad returns a member's load in requests. Unattributed load of an expired
// report is left out.
func (t *Table) currentLoad(p *pickState) float64 {
	if p.unattributed != 0 && t.latestNanos > p.unattributedUntil {
		return p.load - p.unattributed
	}
	return p.load
}

// expireReport removes the unattributed load of a member from the sums once its report
// is older than ReportTTL.
func (t *Table) expireReport(i int) {
	r := &t.reports[i]
	if r.unattributed == 0 || !t.reportExpired(r, t.latestTime) {
		return
	}
	r.unattributed = 0
	t.refresh(i)
}

// expireNextReport checks the report of one member. Pick calls it each time, so that
// expired reports leave the mean load without a pass over all members.
func (t *Table) expireNextReport() {
	if len(t.members) == 0 {
		return
	}
	t.expiryCursor = (t.expiryCursor + 1) % len(t.members)
	t.expireReport(t.expiryCursor)
}
