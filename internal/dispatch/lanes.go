package dispatch

import (
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// lanePart is the part of a group's live upstreams that may run suspects at
// once, each alone on its own. A crash with many requests in flight makes as many
// suspects; one lane would keep the innocent among them waiting for each other.
// It costs no more upstreams: a request runs on one lane at a time.
const lanePart = 3

// laneTable holds which suspects run where, under the shard's lock.
type laneTable struct {
	held    map[ident.Upstream]poison.Fingerprint // suspects alone there
	spare   map[ident.Upstream]bool               // clear of other work, for the next suspect
	passed  map[ident.Upstream]int                // requests in flight past probation
	running map[poison.Fingerprint]int            // all attempts in flight, in lanes or not
	seekers int                                   // suspects that wait for a lane
	wake    chan struct{}                         // closed when a lane or an upstream gets free
	waiters int
}

func newLaneTable() laneTable {
	return laneTable{
		held:    map[ident.Upstream]poison.Fingerprint{},
		spare:   map[ident.Upstream]bool{},
		passed:  map[ident.Upstream]int{},
		running: map[poison.Fingerprint]int{},
		wake:    make(chan struct{}),
	}
}

// changed wakes those who wait for a lane.
func (t *laneTable) changed() {
	if t.waiters == 0 {
		return
	}
	close(t.wake)
	t.wake = make(chan struct{})
}

// runs counts an attempt of a fingerprint; it is known only to poison, so 0
// isn't counted.
func (t *laneTable) runs(fp poison.Fingerprint, delta int) {
	if fp == 0 {
		return
	}
	t.running[fp] += delta
	if t.running[fp] <= 0 {
		delete(t.running, fp)
	}
}

// ended takes an attempt off the books that got past probation.
func (t *laneTable) ended(sl *slot) {
	if !sl.passed {
		return
	}
	name := sl.m.target.Name
	t.passed[name]--
	if t.passed[name] == 0 {
		delete(t.passed, name)
	}
}
