// Package policy names the mechanisms that decide how well a daemon serves, so that
// each can be switched off alone and its worth be measured. None of them is needed for
// a promise: whatever is off, every answer is whole and counted right.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one of them.
type Mechanism string

// The mechanisms.
const (
	Hedge       Mechanism = "hedge"        // a second copy of a slow call that may run twice
	Load        Mechanism = "load"         // calls go to the upstream with the fewest; off: in turn
	Warm        Mechanism = "warm"         // calls go where a connection is open already
	Suspicion   Mechanism = "suspicion"    // an upstream that broke off is avoided for a time
	Moves       Mechanism = "moves"        // samples leave engines that are much slower than the others
	Hardware    Mechanism = "hardware"     // long samples go to engines that make tokens fastest
	LatestStart Mechanism = "latest-start" // samples start by when they have to; off: as they came
	Fitting     Mechanism = "fitting"      // samples leave fresh weights to those that need them
	Retain      Mechanism = "retain"       // runs go on while their engine loads weights
	SparedLoads Mechanism = "spared-loads" // engines that are fresh enough for the next step don't load
	Demand      Mechanism = "demand"       // engines are divided among models by their batches
	Checkpoints Mechanism = "checkpoints"  // unfinished text is written down while it grows
	Closing     Mechanism = "closing"      // a read waits for the last scores of its step
	Spot        Mechanism = "spot"         // spot servers are ordered for a step's samples
	Trials      Mechanism = "trials"       // a sample under which engines crash runs alone
)

// All returns every mechanism.
func All() []Mechanism {
	return []Mechanism{Hedge, Load, Warm, Suspicion, Moves, Hardware, LatestStart, Fitting, Retain, SparedLoads, Demand, Checkpoints, Closing, Spot, Trials}
}

// Set is the mechanisms that are switched off. The zero Set is what daemons run.
type Set struct{ off map[Mechanism]bool }

// Without returns a Set with some mechanisms off.
func Without(list ...Mechanism) Set {
	s := Set{off: map[Mechanism]bool{}}
	for _, m := range list {
		s.off[m] = true
	}
	return s
}

// On reports whether a mechanism works.
func (s Set) On(m Mechanism) bool { return !s.off[m] }

// Parse reads a list of mechanisms to switch off, separated by commas. The error names
// the first one that doesn't exist.
func Parse(list string) (Set, error) {
	var off []Mechanism
	for name := range strings.SplitSeq(list, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if m == "" {
			continue
		}
		if !slices.Contains(All(), m) {
			return Set{}, fmt.Errorf("no mechanism %q; there are %v", m, All())
		}
		off = append(off, m)
	}
	return Without(off...), nil
}
