package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

const (
	// warmupInterval is the time between two requests that are sent to a cold
	// replica for its own sake.
	warmupInterval = 200 * time.Millisecond
	// warmupTimeFraction of a request's remaining time may be spent to feed a cold replica.
	warmupTimeFraction = 0.25
	// failurePenalty, in seconds, times the square of the part of attempts that
	// fail is added to a replica's cost: one failure in ten hardly counts.
	failurePenalty = 30
	// maxWaitFraction of its remaining time a request may wait for one replica.
	maxWaitFraction = 0.25
)

// promptTokens is the whole prompt of a request.
func promptTokens(request *Request) float64 {
	total := request.PromptTokens
	for _, prefix := range request.Prefixes {
		total += prefix.Tokens
	}
	return float64(total)
}

// choice is a replica with what was expected of it.
type choice struct {
	target *replica
	cached float64 // tokens, by the index
	hasCapacity   bool
}

// chooseReplica chooses a replica for the waiter's request; its target is nil if there
// is none. With patient set a replica without room may be chosen, if waiting
// for it costs less than prefilling its prefix elsewhere.
func (s *service) chooseReplica(now time.Time, w *waiter, patient bool) choice {
	s.index.Cached(w.chain, func(number, tokens int) {
		s.cachedTokens[number] = float64(tokens)
	})
	choice := s.chooseForWarmup(now, w)
	if choice.target == nil {
		choice = s.chooseByCost(now, w, patient)
	}
	for number := range s.cachedTokens {
		s.cachedTokens[number] = 0
	}
	return choice
}

func (s *service) chooseByCost(now time.Time, w *waiter, patient bool) choice {
	s.candidates = s.candidates[:0]
	longest := maxWaitFraction * w.request.Deadline.Sub(now).Seconds()
	for position, target := range s.replicas {
		if !target.usable(now) || w.request.ExcludedReplicas[target.name] {
			continue
		}
		room := target.hasCapacity(now, w.request.Class)
		wait := target.expectedCapacityWait(w)
		if !room && (!patient || wait > longest) {
			continue
		}
		candidate := target.candidate(position, s.cachedTokens[target.number])
		failing := s.group.FailureRatio(now, target.name)
		candidate.Penalty = failurePenalty * failing * failing
		if !room {
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

// chooseForWarmup picks a cold replica that waits for work, if the request can bear it:
// expected times alone would never choose a slow replica, and it would stay cold.
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
