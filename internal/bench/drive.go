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

// Run is what one run of a scenario gave.
type Run struct {
	Scenario string             `json:"scenario"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	Values   map[string]float64 `json:"values"`
	// Counters are what the daemons counted meanwhile, summed over all.
	Counters map[string]float64 `json:"counters,omitempty"`
	// Faults name what must not happen: wrong answers, samples that failed a
	// check, a trainer that gave up.
	Faults []string `json:"faults,omitempty"`
}

// drive is a run on its way.
type drive struct {
	world World
	seed  uint64

	mu      sync.Mutex
	samples trainer.Summary
	calls   map[string]*callers.Result // by team
	errs    []string
	deaths  int // of engines, by the poison request
}

// Drive runs the scenario's load against a world that is up.
func (w World) Drive(ctx context.Context, seed uint64) (Run, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &drive{world: w, seed: seed, calls: map[string]*callers.Result{}}
	if !pause.For(ctx, settle) {
		return Run{}, ctx.Err()
	}
	d.warmUp(ctx)
	before := w.counters(ctx)
	background, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	d.startBackground(background)

	var all sync.WaitGroup
	for i, c := range w.Scenario.Callers {
		all.Go(func() { d.call(ctx, c, seed*100+uint64(i)) })
	}
	if w.Scenario.Trainer != nil {
		all.Go(func() {
			if pause.For(ctx, headStart) {
				d.train(ctx)
			}
		})
	}
	all.Wait()
	after := w.counters(context.WithoutCancel(ctx))
	return d.result(after.minus(before)), nil
}

// warmUp sends some production calls that aren't measured, so that daemons have
// seen their engines at little load, as daemons that have run for a while.
func (d *drive) warmUp(ctx context.Context) {
	const rate = 40
	c := Callers{Team: d.world.Scenario.Fleet.Team.Name, Rate: rate, MinTokens: 8, MaxTokens: 16, Timeout: time.Second}
	const seed = 7_000_000
	callers.Run(ctx, d.optionsOf(c, warmUpTime, seed))
}

// call runs one team's traffic; calls on their way at its end are let end.
func (d *drive) call(ctx context.Context, c Callers, seed uint64) {
	result := callers.Run(ctx, d.optionsOf(c, d.world.Scenario.Duration, seed))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[c.Team] = result
}

func (d *drive) optionsOf(c Callers, lasts time.Duration, seed uint64) callers.Options {
	o := callers.Options{
		Key: keyOf(c.Team, config.RoleCaller), Seed: seed, Rate: c.Rate,
		Duration: lasts, Model: modelName, CompletionShare: 1, StreamShare: 1,
		MinTokens: c.MinTokens, MaxTokens: c.MaxTokens, Timeout: c.Timeout,
	}
	for n := 1; n <= d.world.Scenario.Fleet.Daemons; n++ {
		o.Daemons = append(o.Daemons, d.world.CallerURL(n))
	}
	return o
}

// train runs the rollout job to its end.
func (d *drive) train(ctx context.Context) {
	s := d.world.Scenario
	team := s.Fleet.Team
	o := trainer.Options{
		Key: keyOf(team.Name, config.RoleTrainer), Job: jobName, Steps: s.Trainer.Steps, Prompts: s.Trainer.Prompts,
		Lengths: s.Trainer.Lengths, Seed: d.seed, Bound: team.Bound, Model: modelName,
		TrainTime: s.Trainer.TrainTime, PullWait: time.Second, StepTime: 40 * time.Second,
	}
	if s.Trainer.Publish || s.PublishEvery > 0 {
		o.PublishTo = d.world.WeightsURL()
		o.FollowStore = s.PublishEvery > 0
	}
	for n := 1; n <= s.Fleet.Daemons; n++ {
		o.Daemons = append(o.Daemons, d.world.TrainerURL(n))
	}
	if s.CrashAt > 0 {
		o.Progress = d.crashOnce(ctx)
	}
	summary, err := trainer.New(o).Run(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = summary
	if err != nil {
		d.errs = append(d.errs, err.Error())
	}
}
