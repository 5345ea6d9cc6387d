package bench

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Plot writes a bar chart of the ratios of one measure, with a bar for each scenario, to a file.
// The extension of its name determines the format (.svg, .png, .pdf).
func (r Report) Plot(measure, file string) error {
	var values plotter.Values
	var names []string
	for _, row := range r.Rows {
		if row.Measure == measure && row.Ratio != nil {
			values = append(values, *row.Ratio)
			names = append(names, row.Scenario)
		}
	}
	if len(values) == 0 {
		return fmt.Errorf("bench: no ratio of %q to plot", measure)
	}
	p := plot.New()
	p.Title.Text = measure + ": ours over naive"
	p.Y.Label.Text = "ratio"
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(values, vg.Points(24))
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	p.Add(bars, plotter.NewGrid())
	p.NominalX(names...)
	const width, height = 9 * vg.Inch, 4 * vg.Inch
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return nil
}
