package batchrun

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

// Policy is the set of decisions on which samples run where and which engines load.
type Policy struct {
	policy.Set
	// Plan chooses which waiting samples start now.
	Plan func(waiting []batch.Waiting, engines []batch.Engine, now time.Duration) []batch.Start
	// Loads chooses the engines that load weights now.
	Loads func(loads.Input) loads.Plan
}

// Ours is the policy that daemons run, with some mechanisms off for a measurement.
func Ours(set policy.Set) Policy {
	planner := batch.Planner{
		Arrival: !set.On(policy.LatestStart), AnyVersion: !set.On(policy.Fitting), AnySpeed: !set.On(policy.Hardware),
	}
	return Policy{Set: set, Plan: planner.Plan, Loads: loads.Decide}
}

// Naive is what a first version would do; it keeps every promise. It is the baseline
// that Ours is measured against.
func Naive() Policy {
	return Policy{
		Set:  policy.Without(policy.Moves, policy.Hardware, policy.Demand, policy.Retain, policy.SparedLoads, policy.Suspicion, policy.Trials),
		Plan: batch.PlanInTurn, Loads: loads.DecideAtOnce,
	}
}
