// Package feedback provides a proportional-integral (PI) controller that holds a
// measured value near a set point. It reads no clock and has no side effects: the
// caller passes the time and the measurement, and applies the output. The output is
// clamped, and while it is clamped the integral does not grow further in that
// direction (anti-windup), so that a long saturation causes no overshoot afterwards.
package feedback

import (
	"math"
	"time"
)

// maxStep is the longest time over which one update integrates, so that a pause of
// the process does not cause one large correction.
const maxStep = time.Second

// Config describes one controller.
type Config struct {
	// Name identifies the controller in metrics and to operators.
	Name string
	// SetPoint is the desired value, in the unit of the measurement.
	SetPoint float64
	// Proportional is the gain of the proportional term: output per unit of error.
	Proportional float64
	// Integral is the gain of the integral term: output per unit of error and
	// second.
	Integral float64
	// Reverse is set if a higher output lowers the measurement. The output then
	// increases while the measurement is above the set point.
	Reverse bool
	// Minimum and Maximum are the limits to which the output is clamped.
	Minimum, Maximum float64
	// Initial is the output before the first measurement.
	Initial float64
	// Smoothing is the time constant of the low-pass filter on the measurement; 0
	// disables it.
	Smoothing time.Duration
}

// Controller is the controller of one control loop. Use New to create one; the zero
// value is not usable. It is not safe for concurrent use.
type Controller struct {
	config   Config
	integral float64
	measured float64 // filtered; NaN before the first update
	output   float64
	updated  time.Time // the last update; zero before the first
}

// Status is the state of a controller for metrics.
type Status struct {
	Name     string
	SetPoint float64
	// Measured is the filtered measurement, in the unit of the set point; 0 before
	// the first update.
	Measured float64
	Output   float64
}

// New returns a controller with the initial output of config.
func New(config Config) *Controller {
	initial := clamp(config.Initial, config.Minimum, config.Maximum)
	return &Controller{config: config, integral: initial, output: initial, measured: math.NaN()}
}

// SetSetPoint changes the set point. The output changes only with the next update.
func (c *Controller) SetSetPoint(value float64) {
	c.config.SetPoint = value
}

// Output returns the output of the last update.
func (c *Controller) Output() float64 {
	return c.output
}

// Update processes a measurement and returns the new output. The first call only
// initializes the time and the filter. A call whose time is not later than that of the
// previous one changes nothing.
func (c *Controller) Update(now time.Time, measurement float64) float64 {
	if c.updated.IsZero() {
		c.updated = now
		c.measured = measurement
		return c.output
	}
	step := min(now.Sub(c.updated), maxStep)
	if step <= 0 {
		return c.output
	}
	c.updated = now
	c.filter(step, measurement)
	c.correct(step)
	return c.output
}

// Status returns the set point, the filtered measurement and the output.
func (c *Controller) Status() Status {
	measured := c.measured
	if math.IsNaN(measured) {
		measured = 0
	}
	return Status{Name: c.config.Name, SetPoint: c.config.SetPoint, Measured: measured, Output: c.output}
}

// filter updates the measured value with one measurement, by a first-order
// low-pass filter.
func (c *Controller) filter(step time.Duration, measurement float64) {
	if c.config.Smoothing <= 0 {
		c.measured = measurement
		return
	}
	weight := 1 - math.Exp(-step.Seconds()/c.config.Smoothing.Seconds())
	c.measured += weight * (measurement - c.measured)
}

// correct integrates the error over step and computes the output from the measured
// value. If the output is clamped and the error would move it further beyond the limit,
// the integral stays unchanged.
func (c *Controller) correct(step time.Duration) {
	deviation := c.config.SetPoint - c.measured
	if c.config.Reverse {
		deviation = -deviation
	}
	integral := c.integral + c.config.Integral*deviation*step.Seconds()
	output := c.config.Proportional*deviation + integral
	c.output = clamp(output, c.config.Minimum, c.config.Maximum)
	windup := (output > c.config.Maximum && deviation > 0) || (output < c.config.Minimum && deviation < 0)
	if !windup {
		c.integral = clamp(integral, c.config.Minimum, c.config.Maximum)
	}
}

func clamp(value, minimum, maximum float64) float64 {
	return max(minimum, min(maximum, value))
}
