package bench

import (
	"fmt"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/callers"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Measure is one figure of a run.
type Measure struct {
	Name  string
	Unit  string
	About string
}

// Measures lists all, in the order of the table.
var Measures = []Measure{
	{"idle_median", "ms", "from a step's start until it is whole, median step"},
	{"idle_worst", "ms", "the same, worst step"},
	{"latency_p50", "ms", "production, from due to whole answer"},
	{"latency_p99", "ms", "the same"},
	{"ttft_p50", "ms", "production, from due to first token"},
	{"ttft_p99", "ms", "the same"},
	{"error_rate", "share", "production calls without an answer of their own"},
	{"goodput", "1/s", "production calls answered whole within their time"},
	{"accepted_failed", "calls", "failed after the daemon let them in"},
	{"refused", "calls", "told not run, with Retry-After"},
	{"staleness_mean", "versions", "of delivered samples"},
	{"staleness_max", "versions", "of delivered samples"},
	{"past_bound", "samples", "delivered beyond the team's bound"},
	{"thrown_away", "share", "samples made and dropped as too old"},
	{"mixed", "share", "samples with tokens of two versions"},
	{"prefix_hits", "share", "answers whose prompt's prefix was cached"},
	{"wasted", "tokens", "generated, but of no use to anybody"},
	{"queue_time", "ms", "mean time queued in a daemon, the measured team"},
	{"engine_deaths", "count", "engine processes that ended"},
	{"direct_ttft_p50", "ms", "calling the engine itself"},
	{"overhead_p50", "ms", "what the daemon adds to it"},
	{"cpu_request", "µs", "daemon's processor time a request, without chunks"},
	{"cpu_chunk", "µs", "daemon's processor time a streamed chunk"},
}

// result derives the measures of a run.
func (d *drive) result(c counters) Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.world.Scenario
	run := Run{Scenario: s.Name, Policy: d.world.Policy, Seed: d.seed, Values: map[string]float64{}, Faults: d.errs}
	run.Counters = c
	d.trainerValues(&run, c)
	d.callerValues(&run)
	d.daemonValues(&run, c)
	return run
}

func (d *drive) trainerValues(run *Run, c counters) {
	t := d.world.Scenario.Trainer
	if t == nil {
		return
	}
	sum := &d.samples
	if counted := sum.IdleMillis[min(t.WarmUp, len(sum.IdleMillis)):]; len(counted) > 0 {
		run.Values["idle_median"] = median(counted)
		run.Values["idle_worst"] = float64(slices.Max(counted))
	}
	for i, idle := range sum.IdleMillis {
		run.Values[fmt.Sprintf("idle_step_%d", i+1)] = float64(idle)
	}
	run.Values["pull_failures"], run.Values["resubmits"] = float64(sum.Failures), float64(sum.Resubmits)
	run.Values["judged_old"] = float64(sum.JudgedOld)
	run.Values["staleness_mean"] = sum.StalenessMean
	run.Values["staleness_max"] = float64(sum.StalenessMax)
	run.Values["past_bound"] = float64(sum.Stale)
	samples := max(1, float64(sum.Samples))
	run.Values["thrown_away"] = c["rollout_samples_stale"] / (samples + c["rollout_samples_stale"])
	run.Values["mixed"] = float64(sum.Mixed) / samples
	if !sum.OK() {
		run.Faults = append(run.Faults, sum.Faults...)
	}
}

func (d *drive) callerValues(run *Run) {
	for _, c := range d.world.Scenario.Callers {
		r := d.calls[c.Team]
		if r == nil {
			continue
		}
		if r.Wrong > 0 {
			run.Faults = append(run.Faults, r.WrongFirst...)
		}
		if c.Misbehaves {
			continue
		}
		latency, first := r.Latency[callers.Streamed], r.FirstToken[callers.Streamed]
		refused := r.ByOutcome[outcome.NotRun.String()]
		run.Values["latency_p50"], run.Values["latency_p99"] = latency.P50, latency.P99
		run.Values["ttft_p50"], run.Values["ttft_p99"] = first.P50, first.P99
		run.Values["error_rate"] = float64(r.Failed+r.Wrong+r.Shed) / max(1, float64(r.Calls+r.Shed))
		run.Values["goodput"] = float64(r.Answers) / d.world.Scenario.Duration.Seconds()
		run.Values["accepted_failed"] = float64(r.Failed - refused)
		run.Values["refused"] = float64(refused)
	}
}

// bytesPerToken is how engines count cached prefixes in tokens.
const bytesPerToken = 4

func (d *drive) daemonValues(run *Run, c counters) {
	answers := float64(d.samples.Samples)
	for _, r := range d.calls {
		answers += float64(r.Answers)
	}
	run.Values["prefix_hits"] = c["dispatch_prompt_tokens_cached"] / (wire.PrefixBytes / bytesPerToken) / max(1, answers)
	run.Values["wasted"] = c["dispatch_tokens_wasted"]
	run.Values["engine_deaths"] = float64(d.deaths)
	team := d.world.Scenario.Fleet.Team.Name
	run.Values["queue_time"] = c["dispatch_queue_us_"+team] / 1000 / max(1, c["dispatch_queued_"+team])
}

func median[T int64 | float64](values []T) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (float64(sorted[(n-1)/2]) + float64(sorted[n/2])) / 2
}

// unitOf returns a measure's unit.
func unitOf(name string) (string, error) {
	for _, m := range Measures {
		if m.Name == name {
			return m.Unit, nil
		}
	}
	return "", fmt.Errorf("bench: no measure %q", name)
}
