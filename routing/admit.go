package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// admit returns the service of a request, or the rejection of one that cannot be
// served in this region at all.
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

// planError returns the rejection of a request that the plan does not admit. It sets
// the request's service to the one that its model is routed to now.
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

// readmit admits a waiter anew whose service was removed or changed.
func (r *Router) readmit(now time.Time, w *waiter) {
	target, failure := r.admit(now, &w.request)
	if failure != nil {
		w.reject(failure)
		return
	}
	w.setAwaited(nil)
	reservation, failure := target.enter(now, w)
	switch {
	case reservation != nil:
		w.grant(reservation)
	case failure != nil:
		w.reject(failure)
	}
}
