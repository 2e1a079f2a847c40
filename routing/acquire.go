package routing

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Acquire waits for a reservation on a replica of the local region. It returns by the
// request's deadline, earlier if the request cannot meet it, and with CodeCanceled
// if ctx ends first. A rejected request never ran. Every reservation must be ended
// with Reservation.Finish.
func (r *Router) Acquire(ctx context.Context, request Request) (*Reservation, *api.Error) {
	w := newWaiter(request)
	for {
		reservation, failure := r.acquireOnce(ctx, w)
		if failure != nil || reservation.Usable(time.Now()) {
			return reservation, failure
		}
		// The plan or the replica changed between the grant and now.
		reservation.Finish(ResultCanceled, nil, time.Now())
	}
}

// Reserve is Acquire without waiting: it rejects a request that would have to queue.
func (r *Router) Reserve(request Request) (*Reservation, *api.Error) {
	now := time.Now()
	w := newWaiter(request)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	target, failure := r.admit(now, &w.request)
	if failure != nil {
		return nil, failure
	}
	if choice := target.chooseReplica(now, w, false); choice.target != nil {
		return target.newReservation(now, w, choice), nil
	}
	if !target.anyUsable(now) {
		return nil, target.unusableError(&w.request)
	}
	retryAfter := target.queue.RetryAfter(target.completionRate(now))
	return nil, rejection(&w.request, api.CodeOverloaded, retryAfter, "no replica of %q has room", target.name)
}

func (r *Router) acquireOnce(ctx context.Context, w *waiter) (*Reservation, *api.Error) {
	w.done = nil
	reservation, failure := r.enter(w)
	if reservation != nil || failure != nil {
		return reservation, failure
	}
	return r.await(ctx, w)
}

// enter grants a reservation or rejects at once, or queues the waiter and returns nil
// for both.
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
