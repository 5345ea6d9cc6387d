package capacity

import "math"

// Line is a least-squares line through the points of a series.
type Line struct {
	Slope, Intercept float64
	Residual         float64 // root of the mean square distance of the points
}

// Fit returns the line through (x[i], y[i]). With fewer than two different x
// the slope is 0.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	if n == 0 {
		return Line{}
	}
	mx, my := mean(x), mean(y)
	var sxy, sxx float64
	for i := range x {
		sxy += (x[i] - mx) * (y[i] - my)
		sxx += (x[i] - mx) * (x[i] - mx)
	}
	line := Line{Intercept: my}
	if sxx > 0 {
		line.Slope = sxy / sxx
		line.Intercept = my - line.Slope*mx
	}
	var squares float64
	for i := range x {
		d := y[i] - line.At(x[i])
		squares += d * d
	}
	line.Residual = math.Sqrt(squares / n)
	return line
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func mean(v []float64) float64 {
	var sum float64
	for _, each := range v {
		sum += each
	}
	return sum / float64(len(v))
}
