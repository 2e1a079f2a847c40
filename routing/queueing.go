package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
)

const (
	// costUnit is the number of tokens that count as one unit of cost in fair
	// shares.
	costUnit = 1024
	// youngQueue is the age up to which a queue is judged by what it should do.
	youngQueue = 4 * time.Second
	// leastStanding is the part of the queue's length that may always wait.
	leastStanding = 0.125
	// leastRate bounds the completions per second assumed, above zero.
	leastRate = 0.01
)

// enter grants the waiter a slot on its best replica, if that has room and
// nobody waits for it; else it queues the waiter. One that finds no place in the
// queue is granted any replica with room before it is refused.
func (s *service) enter(now time.Time, w *waiter) (*Reservation, *api.Error) {
	choice := s.place(now, w, true)
	free := s.queue.ClassLen(w.request.Class) == 0 || (choice.target != nil && choice.target.wanted == 0)
	if choice.room && free {
		s.waited -= holdSmoothing * s.waited
		return s.newSlot(now, w, choice), nil
	}
	failure := s.enqueue(now, w)
	if failure == nil {
		w.want(choice.target)
		return nil, nil
	}
	if choice = s.place(now, w, false); choice.target != nil {
		return s.newSlot(now, w, choice), nil
	}
	return nil, failure
}

// enqueue gives the waiter a place in the queue, or says why not.
func (s *service) enqueue(now time.Time, w *waiter) *api.Error {
	w.since = now
	if w.done == nil {
		w.done = make(chan struct{})
	}
	w.item = &admission.Item[*waiter]{
		Tenant:             w.request.Tenant,
		Class:              w.request.Class,
		Weight:             shareOf(s.router.plan, &w.request),
		Cost:               1 + (w.work.Tokens+float64(w.request.MaxTokens))/costUnit,
		Deadline:           w.request.Deadline,
		ExpectedFirstToken: s.needs(w),
		Payload:            w,
	}
	if s.queue.Len() == 0 {
		s.queuedSince = now
	}
	rate := s.rate(now)
	pushedOut, refused := s.queue.Enqueue(now, w.item, rate)
	if pushedOut != nil {
		s.lastChance(now, pushedOut.Payload, s.fullError(&pushedOut.Payload.request, rate))
	}
	switch refused {
	case admission.RejectedFull:
		return s.fullError(&w.request, rate)
	case admission.RejectedDeadline:
		return s.lateError(&w.request, rate)
	default:
		return nil
	}
}

// dispatch grants slots to waiting requests in fair order while there is room.
// A request whose prefix is worth the wait keeps waiting for its replica.
func (s *service) dispatch(now time.Time) {
	s.dispatched = now
	if s.queue.Len() == 0 {
		s.queuedSince = time.Time{}
		return
	}
	for s.anyRoom(now) && s.queue.Dequeue(func(item *admission.Item[*waiter]) bool { return s.tryGrant(now, item.Payload) }) != nil {
	}
	s.sweep(now)
}

// anyRoom reports whether some replica would take a request that is not long.
func (s *service) anyRoom(now time.Time) bool {
	for _, target := range s.replicas {
		if target.usable(now) && target.room(now, api.ClassQuick) {
			return true
		}
	}
	return false
}

// tryGrant grants a waiting request its best replica if that has room.
func (s *service) tryGrant(now time.Time, w *waiter) bool {
	choice := s.place(now, w, true)
	if choice.target == nil || !choice.room {
		w.want(choice.target)
		return false
	}
	s.waited = smoothed(s.waited, now.Sub(w.since).Seconds(), holdSmoothing)
	w.grant(s.newSlot(now, w, choice))
	return true
}

// lastChance grants a request that must leave the queue any replica with room;
// else it is refused.
func (s *service) lastChance(now time.Time, w *waiter, failure *api.Error) {
	choice := s.place(now, w, false)
	if choice.target == nil {
		w.refuse(failure)
		return
	}
	w.grant(s.newSlot(now, w, choice))
}

