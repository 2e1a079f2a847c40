// Package admission limits the work that a service accepts: by an adaptive
// concurrency limit for each replica, which latency classes share, and by a
// bounded queue that is aware of deadlines and fair between tenants. It is pure:
// time is an input, and no call blocks.
package admission

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

const (
	// increase is what the limit gains from as many requests as its value, if they
	// have no queueing delay.
	increase = 1.0
	// maxDecrease is the largest decrease, as a fraction of the limit.
	maxDecrease = 0.3
	// failureDecrease is the decrease after a failure, as a fraction of the limit.
	failureDecrease = 0.2
	// delaySmoothing is the weight of one sample in the smoothed delay.
	delaySmoothing = 0.2
)

// minLimit is the lowest value of a Limit.
const minLimit = 1

// Limit is the adaptive concurrency limit of one replica. It increases additively
// in proportion to how far the queueing delay is below the set point, and decreases
// multiplicatively beyond it. It decreases at most once in the time of the set
// point, since a delay that is observed sooner was caused before the last decrease.
// It is not safe for concurrent use.
type Limit struct {
	value        float64
	maximum      float64
	setPoint     time.Duration
	delay        float64 // seconds, smoothed
	lastDecrease time.Time
}

// NewLimit returns a limit that starts at its maximum. The set point is the highest
// queueing delay before the first token that is accepted.
func NewLimit(maximum int, setPoint time.Duration) *Limit {
	initial := float64(max(minLimit, maximum))
	return &Limit{value: initial, maximum: initial, setPoint: setPoint}
}

// SetMaximum changes the maximum. A limit that is at its maximum follows it.
func (l *Limit) SetMaximum(maximum int) {
	changed := float64(max(minLimit, maximum))
	if l.value == l.maximum {
		l.value = changed
	}
	l.maximum = changed
	l.value = min(l.value, changed)
}

// SetSetPoint changes the accepted queueing delay.
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

// Observe records the queueing delay of one first token, without the request's own
// prefill, and the number of requests that were in flight when the request was
// sent. The limit grows only if at least half of it was in use, since a delay
// without load says nothing about a higher limit.
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

// RecordFailure records an attempt that the replica failed, or rejected because of
// its load.
func (l *Limit) RecordFailure(now time.Time) {
	l.decrease(now, failureDecrease)
}

// decrease lowers the limit by a fraction unless it was lowered a short time ago.
func (l *Limit) decrease(now time.Time, fraction float64) {
	if !l.lastDecrease.IsZero() && now.Sub(l.lastDecrease) < l.setPoint {
		return
	}
	l.lastDecrease = now
	l.value = max(minLimit, l.value*(1-fraction))
}

// ClassLimit returns the part of a limit that a class may use. Long requests leave a
// quarter, but at least one, to the others if the limit is two or more.
func ClassLimit(limit int, class api.Class) int {
	if class != api.ClassLong || limit < 2 {
		return limit
	}
	return limit - max(1, limit/4)
}
