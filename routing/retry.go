package routing

import "time"

// RecordAttempt counts a first attempt sent to a replica, which adds to the retry
// budget.
func (r *Router) RecordAttempt() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.retryBudget.RecordFirstAttempt(time.Now())
}

// AllowRetry reports whether a request may be retried, and spends the retry budget
// for it. It must not be called for a request that was already retried.
func (r *Router) AllowRetry() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.retryBudget.Allow(time.Now())
}
