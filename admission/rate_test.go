package admission

import (
	"testing"
	"time"
)

// TestRate checks the rate of regular events, and its decay after they stop.
func TestRate(t *testing.T) {
	var rate Rate
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		rate.Record(now)
	}
	if got := rate.PerSecond(now); got < 18 || got > 22 {
		t.Fatalf("rate is %v per second, want about 20", got)
	}
	if got := rate.PerSecond(now.Add(30 * time.Second)); got > 0.01 {
		t.Fatalf("rate is %v per second 30 s after the last event, want nearly 0", got)
	}
}
