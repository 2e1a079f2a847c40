package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

const (
	// warmupInterval is the time between two requests that are sent to a replica only
	// to warm it up.
	warmupInterval = 200 * time.Millisecond
	// warmupTimeFraction of a request's remaining time may be spent to warm up a replica.
	warmupTimeFraction = 0.25
	// failurePenalty, in seconds, times the square of its failure ratio is added to a
	// replica's cost, so that one failure in ten hardly counts.
	failurePenalty = 30
	// maxWaitFraction of a request's remaining time may be spent waiting for one
	// replica.
	maxWaitFraction = 0.25
)

// promptTokens returns the length of the prompt with its prefixes.
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
	cached      float64 // tokens expected in its cache, by the index
	hasCapacity bool
}

// chooseReplica chooses a replica for the waiter's request. With mayWait set it may
// choose a replica without capacity, if waiting for that one costs less than
// prefilling the prefix on another.
func (s *service) chooseReplica(now time.Time, w *waiter, mayWait bool) choice {
	s.index.Cached(w.chain, func(number, tokens int) {
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
	longest := maxWaitFraction * w.request.Deadline.Sub(now).Seconds()
	for position, target := range s.replicas {
		if !target.usable(now) || w.request.ExcludedReplicas[target.name] {
			continue
		}
		hasCapacity := target.hasCapacity(now, w.request.Class)
		wait := target.expectedCapacityWait(w)
		if !hasCapacity && (!mayWait || wait > longest) {
			continue
		}
		candidate := target.candidate(position, s.cachedTokens[target.number])
		failing := s.group.FailureRatio(now, target.name)
		candidate.Penalty = failurePenalty * failing * failing
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

// chooseForWarmup chooses a replica that is due for a warm-up request, if the request
// has the time for it. By cost alone a slow replica would never be chosen, and would
// never warm up.
func (s *service) chooseForWarmup(now time.Time, w *waiter) choice {
	for _, target := range s.replicas {
		due := target.warmingUp() && now.Sub(target.lastWarmup) >= warmupInterval
		if !due || !target.usable(now) || !target.hasCapacity(now, w.request.Class) || w.request.ExcludedReplicas[target.name] {
			continue
		}
		candidate := target.candidate(0, s.cachedTokens[target.number])
		left := w.request.Deadline.Sub(now).Seconds()
		if candidate.FirstToken(w.work.Tokens) > warmupTimeFraction*left {
			continue
		}
		return choice{target: target, cached: s.cachedTokens[target.number], hasCapacity: true}
	}
	return choice{}
}
