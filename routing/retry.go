package routing

import "time"

// RecordAttempt counts the first attempt of a request, which adds to the retry budget.
func (r *Router) RecordAttempt() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.retryBudget.RecordFirstAttempt(time.Now())
}

// AllowRetry reports whether the retry budget allows another retry, and charges the budget
// if it does. It must not be called for a request that was already retried.
func (r *Router) AllowRetry() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.retryBudget.Allow(time.Now())
}
