package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// admit returns the service of a request, or a rejection if no replica of this region
// can serve the request.
func (r *Router) admit(now time.Time, request *Request) (*service, *api.Error) {
	if failure := r.planError(request); failure != nil {
		return nil, failure
	}
	if !now.Before(request.Deadline) {
		return nil, rejection(request, api.CodeDeadline, 0, "the request's deadline has passed")
	}
	service := r.services[request.Service]
	if !service.mayBecomeUsable() || service.triedAllUsable(now, request) || service.unusableFor(now) >= unusableWait {
		return nil, service.unusableError(request)
	}
	return service, nil
}

// planError returns the rejection of a request that the active plan does not allow in
// this region, nil if it does. It updates the request's service to the one that the plan
// routes its model to.
func (r *Router) planError(request *Request) *api.Error {
	if unconfigured(r.plan) {
		return unconfiguredError(request)
	}
	if request.resolvedPlan != r.plan {
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
		return rejection(request, api.CodeHomeUnavailable, unavailableRetryAfter, "region %q is not one of the request's home regions", r.config.Region)
	}
	return nil
}

// readmit admits a waiter again after its service was removed or its model was routed to
// another service.
func (r *Router) readmit(now time.Time, w *waiter) {
	service, failure := r.admit(now, &w.request)
	if failure != nil {
		w.reject(failure)
		return
	}
	w.setAwaited(nil)
	reservation, failure := service.enter(now, w)
	switch {
	case reservation != nil:
		w.grant(reservation)
	case failure != nil:
		w.reject(failure)
	}
}
