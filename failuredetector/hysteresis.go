package failuredetector

import "time"

// Hysteresis filters short changes of an observed value: it adopts another value only
// once that has been observed without interruption for a given time. The zero value
// adopts the first observed value immediately. It is not safe for concurrent use.
type Hysteresis[T comparable] struct {
	value          T
	candidate      T
	candidateSince time.Time
	adopted        bool // value is set
	pending        bool // candidate is set
}

// Observe records the value observed at the time now and returns the adopted value. A
// value that differs from the adopted one replaces it once it has lasted for hold.
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

// Reset restores the zero value.
func (h *Hysteresis[T]) Reset() {
	*h = Hysteresis[T]{}
}

// Value returns the adopted value and reports whether there is one.
func (h *Hysteresis[T]) Value() (T, bool) {
	return h.value, h.adopted
}
