package admission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the decay of Rate.
	rateTimeConstant = 3 * time.Second
	// minCoverage bounds the correction of Rate for a short time of measurement.
	minCoverage = 0.1
)

// Rate measures events per second with exponential decay. Its zero value is ready to
// use. It is not safe for concurrent use.
type Rate struct {
	value   float64   // per second, uncorrected
	decayed time.Time // up to when value has decayed
	first   time.Time // the first event; zero without any
}

// Record records an event at now.
func (r *Rate) Record(now time.Time) {
	r.decay(now)
	r.value += 1 / rateTimeConstant.Seconds()
}

// PerSecond returns the rate at now, 0 without any event. It is corrected for the
// short time of measurement after the first event.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	r.decay(now)
	coverage := 1 - math.Exp(-now.Sub(r.first).Seconds()/rateTimeConstant.Seconds())
	return r.value / max(coverage, minCoverage)
}

// decay decays the value up to now.
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
