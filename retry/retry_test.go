package retry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init sets a fixed seed for the property tests; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestBudgetNeverExceedsMaximumRatio records random traffic, and checks the ratio in every
// window of length Window, which is 10 s, that ends at a retry.
func TestBudgetNeverExceedsMaximumRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(rapid.Float64Range(-1, 2).Draw(t, "ratio"))
		gaps := rapid.SliceOfN(rapid.IntRange(0, 900), 1, 400).Draw(t, "gaps")
		wantsRetry := rapid.SliceOfN(rapid.Bool(), len(gaps), len(gaps)).Draw(t, "wants retry")
		now := time.Unix(0, 0)
		var firstAttempts, retries []time.Time
		inWindow := func(times []time.Time) int {
			count := 0
			for _, at := range times {
				if now.Sub(at) < Window {
					count++
				}
			}
			return count
		}
		for index, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			budget.RecordFirstAttempt(now)
			firstAttempts = append(firstAttempts, now)
			if !wantsRetry[index] || !budget.Allow(now) {
				continue
			}
			retries = append(retries, now)
			if got, most := inWindow(retries), MaximumRatio*float64(inWindow(firstAttempts)); float64(got) > most {
				t.Fatalf("%d retries for %d first attempts in one window", got, inWindow(firstAttempts))
			}
		}
	})
}

// TestBudgetIsUsableUpToItsRatio checks that almost the whole ratio can be used when every
// request fails.
func TestBudgetIsUsableUpToItsRatio(t *testing.T) {
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
		t.Fatalf("ratio of allowed retries %.3f, want between 0.08 and 0.1", ratio)
	}
	if ratio, measured := budget.Status(now); ratio != DefaultRatio || measured < 0.08 {
		t.Fatalf("Status() = %v, %v; want the default ratio and a measured one of at least 0.08", ratio, measured)
	}
	if budget.Allow(now.Add(time.Minute)) {
		t.Fatal("allowed a retry without any first attempt in the window")
	}
}

// TestBackoff checks that the backoff of each retry stays within its bounds and has jitter.
func TestBackoff(t *testing.T) {
	for retry := 1; retry < 12; retry++ {
		low, high := Backoff(retry, 0), Backoff(retry, 0.999)
		if low < BaseBackoff/2 || high > MaximumBackoff || low >= high {
			t.Fatalf("backoff of retry %d is between %v and %v, want a range within the bounds", retry, low, high)
		}
	}
}
