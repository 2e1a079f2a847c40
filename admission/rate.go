package admission

import (
	"math"
	"time"
)

// rateMemory is the time constant of Rate.
const rateMemory = 3 * time.Second

// Rate measures events per second with exponential forgetting.
type Rate struct {
	value float64
	last  time.Time
	first time.Time
}

// Record records one event.
func (r *Rate) Record(now time.Time) {
	r.decay(now)
	r.value += 1 / rateMemory.Seconds()
}

// PerSecond is the rate at now, corrected for the time since the first event
// being short.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	r.decay(now)
	covered := 1 - math.Exp(-now.Sub(r.first).Seconds()/rateMemory.Seconds())
	return r.value / max(covered, 0.1)
}

func (r *Rate) decay(now time.Time) {
	if r.first.IsZero() {
		r.first, r.last = now, now
		return
	}
	elapsed := now.Sub(r.last)
	if elapsed <= 0 {
		return
	}
	r.value *= math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
	r.last = now
}
