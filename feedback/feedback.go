// Package feedback provides small proportional-integral controllers that hold a
// measured value near a named set point. A controller is pure: the caller
// passes the time and the measurement and applies the output. Output is
// clamped, and the integral stops growing while the output is clamped, so that
// a long saturation is not paid back as an overshoot.
package feedback

import (
	"math"
	"time"
)

// longestStep bounds the time one update may integrate over, so that a pause
// of the process does not act as one large correction.
const longestStep = time.Second

// Config describes one controller.
type Config struct {
	// Name names the set point for people and metrics.
	Name string
	// SetPoint is the aim, in the unit of the measurement.
	SetPoint float64
	// Proportional is output per unit of error.
	Proportional float64
	// Integral is output per unit of error and second.
	Integral float64
	// Reverse is set when a higher output lowers the measurement: the output
	// then rises while the measurement is above the set point.
	Reverse bool
	// Minimum and Maximum clamp the output.
	Minimum, Maximum float64
	// Initial is the output before the first measurement.
	Initial float64
	// Smoothing is the time constant of the filter on the measurement; 0 is none.
	Smoothing time.Duration
}

// Controller is one loop. Its zero value is not usable; use New.
type Controller struct {
	config   Config
	integral float64
	measured float64
	output   float64
	last     time.Time
}

// Status is the state of a controller for metrics.
type Status struct {
	Name     string
	SetPoint float64
	Measured float64
	Output   float64
}

// New returns a controller at its initial output.
func New(config Config) *Controller {
	initial := clamp(config.Initial, config.Minimum, config.Maximum)
	return &Controller{config: config, integral: initial, output: initial, measured: math.NaN()}
}

// SetSetPoint changes the aim; the output moves on from where it is.
func (c *Controller) SetSetPoint(value float64) {
	c.config.SetPoint = value
}

// Output returns the output of the last update.
func (c *Controller) Output() float64 {
	return c.output
}

// Update takes a measurement and returns the new output. The first update only
// starts the clock.
func (c *Controller) Update(now time.Time, measurement float64) float64 {
	if c.last.IsZero() {
		c.last = now
		c.measured = measurement
		return c.output
	}
	step := min(now.Sub(c.last), longestStep)
	if step <= 0 {
		return c.output
	}
	c.last = now
	c.filter(step, measurement)
	c.correct(step)
	return c.output
}

// Status reports the set point beside the measured value.
func (c *Controller) Status() Status {
	measured := c.measured
	if math.IsNaN(measured) {
		measured = 0
	}
	return Status{Name: c.config.Name, SetPoint: c.config.SetPoint, Measured: measured, Output: c.output}
}

func (c *Controller) filter(step time.Duration, measurement float64) {
	if c.config.Smoothing <= 0 {
		c.measured = measurement
		return
	}
	share := 1 - math.Exp(-step.Seconds()/c.config.Smoothing.Seconds())
	c.measured += share * (measurement - c.measured)
}

func (c *Controller) correct(step time.Duration) {
	deviation := c.config.SetPoint - c.measured
	if c.config.Reverse {
		deviation = -deviation
	}
	integral := c.integral + c.config.Integral*deviation*step.Seconds()
	output := c.config.Proportional*deviation + integral
	c.output = clamp(output, c.config.Minimum, c.config.Maximum)
	windsUp := (output > c.config.Maximum && deviation > 0) || (output < c.config.Minimum && deviation < 0)
	if !windsUp {
		c.integral = clamp(integral, c.config.Minimum, c.config.Maximum)
	}
}

func clamp(value, low, high float64) float64 {
	return max(low, min(high, value))
}
