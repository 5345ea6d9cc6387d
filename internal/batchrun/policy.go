package batchrun

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
)

// Policy is the set of decisions on which samples run where and which engines load.
type Policy struct {
	// Plan chooses which waiting samples start now.
	Plan func(waiting []batch.Waiting, engines []batch.Engine, now time.Duration) []batch.Start
	// Loads chooses the engines that load weights now.
	Loads func(loads.Input) loads.Plan
	// Moves: samples leave engines that are slow or have slower hardware.
	Moves bool
	// ByDemand: engines are divided among the models by their batches' samples.
	ByDemand bool
}

// Ours is the policy that daemons run.
func Ours() Policy {
	return Policy{Plan: batch.Plan, Loads: loads.Decide, Moves: true, ByDemand: true}
}

// Naive is what a first version would do; it keeps every promise. It is the baseline
// that Ours is measured against.
func Naive() Policy { return Policy{Plan: batch.PlanInTurn, Loads: loads.DecideAtOnce} }
