package dispatch

import (
	"math"
	"testing"
)

func TestBounds(t *testing.T) {
	tests := map[string]struct {
		granted          Bounds
		retries, feeding float64
	}{
		"defaults": {Bounds{}, 0.12, 0.7},
		"strict":   {Bounds{RetryRatio: 0.05, WarmupOvershoot: 1}, 0.03, 7.0 / 15},
		"generous": {Bounds{RetryRatio: 0.3, WarmupOvershoot: 4}, 0.18, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bounds := test.granted.withDefaults()
			if got := bounds.retryRatio(); math.Abs(got-test.retries) > 1e-9 {
				t.Errorf("retries: %v, want %v", got, test.retries)
			}
			if got := bounds.coldShare(); math.Abs(got-test.feeding) > 1e-9 {
				t.Errorf("cold share: %v, want %v", got, test.feeding)
			}
			if bounds.coldShare()*coldFeeders > bounds.WarmupOvershoot {
				t.Error("two feeders exceed the overshoot")
			}
		})
	}
}
