package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

const (
	// feedInterval is the time between two requests that are sent to a cold
	// replica for its own sake.
	feedInterval = 200 * time.Millisecond
	// feedPart of a request's remaining time may be spent to feed a cold replica.
	feedPart = 0.25
	// failingPrice, in seconds, times the square of the part of attempts that
	// fail is added to a replica's cost: one failure in ten hardly counts.
	failingPrice = 30
	// patiencePart of its remaining time a request may wait for one replica.
	patiencePart = 0.25
)

// promptTokens is the whole prompt of a request.
func promptTokens(request *Request) float64 {
	total := request.PromptTokens
	for _, prefix := range request.Prefixes {
		total += prefix.Tokens
	}
	return float64(total)
}

// chosen is a replica with what was expected of it.
type chosen struct {
	target *replica
	cached float64 // tokens, by the index
	room   bool
}

// place chooses a replica for the waiter's request; its target is nil if there
// is none. With patient set a replica without room may be chosen, if waiting
// for it costs less than prefilling its prefix elsewhere.
func (s *service) place(now time.Time, w *waiter, patient bool) chosen {
	s.index.Cached(w.chain, func(number, tokens int) {
		s.cached[number] = float64(tokens)
	})
	choice := s.feed(now, w)
	if choice.target == nil {
		choice = s.choose(now, w, patient)
	}
	for number := range s.cached {
		s.cached[number] = 0
	}
	return choice
}

func (s *service) choose(now time.Time, w *waiter, patient bool) chosen {
	s.candidates = s.candidates[:0]
	longest := patiencePart * w.request.Deadline.Sub(now).Seconds()
	for position, target := range s.replicas {
		if !target.usable(now) || w.request.ExcludedReplicas[target.name] {
			continue
		}
		room := target.room(now, w.request.Class)
		wait := target.waitForRoom(w)
		if !room && (!patient || wait > longest) {
			continue
		}
		candidate := target.candidate(position, s.cached[target.number])
		failing := s.group.FailureRatio(now, target.name)
		candidate.Penalty = failingPrice * failing * failing
		if !room {
			candidate.Wait = wait
		}
		s.candidates = append(s.candidates, candidate)
	}
	best, _ := placement.Choose(s.candidates, w.work)
	if best < 0 {
		return chosen{}
	}
	target := s.replicas[s.candidates[best].Number]
	return chosen{target: target, cached: s.cached[target.number], room: s.candidates[best].Wait == 0}
}

// feed picks a cold replica that waits for work, if the request can bear it:
// expected times alone would never choose a slow replica, and it would stay cold.
func (s *service) feed(now time.Time, w *waiter) chosen {
	for _, target := range s.replicas {
		due := target.cold() && now.Sub(target.fedAt) >= feedInterval
		if !due || !target.usable(now) || !target.room(now, w.request.Class) || w.request.ExcludedReplicas[target.name] {
			continue
		}
		candidate := target.candidate(0, s.cached[target.number])
		left := w.request.Deadline.Sub(now).Seconds()
		if candidate.FirstToken(w.work.Tokens) > feedPart*left {
			continue
		}
		return chosen{target: target, cached: s.cached[target.number], room: true}
	}
	return chosen{}
}
