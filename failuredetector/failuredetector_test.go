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

func TestSuspicionGrowsWithSilence(t *testing.T) {
	now := time.Unix(0, 0)
	d := New(DefaultConfig(), now)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		d.Heartbeat(now)
	}
	if got := d.State(now.Add(900 * time.Millisecond)); got != Alive {
		t.Fatalf("after 0.9 s: %v", got)
	}
	suspected := d.SuspectedAt()
	if d.State(suspected.Add(-time.Millisecond)) != Alive || d.State(suspected.Add(time.Millisecond)) != Suspected {
		t.Fatal("SuspectedAt is not where the state changes")
	}
	if silence := suspected.Sub(now); silence > 1500*time.Millisecond {
		t.Fatalf("suspected only after %v", silence)
	}
	if got := d.State(now.Add(2 * time.Second)); got != Dead {
		t.Fatalf("after 2 s: %v", got)
	}
	d.Heartbeat(now.Add(2 * time.Second))
	if got := d.State(now.Add(2100 * time.Millisecond)); got != Alive {
		t.Fatalf("heard again: %v", got)
	}
}

// TestPhiProperties: phi never falls while the process is silent, extra signs of
// life do not make the detector hasty, and one long gap does not blind it.
func TestPhiProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		d := New(DefaultConfig(), now)
		gaps := rapid.SliceOfN(rapid.IntRange(1, 30_000), 0, 60).Draw(t, "gaps")
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			d.Heartbeat(now)
		}
		before := math.Inf(-1)
		for tenth := range 300 {
			phi := d.Phi(now.Add(time.Duration(tenth) * 100 * time.Millisecond))
			if phi < before {
				t.Fatalf("phi fell from %v to %v", before, phi)
			}
			before = phi
		}
		silence := d.SuspectedAt().Sub(now)
		if silence < time.Second || silence > 6*time.Second {
			t.Fatalf("suspected after %v", silence)
		}
	})
}

func TestHysteresis(t *testing.T) {
	start := time.Unix(0, 0)
	var h Hysteresis[string]
	steps := []struct {
		at    time.Duration
		value string
		want  string
	}{
		{0, "up", "up"},
		{100, "down", "up"},
		{300, "up", "up"}, // a blip is forgotten
		{400, "down", "up"},
		{800, "cold", "up"}, // another candidate starts anew
		{1200, "cold", "up"},
		{1300, "cold", "cold"},
	}
	for _, step := range steps {
		now := start.Add(step.at * time.Millisecond)
		if got := h.Observe(now, step.value, 500*time.Millisecond); got != step.want {
			t.Fatalf("at %v: %s, want %s", step.at, got, step.want)
		}
	}
}
