package routing

import "time"

// completionRate returns the expected number of completions per second, 0 if it is
// unknown. If the queue has not been empty for standingQueueAge, this is the measured
// rate. Otherwise it is at least the rate given by Little's law, because the rate that
// was measured before requests had to queue shows the demand and not the capacity.
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

// expectedRate returns the completions per second by Little's law: the requests in flight
// divided by the smoothed service time.
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

// expectedFirstToken returns a lower bound of the expected time to the first token: with
// the prefill speed of the fastest replica, the longest cached prefix of any replica and
// no queueing. It is 0 if the prefill speed is unknown.
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
	s.prefixIndex.Cached(w.chain, func(_, tokens int) {
		cached = max(cached, tokens)
	})
	seconds := max(0, w.work.Tokens-float64(cached)) / rate
	return time.Duration(seconds * float64(time.Second))
}
