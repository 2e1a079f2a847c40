package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// line is a least-squares fit of y = Intercept + Slope*x.
type line struct {
	Intercept float64
	Slope     float64
	// Residual is the largest distance of a point from the line.
	Residual float64
	Points   int
	// Highest is the largest x that was measured.
	Highest float64
}

// fit needs two points or more.
func fit(x, y []float64) line {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	found := line{Intercept: intercept, Slope: slope, Points: len(x)}
	for i := range x {
		found.Residual = math.Max(found.Residual, math.Abs(y[i]-found.at(x[i])))
		found.Highest = math.Max(found.Highest, x[i])
	}
	return found
}

// at evaluates the line.
func (l line) at(x float64) float64 { return l.Intercept + l.Slope*x }
