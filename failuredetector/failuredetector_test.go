package failuredetector

import (
	"flag"
	"math"
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

// TestSuspicionGrowsWithoutHeartbeats checks the times at which a process becomes suspected
// and dead, and that the next heartbeat makes it alive.
func TestSuspicionGrowsWithoutHeartbeats(t *testing.T) {
	now := time.Unix(0, 0)
	detector := New(DefaultConfig(), now)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		detector.Heartbeat(now)
	}
	if got := detector.State(now.Add(900 * time.Millisecond)); got != Alive {
		t.Fatalf("state %v 0.9 s after the last heartbeat, want Alive", got)
	}
	suspected := detector.SuspectedAt()
	if detector.State(suspected.Add(-time.Millisecond)) != Alive || detector.State(suspected.Add(time.Millisecond)) != Suspected {
		t.Fatal("the state does not change from Alive to Suspected at SuspectedAt")
	}
	if elapsed := suspected.Sub(now); elapsed > 1500*time.Millisecond {
		t.Fatalf("suspected %v after the last heartbeat, want at most 1.5s", elapsed)
	}
	if got := detector.State(now.Add(2 * time.Second)); got != Dead {
		t.Fatalf("state %v 2 s after the last heartbeat, want Dead", got)
	}
	detector.Heartbeat(now.Add(2 * time.Second))
	if got := detector.State(now.Add(2100 * time.Millisecond)); got != Alive {
		t.Fatalf("state %v after another heartbeat, want Alive", got)
	}
}

// TestPhiProperties records heartbeats at random intervals. It checks that phi never
// decreases without a heartbeat, that frequent heartbeats do not cause an early
// suspicion, and that long gaps do not delay a later suspicion beyond a bound.
func TestPhiProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		detector := New(DefaultConfig(), now)
		gaps := rapid.SliceOfN(rapid.IntRange(1, 30_000), 0, 60).Draw(t, "gaps")
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			detector.Heartbeat(now)
		}
		before := math.Inf(-1)
		for tenth := range 300 {
			phi := detector.Phi(now.Add(time.Duration(tenth) * 100 * time.Millisecond))
			if phi < before {
				t.Fatalf("phi decreased from %v to %v without a heartbeat", before, phi)
			}
			before = phi
		}
		elapsed := detector.SuspectedAt().Sub(now)
		if elapsed < time.Second || elapsed > 6*time.Second {
			t.Fatalf("suspected %v after the last heartbeat, want between 1s and 6s", elapsed)
		}
	})
}

// TestHysteresis checks that another value is adopted only once it has been observed without
// interruption for the hold time.
func TestHysteresis(t *testing.T) {
	start := time.Unix(0, 0)
	var hysteresis Hysteresis[string]
	steps := []struct {
		at    time.Duration
		value string
		want  string
	}{
		{0, "up", "up"},
		{100, "down", "up"},
		{300, "up", "up"}, // a short change is ignored
		{400, "down", "up"},
		{800, "cold", "up"}, // another candidate starts the hold time again
		{1200, "cold", "up"},
		{1300, "cold", "cold"},
	}
	for _, step := range steps {
		now := start.Add(step.at * time.Millisecond)
		if got := hysteresis.Observe(now, step.value, 500*time.Millisecond); got != step.want {
			t.Fatalf("after %v: adopted value %s, want %s", step.at, got, step.want)
		}
	}
}
