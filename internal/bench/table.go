package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Stats summarizes the values of one measure under one policy over repeated runs.
type Stats struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"` // number of values
}

// Row is one row of the table: one measure of one scenario under both policies.
type Row struct {
	Scenario string `json:"scenario"`
	Measure  string `json:"measure"`
	Unit     string `json:"unit"`
	Naive    Stats  `json:"naive"`
	Ours     Stats  `json:"ours"`
	// Ratio is the median of Ours divided by that of Naive, nil if the latter is 0.
	Ratio *float64 `json:"ratio"`
}

// Report holds the table, the faults of the runs and the runs themselves.
type Report struct {
	Rows   []Row    `json:"rows"`
	Faults []string `json:"faults"`
	Runs   []Run    `json:"runs"`
}

// Summarize builds the report of runs.
func Summarize(runs []Run) (Report, error) {
	report := Report{Runs: runs, Rows: []Row{}, Faults: []string{}}
	for _, s := range allScenarios() {
		for _, name := range s.Measures {
			row, found, err := newRow(s.Name, name, runs)
			if err != nil {
				return Report{}, err
			}
			if found {
				report.Rows = append(report.Rows, row)
			}
		}
	}
	for _, run := range runs {
		for _, fault := range run.Faults {
			report.Faults = append(report.Faults, fmt.Sprintf("%s, %s, seed %d: %s", run.Scenario, run.Policy, run.Seed, fault))
		}
	}
	return report, nil
}

// newRow returns a row and whether any run has the measure.
func newRow(scenario, measure string, runs []Run) (Row, bool, error) {
	unit, err := unitOf(measure)
	if err != nil {
		return Row{}, false, err
	}
	row := Row{Scenario: scenario, Measure: measure, Unit: unit}
	row.Naive = newStats(scenario, "naive", measure, runs)
	row.Ours = newStats(scenario, "ours", measure, runs)
	if row.Naive.Median != 0 && row.Ours.Runs > 0 {
		ratio := row.Ours.Median / row.Naive.Median
		row.Ratio = &ratio
	}
	return row, row.Naive.Runs+row.Ours.Runs > 0, nil
}

// newStats summarizes a measure over the runs of a scenario under a policy.
func newStats(scenario, policy, measure string, runs []Run) Stats {
	var values []float64
	for _, run := range runs {
		value, ok := run.Values[measure]
		if run.Scenario != scenario || run.Policy != policy || !ok {
			continue
		}
		values = append(values, value)
	}
	if len(values) == 0 {
		return Stats{}
	}
	return Stats{Median: median(values), Min: slices.Min(values), Max: slices.Max(values), Runs: len(values)}
}

// Write writes the table and the faults as text.
func (r Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "scenario\tmeasure\tunit\tnaive (min..max)\tours (min..max)\tratio")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", row.Scenario, row.Measure, row.Unit, row.Naive, row.Ours, formatRatio(row.Ratio))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	for _, fault := range r.Faults {
		_, _ = fmt.Fprintln(out, "FAULT", fault)
	}
	return nil
}

// String returns the median, the minimum and the maximum, "-" without values.
func (s Stats) String() string {
	if s.Runs == 0 {
		return "-"
	}
	return fmt.Sprintf("%s (%s..%s)", formatValue(s.Median), formatValue(s.Min), formatValue(s.Max))
}

// formatValue formats a value with three significant digits, or as an integer from 10 on.
func formatValue(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 10:
		return fmt.Sprintf("%.3g", v)
	default:
		return fmt.Sprintf("%.0f", v)
	}
}

// formatRatio formats a ratio, "-" for nil.
func formatRatio(ratio *float64) string {
	if ratio == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *ratio)
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return nil
}
