package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
)

// Row is one quantity of one series in two runs.
type Row struct {
	Series string
	Quantity
	Sizes  []float64
	Values [][]float64 // by run
	Lines  []Line
	// Residual is the larger of the runs' residuals, at least the resolution.
	Residual float64
	// Apart is by how much the runs' lines differ at the largest size.
	Apart float64
}

// Agrees says whether the second run is within the residual.
func (r Row) Agrees() bool { return r.Apart <= r.Residual }

// Rows fits every series of the runs.
func Rows(all [][]Sample) []Row {
	var rows []Row
	for _, m := range measures {
		for _, measure := range m.list {
			if row, ok := rowOf(m.series, measure, all); ok {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func rowOf(series string, measure Quantity, all [][]Sample) (Row, bool) {
	row := Row{Series: series, Quantity: measure}
	for _, samples := range all {
		list := points(samples, series)
		if len(list) < 2 {
			continue // this run left the series out
		}
		var x, y []float64
		for _, s := range list {
			x, y = append(x, s.Size), append(y, measure.Of(s))
			if measure.Resolution != nil {
				row.Residual = max(row.Residual, measure.Resolution(s))
			}
		}
		line := Fit(x, y)
		row.Sizes, row.Values, row.Lines = x, append(row.Values, y), append(row.Lines, line)
		row.Residual = max(row.Residual, line.Residual)
	}
	if len(row.Lines) > 1 {
		largest := slices.Max(row.Sizes)
		row.Apart = math.Abs(row.Lines[0].At(largest) - row.Lines[1].At(largest))
	}
	return row, len(row.Lines) > 0
}

// Machine describes where the runs were taken, without names or paths.
func Machine() string {
	return fmt.Sprintf("%s, %d cores seen, %s", cpuModel(), runtime.NumCPU(), runtime.Version())
}

func cpuModel() string {
	info, _ := os.ReadFile("/proc/cpuinfo") // unknown without it
	for line := range strings.Lines(string(info)) {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return "unknown processor"
}

// Table writes the rows in Markdown.
func Table(rows []Row, machine string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Machine: %s.\n\n", machine)
	b.WriteString("| series (size) | measure | unit | sizes | run 1 | run 2 | slope 1 | slope 2 | intercept 1 | residual | apart | agree |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		values, slopes := []string{"", ""}, []string{"", ""}
		for i := range min(len(r.Lines), 2) {
			values[i], slopes[i] = numbers(r.Values[i]), number(r.Lines[i].Slope)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.Series, r.Name, r.Unit, numbers(r.Sizes), values[0], values[1], slopes[0], slopes[1],
			number(r.Lines[0].Intercept), number(r.Residual), apart(r), verdict(r))
	}
	return b.String()
}

// apart shows by how much the runs differ, also as a share of the value there.
func apart(r Row) string {
	value := math.Abs(r.Lines[0].At(slices.Max(r.Sizes)))
	if len(r.Lines) < 2 || value == 0 {
		return ""
	}
	return fmt.Sprintf("%s (%.0f%%)", number(r.Apart), 100*r.Apart/value)
}

func verdict(r Row) string {
	switch {
	case len(r.Lines) < 2:
		return "one run"
	case r.Agrees():
		return "yes"
	default:
		return "**no**"
	}
}

func numbers(v []float64) string {
	parts := make([]string, len(v))
	for i, each := range v {
		parts[i] = number(each)
	}
	return strings.Join(parts, " ")
}

// number shows three digits that count.
func number(v float64) string {
	if a := math.Abs(v); a >= 100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	s := strconv.FormatFloat(v, 'g', 3, 64)
	if parsed, _ := strconv.ParseFloat(s, 64); math.Abs(parsed) < 1e-4 {
		return s
	}
	parsed, _ := strconv.ParseFloat(s, 64) // its own output
	return strconv.FormatFloat(parsed, 'f', -1, 64)
}

// Places in the page that are written by the tool.
const (
	PlaceTable   = "measured"
	PlacePlanned = "planned"
)

// markers are the lines around a place.
func markers(place string) (begin, end string) {
	return "<!-- " + place + ": begin -->", "<!-- " + place + ": end -->"
}

// ErrMarkers says that the page lacks a place.
var ErrMarkers = errors.New("capacity: the page lacks a place's markers")

// Insert puts text between the page's markers of a place.
func Insert(page, place, text string) (string, error) {
	begin, end := markers(place)
	head, rest, ok := strings.Cut(page, begin)
	_, tail, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		return "", ErrMarkers
	}
	return head + begin + "\n" + text + end + tail, nil
}
