// Package admission limits the work that a service accepts. Limit is the adaptive
// concurrency limit of a replica, which the latency classes share. Queue is a bounded queue
// that is fair between tenants and rejects items that cannot meet their deadline. Rate
// measures completions per second. The package has no goroutines, and the current time is
// always passed in by the caller.
package admission

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

const (
	// increase is how much the limit grows over as many requests as its value if these
	// have no queueing delay.
	increase = 1.0
	// maxDecrease is the largest decrease, as a fraction of the limit.
	maxDecrease = 0.3
	// failureDecrease is the decrease after a failed attempt, as a fraction of the limit.
	failureDecrease = 0.2
	// delaySmoothing is the weight of one sample in the smoothed delay.
	delaySmoothing = 0.2
)

// minLimit is the lowest value of a Limit.
const minLimit = 1

// Limit is the adaptive concurrency limit of one replica (additive increase, multiplicative
// decrease). It grows while the queueing delay is below the set point, the faster the lower
// the delay is, and decreases while the delay is above it. After a decrease it does not
// decrease again for a time equal to the set point, because delays that are observed sooner
// are still due to the previous limit. It is not safe for concurrent use.
type Limit struct {
	value        float64
	maximum      float64
	setPoint     time.Duration
	delay        float64 // seconds, smoothed
	lastDecrease time.Time
}

// NewLimit returns a limit that starts at its maximum. The set point is the queueing delay
// before the first token above which the limit decreases.
func NewLimit(maximum int, setPoint time.Duration) *Limit {
	initial := float64(max(minLimit, maximum))
	return &Limit{value: initial, maximum: initial, setPoint: setPoint}
}

// SetMaximum changes the maximum. A limit whose value is at its maximum changes with it.
func (l *Limit) SetMaximum(maximum int) {
	changed := float64(max(minLimit, maximum))
	if l.value == l.maximum {
		l.value = changed
	}
	l.maximum = changed
	l.value = min(l.value, changed)
}

// SetSetPoint changes the queueing delay above which the limit decreases.
func (l *Limit) SetSetPoint(setPoint time.Duration) {
	l.setPoint = setPoint
}

// Value returns the number of requests that may be in flight, at least 1.
func (l *Limit) Value() int {
	return int(l.value)
}

// Delay returns the smoothed queueing delay.
func (l *Limit) Delay() time.Duration {
	return time.Duration(l.delay * float64(time.Second))
}

// Observe records the queueing delay of one request before its first token, without its own
// prefill, and the number of requests that were in flight when it was sent. The limit grows
// only if at least half of it was in use, because a low delay at low load does not show
// that a higher limit is safe.
func (l *Limit) Observe(now time.Time, delay time.Duration, inFlight int) {
	l.delay += delaySmoothing * (delay.Seconds() - l.delay)
	if l.setPoint <= 0 {
		return
	}
	ratio := max(0, float64(delay)/float64(l.setPoint))
	if ratio <= 1 {
		if float64(inFlight) >= l.value/2 {
			l.value = min(l.maximum, l.value+increase*(1-ratio)/l.value)
		}
		return
	}
	l.decrease(now, min(maxDecrease, maxDecrease*(ratio-1)))
}

// RecordFailure records an attempt that failed at the replica or that the replica rejected.
func (l *Limit) RecordFailure(now time.Time) {
	l.decrease(now, failureDecrease)
}

// decrease lowers the limit by a fraction unless it was lowered within the time of the set
// point.
func (l *Limit) decrease(now time.Time, fraction float64) {
	if !l.lastDecrease.IsZero() && now.Sub(l.lastDecrease) < l.setPoint {
		return
	}
	l.lastDecrease = now
	l.value = max(minLimit, l.value*(1-fraction))
}

// ClassLimit returns the part of a limit that a class may use. If the limit is 2 or more, a
// quarter of it, but at least 1, is reserved for classes other than the long one.
func ClassLimit(limit int, class api.Class) int {
	if class != api.ClassLong || limit < 2 {
		return limit
	}
	return limit - max(1, limit/4)
}
