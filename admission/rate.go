package admission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the exponential decay.
	rateTimeConstant = 3 * time.Second
	// minCoverage limits the correction for a short time of measurement. Coverage is the
	// fraction of the exponential weights that fall into the time since the first event.
	minCoverage = 0.1
)

// Rate is an exponentially weighted average of the events per second. Its zero value is
// ready to use. It is not safe for concurrent use.
type Rate struct {
	value   float64   // events per second, not corrected for a short time of measurement
	decayed time.Time // time up to which the decay of value has been applied
	first   time.Time // time of the first event; zero if there was none
}

// Record records one event.
func (r *Rate) Record(now time.Time) {
	r.decay(now)
	r.value += 1 / rateTimeConstant.Seconds()
}

// PerSecond returns the current rate, 0 if there was no event. Shortly after the first
// event it is scaled up to compensate for the short time of measurement.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	r.decay(now)
	coverage := 1 - math.Exp(-now.Sub(r.first).Seconds()/rateTimeConstant.Seconds())
	return r.value / max(coverage, minCoverage)
}

// decay applies the decay since the last call.
func (r *Rate) decay(now time.Time) {
	if r.first.IsZero() {
		r.first, r.decayed = now, now
		return
	}
	elapsed := now.Sub(r.decayed)
	if elapsed <= 0 {
		return
	}
	r.value *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	r.decayed = now
}
