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
	since   time.Time     // when it was queued
	done    chan struct{} // closed once slot or failure is set
	slot    *Reservation
	failure *api.Error
	wants   *replica // the replica that it waits for
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
	w.want(nil)
	w.slot = slot
	close(w.done)
}

func (w *waiter) refuse(failure *api.Error) {
	w.want(nil)
	w.failure = failure
	close(w.done)
}

// want notes the replica that the waiter waits for; nil is none.
func (w *waiter) want(target *replica) {
	if w.wants != nil {
		w.wants.wanted--
	}
	w.wants = target
	if target != nil {
		target.wanted++
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
	if choice := target.place(now, w, false); choice.target != nil {
		return target.newSlot(now, w, choice), nil
	}
	if !target.anyUsable(now) {
		return nil, target.unusableError(&w.request)
	}
	retryAfter := target.queue.RetryAfter(target.rate(now))
	return nil, refusal(&w.request, api.CodeOverloaded, retryAfter, "no replica of %q has room", target.name)
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
	w.slot, w.failure = nil, nil
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
			return w.slot, w.failure
		case <-ctx.Done():
			return nil, r.cancel(w)
		case <-timer.C:
			r.wake(w)
			timer.Reset(tickInterval)
		}
	}
}

// wake judges the queue of a waiter again.
func (r *Router) wake(w *waiter) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	service := r.services[w.request.Service]
	if service != nil && now.Sub(service.dispatched) >= tickInterval/2 {
		service.dispatch(now)
	}
}

// cancel takes a waiter out whose caller has gone.
func (r *Router) cancel(w *waiter) *api.Error {
	r.mutex.Lock()
	if service := r.services[w.request.Service]; service != nil && service.queue.Remove(w.item) {
		w.want(nil)
	}
	slot := w.slot
	r.mutex.Unlock()
	if slot != nil {
		slot.Finish(ResultCanceled, nil, time.Now())
	}
	return refusal(&w.request, api.CodeCanceled, 0, "the caller went away before a replica was found")
}

// admit finds the service of a request, or the reason why it cannot be served
// here at all.
func (r *Router) admit(now time.Time, request *Request) (*service, *api.Error) {
	if failure := r.planError(request); failure != nil {
		return nil, failure
	}
	if !now.Before(request.Deadline) {
		return nil, refusal(request, api.CodeDeadline, 0, "the caller's time has run out")
	}
	target := r.services[request.Service]
	if !target.possible() || target.exhausted(now, request) || target.unusableFor(now) >= unusableWait {
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
			return refusal(request, api.CodeNotFound, 0, "no route for model %q", request.Model)
		}
		request.Service = route.Service
	}
	if r.services[request.Service] == nil {
		return refusal(request, api.CodeNotFound, 0, "no service %q", request.Service)
	}
	if !mayRunIn(r.plan, request, r.config.Region) {
		return refusal(request, api.CodeHomeUnavailable, unavailableRetry, "region %q is outside the request's home", r.config.Region)
	}
	return nil
}

// judgeAgain queues a waiter anew whose service has gone or changed.
func (r *Router) judgeAgain(now time.Time, w *waiter) {
	target, failure := r.admit(now, &w.request)
	if failure != nil {
		w.refuse(failure)
		return
	}
	w.want(nil)
	slot, failure := target.enter(now, w)
	switch {
	case slot != nil:
		w.grant(slot)
	case failure != nil:
		w.refuse(failure)
	}
}
