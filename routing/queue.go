package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
)

const (
	// costUnit is the number of tokens that make up one unit of cost in fair queueing.
	costUnit = 1024
	// standingQueueAge is how long a queue must not have been empty to count as a standing
	// queue.
	standingQueueAge = 4 * time.Second
	// minStandingFraction is the smallest limit of a standing queue, as a fraction of the
	// configured queue length.
	minStandingFraction = 0.125
	// minCompletionRate is the lowest rate that is assumed once a request has completed, in
	// completions per second.
	minCompletionRate = 0.01
)

// enter grants the waiter a reservation on its best replica if that replica has capacity
// and no other waiter comes first; otherwise it queues the waiter. If the queue rejects
// the waiter, it is granted the best replica that has capacity, and is rejected only if
// there is none.
func (s *service) enter(now time.Time, w *waiter) (*Reservation, *api.Error) {
	choice := s.chooseReplica(now, w, true)
	noneAhead := s.queue.ClassLen(w.request.Class) == 0 || (choice.target != nil && choice.target.waiters == 0)
	if choice.hasCapacity && noneAhead {
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

// enqueue adds the waiter to the queue, or returns the reason why it is rejected.
func (s *service) enqueue(now time.Time, w *waiter) *api.Error {
	w.queuedAt = now
	if w.done == nil {
		w.done = make(chan struct{})
	}
	w.item = &admission.Item[*waiter]{
		Tenant:             w.request.Tenant,
		Class:              w.request.Class,
		Weight:             fairQueueWeight(s.router.plan, &w.request),
		Cost:               1 + (w.work.Tokens+float64(w.request.MaxTokens))/costUnit,
		Deadline:           w.request.Deadline,
		ExpectedFirstToken: s.expectedFirstToken(w),
		Payload:            w,
	}
	if s.queue.Len() == 0 {
		s.queuedSince = now
	}
	rate := s.completionRate(now)
	displaced, rejected := s.queue.Enqueue(now, w.item, rate)
	if displaced != nil {
		s.grantOrReject(now, displaced.Payload, s.queueFullError(&displaced.Payload.request, rate))
	}
	switch rejected {
	case admission.RejectedFull:
		return s.queueFullError(&w.request, rate)
	case admission.RejectedDeadline:
		return s.deadlineError(&w.request, rate)
	default:
		return nil
	}
}

// dispatch grants reservations to queued requests in fair order while there is capacity.
// A request stays queued if waiting for a replica that has its prefix cached costs less
// than running on another.
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

// anyCapacity reports whether any replica has capacity for a request of a class other
// than long.
func (s *service) anyCapacity(now time.Time) bool {
	for _, target := range s.replicas {
		if target.usable(now) && target.hasCapacity(now, api.ClassQuick) {
			return true
		}
	}
	return false
}

// tryGrant grants a queued request a reservation on its best replica if that replica has
// capacity, and reports whether it did.
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

// grantOrReject grants a request that was removed from the queue a reservation on the best
// replica that has capacity, or rejects it if there is none.
func (s *service) grantOrReject(now time.Time, w *waiter, failure *api.Error) {
	choice := s.chooseReplica(now, w, false)
	if choice.target == nil {
		w.reject(failure)
		return
	}
	w.grant(s.newReservation(now, w, choice))
}

// removeExpired removes the queued requests that can no longer meet their deadline or that
// have tried all usable replicas. It removes all queued requests if no replica has been
// usable for unusableWait.
func (s *service) removeExpired(now time.Time) {
	rate := s.completionRate(now)
	for _, item := range s.queue.RemoveExpired(now, rate) {
		s.grantOrReject(now, item.Payload, s.deadlineError(&item.Payload.request, rate))
	}
	if s.queue.Len() > 0 && s.unusableFor(now) >= unusableWait {
		for _, item := range s.queue.Drain() {
			item.Payload.reject(s.unusableError(&item.Payload.request))
		}
	}
	for _, item := range s.queue.Items() {
		if s.triedAllUsable(now, &item.Payload.request) && s.queue.Remove(item) {
			item.Payload.reject(s.unusableError(&item.Payload.request))
		}
	}
}

// triedAllUsable reports whether a request that has tried some replicas has no usable
// replica left to try.
func (s *service) triedAllUsable(now time.Time, request *Request) bool {
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

// removeRerouted removes and returns the waiters whose model the new plan routes to another
// service.
func (s *service) removeRerouted(plan *Plan) []*waiter {
	var rerouted []*waiter
	for _, item := range s.queue.Items() {
		route, _ := plan.Route(item.Payload.request.Model)
		if route.Service != s.name && s.queue.Remove(item) {
			rerouted = append(rerouted, item.Payload)
		}
	}
	return rerouted
}

// limitStandingQueue limits a standing queue to the number of requests that complete
// within the target time to the first token. Other queues may use their full length.
func (s *service) limitStandingQueue(now time.Time) {
	if s.queuedSince.IsZero() || now.Sub(s.queuedSince) < standingQueueAge {
		s.queue.SetStandingQueueLimit(0)
		return
	}
	length := s.completionRate(now) * s.firstTokenTarget.Seconds()
	minimum := minStandingFraction * float64(s.queueLength)
	s.queue.SetStandingQueueLimit(int(max(length, minimum, 1)))
}

// queueFullError returns the error of a request for which the queue has no place.
func (s *service) queueFullError(request *Request, rate float64) *api.Error {
	return rejection(request, api.CodeOverloaded, s.queue.RetryAfter(rate), "the queue of service %q is full", s.name)
}

// deadlineError returns the error of a request that cannot meet its deadline.
func (s *service) deadlineError(request *Request, rate float64) *api.Error {
	return rejection(request, api.CodeDeadline, s.queue.RetryAfter(rate), "service %q cannot produce the first token before the request's deadline", s.name)
}

// unusableError returns the error of a request that no usable replica of the region can
// serve.
func (s *service) unusableError(request *Request) *api.Error {
	code := api.CodeNoCapacity
	if len(request.Home) > 0 {
		code = api.CodeHomeUnavailable
	}
	return rejection(request, code, unavailableRetryAfter, "no replica of service %q is usable in region %q", s.name, s.router.config.Region)
}
