package failuredetector

import (
	"flag"
	"math"
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

func TestSuspicionGrowsWithoutHeartbeats(t *testing.T) {
	now := time.Unix(0, 0)
	detector := New(DefaultConfig(), now)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		detector.Heartbeat(now)
	}
	if got := detector.State(now.Add(900 * time.Millisecond)); got != Alive {
		t.Fatalf("after 0.9 s: %v", got)
	}
	suspected := detector.SuspectedAt()
	if detector.State(suspected.Add(-time.Millisecond)) != Alive || detector.State(suspected.Add(time.Millisecond)) != Suspected {
		t.Fatal("SuspectedAt is not where the state changes")
	}
	if elapsed := suspected.Sub(now); elapsed > 1500*time.Millisecond {
		t.Fatalf("suspected only after %v", elapsed)
	}
	if got := detector.State(now.Add(2 * time.Second)); got != Dead {
		t.Fatalf("after 2 s: %v", got)
	}
	detector.Heartbeat(now.Add(2 * time.Second))
	if got := detector.State(now.Add(2100 * time.Millisecond)); got != Alive {
		t.Fatalf("after another heartbeat: %v", got)
	}
}

// TestPhiProperties checks that phi never falls without a heartbeat, that extra
// heartbeats do not cause an early suspicion, and that a long gap does not delay
// a later one without bound.
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
				t.Fatalf("phi fell from %v to %v", before, phi)
			}
			before = phi
		}
		elapsed := detector.SuspectedAt().Sub(now)
		if elapsed < time.Second || elapsed > 6*time.Second {
			t.Fatalf("suspected after %v", elapsed)
		}
	})
}

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
		{800, "cold", "up"}, // another candidate starts over
		{1200, "cold", "up"},
		{1300, "cold", "cold"},
	}
	for _, step := range steps {
		now := start.Add(step.at * time.Millisecond)
		if got := hysteresis.Observe(now, step.value, 500*time.Millisecond); got != step.want {
			t.Fatalf("at %v: %s, want %s", step.at, got, step.want)
		}
	}
}
