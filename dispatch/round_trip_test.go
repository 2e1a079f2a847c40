package dispatch

import (
	"testing"
	"time"
)

// TestRoundTripEstimate checks that the estimate adapts quickly to shorter round trips and
// slowly to longer ones, and that a single one that was queued somewhere hardly changes it.
func TestRoundTripEstimate(t *testing.T) {
	const initial = 40 * time.Millisecond
	tests := map[string]struct {
		took  []time.Duration
		least time.Duration
		most  time.Duration
	}{
		"none":                    {nil, initial, initial},
		"shorter":                 {repeat(5*time.Millisecond, 8), 5 * time.Millisecond, 6 * time.Millisecond},
		"longer":                  {repeat(160*time.Millisecond, 60), 140 * time.Millisecond, 160 * time.Millisecond},
		"one delayed by queueing": {append(repeat(initial, 5), time.Minute), initial, 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRoundTrips()
			for _, took := range test.took {
				r.observe("zone", initial, took)
			}
			if got := r.estimate("zone", initial); got < test.least || got > test.most {
				t.Errorf("estimate %v, want one between %v and %v", got, test.least, test.most)
			}
		})
	}
}

// repeat returns a list of equal values.
func repeat(value time.Duration, count int) []time.Duration {
	values := make([]time.Duration, count)
	for i := range values {
		values[i] = value
	}
	return values
}
