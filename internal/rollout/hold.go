package rollout

import (
	"fmt"
	"hash/fnv"
	"time"
)

// hold keeps a step from asking for what is sure to be refused. When all engines
// serve too old a version, say, each of a thousand attempts is refused at once,
// and each slot's own backoff would have the step resume seconds after the engines
// switched. So the first refusal holds the whole step: after a short wait one
// attempt goes ahead as a probe, and the rest follows, all at once, as soon as a
// probe gets its first token.
//
// A probe that is neither refused nor begun waits in a queue of the dispatcher.
// The step must hold its place among the other users of that queue, so each
// HoldMax that it waits doubles the probes that may be out.
//
// Invariant: out is the number of slots that generate with probe == round.
type hold struct {
	round    uint32 // number of the hold in force or the last one, from 1
	active   bool
	refusals uint8         // of probes, in a row
	until    time.Duration // no probe starts before
	out      int           // probes out
	since    time.Duration // when the first of them started
}

// allows says whether an attempt may start now.
func (h *hold) allows(now, probeWait time.Duration) bool {
	if !h.active {
		return true
	}
	if now < h.until {
		return false
	}
	return h.out < h.limit(now, probeWait)
}

// limit is how many probes may be out.
func (h *hold) limit(now, probeWait time.Duration) int {
	if h.out == 0 {
		return 1
	}
	doublings := min((now-h.since)/probeWait, maxDoublings)
	return 1 << doublings
}

// maxDoublings lets more probes out than a step has samples.
const maxDoublings = 20

// holdAfter takes the refusal of the attempt that a slot runs. Attempts that were sent
// together are refused together: only the first of them counts.
func (s *Step) holdAfter(now time.Duration, i int) {
	if s.hold.active {
		s.holdLonger(now, i)
		return
	}
	s.hold = hold{round: s.hold.round + 1, active: true}
	s.hold.until = now + s.holdTime()
}

// holdLonger has the next probe wait when the slot's attempt is one and failed
// before its first token.
func (s *Step) holdLonger(now time.Duration, i int) {
	if !s.isProbe(i) {
		return
	}
	if s.hold.refusals < maxFailures {
		s.hold.refusals++
	}
	s.hold.until = now + s.holdTime()
}

// startProbe counts an attempt that starts while the step is held.
func (s *Step) startProbe(now time.Duration, i int) {
	if !s.hold.active {
		return
	}
	if s.hold.out == 0 {
		s.hold.since = now
	}
	s.hold.out++
	s.slots[i].probe = s.hold.round
}

// endProbe takes an attempt that ends, however it does, off the probes.
func (s *Step) endProbe(i int) {
	if s.isProbe(i) {
		s.hold.out--
	}
	s.slots[i].probe = 0
}

// isProbe says whether the slot runs a probe of the hold in force.
func (s *Step) isProbe(i int) bool {
	return s.hold.active && s.slots[i].probe == s.hold.round
}

// probeBegan lifts the hold: an engine generates for this step.
func (s *Step) probeBegan(i int) {
	if s.isProbe(i) {
		s.hold.active = false
	}
}

func (s *Step) holdTime() time.Duration {
	return holdTime(&s.options, &s.spec, s.hold.round, s.hold.refusals)
}

// holdTime doubles from BackoffBase on to HoldMax, less up to a quarter that
// differs from step to step and hold to hold: steps that were refused together
// don't come back together.
func holdTime(o *Options, spec *Spec, round uint32, refusals uint8) time.Duration {
	d := min(o.BackoffBase<<refusals, o.HoldMax)
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s/%d/%d/%d", spec.Team, spec.Job, spec.Step, round, refusals) // never fails
	return d - d/4*time.Duration(h.Sum64()%1024)/1024
}
