package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
)

const (
	// costUnit is the number of tokens that cost one unit in fair queueing.
	costUnit = 1024
	// standingQueueAge is the age from which a queue is a standing queue.
	standingQueueAge = 4 * time.Second
	// minStandingFraction is the least fraction of the queue length that a standing
	// queue may have.
	minStandingFraction = 0.125
	// minCompletionRate is the least rate that is assumed, in completions per second.
	minCompletionRate = 0.01
)

// enter grants the waiter a reservation on its best replica if that has capacity and
// no waiter is ahead; else it queues the waiter. If the queue rejects the waiter, it
// gets any replica with capacity, and is rejected only if there is none.
func (s *service) enter(now time.Time, w *waiter) (*Reservation, *api.Error) {
	choice := s.chooseReplica(now, w, true)
	free := s.queue.ClassLen(w.request.Class) == 0 || (choice.target != nil && choice.target.waiters == 0)
	if choice.hasCapacity && free {
		s.queueWait -= serviceTimeSmoothing * s.queueWait
		return s.newReservation(now, w, choice), nil
	}
	failure := s.enqueue(now, w)
	if failure == nil {
		w.setAwaited(choice.target)
		return nil, nil
	}
	if choice = s.chooseReplica(now, w, false); choice.target != nil {
		return s.newReservation(now, w, choice), nil
	}
	return nil, failure
}

// enqueue adds the waiter to the queue, or returns the rejection.
func (s *service) enqueue(now time.Time, w *waiter) *api.Error {
	w.queuedAt = now
	if w.done == nil {
		w.done = make(chan struct{})
	}
	w.item = &admission.Item[*waiter]{
		Tenant:             w.request.Tenant,
		Class:              w.request.Class,
		Weight:             shareOf(s.router.plan, &w.request),
		Cost:               1 + (w.work.Tokens+float64(w.request.MaxTokens))/costUnit,
		Deadline:           w.request.Deadline,
		ExpectedFirstToken: s.expectedFirstToken(w),
		Payload:            w,
	}
	if s.queue.Len() == 0 {
		s.queuedSince = now
	}
	rate := s.completionRate(now)
	evicted, rejected := s.queue.Enqueue(now, w.item, rate)
	if evicted != nil {
		s.grantOrReject(now, evicted.Payload, s.fullError(&evicted.Payload.request, rate))
	}
	switch rejected {
	case admission.RejectedFull:
		return s.fullError(&w.request, rate)
	case admission.RejectedDeadline:
		return s.lateError(&w.request, rate)
	default:
		return nil
	}
}

// dispatch grants reservations to queued requests in fair order while there is
// capacity. A request whose prefix is worth the wait keeps waiting for its replica.
func (s *service) dispatch(now time.Time) {
	s.lastDispatch = now
	if s.queue.Len() == 0 {
		s.queuedSince = time.Time{}
		return
	}
	for s.anyCapacity(now) && s.queue.Dequeue(func(item *admission.Item[*waiter]) bool { return s.tryGrant(now, item.Payload) }) != nil {
	}
	s.removeExpired(now)
}

// anyCapacity reports whether some replica has capacity for a request that is not
// long.
func (s *service) anyCapacity(now time.Time) bool {
	for _, target := range s.replicas {
		if target.usable(now) && target.hasCapacity(now, api.ClassQuick) {
			return true
		}
	}
	return false
}

// tryGrant grants a queued request its best replica if that has capacity.
func (s *service) tryGrant(now time.Time, w *waiter) bool {
	choice := s.chooseReplica(now, w, true)
	if choice.target == nil || !choice.hasCapacity {
		w.setAwaited(choice.target)
		return false
	}
	s.queueWait = smoothed(s.queueWait, now.Sub(w.queuedAt).Seconds(), serviceTimeSmoothing)
	w.grant(s.newReservation(now, w, choice))
	return true
}

// grantOrReject grants a request that must leave the queue any replica with capacity,
// else rejects it.
func (s *service) grantOrReject(now time.Time, w *waiter, failure *api.Error) {
	choice := s.chooseReplica(now, w, false)
	if choice.target == nil {
		w.reject(failure)
		return
	}
	w.grant(s.newReservation(now, w, choice))
}

// removeExpired removes the queued requests that can no longer meet their deadline or
// have tried all usable replicas, and all of them once no replica has been usable for
// unusableWait.
func (s *service) removeExpired(now time.Time) {
	rate := s.completionRate(now)
	for _, item := range s.queue.RemoveExpired(now, rate) {
		s.grantOrReject(now, item.Payload, s.lateError(&item.Payload.request, rate))
	}
	if s.queue.Len() > 0 && s.unusableFor(now) >= unusableWait {
		for _, item := range s.queue.Drain() {
			item.Payload.reject(s.unusableError(&item.Payload.request))
		}
	}
	for _, item := range s.queue.Items() {
		if s.exhausted(now, &item.Payload.request) && s.queue.Remove(item) {
			item.Payload.reject(s.unusableError(&item.Payload.request))
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

// rejectInadmissible rejects the queued requests that the plan no longer admits.
func (s *service) rejectInadmissible(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	mayServe := s.mayBecomeUsable()
	for _, item := range s.queue.Items() {
		failure := s.router.planError(&item.Payload.request)
		if failure == nil && !mayServe {
			failure = s.unusableError(&item.Payload.request)
		}
		if failure != nil && s.queue.Remove(item) {
			item.Payload.reject(failure)
		}
	}
	s.removeExpired(now)
}

// removeRerouted removes the waiters whose model belongs to another service under
// a new plan.
func (s *service) removeRerouted(plan *Plan) []*waiter {
	var moved []*waiter
	for _, item := range s.queue.Items() {
		route, _ := plan.Route(item.Payload.request.Model)
		if route.Service != s.name && s.queue.Remove(item) {
			moved = append(moved, item.Payload)
		}
	}
	return moved
}

// limitStandingQueue limits a standing queue to the length that takes as long to
// complete as the target of the first token. A younger queue may use its full length.
func (s *service) limitStandingQueue(now time.Time) {
	if s.queuedSince.IsZero() || now.Sub(s.queuedSince) < standingQueueAge {
		s.queue.SetStandingQueueLimit(0)
		return
	}
	length := s.completionRate(now) * s.firstTokenTarget.Seconds()
	minimum := minStandingFraction * float64(s.queueLength)
	s.queue.SetStandingQueueLimit(int(max(length, minimum, 1)))
}

func (s *service) fullError(request *Request, rate float64) *api.Error {
	return rejection(request, api.CodeOverloaded, s.queue.RetryAfter(rate), "the queue of %q is full", s.name)
}

func (s *service) lateError(request *Request, rate float64) *api.Error {
	return rejection(request, api.CodeDeadline, s.queue.RetryAfter(rate), "%q cannot begin the answer in the caller's time", s.name)
}

func (s *service) unusableError(request *Request) *api.Error {
	code := api.CodeNoCapacity
	if len(request.Home) > 0 {
		code = api.CodeHomeUnavailable
	}
	return rejection(request, code, unavailableRetryAfter, "no replica of %q is usable in region %q", s.name, s.router.config.Region)
}
