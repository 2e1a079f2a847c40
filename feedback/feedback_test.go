package feedback

import (
	"math"
	"testing"
	"time"
)

// spillConfig has the gains of the spill controller, the only one in use.
func spillConfig() Config {
	return Config{
		Name: "utilization", SetPoint: 0.8, Proportional: 0.25, Integral: 0.35,
		Reverse: true, Maximum: 0.9, Smoothing: 500 * time.Millisecond,
	}
}

// plant is a region whose load follows what is sent to it with a lag of one
// holding time.
type plant struct {
	load float64
}

func (p *plant) step(offered, spilled float64, step, lag time.Duration) float64 {
	target := offered * (1 - spilled)
	p.load += (target - p.load) * (1 - math.Exp(-step.Seconds()/lag.Seconds()))
	return p.load
}

// TestStepResponse triples the load and takes it back: the controller must
// settle at the set point with a bounded overshoot, and let go again.
func TestStepResponse(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, lag := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		controller := New(spillConfig())
		region := &plant{load: 0.5}
		now := time.Unix(0, 0)
		run := func(offered float64, seconds int) (largest, smallest float64) {
			largest, smallest = 0, math.Inf(1)
			for range seconds * 10 {
				now = now.Add(step)
				load := region.step(offered, controller.Output(), step, lag)
				controller.Update(now, load)
				largest, smallest = max(largest, load), min(smallest, load)
			}
			return largest, smallest
		}
		run(0.5, 5)
		if controller.Output() != 0 {
			t.Fatalf("lag %v: spills %v below the set point", lag, controller.Output())
		}
		largest, _ := run(1.5, 8)
		settledHigh, settledLow := run(1.5, 20)
		t.Logf("lag %v: peak %.2f, after 8 s between %.3f and %.3f", lag, largest, settledLow, settledHigh)
		if settledHigh > 0.8*1.1 || settledLow < 0.8*0.9 {
			t.Errorf("lag %v: load between %.2f and %.2f 8 s after the step, want 0.8 within a tenth", lag, settledLow, settledHigh)
		}
		run(0.5, 8)
		if controller.Output() > 0.02 {
			t.Errorf("lag %v: still spills %.2f 8 s after the load fell", lag, controller.Output())
		}
	}
}

// TestNoWindup saturates the output for a long time: it must leave the clamp
// within the time that the gains alone need.
func TestNoWindup(t *testing.T) {
	controller := New(spillConfig())
	now := time.Unix(0, 0)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		controller.Update(now, 100)
	}
	if controller.Output() != 0.9 {
		t.Fatalf("output %v, want it clamped at 0.9", controller.Output())
	}
	left := 0
	for controller.Output() > 0.1 && left < 200 {
		left++
		now = now.Add(100 * time.Millisecond)
		controller.Update(now, 0.3)
	}
	if left > 80 {
		t.Fatalf("took %d steps of 100 ms to let go", left)
	}
	status := controller.Status()
	if status.SetPoint != 0.8 || math.Abs(status.Measured-0.3) > 0.05 {
		t.Fatalf("status %+v", status)
	}
}
