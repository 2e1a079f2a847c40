// Package admission decides how much work is let in: an adaptive concurrency
// limit per replica, shares of it between latency classes, and a bounded,
// deadline-aware queue with weighted fair shares between tenants. It is pure:
// time is an input, and nothing waits here.
package admission

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

const (
	// increase is the limit gained per round of requests without any delay.
	increase = 1.0
	// strongestDecrease bounds what one decrease takes off, as a part of the limit.
	strongestDecrease = 0.3
	// failureDecrease is what a failure takes off.
	failureDecrease = 0.2
	// delaySmoothing is the weight of one sample in the reported delay.
	delaySmoothing = 0.2
)

// Limit is the adaptive concurrency limit of one replica: additive increase in
// proportion to the distance from the set point, multiplicative decrease beyond
// it, at most once a set point of time, since a delay seen sooner was caused
// before the last decrease.
type Limit struct {
	value        float64
	minimum      float64
	maximum      float64
	setPoint     time.Duration
	measured     float64 // seconds, smoothed
	lastDecrease time.Time
}

// NewLimit starts at the maximum. The set point is the queueing delay to the
// first token that is still accepted.
func NewLimit(maximum int, setPoint time.Duration) *Limit {
	bound := float64(max(1, maximum))
	return &Limit{value: bound, minimum: 1, maximum: bound, setPoint: setPoint}
}

// SetMaximum changes the bound.
func (l *Limit) SetMaximum(maximum int) {
	bound := float64(max(1, maximum))
	if l.value == l.maximum {
		l.value = bound
	}
	l.maximum = bound
	l.value = min(l.value, bound)
}

// SetSetPoint changes the accepted delay.
func (l *Limit) SetSetPoint(setPoint time.Duration) {
	l.setPoint = setPoint
}

// Value is the number of requests that may be in flight.
func (l *Limit) Value() int {
	return int(l.value)
}

// Delay is the smoothed delay beside the set point.
func (l *Limit) Delay() time.Duration {
	return time.Duration(l.measured * float64(time.Second))
}

// Observe takes the delay of one first token, without the request's own
// prefill, and the number in flight when it was sent. The limit grows only if
// it was in use, so that an idle replica's limit means something.
func (l *Limit) Observe(now time.Time, delay time.Duration, inFlight int) {
	l.measured += delaySmoothing * (delay.Seconds() - l.measured)
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
	l.decrease(now, min(strongestDecrease, strongestDecrease*(ratio-1)))
}

// RecordFailure records an attempt that the replica failed or refused for load.
func (l *Limit) RecordFailure(now time.Time) {
	l.decrease(now, failureDecrease)
}

func (l *Limit) decrease(now time.Time, part float64) {
	if !l.lastDecrease.IsZero() && now.Sub(l.lastDecrease) < l.setPoint {
		return
	}
	l.lastDecrease = now
	l.value = max(l.minimum, l.value*(1-part))
}

// ClassLimit is the part of a limit that a class may use. Long requests leave a
// quarter, at least one, to the others once the limit is two or more.
func ClassLimit(limit int, class api.Class) int {
	if class != api.ClassLong || limit < 2 {
		return limit
	}
	return limit - max(1, limit/4)
}
