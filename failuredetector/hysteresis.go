package failuredetector

import "time"

// Hysteresis holds a fact steady: another value is adopted only once it has
// been offered without interruption for the stated time. Its zero value holds
// nothing and adopts the first value at once.
type Hysteresis[T comparable] struct {
	value     T
	candidate T
	since     time.Time
	settled   bool
	pending   bool
}

// Observe gives the value seen now and the time it must last before it replaces
// the present one, and returns the adopted value.
func (h *Hysteresis[T]) Observe(now time.Time, value T, hold time.Duration) T {
	if !h.settled {
		h.value, h.settled = value, true
		return h.value
	}
	if value == h.value {
		h.pending = false
		return h.value
	}
	if !h.pending || h.candidate != value {
		h.candidate, h.since, h.pending = value, now, true
	}
	if now.Sub(h.since) >= hold {
		h.value, h.pending = value, false
	}
	return h.value
}

// Reset forgets everything.
func (h *Hysteresis[T]) Reset() {
	*h = Hysteresis[T]{}
}

// Value returns the adopted value and whether there is one.
func (h *Hysteresis[T]) Value() (T, bool) {
	return h.value, h.settled
}
