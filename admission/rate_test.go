package admission

import (
	"testing"
	"time"
)

func TestRate(t *testing.T) {
	var rate Rate
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		rate.Record(now)
	}
	if got := rate.PerSecond(now); got < 18 || got > 22 {
		t.Fatalf("rate %v, want 20", got)
	}
	if got := rate.PerSecond(now.Add(30 * time.Second)); got > 0.01 {
		t.Fatalf("rate %v half a minute later", got)
	}
}
