package routing

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Acquire waits for a reservation on a replica of the local region. It returns no later
// than the request's deadline. It returns earlier if the request cannot meet its deadline,
// or, with CodeCanceled, if ctx is done. A rejected request was never executed. The caller
// must end every reservation with Reservation.Finish.
func (r *Router) Acquire(ctx context.Context, request Request) (*Reservation, *api.Error) {
	w := newWaiter(request)
	for {
		reservation, failure := r.acquireOnce(ctx, w)
		if failure != nil || reservation.Usable(time.Now()) {
			return reservation, failure
		}
		// The plan or the replica has changed since the reservation was granted.
		reservation.Finish(ResultCanceled, nil, time.Now())
	}
}

// Reserve is like Acquire but does not wait: it rejects a request that would be queued.
func (r *Router) Reserve(request Request) (*Reservation, *api.Error) {
	now := time.Now()
	w := newWaiter(request)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	service, failure := r.admit(now, &w.request)
	if failure != nil {
		return nil, failure
	}
	if choice := service.chooseReplica(now, w, false); choice.target != nil {
		return service.newReservation(now, w, choice), nil
	}
	if !service.anyUsable(now) {
		return nil, service.unusableError(&w.request)
	}
	retryAfter := service.queue.RetryAfter(service.completionRate(now))
	return nil, rejection(&w.request, api.CodeOverloaded, retryAfter, "no replica of service %q has capacity for another request", service.name)
}

func (r *Router) acquireOnce(ctx context.Context, w *waiter) (*Reservation, *api.Error) {
	w.done = nil
	reservation, failure := r.enter(w)
	if reservation != nil || failure != nil {
		return reservation, failure
	}
	return r.await(ctx, w)
}

// enter grants a reservation or rejects the request immediately, or else queues the
// waiter and returns nil for both.
func (r *Router) enter(w *waiter) (*Reservation, *api.Error) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	service, failure := r.admit(now, &w.request)
	if failure != nil {
		return nil, failure
	}
	w.reservation, w.failure = nil, nil
	return service.enter(now, w)
}
