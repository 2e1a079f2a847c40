package failuredetector

import "time"

// Hysteresis keeps an observed value steady: another value is adopted only once
// it has been observed without interruption for a given time. The zero value has
// adopted nothing and adopts the first value at once. It is not safe for
// concurrent use.
type Hysteresis[T comparable] struct {
	value          T
	candidate      T
	candidateSince time.Time
	adopted        bool // value is set
	pending        bool // candidate is set
}

// Observe records the value observed at now and returns the adopted one. Another
// value than the adopted one replaces it once it has lasted for hold.
func (h *Hysteresis[T]) Observe(now time.Time, value T, hold time.Duration) T {
	if !h.adopted {
		h.value, h.adopted = value, true
		return h.value
	}
	if value == h.value {
		h.pending = false
		return h.value
	}
	if !h.pending || h.candidate != value {
		h.candidate, h.candidateSince, h.pending = value, now, true
	}
	if now.Sub(h.candidateSince) >= hold {
		h.value, h.pending = value, false
	}
	return h.value
}

// Reset returns to the zero value.
func (h *Hysteresis[T]) Reset() {
	*h = Hysteresis[T]{}
}

// Value returns the adopted value and whether there is one.
func (h *Hysteresis[T]) Value() (T, bool) {
	return h.value, h.adopted
}
