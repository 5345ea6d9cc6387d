package batchrun

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

// Policy decides which samples run where and which engines load weights.
type Policy struct {
	policy.Set // which mechanisms are on
	// PlanSamples chooses which waiting samples start now.
	PlanSamples func(waiting []batch.WaitingSample, engines []batch.Engine, now time.Duration) []batch.Placement
	// PlanLoads chooses the engines that load weights now.
	PlanLoads func(loads.Input) loads.Plan
}

// DefaultPolicy returns the policy that daemons run. For measurements a set may switch some of its
// mechanisms off.
func DefaultPolicy(set policy.Set) Policy {
	planner := batch.Planner{
		ArrivalOrder: !set.Enabled(policy.LatestStart), IgnoreScarceVersions: !set.Enabled(policy.Fitting), IgnoreSpeed: !set.Enabled(policy.Hardware),
	}
	return Policy{Set: set, PlanSamples: planner.Plan, PlanLoads: loads.Decide}
}

// BaselinePolicy returns a simple policy that gives all the same guarantees. It is the baseline that
// Ours is measured against.
func BaselinePolicy() Policy {
	return Policy{
		Set:         policy.Without(policy.Moves, policy.Hardware, policy.Demand, policy.Retain, policy.SparedLoads, policy.Suspicion, policy.Trials),
		PlanSamples: batch.PlanRoundRobin, PlanLoads: loads.DecideWithoutLimits,
	}
}
