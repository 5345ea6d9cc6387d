package bench

import (
	"fmt"
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/callers"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Measure is one of the values that are determined for a run.
type Measure struct {
	Name        string
	Unit        string
	Description string
}

// Measures lists all measures, in the order of the table.
var Measures = []Measure{
	{"idle_median", "ms", "from the start of a step until it is complete, median step"},
	{"idle_worst", "ms", "the same, worst step"},
	{"latency_p50", "ms", "production, from due time to complete response"},
	{"latency_p99", "ms", "the same"},
	{"ttft_p50", "ms", "production, from due time to first token"},
	{"ttft_p99", "ms", "the same"},
	{"error_rate", "share", "production calls without a valid response"},
	{"goodput", "1/s", "production calls with a complete response within their timeout"},
	{"accepted_failed", "calls", "failed after the daemon had admitted them"},
	{"refused", "calls", "refused as not run, with Retry-After"},
	{"staleness_mean", "versions", "of delivered samples"},
	{"staleness_max", "versions", "of delivered samples"},
	{"past_bound", "samples", "delivered beyond the team's staleness bound"},
	{"thrown_away", "share", "samples generated and dropped as too stale"},
	{"mixed", "share", "samples with tokens of more than one version"},
	{"prefix_hits", "share", "responses whose prompt prefix was cached"},
	{"wasted", "tokens", "generated, but not part of any result"},
	{"queue_time", "ms", "mean time queued in a daemon, calls of the measured team"},
	{"engine_deaths", "count", "engine processes that crashed"},
	{"direct_ttft_p50", "ms", "time to first token of calls directly to the engine"},
	{"overhead_p50", "ms", "added to that time by the daemon"},
	{"cpu_request", "µs", "daemon's CPU time per request, without chunks"},
	{"cpu_chunk", "µs", "daemon's CPU time per streamed chunk"},
}

// result computes the measures of the run. c holds the increases of the daemons' counters.
func (d *driver) result(c counters) Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.deployment.Scenario
	run := Run{Scenario: s.Name, Policy: d.deployment.Policy, Seed: d.seed, Values: map[string]float64{}, Faults: d.faults}
	run.Counters = c
	d.addTrainerValues(&run, c)
	d.addTrafficValues(&run)
	d.addDaemonValues(&run, c)
	return run
}

// addTrainerValues adds the measures of the rollout job.
func (d *driver) addTrainerValues(run *Run, c counters) {
	load := d.deployment.Scenario.Trainer
	if load == nil {
		return
	}
	summary := &d.trainerSummary
	if measured := summary.IdleMillis[min(load.WarmUpSteps, len(summary.IdleMillis)):]; len(measured) > 0 {
		run.Values["idle_median"] = median(measured)
		run.Values["idle_worst"] = float64(slices.Max(measured))
	}
	for i, idle := range summary.IdleMillis {
		run.Values[fmt.Sprintf("idle_step_%d", i+1)] = float64(idle)
	}
	run.Values["pull_failures"], run.Values["resubmits"] = float64(summary.Failures), float64(summary.Resubmits)
	run.Values["judged_old"] = float64(summary.JudgedOld)
	run.Values["staleness_mean"] = summary.StalenessMean
	run.Values["staleness_max"] = float64(summary.StalenessMax)
	run.Values["past_bound"] = float64(summary.Stale)
	samples := max(1, float64(summary.Samples))
	run.Values["thrown_away"] = c["rollout_samples_stale"] / (samples + c["rollout_samples_stale"])
	run.Values["mixed"] = float64(summary.Mixed) / samples
	if !summary.OK() {
		run.Faults = append(run.Faults, summary.Faults...)
	}
}

// addTrafficValues adds the measures of the production traffic.
func (d *driver) addTrafficValues(run *Run) {
	for _, traffic := range d.deployment.Scenario.Traffic {
		r := d.callResults[traffic.Team]
		if r == nil {
			continue
		}
		if r.Wrong > 0 {
			run.Faults = append(run.Faults, r.WrongFirst...)
		}
		if traffic.Unmeasured {
			continue
		}
		latency, firstToken := r.Latency[callers.Streamed], r.FirstToken[callers.Streamed]
		notRun := r.ByOutcome[outcome.NotRun.String()]
		run.Values["latency_p50"], run.Values["latency_p99"] = latency.P50, latency.P99
		run.Values["ttft_p50"], run.Values["ttft_p99"] = firstToken.P50, firstToken.P99
		run.Values["error_rate"] = float64(r.Failed+r.Wrong+r.Shed) / max(1, float64(r.Calls+r.Shed))
		run.Values["goodput"] = float64(r.Answers) / d.deployment.Scenario.Duration.Seconds()
		run.Values["accepted_failed"] = float64(r.Failed - notRun)
		run.Values["refused"] = float64(notRun)
	}
}

// bytesPerToken is the number of bytes of a prefix that engines count as one cached token.
const bytesPerToken = 4

// addDaemonValues adds the measures that the daemons' counters give.
func (d *driver) addDaemonValues(run *Run, c counters) {
	completions := float64(d.trainerSummary.Samples)
	for _, r := range d.callResults {
		completions += float64(r.Answers)
	}
	run.Values["prefix_hits"] = c["dispatch_prompt_tokens_cached"] / (wire.PrefixBytes / bytesPerToken) / max(1, completions)
	run.Values["wasted"] = c["dispatch_tokens_wasted"]
	run.Values["engine_deaths"] = float64(d.engineDeaths)
	team := d.deployment.Scenario.Fleet.Team.Name
	run.Values["queue_time"] = c["dispatch_queue_us_"+team] / 1000 / max(1, c["dispatch_queued_"+team])
}

// median returns the median of values, 0 if there are none.
func median[T int64 | float64](values []T) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (float64(sorted[(n-1)/2]) + float64(sorted[n/2])) / 2
}

// unitOf returns the unit of a measure.
func unitOf(name string) (string, error) {
	for _, m := range Measures {
		if m.Name == name {
			return m.Unit, nil
		}
	}
	return "", fmt.Errorf("bench: unknown measure %q", name)
}
