package retry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed of the property tests; -rapid.seed overrules it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestNeverMoreThanCap plays random traffic and checks every window of 10 s
// that ends at a retry against the hard cap.
func TestNeverMoreThanCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(rapid.Float64Range(-1, 2).Draw(t, "ratio"))
		steps := rapid.SliceOfN(rapid.IntRange(0, 900), 1, 400).Draw(t, "gaps")
		asks := rapid.SliceOfN(rapid.Bool(), len(steps), len(steps)).Draw(t, "asks")
		now := time.Unix(0, 0)
		var firsts, retries []time.Time
		within := func(times []time.Time) int {
			count := 0
			for _, at := range times {
				if now.Sub(at) < Window {
					count++
				}
			}
			return count
		}
		for index, gap := range steps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			budget.RecordFirstAttempt(now)
			firsts = append(firsts, now)
			if !asks[index] || !budget.Allow(now) {
				continue
			}
			retries = append(retries, now)
			if got, most := within(retries), MaximumRatio*float64(within(firsts)); float64(got) > most {
				t.Fatalf("%d retries over %d first attempts", got, within(firsts))
			}
		}
	})
}

// TestAim checks that the budget is usable up to the aim, not only safe.
func TestAim(t *testing.T) {
	budget := NewBudget(0)
	now := time.Unix(0, 0)
	allowed := 0
	for range 6000 { // 100 a second for a minute, each failing
		now = now.Add(10 * time.Millisecond)
		budget.RecordFirstAttempt(now)
		if budget.Allow(now) {
			allowed++
		}
	}
	if ratio := float64(allowed) / 6000; ratio < 0.08 || ratio > 0.1 {
		t.Fatalf("ratio %.3f, want close below 0.1", ratio)
	}
	if aim, measured := budget.Status(now); aim != DefaultRatio || measured < 0.08 {
		t.Fatalf("status %v %v", aim, measured)
	}
	if budget.Allow(now.Add(time.Minute)) {
		t.Fatal("allowed a retry without any first attempt in the window")
	}
}

func TestBackoff(t *testing.T) {
	for retry := 1; retry < 12; retry++ {
		low, high := Backoff(retry, 0), Backoff(retry, 0.999)
		if low < BaseBackoff/2 || high > MaximumBackoff || low >= high {
			t.Fatalf("retry %d: %v to %v", retry, low, high)
		}
	}
}