// sweep refuses the waiting requests that can no longer make their time, and
// all of them once no replica has been usable for a while.
func (s *service) sweep(now time.Time) {
	rate := s.rate(now)
	for _, item := range s.queue.RemoveExpired(now, rate) {
		s.lastChance(now, item.Payload, s.lateError(&item.Payload.request, rate))
	}
	if s.queue.Len() > 0 && s.unusableFor(now) >= unusableWait {
		for _, item := range s.queue.Drain() {
			item.Payload.refuse(s.unusableError(&item.Payload.request))
		}
	}
	for _, item := range s.queue.Items() {
		if s.exhausted(now, &item.Payload.request) && s.queue.Remove(item) {
			item.Payload.refuse(s.unusableError(&item.Payload.request))
		}
	}
}

// exhausted reports whether a request has tried every usable replica.
func (s *service) exhausted(now time.Time, request *Request) bool {
	if len(request.ExcludedReplicas) == 0 {
		return false
	}
	for _, target := range s.replicas {
		if target.usable(now) && !request.ExcludedReplicas[target.name] {
			return false
		}
	}
	return true
}

// judgeQueue refuses waiting requests that the present plan no longer admits.
func (s *service) judgeQueue(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	possible := s.possible()
	for _, item := range s.queue.Items() {
		failure := s.router.planError(&item.Payload.request)
		if failure == nil && !possible {
			failure = s.unusableError(&item.Payload.request)
		}
		if failure != nil && s.queue.Remove(item) {
			item.Payload.refuse(failure)
		}
	}
	s.sweep(now)
}

// takeRerouted removes the waiters whose model belongs to another service under
// a new plan.
func (s *service) takeRerouted(plan *Plan) []*waiter {
	var moved []*waiter
	for _, item := range s.queue.Items() {
		route, _ := plan.Route(item.Payload.request.Model)
		if route.Service != s.name && s.queue.Remove(item) {
			moved = append(moved, item.Payload)
		}
	}
	return moved
}

// rate is the completions per second that the queue can count on, 0 if unknown.
// A queue that has stood for a while is judged by what was measured meanwhile;
// a young one also by Little's law, since what was measured before it was the
// demand and not the capacity.
func (s *service) rate(now time.Time) float64 {
	measured := s.completions.PerSecond(now)
	if s.queuedSince.IsZero() || now.Sub(s.queuedSince) < youngQueue {
		measured = max(measured, s.expectedRate())
	}
	if s.completed == 0 {
		return 0
	}
	return max(measured, leastRate)
}

// expectedRate is what the requests in flight complete per second if each takes
// the usual time.
func (s *service) expectedRate() float64 {
	if s.hold <= 0 {
		return 0
	}
	inFlight := 0
	for _, target := range s.replicas {
		inFlight += target.inFlight
	}
	return float64(inFlight) / s.hold
}

// needs is the expected time from the start to the first token on the best
// replica for it, without any queueing.
func (s *service) needs(w *waiter) time.Duration {
	speed := 0.0
	for _, target := range s.replicas {
		if target.open {
			speed = max(speed, target.report.PrefillTokensPerSecond)
		}
	}
	if speed <= 0 {
		return 0
	}
	most := 0
	s.index.Cached(w.chain, func(_, tokens int) {
		most = max(most, tokens)
	})
	seconds := max(0, w.work.Tokens-float64(most)) / speed
	return time.Duration(seconds * float64(time.Second))
}

// boundStanding keeps a queue that does not drain at the length that waits as
// long as the set point of the first token. A young queue may use all of it.
func (s *service) boundStanding(now time.Time) {
	if s.queuedSince.IsZero() || now.Sub(s.queuedSince) < youngQueue {
		s.queue.SetStandingQueueLimit(0)
		return
	}
	length := s.rate(now) * s.firstToken.Seconds()
	least := leastStanding * float64(s.queueLength)
	s.queue.SetStandingQueueLimit(int(max(length, least, 1)))
}

func (s *service) fullError(request *Request, rate float64) *api.Error {
	return refusal(request, api.CodeOverloaded, s.queue.RetryAfter(rate), "the queue of %q is full", s.name)
}

func (s *service) lateError(request *Request, rate float64) *api.Error {
	return refusal(request, api.CodeDeadline, s.queue.RetryAfter(rate), "%q cannot begin the answer in the caller's time", s.name)
}

func (s *service) unusableError(request *Request) *api.Error {
	code := api.CodeNoCapacity
	if len(request.Home) > 0 {
		code = api.CodeHomeUnavailable
	}
	return refusal(request, code, unavailableRetry, "no replica of %q is usable in region %q", s.name, s.router.config.Region)
}
