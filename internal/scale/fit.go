package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// line is a line y = Intercept + Slope*x fitted by least squares.
type line struct {
	Intercept float64
	Slope     float64
	// Residual is the largest absolute vertical distance of a point from the line.
	Residual float64
	// Points is the number of points.
	Points int
	// Highest is the largest x value of the points.
	Highest float64
}

// fit fits a line to the given points, of which there must be at least two.
func fit(x, y []float64) line {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	fitted := line{Intercept: intercept, Slope: slope, Points: len(x)}
	for i := range x {
		fitted.Residual = math.Max(fitted.Residual, math.Abs(y[i]-fitted.at(x[i])))
		fitted.Highest = math.Max(fitted.Highest, x[i])
	}
	return fitted
}

// at returns the y value of the line at x.
func (l line) at(x float64) float64 { return l.Intercept + l.Slope*x }
