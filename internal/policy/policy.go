// Package policy names the optional mechanisms by which a daemon serves better, so that each
// can be switched off alone and its benefit be measured. No guarantee depends on them:
// whichever are off, every answer is complete and counted correctly.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is the name of a mechanism, as in settings.
type Mechanism string

// The mechanisms.
const (
	Hedge       Mechanism = "hedge"        // a slow call that may run twice is sent a second time
	Load        Mechanism = "load"         // calls go to the upstream with the fewest calls; off: to each in turn
	Warm        Mechanism = "warm"         // calls go to upstreams to which a connection is open
	Admission   Mechanism = "admission"    // calls that upstreams can't answer in time are refused at once, by customers' shares
	Queue       Mechanism = "queue"        // admitted calls wait while all upstreams are full; off: they are sent to the least full one
	Suspicion   Mechanism = "suspicion"    // an upstream that failed is avoided for a short time
	Moves       Mechanism = "moves"        // samples move off engines that are much slower than the others
	Hardware    Mechanism = "hardware"     // long samples go to the engines that generate tokens fastest
	LatestStart Mechanism = "latest-start" // samples start in the order of their latest start; off: in the order of arrival
	Fitting     Mechanism = "fitting"      // samples that don't need fresh weights leave engines that have them to those that do
	Retain      Mechanism = "retain"       // runs continue while their engine loads weights
	SparedLoads Mechanism = "spared-loads" // engines whose weights are fresh enough for the next step don't load
	Demand      Mechanism = "demand"       // engines are divided among models by the demand of their batches
	Checkpoints Mechanism = "checkpoints"  // unfinished text is stored while it is generated
	Closing     Mechanism = "closing"      // a read waits for the last scores of its step
	Spot        Mechanism = "spot"         // spot servers are ordered for a step's samples
	Trials      Mechanism = "trials"       // a sample runs alone once several engines crashed while running it
)

// All returns every mechanism.
func All() []Mechanism {
	return []Mechanism{Hedge, Load, Warm, Admission, Queue, Suspicion, Moves, Hardware, LatestStart, Fitting, Retain, SparedLoads, Demand, Checkpoints, Closing, Spot, Trials}
}

// Set says which mechanisms are switched off. Daemons run with the zero Set, in which none
// is.
type Set struct{ disabled map[Mechanism]bool }

// Without returns a Set with the given mechanisms switched off.
func Without(mechanisms ...Mechanism) Set {
	s := Set{disabled: map[Mechanism]bool{}}
	for _, m := range mechanisms {
		s.disabled[m] = true
	}
	return s
}

// Enabled reports whether a mechanism is switched on.
func (s Set) Enabled(m Mechanism) bool { return !s.disabled[m] }

// Parse reads a comma-separated list of the mechanisms to switch off. The error names the
// first one that doesn't exist.
func Parse(list string) (Set, error) {
	var disabled []Mechanism
	for name := range strings.SplitSeq(list, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if m == "" {
			continue
		}
		if !slices.Contains(All(), m) {
			return Set{}, fmt.Errorf("no mechanism %q; the mechanisms are %v", m, All())
		}
		disabled = append(disabled, m)
	}
	return Without(disabled...), nil
}
