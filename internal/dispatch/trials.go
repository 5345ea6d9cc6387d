package dispatch

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// poisonDecision returns the verdict on a request.
func (d *Dispatcher) poisonDecision(fp poison.Fingerprint) poison.Decision {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.suspectMarks.Admit(fp, d.options.Now())
}

// setDurable notes that a request is a sample of a training step or scores one.
func (d *Dispatcher) setDurable(fp poison.Fingerprint) {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	d.suspectMarks.SetDurable(fp, d.options.Now())
}

// logSuspect logs what this daemon knows of a suspect, with the fields that addFields adds.
// The number of lines is limited by the requests in flight on the upstreams that die.
func (d *Dispatcher) logSuspect(fp poison.Fingerprint, message string, addFields func(*zerolog.Event)) {
	now := d.options.Now()
	d.poisonMu.Lock()
	verdict := d.suspectMarks.Admit(fp, now).Verdict
	mark := d.suspectMarks.Mark(fp, now)
	d.poisonMu.Unlock()
	line := d.options.Log.Info().Stringer("fingerprint", fp).Stringer("verdict", verdict).Int("crashes", mark.CountedDeaths())
	if mark.TrialVM != "" {
		line = line.Str("trying", string(mark.TrialVM)).Str("trying_on", string(mark.TrialUpstream))
	}
	line.Func(addFields).Msg(message)
}

// claimTrial announces that this daemon runs the suspect's trial on the upstream. It returns
// false if the request is no longer a suspect that this daemon may try.
func (d *Dispatcher) claimTrial(fp poison.Fingerprint, upstreamName ident.Upstream, now time.Time) bool {
	d.poisonMu.Lock()
	ok := d.suspectMarks.ClaimTrial(fp, upstreamName, now)
	d.poisonMu.Unlock()
	if ok {
		d.signalUrgentDigest()
	}
	return ok
}

// startTrial is claimTrial for an attempt that starts now: it is no longer given up in
// favour of another daemon's.
func (d *Dispatcher) startTrial(fp poison.Fingerprint, upstreamName ident.Upstream, now time.Time) bool {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.suspectMarks.StartTrial(fp, upstreamName, now)
}

// renewTrial extends a trial. No urgent digest is needed, since the regular ones tell of it.
func (d *Dispatcher) renewTrial(fp poison.Fingerprint, upstreamName ident.Upstream, now time.Time) {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	d.suspectMarks.ClaimTrial(fp, upstreamName, now)
}

// finishTrial ends this daemon's trial. A success clears the request.
func (d *Dispatcher) finishTrial(fp poison.Fingerprint, succeeded bool) {
	d.poisonMu.Lock()
	d.suspectMarks.EndTrial(fp, succeeded, d.options.Now())
	d.poisonMu.Unlock()
	d.signalUrgentDigest()
}

// passProbation ends the trial of a suspect that has got past the point where its upstream
// died. It returns false if the suspect hasn't.
func (d *Dispatcher) passProbation(fp poison.Fingerprint, tokens int) bool {
	d.poisonMu.Lock()
	ok := d.suspectMarks.Progressed(fp, tokens, d.options.Now())
	d.poisonMu.Unlock()
	if ok {
		d.signalUrgentDigest()
	}
	return ok
}

// isUnrelatedDeath reports whether a death tells nothing new of the suspect, see
// poison.Tracker.IsUnrelatedDeath.
func (d *Dispatcher) isUnrelatedDeath(fp poison.Fingerprint, death poison.Death) bool {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.suspectMarks.IsUnrelatedDeath(fp, death, d.options.Now())
}

// isTrialHeldBy reports whether the given daemon runs the suspect's trial.
func (d *Dispatcher) isTrialHeldBy(fp poison.Fingerprint, vm ident.VM) bool {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.suspectMarks.Mark(fp, d.options.Now()).TrialVM == vm
}

// competingTrial returns the lowest-named other daemon with a trial on the upstream, "" if
// there is none.
func (d *Dispatcher) competingTrial(upstreamName ident.Upstream) ident.VM {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.suspectMarks.PeerTrialVM(upstreamName, d.options.Now())
}

// peerTrials returns the upstreams on which peers run trials, sorted by name.
func (d *Dispatcher) peerTrials(now time.Time) []ident.Upstream {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.suspectMarks.PeerTrialUpstreams(now)
}

// quarantineForPeers takes other work off the upstreams on which peers run trials, up to the
// part of the group that may be in quarantine.
func (s *shard) quarantineForPeers(peerTrials []ident.Upstream) {
	room := max(1, len(s.used)/quarantineDivisor)
	for _, m := range s.used {
		_, quarantine := slices.BinarySearch(peerTrials, m.target.Name)
		quarantine = quarantine && room > 0 && len(s.used) > 1
		if quarantine {
			room--
		}
		if quarantine != m.quarantinedForPeer {
			m.quarantinedForPeer = quarantine
			s.updateRouting(m)
		}
	}
}

// recordDeath records that an upstream died while it ran the request. If that is news, the
// peers are told at once, and running copies of the request are stopped.
func (d *Dispatcher) recordDeath(fp poison.Fingerprint, death poison.Death) {
	d.poisonMu.Lock()
	changed := d.suspectMarks.Died(fp, death, d.options.Now())
	d.poisonMu.Unlock()
	if changed {
		poisonSuspects.Add(1)
		d.signalUrgentDigest()
		d.stopCopies(fp)
	}
}

// poisonError returns the error for a convicted request, or for a suspect during another
// daemon's trial.
func poisonError(o outcome.Outcome, decision poison.Decision) *Error {
	poisonRefused.Add(1)
	return &Error{Outcome: o, Reason: ReasonPoison, RetryAfter: decision.RetryAfter}
}
