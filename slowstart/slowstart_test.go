package slowstart

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// init sets a fixed seed for the property tests; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestLimiterProperties records random results, and checks that the limit stays
// within its bounds, increases only after as many successes as its value, and never
// increases on a failure.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		growth := rapid.SampledFrom([]Growth{Additive, Doubling}).Draw(t, "growth")
		maximum := rapid.IntRange(1, 40).Draw(t, "maximum")
		limiter := New(growth, rapid.IntRange(-1, 8).Draw(t, "initial"), maximum)
		successes := 0
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "results") {
			before := limiter.Limit()
			if success {
				successes++
				limiter.RecordSuccess()
			} else {
				successes = 0
				limiter.RecordFailure()
			}
			after := limiter.Limit()
			if after < 1 || after > maximum {
				t.Fatalf("limit %d is not between 1 and the maximum of %d", after, maximum)
			}
			if after > before {
				largest := before + 1
				if growth == Doubling {
					largest = 2 * before
				}
				if !success || successes < before || after > largest {
					t.Fatalf("limit increased from %d to %d after %d successes", before, after, successes)
				}
				successes = 0
			}
			if !success && after > before {
				t.Fatalf("limit increased on a failure")
			}
		}
	})
}

// TestLimiterReachesMaximum checks the number of successes from the limit 1 to the maximum 8.
func TestLimiterReachesMaximum(t *testing.T) {
	for growth, want := range map[Growth]int{Additive: 28, Doubling: 7} {
		limiter := New(growth, 1, 8)
		count := 0
		for !limiter.Done() {
			limiter.RecordSuccess()
			count++
		}
		if count != want {
			t.Errorf("growth %d: %d successes to reach a limit of 8, want %d", growth, count, want)
		}
	}
}
