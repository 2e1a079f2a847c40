package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

const (
	// warmupInterval is how long a replica that is warming up may be sent no request
	// before one is sent to it regardless of its cost.
	warmupInterval = 200 * time.Millisecond
	// warmupTimeFraction is the fraction of a request's remaining time that its first
	// token may take on a replica that is chosen only to warm it up.
	warmupTimeFraction = 0.25
	// failurePenalty is the cost, in seconds, of a failure ratio of 1. It is multiplied by
	// the square of the failure ratio, so that a ratio of 0.1 adds only 0.3 s.
	failurePenalty = 30
	// maxWaitFraction is the fraction of a request's remaining time that it may wait for
	// one replica.
	maxWaitFraction = 0.25
)

// promptTokens returns the number of tokens of the prompt, including its prefixes.
func promptTokens(request *Request) float64 {
	total := request.PromptTokens
	for _, prefix := range request.Prefixes {
		total += prefix.Tokens
	}
	return float64(total)
}

// choice is a chosen replica; target is nil if there is none.
type choice struct {
	target      *replica
	cached      float64 // tokens of the prompt that its KV cache has, by the prefix index
	hasCapacity bool
}

// chooseReplica chooses a replica for the waiter's request. If mayWait is set, it may
// choose a replica without capacity when waiting for it costs less than prefilling the
// prompt on another replica.
func (s *service) chooseReplica(now time.Time, w *waiter, mayWait bool) choice {
	s.prefixIndex.Cached(w.chain, func(number, tokens int) {
		s.cachedTokens[number] = float64(tokens)
	})
	choice := s.chooseForWarmup(now, w)
	if choice.target == nil {
		choice = s.chooseByCost(now, w, mayWait)
	}
	for number := range s.cachedTokens {
		s.cachedTokens[number] = 0
	}
	return choice
}

// chooseByCost chooses the usable replica with the lowest expected cost.
func (s *service) chooseByCost(now time.Time, w *waiter, mayWait bool) choice {
	s.candidates = s.candidates[:0]
	maxWait := maxWaitFraction * w.request.Deadline.Sub(now).Seconds()
	for position, target := range s.replicas {
		if !target.usable(now) || w.request.ExcludedReplicas[target.name] {
			continue
		}
		hasCapacity := target.hasCapacity(now, w.request.Class)
		wait := target.expectedCapacityWait(w)
		if !hasCapacity && (!mayWait || wait > maxWait) {
			continue
		}
		candidate := target.candidate(position, s.cachedTokens[target.number])
		failureRatio := s.outlierGroup.FailureRatio(now, target.name)
		candidate.Penalty = failurePenalty * failureRatio * failureRatio
		if !hasCapacity {
			candidate.Wait = wait
		}
		s.candidates = append(s.candidates, candidate)
	}
	best, _ := placement.Choose(s.candidates, w.work)
	if best < 0 {
		return choice{}
	}
	target := s.replicas[s.candidates[best].Number]
	return choice{target: target, cached: s.cachedTokens[target.number], hasCapacity: s.candidates[best].Wait == 0}
}

// chooseForWarmup chooses a replica that is due for a warm-up request, if the request's
// deadline allows it. If replicas were chosen by cost alone, a cold replica, which is
// slow, would never be chosen and would never warm up.
func (s *service) chooseForWarmup(now time.Time, w *waiter) choice {
	for _, target := range s.replicas {
		due := target.warmingUp() && now.Sub(target.lastWarmup) >= warmupInterval
		if !due || !target.usable(now) || !target.hasCapacity(now, w.request.Class) || w.request.ExcludedReplicas[target.name] {
			continue
		}
		candidate := target.candidate(0, s.cachedTokens[target.number])
		remaining := w.request.Deadline.Sub(now).Seconds()
		if candidate.TimeToFirstToken(w.work.Tokens) > warmupTimeFraction*remaining {
			continue
		}
		return choice{target: target, cached: s.cachedTokens[target.number], hasCapacity: true}
	}
	return choice{}
}
