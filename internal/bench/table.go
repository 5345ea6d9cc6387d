package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Spread is one measure under one policy over the repetitions.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
}

// Row is one line of the table.
type Row struct {
	Scenario string `json:"scenario"`
	Measure  string `json:"measure"`
	Unit     string `json:"unit"`
	Naive    Spread `json:"naive"`
	Ours     Spread `json:"ours"`
	// Ratio is ours over naive by medians; nil if naive's is 0.
	Ratio *float64 `json:"ratio"`
}

// Report is all rows and what went wrong.
type Report struct {
	Rows   []Row    `json:"rows"`
	Faults []string `json:"faults"`
	Runs   []Run    `json:"runs"`
}

// Summarize makes the table of some runs.
func Summarize(runs []Run) (Report, error) {
	report := Report{Runs: runs, Rows: []Row{}, Faults: []string{}}
	for _, s := range every() {
		for _, name := range s.Measures {
			row, found, err := rowOf(s.Name, name, runs)
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

func rowOf(scenario, measure string, runs []Run) (Row, bool, error) {
	unit, err := unitOf(measure)
	if err != nil {
		return Row{}, false, err
	}
	row := Row{Scenario: scenario, Measure: measure, Unit: unit}
	row.Naive = spreadOf(scenario, "naive", measure, runs)
	row.Ours = spreadOf(scenario, "ours", measure, runs)
	if row.Naive.Median != 0 && row.Ours.Runs > 0 {
		ratio := row.Ours.Median / row.Naive.Median
		row.Ratio = &ratio
	}
	return row, row.Naive.Runs+row.Ours.Runs > 0, nil
}

func spreadOf(scenario, policy, measure string, runs []Run) Spread {
	var values []float64
	for _, run := range runs {
		value, measured := run.Values[measure]
		if run.Scenario != scenario || run.Policy != policy || !measured {
			continue
		}
		values = append(values, value)
	}
	if len(values) == 0 {
		return Spread{}
	}
	return Spread{Median: median(values), Min: slices.Min(values), Max: slices.Max(values), Runs: len(values)}
}

// Write prints the table and the faults.
func (r Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "scenario\tmeasure\tunit\tnaive (min..max)\tours (min..max)\tratio")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", row.Scenario, row.Measure, row.Unit, row.Naive, row.Ours, ratioText(row.Ratio))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	for _, fault := range r.Faults {
		_, _ = fmt.Fprintln(out, "FAULT", fault)
	}
	return nil
}

// String prints median, least and most.
func (s Spread) String() string {
	if s.Runs == 0 {
		return "-"
	}
	return fmt.Sprintf("%s (%s..%s)", number(s.Median), number(s.Min), number(s.Max))
}

func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 10:
		return fmt.Sprintf("%.3g", v)
	default:
		return fmt.Sprintf("%.0f", v)
	}
}

func ratioText(ratio *float64) string {
	if ratio == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *ratio)
}

// WriteJSON writes the report with all runs.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return nil
}
