// Package poison limits the damage of requests that crash the upstreams that run them.
// A request that was in flight on an upstream when its process ended (a death) becomes a
// suspect. A suspect runs only in a trial: alone on an upstream, through one daemon at a
// time. A second death rejects the request until its mark expires; a success in a trial
// clears it.
package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Fingerprint identifies a request by its content, so that a resend of it through
// another daemon has the same fingerprint.
type Fingerprint uint64

// FingerprintOf hashes the parts that identify a request: its team, its model or route,
// and its body. The length of each part is hashed as well, so that the same bytes split
// into other parts give another fingerprint.
func FingerprintOf(parts ...string) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		n := uint64(len(p))
		for shift := 0; shift < 64; shift += 8 {
			_, _ = h.Write([]byte{byte(n >> shift)})
		}
		_, _ = h.WriteString(p)
	}
	return Fingerprint(h.Sum64())
}

// String returns the 16 hexadecimal digits that logs and operators use for the request.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

func compareFingerprints(a, b Fingerprint) int { return cmp.Compare(a, b) }

// Death is the end of one upstream process while it ran the request. Daemons that saw
// the same process end report the same death.
type Death struct {
	Upstream ident.Upstream `json:"upstream"`
	BootID   string         `json:"boot_id"` // of the process that ended
	// Cleared: the death no longer counts against the request, because the request
	// later succeeded in a trial or got past the position of this death.
	Cleared bool `json:"forgiven,omitempty"`
	// SeenLocally: an attempt of this daemon ran on the process. Not sent to peers.
	SeenLocally bool `json:"-"`
	// Tokens is the position of the death: the number of tokens that the answer had. If
	// several copies of the request ran on the process, it is that of the furthest one.
	Tokens int `json:"tokens,omitempty"`
}

// sameProcess reports whether both are the end of the same process.
func (d Death) sameProcess(other Death) bool { return compareDeaths(d, other) == 0 }

// mergeProgress adopts the position of o if it is further, and reports whether it is. Of
// the copies that ran on one process, through this and other daemons, the furthest one
// counts: it is the one that may have crashed the process. A copy that was less far gets
// past its own position in a trial without proving anything.
func (d *Death) mergeProgress(other Death) bool {
	advanced := other.Tokens > d.Tokens
	d.SeenLocally = d.SeenLocally || other.SeenLocally
	d.Tokens = max(d.Tokens, other.Tokens)
	return advanced
}

// Mark is the record of one suspect request, which daemons exchange.
type Mark struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Deaths      []Death     `json:"deaths"` // sorted by upstream, then boot ID
	Expires     time.Time   `json:"expires"`
	// TrialVM is the daemon that has claimed the suspect's trial, "" if none has. Its claim
	// expires unless it is renewed, so that the claim of a dead daemon ends.
	TrialVM       ident.VM       `json:"trying,omitempty"`
	TrialUpstream ident.Upstream `json:"trying_on,omitempty"`   // kept free for the trial
	TrialExpires  time.Time      `json:"trying_until,omitzero"` // when the claim expires
	// trialStarted: the trial is this daemon's own and runs. Before, the daemon waits for
	// the upstream to become idle.
	trialStarted bool
	durable      bool // a sample of a training step of this daemon, see [Tracker.SetDurable]
}

// CountedDeaths returns the number of deaths that count against the request.
func (m *Mark) CountedDeaths() int {
	n := 0
	for _, d := range m.Deaths {
		if !d.Cleared {
			n++
		}
	}
	return n
}

// HasDeath reports whether the mark contains a death of the same process as d.
func (m *Mark) HasDeath(d Death) bool {
	_, found := slices.BinarySearchFunc(m.Deaths, d, compareDeaths)
	return found
}

// addDeath adds a death to the set and reports whether the mark changed.
func (m *Mark) addDeath(d Death) bool {
	i, found := slices.BinarySearchFunc(m.Deaths, d, compareDeaths)
	if found {
		newlyCleared := d.Cleared && !m.Deaths[i].Cleared
		m.Deaths[i].Cleared = m.Deaths[i].Cleared || d.Cleared
		return m.Deaths[i].mergeProgress(d) || newlyCleared
	}
	m.Deaths = slices.Insert(m.Deaths, i, d)
	if len(m.Deaths) > maxDeathsPerMark {
		m.dropOneDeath()
	}
	return true
}

// dropOneDeath drops the first death that no longer counts, or the last death if all of
// them count.
func (m *Mark) dropOneDeath() {
	i := slices.IndexFunc(m.Deaths, func(d Death) bool { return d.Cleared })
	if i < 0 {
		i = len(m.Deaths) - 1
	}
	m.Deaths = slices.Delete(m.Deaths, i, i+1)
}

func compareDeaths(a, b Death) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.BootID, b.BootID))
}

func (m *Mark) clearDeaths() {
	for i := range m.Deaths {
		m.Deaths[i].Cleared = true
	}
}

func (m *Mark) endTrial() {
	m.TrialVM, m.TrialUpstream, m.TrialExpires, m.trialStarted = "", "", time.Time{}, false
}

// mergeTrial adopts the trial that a peer's mark names and reports whether that changed
// the mark. Only the daemon that claimed a trial is believed about its begin and end. If
// two daemons claim the trial at the same time, the one with the lower name keeps it, so
// that all daemons agree; otherwise both would run the suspect, each at the cost of an
// upstream. A trial of this daemon that already runs isn't given up: it started after
// all peers had heard of the claim. No claim is kept beyond maxExpires.
func (m *Mark) mergeTrial(from ident.VM, received Mark, self ident.VM, maxExpires time.Time) bool {
	if received.TrialVM != from {
		if m.TrialVM == from {
			m.endTrial()
			return true
		}
		return false // the claim of a third daemon, or none
	}
	if m.TrialVM == self && m.trialStarted || m.TrialVM != "" && m.TrialVM < from {
		return false
	}
	if received.TrialExpires.After(maxExpires) {
		received.TrialExpires = maxExpires
	}
	changed := m.TrialVM != from || m.TrialUpstream != received.TrialUpstream
	m.TrialVM, m.TrialUpstream, m.TrialExpires, m.trialStarted = from, received.TrialUpstream, received.TrialExpires, false
	return changed
}
