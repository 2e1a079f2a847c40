package routing

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
)

// waiter is one request on its way to a slot.
type waiter struct {
	request Request
	chain   []placement.Link
	work    placement.Work
	item    *admission.Item[*waiter]
	queuedAt   time.Time     // when it was queued
	done    chan struct{} // closed once slot or failure is set
	reservation    *Reservation
	failure *api.Error
	awaited   *replica // the replica that it waits for
}

func newWaiter(request Request) *waiter {
	w := &waiter{request: request, chain: placement.Chain(request.Prefixes)}
	w.work.Tokens = promptTokens(&request)
	w.work.AffinityHash = placement.Hash(request.ID)
	if link, ok := placement.Affinity(w.chain); ok {
		w.work.AffinityHash = link.Hash
		w.work.AffinityTokens = float64(link.Tokens)
	}
	return w
}

func (w *waiter) grant(slot *Reservation) {
	w.setAwaited(nil)
	w.reservation = slot
	close(w.done)
}

func (w *waiter) reject(failure *api.Error) {
	w.setAwaited(nil)
	w.failure = failure
	close(w.done)
}

// setAwaited notes the replica that the waiter waits for; nil is none.
func (w *waiter) setAwaited(target *replica) {
	if w.awaited != nil {
		w.awaited.waiters--
	}
	w.awaited = target
	if target != nil {
		target.waiters++
	}
}

// Acquire waits for a slot on a replica of the own region. It returns within
// the request's deadline, earlier if the request cannot make its time, and with
// CodeCanceled if ctx ends first. A refused request never ran. Every slot must
// be given back with Slot.Finish.
func (r *Router) Acquire(ctx context.Context, request Request) (*Reservation, *api.Error) {
	w := newWaiter(request)
	for {
		slot, failure := r.acquireOnce(ctx, w)
		if failure != nil || slot.Usable(time.Now()) {
			return slot, failure
		}
		// The plan or the replica changed between the grant and now.
		slot.Finish(ResultCanceled, nil, time.Now())
	}
}

// Reserve returns a slot at once or refuses; it never waits.
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
	slot, failure := r.enter(w)
	if slot != nil || failure != nil {
		return slot, failure
	}
	return r.await(ctx, w)
}

// enter grants or refuses at once, or leaves the waiter queued.
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

// await waits for the grant or the refusal of a queued request.
func (r *Router) await(ctx context.Context, w *waiter) (*Reservation, *api.Error) {
	// The timer only wakes the judgement of the queue if nothing else does.
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return w.reservation, w.failure
		case <-ctx.Done():
			return nil, r.cancel(w)
		case <-timer.C:
			r.recheckQueue(w)
			timer.Reset(tickInterval)
		}
	}
}

// recheckQueue judges the queue of a waiter again.
func (r *Router) recheckQueue(w *waiter) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	service := r.services[w.request.Service]
	if service != nil && now.Sub(service.lastDispatch) >= tickInterval/2 {
		service.dispatch(now)
	}
}

// cancel takes a waiter out whose caller has gone.
func (r *Router) cancel(w *waiter) *api.Error {
	r.mutex.Lock()
	if service := r.services[w.request.Service]; service != nil && service.queue.Remove(w.item) {
		w.setAwaited(nil)
	}
	slot := w.reservation
	r.mutex.Unlock()
	if slot != nil {
		slot.Finish(ResultCanceled, nil, time.Now())
	}
	return rejection(&w.request, api.CodeCanceled, 0, "the caller went away before a replica was found")
}

// admit finds the service of a request, or the reason why it cannot be served
// here at all.
func (r *Router) admit(now time.Time, request *Request) (*service, *api.Error) {
	if failure := r.planError(request); failure != nil {
		return nil, failure
	}
	if !now.Before(request.Deadline) {
		return nil, rejection(request, api.CodeDeadline, 0, "the caller's time has run out")
	}
	target := r.services[request.Service]
	if !target.mayBecomeUsable() || target.exhausted(now, request) || target.unusableFor(now) >= unusableWait {
		return nil, target.unusableError(request)
	}
	return target, nil
}

// planError judges a request by the present plan alone, and moves it to the
// service that its model is routed to now.
func (r *Router) planError(request *Request) *api.Error {
	if unconfigured(r.plan) {
		return unconfiguredError(request)
	}
	if request.resolved != r.plan {
		route, ok := r.plan.Route(request.Model)
		if !ok {
			return rejection(request, api.CodeNotFound, 0, "no route for model %q", request.Model)
		}
		request.Service = route.Service
	}
	if r.services[request.Service] == nil {
		return rejection(request, api.CodeNotFound, 0, "no service %q", request.Service)
	}
	if !mayRunIn(r.plan, request, r.config.Region) {
		return rejection(request, api.CodeHomeUnavailable, unavailableRetryAfter, "region %q is outside the request's home", r.config.Region)
	}
	return nil
}

// readmit queues a waiter anew whose service has gone or changed.
func (r *Router) readmit(now time.Time, w *waiter) {
	target, failure := r.admit(now, &w.request)
	if failure != nil {
		w.reject(failure)
		return
	}
	w.setAwaited(nil)
	slot, failure := target.enter(now, w)
	switch {
	case slot != nil:
		w.grant(slot)
	case failure != nil:
		w.reject(failure)
	}
}
