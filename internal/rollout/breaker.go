package rollout

import (
	"fmt"
	"hash/fnv"
	"time"
)

// breaker is the circuit breaker of a step. It stops the step from starting
// attempts that are sure to be refused, for example while every engine serves too
// old a version. Without it, a thousand attempts would be refused immediately, and
// with a separate backoff for each slot the step would resume only seconds after
// the engines switched. With it, the first refusal opens the breaker for the whole
// step. After a short delay a single attempt starts as a probe, and as soon as a
// probe gets its first token the breaker closes and all other attempts may start.
//
// A probe that is neither refused nor generating is waiting in a queue of the
// dispatcher. To keep the step's share among the other users of that queue, the
// number of probes that may run doubles for every MaxProbeInterval of waiting.
//
// Invariant: while the breaker is open, probes is the number of generating slots
// whose probeTrip equals trip.
type breaker struct {
	trip         uint32        // number of the latest opening of the breaker, from 1; 0 before the first
	open         bool          // attempts start only as probes
	failedProbes uint8         // consecutive failed probes since the breaker opened, at most maxFailures
	notBefore    time.Duration // earliest start of the next probe, since the step's start
	probes       int           // probes running
	firstProbeAt time.Duration // when the first of the running probes started, since the step's start
}

// allows reports whether an attempt may start now.
func (b *breaker) allows(now, doublingInterval time.Duration) bool {
	if !b.open {
		return true
	}
	if now < b.notBefore {
		return false
	}
	return b.probes < b.maxProbes(now, doublingInterval)
}

// maxProbes returns how many probes may run at the same time. The number doubles
// with each doublingInterval since the first of them started.
func (b *breaker) maxProbes(now, doublingInterval time.Duration) int {
	if b.probes == 0 {
		return 1
	}
	doublings := min((now-b.firstProbeAt)/doublingInterval, maxProbeDoublings)
	return 1 << doublings
}

// maxProbeDoublings keeps the shift in maxProbes small. The resulting limit is
// higher than the number of samples in any step.
const maxProbeDoublings = 20

// tripBreaker records that the attempt of slot i was refused, and opens the breaker
// if it is closed. Attempts that were sent together are refused together, so only
// the first refusal opens it.
func (s *Step) tripBreaker(now time.Duration, i int) {
	if s.breaker.open {
		s.probeFailed(now, i)
		return
	}
	s.breaker = breaker{trip: s.breaker.trip + 1, open: true}
	s.breaker.notBefore = now + s.probeDelay()
}

// probeFailed delays the next probe if slot i runs a probe. It is called for
// attempts that ended without a usable first token.
func (s *Step) probeFailed(now time.Duration, i int) {
	if !s.isProbe(i) {
		return
	}
	if s.breaker.failedProbes < maxFailures {
		s.breaker.failedProbes++
	}
	s.breaker.notBefore = now + s.probeDelay()
}

// probeStarted counts the attempt that slot i starts as a probe if the breaker is open.
func (s *Step) probeStarted(now time.Duration, i int) {
	if !s.breaker.open {
		return
	}
	if s.breaker.probes == 0 {
		s.breaker.firstProbeAt = now
	}
	s.breaker.probes++
	s.slots[i].probeTrip = s.breaker.trip
}

// probeEnded stops counting the attempt of slot i as a probe, whatever its result.
func (s *Step) probeEnded(i int) {
	if s.isProbe(i) {
		s.breaker.probes--
	}
	s.slots[i].probeTrip = 0
}

// isProbe reports whether slot i runs a probe for the current opening of the breaker.
func (s *Step) isProbe(i int) bool {
	return s.breaker.open && s.slots[i].probeTrip == s.breaker.trip
}

// probeSucceeded closes the breaker if slot i runs a probe: an engine generates for
// this step.
func (s *Step) probeSucceeded(i int) {
	if s.isProbe(i) {
		s.breaker.open = false
	}
}

func (s *Step) probeDelay() time.Duration {
	return probeDelay(&s.options, &s.spec, s.breaker.trip, s.breaker.failedProbes)
}

// probeDelay returns how long to wait before the next probe. The delay doubles from
// BackoffBase up to MaxProbeInterval, minus a jitter of up to a quarter. The jitter
// is a hash of the step and of the number of openings and failed probes, so steps
// that were refused together don't retry together.
func probeDelay(o *Options, spec *Spec, trip uint32, failedProbes uint8) time.Duration {
	d := min(o.BackoffBase<<failedProbes, o.MaxProbeInterval)
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s/%d/%d/%d", spec.Team, spec.Job, spec.Step, trip, failedProbes) // never fails
	return d - d/4*time.Duration(h.Sum64()%1024)/1024
}
