package slowstart

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// init fixes the seed of the property tests; -rapid.seed overrules it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestRampProperties plays random results: the limit stays within its bounds,
// grows only by as many successes as it was high, and falls on failures.
func TestRampProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		growth := rapid.SampledFrom([]Growth{Additive, Doubling}).Draw(t, "growth")
		full := rapid.IntRange(1, 40).Draw(t, "full")
		r := New(growth, rapid.IntRange(-1, 8).Draw(t, "initial"), full)
		since := 0
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "results") {
			before := r.Limit()
			if success {
				since++
				r.RecordSuccess()
			} else {
				since = 0
				r.RecordFailure()
			}
			after := r.Limit()
			if after < 1 || after > full {
				t.Fatalf("limit %d outside 1..%d", after, full)
			}
			if after > before {
				most := before + 1
				if growth == Doubling {
					most = 2 * before
				}
				if !success || since < before || after > most {
					t.Fatalf("grew from %d to %d after %d successes", before, after, since)
				}
				since = 0
			}
			if !success && after > before {
				t.Fatalf("grew on a failure")
			}
		}
	})
}

func TestRampReachesItsEnd(t *testing.T) {
	for growth, most := range map[Growth]int{Additive: 28, Doubling: 7} {
		r := New(growth, 1, 8)
		count := 0
		for !r.Done() {
			r.RecordSuccess()
			count++
		}
		if count != most {
			t.Errorf("growth %d: %d successes to 8, want %d", growth, count, most)
		}
	}
}
