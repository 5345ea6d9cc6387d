package dispatch

import (
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// quarantineDivisor bounds the upstreams in quarantine: a third of the group's live
// upstreams, and at least one. A crash makes suspects of all requests that were in flight;
// with a single quarantine, the harmless ones would wait long for each other. More
// quarantines cost no more upstreams, since a request runs in one at a time.
const quarantineDivisor = 3

// quarantineTable holds a group's quarantines. It is guarded by the shard's lock.
type quarantineTable struct {
	active          map[ident.Upstream]poison.Fingerprint // suspect that owns the upstream
	standby         map[ident.Upstream]bool               // free of other work and kept so for the next suspect
	pastProbation   map[ident.Upstream]int                // attempts in flight that passed their probation there
	attempts        map[poison.Fingerprint]int            // attempts in flight, in quarantine or not
	waitingSuspects int                                   // suspects that wait for a quarantine
	wake            chan struct{}                         // closed when a quarantine or a slot is released
	wakeWaiters     int
}

func newQuarantineTable() quarantineTable {
	return quarantineTable{
		active:        map[ident.Upstream]poison.Fingerprint{},
		standby:       map[ident.Upstream]bool{},
		pastProbation: map[ident.Upstream]int{},
		attempts:      map[poison.Fingerprint]int{},
		wake:          make(chan struct{}),
	}
}

// notifyChanged wakes the goroutines that wait for a quarantine or for an idle upstream.
func (t *quarantineTable) notifyChanged() {
	if t.wakeWaiters == 0 {
		return
	}
	close(t.wake)
	t.wake = make(chan struct{})
}

// countAttempt changes the number of attempts in flight of a fingerprint. 0 stands for a
// request without a fingerprint and isn't counted.
func (t *quarantineTable) countAttempt(fp poison.Fingerprint, delta int) {
	if fp == 0 {
		return
	}
	t.attempts[fp] += delta
	if t.attempts[fp] <= 0 {
		delete(t.attempts, fp)
	}
}

// endAttempt updates the table at the end of an attempt that had passed its probation.
func (t *quarantineTable) endAttempt(sl *slot) {
	if !sl.passedProbation {
		return
	}
	name := sl.member.target.Name
	t.pastProbation[name]--
	if t.pastProbation[name] == 0 {
		delete(t.pastProbation, name)
	}
}
