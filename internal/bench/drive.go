package bench

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/callers"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// Run is the result of one run of a scenario under one policy.
type Run struct {
	Scenario string             `json:"scenario"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	Values   map[string]float64 `json:"values"` // by name of the measure
	// Counters are the increases of the daemons' counters during the run, summed over all
	// daemons.
	Counters map[string]float64 `json:"counters,omitempty"`
	// Faults describe events that must not happen in any run: wrong responses, samples that
	// failed a check, a trainer that gave up.
	Faults []string `json:"faults,omitempty"`
}

// driver is a run in progress.
type driver struct {
	deployment Deployment
	seed       uint64

	mu             sync.Mutex
	trainerSummary trainer.Summary
	callResults    map[string]*callers.Result // by team
	faults         []string
	engineDeaths   int // crashes of engines by the poison request
}

// Drive generates the scenario's load on a running deployment and returns the results. The seed
// determines the load.
func (d Deployment) Drive(ctx context.Context, seed uint64) (Run, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &driver{deployment: d, seed: seed, callResults: map[string]*callers.Result{}}
	if !pause.For(ctx, settleTime) {
		return Run{}, ctx.Err()
	}
	run.warmUp(ctx)
	before := d.readCounters(ctx)
	disturbanceCtx, stopDisturbances := context.WithCancel(ctx)
	defer stopDisturbances()
	run.startDisturbances(disturbanceCtx)

	var load sync.WaitGroup
	for i, traffic := range d.Scenario.Traffic {
		load.Go(func() { run.runTraffic(ctx, traffic, seed*100+uint64(i)) })
	}
	if d.Scenario.Trainer != nil {
		load.Go(func() {
			if pause.For(ctx, trainerDelay) {
				run.runTrainer(ctx)
			}
		})
	}
	load.Wait()
	after := d.readCounters(context.WithoutCancel(ctx))
	return run.result(after.minus(before)), nil
}

// warmUp sends some production calls that aren't measured, so that the daemons have statistics
// of their engines at low load, like daemons that have run for a while.
func (d *driver) warmUp(ctx context.Context) {
	const rate = 40 // calls per second
	traffic := Traffic{Team: d.deployment.Scenario.Fleet.Team.Name, Rate: rate, MinTokens: 8, MaxTokens: 16, Timeout: time.Second}
	const seed = 7_000_000
	callers.Run(ctx, d.callerOptions(traffic, warmUpTime, seed))
}

// runTraffic generates one team's traffic and waits for the calls that are still in flight at
// its end.
func (d *driver) runTraffic(ctx context.Context, traffic Traffic, seed uint64) {
	result := callers.Run(ctx, d.callerOptions(traffic, d.deployment.Scenario.Duration, seed))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callResults[traffic.Team] = result
}

// callerOptions returns the options for callers that generate traffic for a duration.
func (d *driver) callerOptions(traffic Traffic, duration time.Duration, seed uint64) callers.Options {
	o := callers.Options{
		Key: apiKey(traffic.Team, config.RoleCaller), Seed: seed, Rate: traffic.Rate,
		Duration: duration, Model: modelName, CompletionShare: 1, StreamShare: 1,
		MinTokens: traffic.MinTokens, MaxTokens: traffic.MaxTokens, Timeout: traffic.Timeout,
	}
	for n := 1; n <= d.deployment.Scenario.Fleet.Daemons; n++ {
		o.Daemons = append(o.Daemons, d.deployment.CallerURL(n))
	}
	return o
}

// runTrainer runs the trainer of the rollout job until all its steps are done.
func (d *driver) runTrainer(ctx context.Context) {
	s := d.deployment.Scenario
	team := s.Fleet.Team
	o := trainer.Options{
		Key: apiKey(team.Name, config.RoleTrainer), Job: jobName, Steps: s.Trainer.Steps, Prompts: s.Trainer.Prompts,
		Lengths: s.Trainer.Lengths, Seed: d.seed, Bound: team.StalenessBound, Model: modelName,
		TrainTime: s.Trainer.TrainTime, PullWait: time.Second, StepTime: 40 * time.Second,
	}
	if s.Trainer.Publish || s.PublishInterval > 0 {
		o.PublishTo = d.deployment.WeightsURL()
		o.FollowStore = s.PublishInterval > 0
	}
	for n := 1; n <= s.Fleet.Daemons; n++ {
		o.Daemons = append(o.Daemons, d.deployment.TrainerURL(n))
	}
	if s.CrashShare > 0 {
		o.Progress = d.crashAtProgress(ctx)
	}
	summary, err := trainer.New(o).Run(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trainerSummary = summary
	if err != nil {
		d.faults = append(d.faults, err.Error())
	}
}
