// Package poison keeps requests that kill upstreams away from the rest. A
// request in flight when an upstream died is a suspect and runs alone from then
// on; a second death makes its answer final, a success alone clears it.
package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Fingerprint names a request by what it asks, so that its resend through
// another daemon has the same one.
type Fingerprint uint64

// FingerprintOf hashes team, model or route, and body. Lengths are part of the
// hash, so parts can't run into each other.
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

// String is how lines and operators name the request.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

func compare(a, b Fingerprint) int { return cmp.Compare(a, b) }

// Death is the end of one process of an upstream. Two daemons that saw the
// same process end name the same death.
type Death struct {
	Upstream ident.Upstream `json:"upstream"`
	BootID   string         `json:"boot_id"`
	// Forgiven: the request ran alone and succeeded after this death, or got past
	// the point of it.
	Forgiven bool `json:"forgiven,omitempty"`
	// Seen: this daemon's own request died there. Peers aren't told.
	Seen bool `json:"-"`
	// Tokens is how far the answer was, of the copy that was furthest.
	Tokens int `json:"tokens,omitempty"`
}

// same says whether two name the end of one process.
func (d Death) same(o Death) bool { return compareDeaths(d, o) == 0 }

// see takes over where the request was, and reports whether that is news. Of copies on
// one process, here and at other daemons, the furthest one counts: it is the one that
// may have killed, and one behind it gets past its own point without showing anything.
func (d *Death) see(o Death) bool {
	further := o.Tokens > d.Tokens
	d.Seen = d.Seen || o.Seen
	d.Tokens = max(d.Tokens, o.Tokens)
	return further
}

// Mark is what daemons tell each other about one suspect request.
type Mark struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Deaths      []Death     `json:"deaths"` // sorted by upstream, boot ID
	Expires     time.Time   `json:"expires"`
	// Trying is the daemon that runs the suspect alone, "" if none, and TryingOn
	// the upstream it keeps free for that. Both end at TryingUntil, so that a
	// dead daemon's attempt ends.
	Trying      ident.VM       `json:"trying,omitempty"`
	TryingOn    ident.Upstream `json:"trying_on,omitempty"`
	TryingUntil time.Time      `json:"trying_until,omitzero"`
	// begun: this daemon's own attempt runs; before, it only waits for its upstream.
	begun bool
}

// Crashes counts the deaths that aren't forgiven.
func (m *Mark) Crashes() int {
	n := 0
	for _, d := range m.Deaths {
		if !d.Forgiven {
			n++
		}
	}
	return n
}

// Has says whether the mark holds the end of a process.
func (m *Mark) Has(d Death) bool {
	_, found := slices.BinarySearchFunc(m.Deaths, d, compareDeaths)
	return found
}

// addDeath adds to the set and reports whether the mark changed.
func (m *Mark) addDeath(d Death) bool {
	i, found := slices.BinarySearchFunc(m.Deaths, d, compareDeaths)
	if found {
		news := d.Forgiven && !m.Deaths[i].Forgiven
		m.Deaths[i].Forgiven = m.Deaths[i].Forgiven || d.Forgiven
		return m.Deaths[i].see(d) || news
	}
	m.Deaths = slices.Insert(m.Deaths, i, d)
	if len(m.Deaths) > maxDeaths {
		m.dropForgiven()
	}
	return true
}

// dropForgiven makes room: a forgiven death goes first, else the last.
func (m *Mark) dropForgiven() {
	i := slices.IndexFunc(m.Deaths, func(d Death) bool { return d.Forgiven })
	if i < 0 {
		i = len(m.Deaths) - 1
	}
	m.Deaths = slices.Delete(m.Deaths, i, i+1)
}

func compareDeaths(a, b Death) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.BootID, b.BootID))
}

func (m *Mark) forgive() {
	for i := range m.Deaths {
		m.Deaths[i].Forgiven = true
	}
}

func (m *Mark) release() {
	m.Trying, m.TryingOn, m.TryingUntil, m.begun = "", "", time.Time{}, false
}

// mergeTrying takes over who tries the suspect. Only the trying daemon itself
// may end its attempt. Of two the lower name is kept, so that daemons agree: two that
// announce a suspect at one moment would both run it, each at the cost of an upstream.
// An attempt that runs isn't given up; it began when all had heard of it.
func (m *Mark) mergeTrying(from ident.VM, theirs Mark, self ident.VM, limit time.Time) bool {
	if theirs.Trying != from {
		if m.Trying == from {
			m.release()
			return true
		}
		return false // hearsay, or nothing
	}
	if m.Trying == self && m.begun || m.Trying != "" && m.Trying < from {
		return false
	}
	if theirs.TryingUntil.After(limit) {
		theirs.TryingUntil = limit
	}
	changed := m.Trying != from || m.TryingOn != theirs.TryingOn
	m.Trying, m.TryingOn, m.TryingUntil, m.begun = from, theirs.TryingOn, theirs.TryingUntil, false
	return changed
}
