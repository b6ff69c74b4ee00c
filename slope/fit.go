package slope

import (
	"math"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("slope")

// Point is one measured value Y at size X.
type Point struct {
	X, Y float64
}

// Fit is the line y = A + B x with its residuals.
type Fit struct {
	A, B float64
	// MaxResidual is the largest distance of a point from the line, in units of y.
	MaxResidual float64
	// MaxRelativeResidual is the largest such distance relative to the measured y.
	MaxRelativeResidual float64
	// R2 is the share of the weighted variance of y that the line explains, 0 to 1.
	R2 float64
}

// LeastSquares fits a line to points by least squares of the relative errors. It
// fails unless the points have at least two different sizes.
//
// Errors of measurement grow with the measured value. Without weights, the
// largest sizes alone would determine the line, and their errors would hide the
// constant part A.
func LeastSquares(points []Point) (Fit, error) {
	weights := relativeWeights(points)
	var weightSum, meanX, meanY float64
	for i, p := range points {
		weightSum += weights[i]
		meanX += weights[i] * p.X
		meanY += weights[i] * p.Y
	}
	meanX /= weightSum
	meanY /= weightSum
	var xx, xy, yy float64
	for i, p := range points {
		dx, dy := p.X-meanX, p.Y-meanY
		xx += weights[i] * dx * dx
		xy += weights[i] * dx * dy
		yy += weights[i] * dy * dy
	}
	if len(points) == 0 || xx == 0 {
		return Fit{}, Error.New("fitting a line needs two different sizes, got %d points", len(points))
	}
	fit := Fit{B: xy / xx, R2: 1}
	fit.A = meanY - fit.B*meanX
	squaredError := 0.0
	for i, p := range points {
		residual := math.Abs(p.Y - fit.A - fit.B*p.X)
		squaredError += weights[i] * residual * residual
		fit.MaxResidual = max(fit.MaxResidual, residual)
		if p.Y != 0 {
			fit.MaxRelativeResidual = max(fit.MaxRelativeResidual, residual/math.Abs(p.Y))
		}
	}
	if yy > 0 {
		fit.R2 = 1 - squaredError/yy
	}
	return fit, nil
}

// relativeWeights returns the weight 1/y² for each point. A y of zero gets the
// weight of the smallest other |y|, or 1 if there is none.
func relativeWeights(points []Point) []float64 {
	smallest := math.Inf(1)
	for _, p := range points {
		if p.Y != 0 {
			smallest = min(smallest, math.Abs(p.Y))
		}
	}
	if math.IsInf(smallest, 1) {
		smallest = 1
	}
	weights := make([]float64, len(points))
	for i, p := range points {
		y := max(smallest, math.Abs(p.Y))
		weights[i] = 1 / (y * y)
	}
	return weights
}

// Series is one quantity measured at several sizes.
type Series struct {
	Subject string // what was measured
	Input   string // what x counts; empty for a subject of one size
	Output  string // unit of y
	Points  []Point
}
