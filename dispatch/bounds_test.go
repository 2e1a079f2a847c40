package dispatch

import (
	"math"
	"testing"
)

// TestBounds checks the ratios that one gateway computes from the bounds.
func TestBounds(t *testing.T) {
	tests := map[string]struct {
		bounds                     Bounds
		retryRatio, slowStartRatio float64
	}{
		"defaults": {Bounds{}, 0.12, 0.7},
		"strict":   {Bounds{RetryRatio: 0.05, WarmupOvershoot: 1}, 0.03, 7.0 / 15},
		"generous": {Bounds{RetryRatio: 0.3, WarmupOvershoot: 4}, 0.18, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bounds := test.bounds.withDefaults()
			if got := bounds.retryRatio(); math.Abs(got-test.retryRatio) > 1e-9 {
				t.Errorf("retryRatio() = %v, want %v", got, test.retryRatio)
			}
			if got := bounds.slowStartRatio(); math.Abs(got-test.slowStartRatio) > 1e-9 {
				t.Errorf("slowStartRatio() = %v, want %v", got, test.slowStartRatio)
			}
			if bounds.slowStartRatio()*maxSlowStartOwners > bounds.WarmupOvershoot {
				t.Error("the slow-start owners together exceed WarmupOvershoot")
			}
		})
	}
}
