package feedback

import (
	"math"
	"testing"
	"time"
)

// spillConfig returns the configuration of the spill controller, the only controller in
// use.
func spillConfig() Config {
	return Config{
		Name: "utilization", SetPoint: 0.8, Proportional: 0.25, Integral: 0.35,
		Reverse: true, Maximum: 0.9, Smoothing: 500 * time.Millisecond,
	}
}

// simulatedRegion is the controlled system: a region whose load follows the work that
// is sent to it with a first-order lag.
type simulatedRegion struct {
	load float64
}

func (r *simulatedRegion) advance(offered, spilled float64, step, lag time.Duration) float64 {
	target := offered * (1 - spilled)
	r.load += (target - r.load) * (1 - math.Exp(-step.Seconds()/lag.Seconds()))
	return r.load
}

// TestStepResponse triples the offered load and later restores it. The load must
// converge to the set point, and the output must then return to about zero.
func TestStepResponse(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, lag := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		controller := New(spillConfig())
		region := &simulatedRegion{load: 0.5}
		now := time.Unix(0, 0)
		run := func(offered float64, seconds int) (highest, lowest float64) {
			highest, lowest = 0, math.Inf(1)
			for range seconds * 10 {
				now = now.Add(step)
				load := region.advance(offered, controller.Output(), step, lag)
				controller.Update(now, load)
				highest, lowest = max(highest, load), min(lowest, load)
			}
			return highest, lowest
		}
		run(0.5, 5)
		if controller.Output() != 0 {
			t.Fatalf("lag %v: output %v below the set point, want 0", lag, controller.Output())
		}
		peak, _ := run(1.5, 8)
		steadyHigh, steadyLow := run(1.5, 20)
		t.Logf("lag %v: peak %.2f, after 8 s between %.3f and %.3f", lag, peak, steadyLow, steadyHigh)
		if steadyHigh > 0.8*1.1 || steadyLow < 0.8*0.9 {
			t.Errorf("lag %v: load between %.2f and %.2f more than 8 s after the step, want 0.8 within a tenth", lag, steadyLow, steadyHigh)
		}
		run(0.5, 8)
		if controller.Output() > 0.02 {
			t.Errorf("lag %v: output still %.2f 8 s after the load fell", lag, controller.Output())
		}
	}
}

// TestNoWindup saturates the output for a minute. The output must then return within
// the time that the gains alone need, without a delay by the integral.
func TestNoWindup(t *testing.T) {
	controller := New(spillConfig())
	now := time.Unix(0, 0)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		controller.Update(now, 100)
	}
	if controller.Output() != 0.9 {
		t.Fatalf("output %v, want it clamped to 0.9", controller.Output())
	}
	steps := 0
	for controller.Output() > 0.1 && steps < 200 {
		steps++
		now = now.Add(100 * time.Millisecond)
		controller.Update(now, 0.3)
	}
	if steps > 80 {
		t.Fatalf("the output took %d steps of 100 ms to fall to 0.1, want at most 80", steps)
	}
	status := controller.Status()
	if status.SetPoint != 0.8 || math.Abs(status.Measured-0.3) > 0.05 {
		t.Fatalf("status %+v, want the set point 0.8 and a measurement of about 0.3", status)
	}
}
