package routing

import "time"

// completionRate returns the completions per second to expect, 0 if unknown. For a
// queue that has stood for standingQueueAge it is the measured rate. For a younger one
// it is at least the rate by Little's law, since what was measured before the queue
// began was the demand and not the capacity.
func (s *service) completionRate(now time.Time) float64 {
	measured := s.completions.PerSecond(now)
	if s.queuedSince.IsZero() || now.Sub(s.queuedSince) < standingQueueAge {
		measured = max(measured, s.expectedRate())
	}
	if s.completed == 0 {
		return 0
	}
	return max(measured, minCompletionRate)
}

// expectedRate returns the completions per second of the requests in flight at the
// smoothed service time.
func (s *service) expectedRate() float64 {
	if s.serviceTime <= 0 {
		return 0
	}
	inFlight := 0
	for _, target := range s.replicas {
		inFlight += target.inFlight
	}
	return float64(inFlight) / s.serviceTime
}

// expectedFirstToken returns the expected time to the first token of a request on the
// fastest replica with the longest cached prefix, without queueing.
func (s *service) expectedFirstToken(w *waiter) time.Duration {
	rate := 0.0
	for _, target := range s.replicas {
		if target.open {
			rate = max(rate, target.report.PrefillTokensPerSecond)
		}
	}
	if rate <= 0 {
		return 0
	}
	cached := 0
	s.index.Cached(w.chain, func(_, tokens int) {
		cached = max(cached, tokens)
	})
	seconds := max(0, w.work.Tokens-float64(cached)) / rate
	return time.Duration(seconds * float64(time.Second))
}
